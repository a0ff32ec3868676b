//! Outlier ejection: what the end of an attempt says of its member, who is ejected, and what brings it back.

use super::admission::{HIGH_LATENCY_RATIO, MAX_LATENCY_RATIO, MIN_LIMIT, SMOOTHING};
use super::Router;
use crate::api::*;
use crate::state::{smooth, Assessment, LatencySample, MemberState, Observation};
use std::collections::BTreeSet;

/// The failure score that ejects a member; an answer clears it.
const EJECTION_SCORE: u32 = 4;
const SLOW_CONNECT_SCORE: u32 = 2;
pub(super) const ERROR_SCORE: u32 = 2;
/// Half-open attempts at an ejected member: first and longest wait between them.
pub(super) const MIN_HALF_OPEN_WAIT: Span = 250 * MS;
const MAX_HALF_OPEN_WAIT: Span = 2 * SECOND;
/// A replica that rejected a read is taken to be this far behind until it is heard again.
const LAG_AFTER_REJECTED_READ: Span = 2 * SECOND;
/// Unresponsive after (A + B / requests in flight) usual answer times without an answer: e^-7 is rare enough.
const MAX_QUIET_A: f64 = 2.0;
const MAX_QUIET_B: f64 = 7.0;
/// Lost, not late: open for so many usual answer times while later ones were answered, or this share is lost.
/// Such reads go elsewhere: later with each attempt, as long work stays long, and before any loss shows.
const LOST_AFTER: f64 = 4.0;
const VISIBLE_LOSS: f64 = 0.08;
const PATIENCE_WITHOUT_LOSS: f64 = 3.0;

impl Router {
    pub(super) fn record_outcome(&mut self, result: &AttemptResult, class: Option<&Class>) {
        let Some(member) = self.members.get_mut(result.member) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        if matches!(result.outcome, Outcome::Served | Outcome::Misrouted) {
            member.readmit(self.fleet_divisor);
            member.record_answer(self.now, result.elapsed);
        }
        let is_lost = member.record_loss(self.now, result);
        if result.outcome == Outcome::Misrouted && class.is_some_and(|c| c.consistency != Consistency::Write)
        {
            member.lag = member.lag.max(LAG_AFTER_REJECTED_READ); // Too far behind, however fresh it looked.
        }
        let elapsed = (result.elapsed - self.stall).max(0) as f64;
        let ratio = class.map_or(member.latency_ratio, |class| elapsed / class.latency_objective as f64);
        let assessment = self.assess(result, ratio.min(MAX_LATENCY_RATIO), is_lost);
        if let Some(sample) = &assessment.latency {
            self.record_latency(result, elapsed, sample);
        }
        self.members.modify(result.member, |member| member.add_failures(self.now, assessment.failures));
        self.gossip.push(Observation::of_answer(self.now, result).to_update(assessment.latency));
    }

    /// A single time-out, reset or slow connect proves nothing, a connect refused at once does. Errors and
    /// rejections are quick without being service, so they change no limit.
    fn assess(&self, result: &AttemptResult, latency_ratio: f64, is_lost: bool) -> Assessment {
        let refused_at_once = result.elapsed < self.settings.limits.connect_timeout / 2;
        let (failures, latency) = match result.outcome {
            Outcome::Served => (0, Some(LatencySample::served(latency_ratio))),
            Outcome::TimedOut if self.stall == 0 && !is_lost => {
                (1, Some(LatencySample::unserved(MAX_LATENCY_RATIO, 1)))
            }
            Outcome::Overloaded | Outcome::ConnectionReset => (1, None),
            Outcome::ConnectFailed if refused_at_once => (EJECTION_SCORE, None),
            Outcome::ConnectFailed => (SLOW_CONNECT_SCORE, None),
            _ => (0, None),
        };
        Assessment { failures, latency }
    }

    /// Cancels reads whose members do not respond or whose answers are lost, so that they are sent elsewhere.
    pub(super) fn detect_unresponsive(&mut self) {
        let unresponsive = self.eject_unresponsive();
        let reads = self.requests.values().filter(|request| request.is_idempotent());
        for request in reads.filter(|_| self.settings.limits.cancel) {
            let is_lost = |member: &MemberState| {
                let patience = if member.loss > VISIBLE_LOSS { 1.0 } else { PATIENCE_WITHOUT_LOSS };
                member.is_lost(self.now, request.last_sent_at, f64::from(request.attempts_sent) * patience)
            };
            for attempt in &request.open_attempts {
                let is_lost = self.members.get(attempt.member).is_some_and(is_lost);
                if is_lost || unresponsive.contains(&attempt.member) {
                    self.actions.push(Action::Cancel { request: request.id(), attempt: attempt.number });
                }
            }
        }
    }

    /// Members that hold requests and answer none for far longer than usual, whatever health checks say.
    fn eject_unresponsive(&mut self) -> BTreeSet<MemberId> {
        let mut unresponsive = BTreeSet::new();
        for attempt in self.requests.values().flat_map(|request| &request.open_attempts) {
            let Some(member) = self.members.get_mut(attempt.member).filter(|m| !m.ejected) else { continue };
            let in_flight = if member.loss > VISIBLE_LOSS { 1 } else { member.in_flight.max(1) };
            let max_quiet = MAX_QUIET_A + MAX_QUIET_B / f64::from(in_flight);
            let usual_latency = member.latency.max(HIGH_LATENCY_RATIO * self.shortest_objective);
            if (self.now - member.quiet_since) as f64 > max_quiet * usual_latency {
                member.add_failures(self.now, EJECTION_SCORE);
                unresponsive.insert(attempt.member);
            }
        }
        unresponsive
    }
}

impl MemberState {
    /// Whether what was sent then is lost, not late: this member has answered what was sent after it.
    fn is_lost(&self, now: Time, sent_at: Time, patience: f64) -> bool {
        let shows_loss = self.latest_answered_send > sent_at || self.loss > VISIBLE_LOSS;
        shows_loss && (now - sent_at) as f64 > LOST_AFTER * patience * self.latency
    }

    /// Lost answers look like ones that take too long, and without this limits would shrink to nothing.
    fn record_loss(&mut self, now: Time, result: &AttemptResult) -> bool {
        let is_unanswered = matches!(result.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let is_lost = is_unanswered && self.is_lost(now, now - result.elapsed, 1.0);
        if is_lost || result.outcome == Outcome::Served {
            smooth(&mut self.loss, f64::from(u8::from(is_lost)), SMOOTHING);
        }
        is_lost
    }

    /// One that may be removed, by a list that is not binding, is ejected at the first failure.
    pub(super) fn add_failures(&mut self, now: Time, failures: u32) {
        self.failure_score += failures;
        if self.failure_score >= EJECTION_SCORE || (self.removal_in_doubt && failures > 0) {
            self.ejected = true;
            self.half_open_at = now + self.half_open_wait;
        }
    }

    /// Back from a half-open attempt a member starts carefully: it may be cold or still choking.
    fn readmit(&mut self, fleet_divisor: f64) {
        if self.ejected {
            self.ejected = false;
            self.half_open_wait = MIN_HALF_OPEN_WAIT;
            self.concurrency_limit = (self.concurrency_limit / 2.0).max(MIN_LIMIT / fleet_divisor);
        }
    }

    pub(super) fn start_half_open_attempt(&mut self, now: Time) {
        self.half_open_wait = (self.half_open_wait * 2).min(MAX_HALF_OPEN_WAIT);
        self.half_open_at = now + self.half_open_wait;
    }
}
