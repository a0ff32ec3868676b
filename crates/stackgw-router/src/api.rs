//! The interface of the decision module: [`Settings`] handed over at start, [`Event`]s that the host reports,
//! and [`Action`]s that the router asks of it. Nothing here decides, and nothing here knows a wire format.
//!
//! All times are nanoseconds on the host's clock, and come in with the events.

mod action;
mod endpoint;
mod event;
mod gossip;
mod request;
mod settings;
mod time;

pub use action::Action;
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
