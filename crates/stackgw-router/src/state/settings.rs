//! What follows from the settings of all classes together.

use crate::api::{Consistency, Settings, Span};

impl Settings {
    /// The tightest staleness bound, where a class without one counts as one with `default`.
    pub(crate) fn tightest_bound(&self, default: Span) -> Span {
        let bounds = self.classes.iter().map(|class| match class.consistency {
            Consistency::BoundedStaleness(bound) => bound,
            _ => default,
        });
        bounds.min().unwrap_or(default)
    }

    /// The shortest latency objective, or `default` without any class.
    pub(crate) fn shortest_objective(&self, default: Span) -> Span {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(default)
    }
}
