//! The tasks that communicate with the list service, kept so that they can be replaced and stopped.

use async_executor::Task;
use std::cell::RefCell;

/// The tasks that communicate with the list service. Replacing or dropping a task stops it.
#[derive(Default)]
pub(super) struct ListRequests {
    pub(super) watch: RefCell<Option<Task<()>>>,
    pub(super) fetch: RefCell<Option<Task<()>>>,
}
