//! How the one final answer is worded: the table in `docs/design/flight.md`.

use stackgw_gateway::reducer::FinalResponse;
use std::time::Duration;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// The last of what caused an error: the first says little more than that there was one.
pub fn root_cause(error: &dyn std::error::Error) -> String {
    let mut last = error;
    while let Some(next) = last.source() {
        last = next;
    }
    last.to_string()
}

/// The status of an answer that is no row.
pub fn to_status(ended: &FinalResponse) -> Status {
    match ended {
        FinalResponse::Served(_) => Status::ok(""),
        FinalResponse::Rejected(why, wait) => match wait {
            Some(ms) => {
                let wait = Duration::from_millis(u64::try_from(*ms).unwrap_or(0));
                let details = ErrorDetails::with_retry_info(Some(wait));
                Status::with_error_details(Code::Unavailable, *why, details)
            }
            None => Status::unavailable(*why),
        },
        FinalResponse::Unavailable(why) => Status::unavailable(*why),
        FinalResponse::Failed(why) => Status::aborted(*why),
        FinalResponse::Malformed(why) => Status::invalid_argument(*why),
    }
}
