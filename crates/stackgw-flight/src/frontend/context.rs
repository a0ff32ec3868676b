//! What all calls of the frontend share.

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

    /// Reads the statement of a call, with the options of its headers.
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

    /// The timeout of a call in milliseconds, where its client names one.
    pub(super) fn timeout_ms<T>(&self, call: &Request<T>) -> Result<Option<u64>, Status> {
        call::timeout_ms(call.metadata(), self.answer_slack_ms)
    }

    /// The schema of a statement's answer, where it is known before the answer: members that speak
    /// Flight SQL bring their own.
    pub(super) fn answer_schema(&self, statement: &StatementTemplate) -> Option<SchemaRef> {
        let mut flight_groups = self.flight_groups.iter();
        let brings_its_own = flight_groups.any(|group| statement.is_for_group(*group));
        (!brings_its_own).then(value_schema)
    }

    /// Seals a handle for as long as tickets are valid.
    pub(super) fn seal(&self, handle: &SealedHandle) -> Vec<u8> {
        let expires_at_ms = unix_time_ms().saturating_add(self.ticket_lifetime_ms);
        handle.seal(&self.key_ring, expires_at_ms)
    }

    /// Opens a handle that is still valid.
    pub(super) fn open(&self, handle: &[u8]) -> Result<SealedHandle, TicketError> {
        SealedHandle::open(&self.key_ring, handle, unix_time_ms())
    }
}

/// Danger: a ticket or a prepared statement may be used more than once, and a write that runs twice
/// is an error.
pub(super) fn check_is_read(statement: &StatementTemplate) -> Result<(), Status> {
    if statement.is_write() {
        let text = "a statement that writes goes by DoPut";
        return Err(Status::invalid_argument(text));
    }
    Ok(())
}
