//! The I/O side: tasks that read sockets and pass inputs to the reducer, and the driver that carries out its effects.
//!
//! This module makes no decisions about requests. All tasks run on one thread with one executor and share state through `Rc`
//! and `RefCell`; no borrow is held across an `await` or a call to the reducer. Other frontends and the disk run on their own
//! threads and communicate with this one through channels.

mod alarm;
mod backend_channels;
mod backends;
mod client_table;
mod clients;
mod clock;
mod connection;
mod control;
mod control_answers;
mod datagrams;
mod disconnects;
mod discovery;
mod driver;
mod flag;
mod frontends;
mod list_tasks;
mod listener;
mod member_table;
mod members;
mod request_handle;
mod signals;
mod startup;
mod storage;
mod timers;
mod turn;

pub use backend_channels::{BackendChannels, BackendCommand, BackendEvent, RelayedStream};
pub use request_handle::{FrontendResponse, RequestGuard, RequestHandle};
pub(crate) use startup::serve;
