//! Outlier ejection: how results of attempts affect a member's health, its ejection and its readmission.

use super::admission::{HIGH_LATENCY_RATIO, MAX_LATENCY_RATIO, MIN_LIMIT, SMOOTHING};
use super::Router;
use crate::api::*;
use crate::state::{smooth, Assessment, LatencySample, MemberState, Observation};
use std::collections::BTreeSet;

/// Failure score at which a member is ejected; a served or misrouted attempt resets the score.
const EJECTION_SCORE: u32 = 4;
const SLOW_CONNECT_SCORE: u32 = 2;
pub(super) const ERROR_SCORE: u32 = 2;
/// First and longest wait between half-open attempts at an ejected member.
pub(super) const MIN_HALF_OPEN_WAIT: Span = 250 * MS;
const MAX_HALF_OPEN_WAIT: Span = 2 * SECOND;
/// Lag assumed of a replica that rejected a read, until it reports its position again.
const LAG_AFTER_REJECTED_READ: Span = 2 * SECOND;
/// A member is unresponsive after BASE + SHARED / in flight usual response times without an answer. A healthy
/// member exceeds the second part by chance with a probability of e^-7.
const MAX_SILENCE_BASE: f64 = 2.0;
const MAX_SILENCE_SHARED: f64 = 7.0;
/// An attempt is lost, not late, after this many usual response times, if later ones were answered or loss is
/// high. This grows with each attempt, as expensive reads stay expensive, and is longer while loss is low.
const LOST_AFTER_RESPONSE_TIMES: f64 = 4.0;
const HIGH_LOSS: f64 = 0.08;
const LOW_LOSS_FACTOR: f64 = 3.0;

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
            member.lag = member.lag.max(LAG_AFTER_REJECTED_READ); // It lags more than it reported.
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

    /// A single time-out, reset or slow connect proves no fault, an immediately refused connection does.
    /// Errors and rejections return quickly without doing the work, so they do not change the limit.
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

    /// Cancels idempotent requests at unresponsive members or with a lost answer, to retry them elsewhere.
    pub(super) fn detect_unresponsive(&mut self) {
        let unresponsive = self.eject_unresponsive();
        let idempotent = self.requests.values().filter(|request| request.is_idempotent());
        for request in idempotent.filter(|_| self.settings.limits.cancel) {
            let is_lost = |member: &MemberState| {
                let factor = if member.loss_share > HIGH_LOSS { 1.0 } else { LOW_LOSS_FACTOR };
                member.is_lost(self.now, request.last_sent_at, f64::from(request.attempts_sent) * factor)
            };
            for attempt in &request.open_attempts {
                let is_lost = self.members.get(attempt.member).is_some_and(is_lost);
                if is_lost || unresponsive.contains(&attempt.member) {
                    self.actions.push(Action::Cancel { request: request.id(), attempt: attempt.number });
                }
            }
        }
    }

    /// Ejects members that answer no request in flight for far longer than usual, despite good health checks.
    fn eject_unresponsive(&mut self) -> BTreeSet<MemberId> {
        let mut unresponsive = BTreeSet::new();
        for attempt in self.requests.values().flat_map(|request| &request.open_attempts) {
            let Some(member) = self.members.get_mut(attempt.member).filter(|m| !m.ejected) else { continue };
            let in_flight = if member.loss_share > HIGH_LOSS { 1 } else { member.in_flight.max(1) };
            let max_silence = MAX_SILENCE_BASE + MAX_SILENCE_SHARED / f64::from(in_flight);
            let usual_latency = member.latency.max(HIGH_LATENCY_RATIO * self.shortest_objective);
            if (self.now - member.unanswered_since) as f64 > max_silence * usual_latency {
                member.add_failures(self.now, EJECTION_SCORE);
                unresponsive.insert(attempt.member);
            }
        }
        unresponsive
    }
}

impl MemberState {
    /// Whether an attempt sent at `sent_at` is lost, not late: a later one was answered, or loss is high.
    fn is_lost(&self, now: Time, sent_at: Time, factor: f64) -> bool {
        let may_be_lost = self.latest_answered_send > sent_at || self.loss_share > HIGH_LOSS;
        may_be_lost && (now - sent_at) as f64 > LOST_AFTER_RESPONSE_TIMES * factor * self.latency
    }

    /// Returns whether the answer is lost, and records it: as slow answers, these cut limits to nothing.
    fn record_loss(&mut self, now: Time, result: &AttemptResult) -> bool {
        let is_unanswered = matches!(result.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let is_lost = is_unanswered && self.is_lost(now, now - result.elapsed, 1.0);
        if is_lost || result.outcome == Outcome::Served {
            smooth(&mut self.loss_share, f64::from(u8::from(is_lost)), SMOOTHING);
        }
        is_lost
    }

    /// Adds to the failure score. A member whose removal is in doubt is ejected at its first failure.
    pub(super) fn add_failures(&mut self, now: Time, failures: u32) {
        self.failure_score += failures;
        if self.failure_score >= EJECTION_SCORE || (self.removal_in_doubt && failures > 0) {
            self.ejected = true;
            self.half_open_at = now + self.half_open_wait;
        }
    }

    /// A member readmitted by a half-open attempt gets half its limit: it may be cold or still overloaded.
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
