//! The tasks that talk to the list service, held so that they can be replaced and ended.

use async_executor::Task;
use std::cell::RefCell;

/// The tasks that talk to the list service. A task that is replaced or dropped ends.
#[derive(Default)]
pub(super) struct ListRequests {
    pub(super) watch: RefCell<Option<Task<()>>>,
    pub(super) fetch: RefCell<Option<Task<()>>>,
}
