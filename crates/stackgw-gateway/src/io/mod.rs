//! The I/O side: tasks that read sockets and hand inputs to the reducer, and the driver that carries out its effects.
//!
//! Nothing here decides. All tasks run on one thread with one executor, so that state is shared by `Rc` and `RefCell`; no
//! borrow lasts across an `await` or a call to the reducer. Other frontends and the disk have threads of their own and reach
//! this one by channels.

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

pub use backend_channels::{BackendChannels, BackendCommand, BackendEvent, RelayedStream};
pub use request_handle::{FrontendResponse, RequestGuard, RequestHandle};
pub(crate) use startup::serve;
