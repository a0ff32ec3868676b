//! The service that clients call: authenticates each call before the frontend handles it, and
//! implements Handshake and GetSchema, which the Flight SQL service of `arrow-flight` leaves out.

use crate::clock::unix_time_ms;
use crate::config::ServerConfig;
use crate::frontend::Frontend;
use crate::users::Users;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::{
    Action, Criteria, Empty, FlightData, FlightDescriptor, FlightInfo, HandshakeRequest,
    HandshakeResponse, PollInfo, SchemaResult, Ticket,
};
use futures::StreamExt;
use stackgw_cluster::Keyring;
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status, Streaming};

/// The frontend with authentication of each call.
pub(crate) struct AuthenticatedService {
    frontend: Frontend,
    users: Option<Users>,
    key_ring: Keyring,
    token_lifetime_ms: u64,
}

impl AuthenticatedService {
    pub(crate) fn new(config: &ServerConfig, frontend: Frontend) -> Self {
        AuthenticatedService {
            frontend,
            users: config.users.clone(),
            key_ring: config.key_ring.clone(),
            // Tokens are valid for as long as tickets.
            token_lifetime_ms: config.ticket_lifetime_ms,
        }
    }

    /// Rejects a call without valid credentials, if users are configured.
    fn authenticate<T>(&self, call: &Request<T>) -> Result<(), Status> {
        if let Some(users) = &self.users {
            users.authenticate(&self.key_ring, call.metadata(), unix_time_ms())?;
        }
        Ok(())
    }

    /// Authenticates a handshake and issues a token for later calls; `None` if no users are
    /// configured.
    fn issue_token(&self, headers: &MetadataMap) -> Result<Option<String>, Status> {
        let Some(users) = &self.users else {
            return Ok(None);
        };
        let now_ms = unix_time_ms();
        let name = users.authenticate(&self.key_ring, headers, now_ms)?;
        let expires_at_ms = now_ms.saturating_add(self.token_lifetime_ms);
        Ok(Some(users.issue_token(
            &self.key_ring,
            &name,
            expires_at_ms,
        )))
    }
}

#[tonic::async_trait]
impl FlightService for AuthenticatedService {
    type HandshakeStream = <Frontend as FlightService>::HandshakeStream;
    type ListFlightsStream = <Frontend as FlightService>::ListFlightsStream;
    type DoGetStream = <Frontend as FlightService>::DoGetStream;
    type DoPutStream = <Frontend as FlightService>::DoPutStream;
    type DoActionStream = <Frontend as FlightService>::DoActionStream;
    type ListActionsStream = <Frontend as FlightService>::ListActionsStream;
    type DoExchangeStream = <Frontend as FlightService>::DoExchangeStream;

    /// Issues a token to a client that authenticates: in the response's payload and in its
    /// `authorization` header. If no users are configured, the payload is empty and there is no
    /// header.
    async fn handshake(
        &self,
        call: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        let token = self.issue_token(call.metadata())?;
        let payload = token.clone().unwrap_or_default().into_bytes();
        let message = HandshakeResponse {
            protocol_version: 0,
            payload: payload.into(),
        };
        let messages = futures::stream::once(async { Ok(message) });
        let mut response = Response::new(messages.boxed());
        let header = token.and_then(|token| format!("Bearer {token}").parse().ok());
        if let Some(header) = header {
            response.metadata_mut().insert("authorization", header);
        }
        Ok(response)
    }

    async fn get_schema(
        &self,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        self.authenticate(&call)?;
        self.frontend.schema_of_command(&call).map(Response::new)
    }

    async fn list_flights(
        &self,
        call: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.list_flights(call).await
    }

    async fn get_flight_info(
        &self,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        self.authenticate(&call)?;
        self.frontend.get_flight_info(call).await
    }

    async fn poll_flight_info(
        &self,
        call: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        self.authenticate(&call)?;
        self.frontend.poll_flight_info(call).await
    }

    async fn do_get(&self, call: Request<Ticket>) -> Result<Response<Self::DoGetStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.do_get(call).await
    }

    async fn do_put(
        &self,
        call: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.do_put(call).await
    }

    async fn do_action(
        &self,
        call: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.do_action(call).await
    }

    async fn list_actions(
        &self,
        call: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.list_actions(call).await
    }

    async fn do_exchange(
        &self,
        call: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        self.authenticate(&call)?;
        self.frontend.do_exchange(call).await
    }
}
