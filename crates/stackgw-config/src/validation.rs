//! Checks beyond the ranges and lengths that `garde` has itself. Their messages are shown to
//! operators.

use crate::duration::Duration;
use std::collections::BTreeSet;

/// A check of one field, made for a value of another one or for fixed limits.
type Check<T> = Box<dyn FnOnce(&T, &()) -> garde::Result>;

/// Danger: where the horizon is only a few leases long, a lease that is late now and then costs
/// more strong reads than shared sessions save.
const MIN_LEASES_IN_HORIZON: u64 = 4;

/// No two names are equal.
pub(crate) fn distinct(names: &[String], _: &()) -> garde::Result {
    let different: BTreeSet<_> = names.iter().collect();
    require(different.len() == names.len(), || {
        "names one keeper twice".to_owned()
    })
}

/// The duration is within two limits, both included. They are written as in the file.
pub(crate) fn between(least: &'static str, most: &'static str) -> Check<Duration> {
    Box::new(move |duration, ()| {
        let limit = |text: &str| text.parse::<Duration>().ok();
        let above = limit(least).is_some_and(|least| *duration >= least);
        let below = limit(most).is_some_and(|most| *duration <= most);
        require(above && below, || format!("must be from {least} to {most}"))
    })
}

/// The horizon is long enough for this lease.
pub(crate) fn at_least_four_leases(lease: &Duration) -> Check<Duration> {
    let least = Duration::from_millis(lease.as_millis().saturating_mul(MIN_LEASES_IN_HORIZON));
    Box::new(move |horizon, ()| {
        require(*horizon >= least, || {
            format!("must be four leases at least, {least}")
        })
    })
}

/// Of the section `sessions` and the one that is checked, one is absent.
pub(crate) fn excludes<A, B>(
    sessions: &Option<A>,
) -> impl FnOnce(&Option<B>, &()) -> garde::Result + '_ {
    move |cluster, ()| {
        let both = cluster.is_some() && sessions.is_some();
        require(!both, || "sessions name the cluster already".to_owned())
    }
}

fn require(satisfied: bool, message: impl FnOnce() -> String) -> garde::Result {
    satisfied
        .then_some(())
        .ok_or_else(|| garde::Error::new(message()))
}
