//! Members' positions against this process's clock.

use crate::pg::Reply;
use crate::reducer::context::Context;
use crate::reducer::state::Gateway;
use stackgw_router::api::{LoadReport, Span, Time, MS};

/// Smaller offsets are neither counted nor logged.
const LOGGED_OFFSET: Span = 500 * MS;

impl Gateway {
    /// Learns from a member's position how far the members' clock is ahead of this process's.
    pub(super) fn observe_clock(
        &mut self,
        cx: &mut Context<'_>,
        is_primary: Option<bool>,
        position: Option<Time>,
    ) {
        let Some(position) = position else {
            return;
        };
        let max_skew = cx.limits.max_clock_skew;
        let before = self.member_clock.offset(max_skew);
        let is_primary = is_primary == Some(true);
        self.member_clock
            .observe(cx.now, position, is_primary, max_skew);
        let offset = self.member_clock.offset(max_skew);
        if offset == before {
            return;
        }
        self.router.set_clock_offset(offset);
        // Reports of positions are somewhat old, which looks like a clock that is a little ahead.
        if let Some(ahead) = offset.filter(|ahead| ahead.abs() >= LOGGED_OFFSET) {
            cx.counters.clock_offsets += 1;
            let what = format!("clock of the members ahead by {} ms, count:", ahead / MS);
            cx.log_rarely(cx.counters.clock_offsets, &what);
        }
    }

    /// Discards an implausible position with a claim of the primary role beside it, and a load report with an implausible position.
    pub(super) fn discard_implausible(&mut self, cx: &mut Context<'_>, reply: &mut Reply) {
        self.observe_clock(cx, reply.primary, reply.position);
        if !self.is_plausible(cx, reply.position) {
            reply.primary = reply.primary.filter(|is_primary| !is_primary);
            reply.position = None;
        }
        if !self.is_plausible(cx, reply.report.position) {
            reply.report = LoadReport::default();
        }
    }

    /// Returns whether a position is not in the future, by this process's clock or the members'; counts it otherwise.
    ///
    /// Without this check, a position in the future would make its member the freshest until that time.
    pub(super) fn is_plausible(&self, cx: &mut Context<'_>, position: Option<Time>) -> bool {
        let max_skew = cx.limits.max_clock_skew;
        let is_plausible =
            position.is_none_or(|at| self.member_clock.is_plausible(cx.now, at, max_skew));
        cx.counters.positions_implausible += u64::from(!is_plausible);
        is_plausible
    }
}
