//! The I/O side: tasks that read sockets and hand inputs to the reducer, and the driver that carries out its effects.
//!
//! Nothing here decides. All tasks run on one thread with one executor, so that state is shared by `Rc` and `RefCell`; no
//! borrow lasts across an `await` or a call to the reducer. Other frontends and the disk have threads of their own and reach
//! this one by channels.

mod backends;
mod clients;
mod clock;
mod connection;
mod control;
mod datagrams;
mod disconnects;
mod discovery;
mod driver;
mod flag;
mod frontends;
mod listener;
mod members;
mod signals;
mod startup;
mod storage;
mod timers;

pub use backends::{BackendChannels, BackendCommand, BackendEvent, RelayedStream};
pub use frontends::{FrontendResponse, RequestGuard, RequestHandle};
pub(crate) use startup::serve;
