//! Cancelling of queries that run at this gateway. A query that runs at another instance can only
//! be cancelled there.

use super::context::Frontend;
use crate::protocol::{decode_command, CANCEL_FLIGHT_INFO};
use crate::tickets::TicketError;
use arrow_flight::sql::{
    ActionCancelQueryRequest, ActionCancelQueryResult, CommandPreparedStatementQuery,
    TicketStatementQuery,
};
use arrow_flight::{
    Action, ActionType, CancelFlightInfoRequest, CancelFlightInfoResult, CancelStatus, FlightInfo,
};
use prost::Message;
use tonic::Status;

/// `CANCEL_RESULT_CANCELLED` of CancelQuery, which `arrow-flight` does not export.
const CANCEL_RESULT_CANCELLED: i32 = 1;

/// The entry of CancelFlightInfo in the list of actions.
pub(super) fn cancel_action_type() -> ActionType {
    ActionType {
        r#type: CANCEL_FLIGHT_INFO.to_owned(),
        description: "Stops the query of a FlightInfo that runs at this gateway".to_owned(),
    }
}

impl Frontend {
    /// Handles CancelFlightInfo. Returns the body of the result.
    pub(super) fn cancel_flight_info(&self, action: &Action) -> Result<Vec<u8>, Status> {
        if action.r#type != CANCEL_FLIGHT_INFO {
            return Err(Status::unimplemented("there is no such action"));
        }
        let request = CancelFlightInfoRequest::decode(&*action.body).map_err(malformed_body)?;
        self.cancel(request.info.as_ref())?;
        let result = CancelFlightInfoResult {
            status: CancelStatus::Cancelled.into(),
        };
        Ok(result.encode_to_vec())
    }

    /// Handles CancelQuery, an older action with the same effect.
    pub(super) fn cancel_query(
        &self,
        query: &ActionCancelQueryRequest,
    ) -> Result<ActionCancelQueryResult, Status> {
        let info = FlightInfo::decode(&*query.info).map_err(malformed_body)?;
        self.cancel(Some(&info))?;
        Ok(ActionCancelQueryResult {
            result: CANCEL_RESULT_CANCELLED,
        })
    }

    fn cancel(&self, info: Option<&FlightInfo>) -> Result<(), Status> {
        let Some(handle) = info.and_then(running_handle) else {
            let text = "that holds no ticket of ours";
            return Err(Status::invalid_argument(text));
        };
        // An expired handle is accepted, because a request may run longer than its handle is valid.
        if let Err(TicketError::Foreign) = self.open(&handle) {
            return Err(TicketError::Foreign.into());
        }
        if !self.executor.cancel(&handle) {
            let text = "no such query runs at this gateway";
            return Err(Status::not_found(text));
        }
        Ok(())
    }
}

fn malformed_body(error: prost::DecodeError) -> Status {
    Status::invalid_argument(format!("the action's body: {error}"))
}

/// The sealed handle in a query's ticket, under which the running request is registered.
fn running_handle(info: &FlightInfo) -> Option<Vec<u8>> {
    let ticket = &info.endpoint.first()?.ticket.as_ref()?.ticket;
    if let Some(statement) = decode_command::<TicketStatementQuery>(ticket) {
        return Some(statement.statement_handle.to_vec());
    }
    let prepared = decode_command::<CommandPreparedStatementQuery>(ticket)?;
    Some(prepared.prepared_statement_handle.to_vec())
}
