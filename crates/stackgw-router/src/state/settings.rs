//! Values derived from the settings of all classes.

use crate::api::{Consistency, Settings, Span};

impl Settings {
    /// The tightest staleness bound of all classes, with `default` for classes without one.
    pub(crate) fn tightest_bound(&self, default: Span) -> Span {
        let bounds = self.classes.iter().map(|class| match class.consistency {
            Consistency::BoundedStaleness(bound) => bound,
            _ => default,
        });
        bounds.min().unwrap_or(default)
    }

    /// The shortest latency objective of all classes, or `default` if there are no classes.
    pub(crate) fn shortest_objective(&self, default: Span) -> Span {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(default)
    }
}
