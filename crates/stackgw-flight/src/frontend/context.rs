//! State and functions that all calls of the frontend share.

use super::call;
use super::executor::Executor;
use super::schemas::value_schema;
use super::sql_info::GatewaySqlInfo;
use crate::clock::unix_time_ms;
use crate::config::ServerConfig;
use crate::statement::StatementTemplate;
use crate::tickets::{SealedHandle, TicketError};
use arrow_schema::SchemaRef;
use stackgw_cluster::Keyring;
use stackgw_gateway::RequestHandle;
use tonic::{Request, Status};

/// The service that clients call.
pub(crate) struct Frontend {
    pub(super) executor: Executor,
    pub(super) sql_info: GatewaySqlInfo,
    key_ring: Keyring,
    ticket_lifetime_ms: u64,
    answer_slack_ms: u64,
    flight_groups: Vec<u32>,
}

impl Frontend {
    pub(crate) fn new(config: &ServerConfig, gateway: RequestHandle) -> Self {
        Frontend {
            executor: Executor::new(gateway, config.max_requests, config.request_timeout_ms),
            sql_info: GatewaySqlInfo::new(),
            key_ring: config.key_ring.clone(),
            ticket_lifetime_ms: config.ticket_lifetime_ms,
            answer_slack_ms: config.answer_slack_ms,
            flight_groups: config.flight_groups.clone(),
        }
    }

    /// Parses the statement of a call, with the options in the call's headers.
    pub(super) fn parse_statement<T>(
        &self,
        query: &str,
        transaction: Option<&prost::bytes::Bytes>,
        call: &Request<T>,
    ) -> Result<StatementTemplate, Status> {
        if transaction.is_some_and(|id| !id.is_empty()) {
            return Err(Status::unimplemented("there are no transactions"));
        }
        let options = call::request_options(call.metadata(), self.answer_slack_ms)?;
        Ok(StatementTemplate::parse(query, &options)?)
    }

    /// The timeout of a call in milliseconds, if the client set one.
    pub(super) fn timeout_ms<T>(&self, call: &Request<T>) -> Result<Option<u64>, Status> {
        call::timeout_ms(call.metadata(), self.answer_slack_ms)
    }

    /// The schema of a statement's response, if it is known before the response: members that speak
    /// Flight SQL send their own schema.
    pub(super) fn response_schema(&self, statement: &StatementTemplate) -> Option<SchemaRef> {
        let mut flight_groups = self.flight_groups.iter();
        let members_send_schema = flight_groups.any(|group| statement.is_for_group(*group));
        (!members_send_schema).then(value_schema)
    }

    /// Seals a handle that is valid for the lifetime of tickets.
    pub(super) fn seal(&self, handle: &SealedHandle) -> Vec<u8> {
        let expires_at_ms = unix_time_ms().saturating_add(self.ticket_lifetime_ms);
        handle.seal(&self.key_ring, expires_at_ms)
    }

    /// Opens a handle, if it is valid and has not expired.
    pub(super) fn open(&self, handle: &[u8]) -> Result<SealedHandle, TicketError> {
        SealedHandle::open(&self.key_ring, handle, unix_time_ms())
    }
}

/// Rejects statements that write, which must run through DoPut. DoGet may be called more than once
/// with the same ticket or prepared statement, and a write must not run twice.
pub(super) fn check_is_read(statement: &StatementTemplate) -> Result<(), Status> {
    if statement.is_write() {
        let text = "a statement that writes goes by DoPut";
        return Err(Status::invalid_argument(text));
    }
    Ok(())
}
