//! Checks in addition to the ranges and lengths that `garde` provides. Operators see their
//! messages.

use crate::duration::Duration;
use std::collections::BTreeSet;

/// A check of one field against the value of another field or against fixed limits.
type Check<T> = Box<dyn FnOnce(&T, &()) -> garde::Result>;

/// If the horizon is only a few leases long, an occasional late lease causes more strong reads than
/// shared sessions save.
const MIN_LEASES_IN_HORIZON: u64 = 4;

/// Checks that no two names are equal.
pub(crate) fn distinct(names: &[String], _: &()) -> garde::Result {
    let distinct: BTreeSet<_> = names.iter().collect();
    require(distinct.len() == names.len(), || {
        "contains the same keeper twice".to_owned()
    })
}

/// Checks that the duration is within two inclusive limits, which are written as in the file.
pub(crate) fn between(min: &'static str, max: &'static str) -> Check<Duration> {
    Box::new(move |duration, ()| {
        let limit = |text: &str| text.parse::<Duration>().ok();
        let not_below = limit(min).is_some_and(|min| *duration >= min);
        let not_above = limit(max).is_some_and(|max| *duration <= max);
        require(not_below && not_above, || {
            format!("must be from {min} to {max}")
        })
    })
}

/// Checks that the horizon is long enough for this lease.
pub(crate) fn at_least_four_leases(lease: &Duration) -> Check<Duration> {
    let min = Duration::from_millis(lease.as_millis().saturating_mul(MIN_LEASES_IN_HORIZON));
    Box::new(move |horizon, ()| {
        require(*horizon >= min, || {
            format!("must be at least four leases ({min})")
        })
    })
}

/// Checks that the section `sessions`, which describes the cluster too, and the checked section are
/// not both present.
pub(crate) fn excludes<A, B>(
    sessions: &Option<A>,
) -> impl FnOnce(&Option<B>, &()) -> garde::Result + '_ {
    move |cluster, ()| {
        let both = cluster.is_some() && sessions.is_some();
        require(!both, || "cannot be combined with `sessions`".to_owned())
    }
}

fn require(satisfied: bool, message: impl FnOnce() -> String) -> garde::Result {
    satisfied
        .then_some(())
        .ok_or_else(|| garde::Error::new(message()))
}
