//! The interface of the decision module: [`Settings`] passed at start, [`Event`]s that the host reports, and
//! [`Action`]s that the router requests from the host. It contains no decisions and no wire format.
//!
//! All times are nanoseconds on the host's clock, passed with the events.

mod action;
mod endpoint;
mod event;
mod gossip;
mod request;
mod settings;
mod time;

pub use action::{Action, PrimaryChangeReason, SelectionReason};
pub use endpoint::{ConnectionPermits, Lifecycle, ListScope, Member, MemberSnapshot};
pub use event::{AttemptResult, Event, LoadReport, Outcome};
pub use gossip::GossipUpdate;
pub use request::{
    Class, Consistency, GroupId, Idempotency, KeyScope, MemberId, Request, RequestId, SessionId,
};
pub use settings::{
    Costs, LaggingReads, Limits, LoadReporting, Obligations, RoleListing, SessionTracking, Settings,
};
pub use time::{Span, Time, MS, SECOND};
