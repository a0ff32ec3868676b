//! Statuses returned to clients, as listed in `docs/design/flight.md`.

use crate::statement::StatementError;
use crate::tickets::TicketError;
use stackgw_gateway::reducer::FinalResponse;
use std::time::Duration;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Returns the text of an error's innermost source. The outer text of transport errors has no
/// details.
pub fn root_cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// Converts a request's final outcome to a status. The value of a served request is not included.
pub fn to_status(outcome: &FinalResponse) -> Status {
    match outcome {
        FinalResponse::Served(_) => Status::ok(""),
        FinalResponse::Rejected(text, retry_after_ms) => rejected(text, *retry_after_ms),
        FinalResponse::Unavailable(text) => Status::unavailable(*text),
        FinalResponse::Failed(text) => Status::aborted(*text),
        FinalResponse::Malformed(text) => Status::invalid_argument(*text),
    }
}

/// The status of a request that has not run, with the retry-after time if one is known.
pub(crate) fn rejected(text: &str, retry_after_ms: Option<i64>) -> Status {
    let Some(retry_after_ms) = retry_after_ms else {
        return Status::unavailable(text);
    };
    let retry_after = Duration::from_millis(u64::try_from(retry_after_ms).unwrap_or(0));
    let details = ErrorDetails::with_retry_info(Some(retry_after));
    Status::with_error_details(Code::Unavailable, text, details)
}

impl From<StatementError> for Status {
    fn from(error: StatementError) -> Self {
        Status::invalid_argument(error.to_string())
    }
}

impl From<TicketError> for Status {
    fn from(error: TicketError) -> Self {
        Status::unauthenticated(error.to_string())
    }
}
