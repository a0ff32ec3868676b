//! One connection to a member: its state and its current task.

use crate::pg::Reply;
use crate::reducer::ids::CallId;
use crate::reducer::timers::TimerKey;
use stackgw_router::api::{MemberId, RequestId, Span, Time};

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionTask {
    Attempt(Attempt),
    HealthCheck { sent_at: Time },
}

/// An attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) number: u32,
    pub(crate) sent_at: Time,
    pub(crate) deadline: Time,
    /// Latest time at which it may be written.
    pub(crate) write_by: Option<Time>,
    /// A second connection was opened for it, as the first one broke during its startup.
    pub(crate) reconnected: bool,
}

impl ConnectionTask {
    /// Returns whether the task gets a second connection if this one breaks during its startup. A health check does not.
    pub(crate) fn may_reconnect(self) -> bool {
        matches!(self, ConnectionTask::Attempt(attempt) if !attempt.reconnected)
    }

    /// Returns the same task, marked as being on its second connection.
    pub(crate) fn reconnected(self) -> Self {
        match self {
            ConnectionTask::Attempt(attempt) => ConnectionTask::Attempt(Attempt {
                reconnected: true,
                ..attempt
            }),
            health_check => health_check,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Connecting,
    /// The startup message is sent; the member is not ready yet.
    Startup,
    Idle,
    /// The task is being written.
    Writing,
    /// The task is written; the response is not complete.
    AwaitingResponse,
    /// The response is a stream and belongs to its call.
    Streaming(StreamState),
}

/// A response that is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamState {
    pub(crate) call: CallId,
    /// Time from the sending of the attempt until the stream began.
    pub(crate) time_to_first_byte: Span,
    /// The stream counts as load of its member until it is paused for its reader.
    pub(crate) counts_as_load: bool,
}

/// A connection to a member.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) member: MemberId,
    pub(crate) state: ConnectionState,
    /// It speaks another frontend's protocol.
    pub(crate) is_backend: bool,
    pub(crate) task: Option<ConnectionTask>,
    /// The connection was idle before this task.
    pub(crate) is_reused: bool,
    pub(crate) reply: Reply,
    /// The response has begun and is not complete.
    pub(crate) response_started: bool,
    /// The deadline of the task's response.
    pub(crate) task_deadline: Time,
    pub(crate) timer: Option<TimerKey>,
}

impl Connection {
    /// Returns whether the connection is not established or has not finished its startup.
    pub(crate) fn is_handshaking(&self) -> bool {
        matches!(
            self.state,
            ConnectionState::Connecting | ConnectionState::Startup
        )
    }

    pub(crate) fn stream(&self) -> Option<StreamState> {
        match self.state {
            ConnectionState::Streaming(stream) => Some(stream),
            _ => None,
        }
    }
}
