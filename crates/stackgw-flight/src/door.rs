//! What stands before the front's calls: who asks is known first, where the file wants that, and the calls that the Flight
//! SQL service of `arrow-flight` leaves out.

use crate::server::{now_ms, Front};
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::{
    Action, Criteria, Empty, FlightData, FlightDescriptor, FlightInfo, HandshakeRequest,
    HandshakeResponse, PollInfo, SchemaResult, Ticket,
};
use futures::StreamExt;
use std::sync::Arc;
use tonic::{Request, Response, Status, Streaming};

pub(crate) struct Outer(pub(crate) Arc<Front>);

impl Outer {
    fn known<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let Some(users) = &self.0.set.users else {
            return Ok(());
        };
        users
            .who(&self.0.set.ring, request.metadata(), now_ms())
            .map(|_| ())
    }
}

#[tonic::async_trait]
impl FlightService for Outer {
    type HandshakeStream = <Front as FlightService>::HandshakeStream;
    type ListFlightsStream = <Front as FlightService>::ListFlightsStream;
    type DoGetStream = <Front as FlightService>::DoGetStream;
    type DoPutStream = <Front as FlightService>::DoPutStream;
    type DoActionStream = <Front as FlightService>::DoActionStream;
    type ListActionsStream = <Front as FlightService>::ListActionsStream;
    type DoExchangeStream = <Front as FlightService>::DoExchangeStream;

    /// Gives a token to whoever shows name and secret; where nobody has to, it says welcome.
    async fn handshake(
        &self,
        request: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        let set = &self.0.set;
        let token = match &set.users {
            None => None,
            Some(users) => {
                let name = users.who(&set.ring, request.metadata(), now_ms())?;
                Some(users.token(&set.ring, &name, self.0.until()))
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
        self.known(&request)?;
        self.0.schema_of(request).map(Response::new)
    }

    async fn list_flights(
        &self,
        request: Request<Criteria>,
    ) -> Result<Response<Self::ListFlightsStream>, Status> {
        self.known(&request)?;
        self.0.list_flights(request).await
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        self.known(&request)?;
        self.0.get_flight_info(request).await
    }

    async fn poll_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<PollInfo>, Status> {
        self.known(&request)?;
        self.0.poll_flight_info(request).await
    }

    async fn do_get(
        &self,
        request: Request<Ticket>,
    ) -> Result<Response<Self::DoGetStream>, Status> {
        self.known(&request)?;
        self.0.do_get(request).await
    }

    async fn do_put(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoPutStream>, Status> {
        self.known(&request)?;
        self.0.do_put(request).await
    }

    async fn do_action(
        &self,
        request: Request<Action>,
    ) -> Result<Response<Self::DoActionStream>, Status> {
        self.known(&request)?;
        self.0.do_action(request).await
    }

    async fn list_actions(
        &self,
        request: Request<Empty>,
    ) -> Result<Response<Self::ListActionsStream>, Status> {
        self.known(&request)?;
        self.0.list_actions(request).await
    }

    async fn do_exchange(
        &self,
        request: Request<Streaming<FlightData>>,
    ) -> Result<Response<Self::DoExchangeStream>, Status> {
        self.known(&request)?;
        self.0.do_exchange(request).await
    }
}
