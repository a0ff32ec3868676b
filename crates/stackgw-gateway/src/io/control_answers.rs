//! The reducer's answers to questions at the local socket, until the task that asked takes them.

use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// The reducer's answers, by the number of their question.
#[derive(Debug, Default)]
pub(super) struct Answers {
    next_question: Cell<u64>,
    by_question: RefCell<HashMap<u64, Value>>,
}

impl Answers {
    pub(super) fn insert(&self, question: u64, answer: Value) {
        self.by_question.borrow_mut().insert(question, answer);
    }

    pub(super) fn take(&self, question: u64) -> Option<Value> {
        self.by_question.borrow_mut().remove(&question)
    }

    pub(super) fn number_question(&self) -> u64 {
        let question = self.next_question.get();
        self.next_question.set(question + 1);
        question
    }
}
