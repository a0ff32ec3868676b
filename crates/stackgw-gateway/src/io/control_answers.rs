//! The reducer's replies to status queries from the control socket, until the task that sent the query takes them.

use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// The reducer's replies, by the number of their query.
#[derive(Debug, Default)]
pub(super) struct StatusReplies {
    next_number: Cell<u64>,
    by_number: RefCell<HashMap<u64, Value>>,
}

impl StatusReplies {
    pub(super) fn insert(&self, number: u64, reply: Value) {
        self.by_number.borrow_mut().insert(number, reply);
    }

    pub(super) fn take(&self, number: u64) -> Option<Value> {
        self.by_number.borrow_mut().remove(&number)
    }

    pub(super) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}
