//! What stands before the front's calls: who asks is known first, where the file wants that, and the calls that the Flight
//! SQL service of `arrow-flight` leaves out.

use crate::clock::unix_time_ms;
use crate::server::Frontend;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::{
    Action, Criteria, Empty, FlightData, FlightDescriptor, FlightInfo, HandshakeRequest,
    HandshakeResponse, PollInfo, SchemaResult, Ticket,
};
use futures::StreamExt;
use std::sync::Arc;
use tonic::{Request, Response, Status, Streaming};

pub(crate) struct AuthenticatedService(pub(crate) Arc<Frontend>);

impl AuthenticatedService {
    fn authenticate<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let Some(users) = &self.0.config.users else {
            return Ok(());
        };
        users
            .authenticate(&self.0.config.key_ring, request.metadata(), unix_time_ms())
            .map(|_| ())
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

    /// Gives a token to whoever shows name and secret; where nobody has to, it says welcome.
    async fn handshake(
        &self,
        request: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        let config = &self.0.config;
        let token = match &config.users {
            None => None,
            Some(users) => {
                let name =
                    users.authenticate(&config.key_ring, request.metadata(), unix_time_ms())?;
                Some(users.issue_token(&config.key_ring, &name, self.0.expires_at_ms()))
            }
        };
        let payload = token.clone().unwrap_or_default().into_bytes().into();
        let answer = HandshakeResponse {
            protocol_version: 0,
            payload,
        };
        let mut answer = Response::new(futures::stream::once(async { Ok(answer) }).boxed());
        if let Some(token) = token.and_then(|token| format!("Bearer {token}").parse().ok()) {
            answer.metadata_mut().insert("authorization", token);
        }
        Ok(answer)
    }

    async fn get_schema(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<SchemaResult>, Status> {
        self.authenticate(&request)?;
        self.0.schema_of_command(request).map(Response::new)
    }

    async fn list_flights(
        &self,
        request: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        self.authenticate(&request)?;
        self.0.list_flights(request).await
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        self.authenticate(&request)?;
        self.0.get_flight_info(request).await
    }

    async fn poll_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        self.authenticate(&request)?;
        self.0.poll_flight_info(request).await
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        self.authenticate(&request)?;
        self.0.do_get(request).await
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        self.authenticate(&request)?;
        self.0.do_put(request).await
    }

    async fn do_action(
        &self,
        request: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        self.authenticate(&request)?;
        self.0.do_action(request).await
    }

    async fn list_actions(
        &self,
        request: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        self.authenticate(&request)?;
        self.0.list_actions(request).await
    }

    async fn do_exchange(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        self.authenticate(&request)?;
        self.0.do_exchange(request).await
    }
}
