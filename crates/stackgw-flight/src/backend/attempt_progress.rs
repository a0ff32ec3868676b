//! How far an attempt has got, and what that says of a connection that was lost.

use stackgw_gateway::reducer::CloseReason;
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use tonic::{ConnectError, Status};

/// How far an attempt has got at its member. It only grows.
///
/// A statement is sent in two parts, GetFlightInfo and DoGet, and a member may run it for the first. So whether it may have run
/// goes by all that was sent for the attempt, never by its last part alone.
#[derive(Debug, Default)]
pub(super) struct AttemptProgress {
    /// The member has replied to a part of the request.
    has_reply: AtomicBool,
}

impl AttemptProgress {
    /// Records that the member has replied to a part of the request.
    pub(super) fn record_reply(&self) {
        self.has_reply.store(true, Ordering::Relaxed);
    }

    /// Returns how the connection was lost, if the status was created locally because of that. Statuses sent by members have no
    /// source error.
    pub(super) fn connection_loss(&self, status: &Status) -> Option<CloseReason> {
        status.source()?;
        let was_sent = self.has_reply.load(Ordering::Relaxed) || !is_connect_error(status);
        Some(match was_sent {
            true => CloseReason::Disconnected,
            false => CloseReason::NotSent,
        })
    }
}

/// Returns whether a call failed because no connection was established, so that nothing of this call was sent.
fn is_connect_error(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
