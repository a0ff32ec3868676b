//! The verdict on a soak: the rules of the service that were violated, according to the record of clients, members and the list
//! service.

use super::clients::write_id;
use super::records::{Arrival, RequestEnd, RequestKind, RequestRecord, SoakRecord};
use crate::list_revisions::ListedPhase;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Tolerance that is added to time limits for delays between processes.
const SLACK: Duration = Duration::from_millis(50);
/// A request is lost if its answer is later than this after its timeout.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// No attempt may start for a client later than this after it has disconnected.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// The timeout of an attempt may exceed its client's remaining time by this.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// A member may get no new requests later than this after the notification that it is draining or gone.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Gateways must have received a change this long after the list service is reachable again.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The bound on the staleness of bounded reads.
const STALENESS_BOUND: Duration = Duration::from_secs(2);
/// An answer counts as known to its gateway this long after its client has it.
const ANSWER_KNOWN_AFTER: Duration = Duration::from_millis(150);
/// A client that stops inside a message must get an error or a close within this time.
const STALLED_CLIENT_WITHIN: Duration = Duration::from_secs(3);
/// A gateway must be ready within this time after it listens.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A request that is disconnected within this time and reached no member is not lost: the gateway closed the connection
/// between requests, without reading it.
const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(50);
/// The platform's limits of a gateway: memory in MiB and descriptors.
const MEMORY_MIB: f64 = 192.0;
const DESCRIPTORS: usize = 256;

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// A request got no final answer, or got it later than half a second after its timeout.
    Lost(RequestRecord),
    /// A request got more than one answer.
    AnsweredTwice(RequestRecord),
    /// A write arrived this many times at members that may have run it.
    RepeatedWrite(String, usize),
    /// An attempt started this long after its client had disconnected.
    AttemptAfterClientLeft(Arrival, Duration),
    /// A draining or gone member got a request this long after the end of the grace time.
    SentToDraining(Arrival, Duration),
    /// A bounded read ran on data older than its bound.
    Stale(Arrival),
    /// A session did not see its own write. Includes the arrivals of the read and of that write.
    OwnWriteMissed(RequestRecord, Vec<Arrival>),
    /// The timeout of an attempt exceeded its client's remaining time by this.
    AttemptTimeoutTooLong(Arrival, Duration),
    /// A gateway did not disconnect a client that stopped inside a message in time.
    StalledClientNotClosed(usize),
    /// A gateway was not ready in time.
    NotReady(usize),
    /// A gateway holds a resource after its clients have disconnected, or exceeded the platform's limit.
    ResourceUse(usize, String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// All violations that a record shows.
pub fn judge(record: &SoakRecord) -> Vec<Violation> {
    let judge = Judge::new(record);
    let mut violations = Vec::new();
    for request in &record.requests {
        violations.extend(judge.request(request));
    }
    for arrival in &record.arrivals {
        violations.extend(judge.arrival(arrival));
    }
    violations.extend(judge.gateways());
    violations
}

struct Judge<'a> {
    record: &'a SoakRecord,
    requests: HashMap<&'a str, &'a RequestRecord>,
    arrivals: HashMap<&'a str, usize>,
    /// The position of each write in execution order.
    write_ranks: HashMap<&'a str, usize>,
}

impl<'a> Judge<'a> {
    fn new(record: &'a SoakRecord) -> Self {
        let mut arrivals = HashMap::new();
        for arrival in record.arrivals.iter().filter(|a| !a.is_misrouted_write) {
            *arrivals.entry(arrival.id.as_str()).or_default() += 1;
        }
        let requests = record.requests.iter();
        let writes = record.write_order.iter().enumerate();
        Judge {
            record,
            requests: requests.map(|r| (r.id.as_str(), r)).collect(),
            arrivals,
            write_ranks: writes.map(|(rank, id)| (id.as_str(), rank)).collect(),
        }
    }

    fn attempts_of(&self, id: &str) -> usize {
        self.arrivals.get(id).copied().unwrap_or(0)
    }

    fn request(&self, request: &RequestRecord) -> Vec<Violation> {
        let mut violations = Vec::new();
        if self.is_lost(request) {
            violations.push(Violation::Lost(request.clone()));
        }
        if request.end == RequestEnd::AnsweredTwice {
            violations.push(Violation::AnsweredTwice(request.clone()));
        }
        let attempts = self.attempts_of(&request.id);
        if request.kind == RequestKind::Write && attempts > 1 {
            violations.push(Violation::RepeatedWrite(request.id.clone(), attempts));
        }
        if let (RequestKind::SessionRead, RequestEnd::Served(value)) = (request.kind, &request.end)
        {
            if self.ran_before(*value, request.last_own_write) {
                violations.push(self.own_write_missed(request));
            }
        }
        violations
    }

    /// Whether the write of `value` ran before that of `other`; `None` precedes all values. Execution order decides, as a write
    /// whose client disconnected, or whose outcome is unknown, may run after one that was sent and answered later.
    fn ran_before(&self, value: Option<u64>, other: Option<u64>) -> bool {
        let rank = |value: Option<u64>| {
            let id = value.map(write_id)?;
            self.write_ranks.get(id.as_str()).copied()
        };
        rank(value) < rank(other)
    }

    /// The violation with the arrivals of the read and of the write that it should have shown.
    fn own_write_missed(&self, request: &RequestRecord) -> Violation {
        let write = request.last_own_write.map(write_id);
        let arrivals = self.record.arrivals.iter();
        let relevant = arrivals.filter(|a| a.id == request.id || Some(&a.id) == write.as_ref());
        Violation::OwnWriteMissed(request.clone(), relevant.cloned().collect())
    }

    fn is_lost(&self, request: &RequestRecord) -> bool {
        let waited = request.ended_at.saturating_sub(request.sent_at);
        match request.end {
            RequestEnd::Left => false,
            RequestEnd::Unanswered => true,
            RequestEnd::Disconnected => {
                waited > CLOSE_CROSSING_TIME || self.attempts_of(&request.id) > 0
            }
            _ => waited > request.timeout + LATE_ANSWER + SLACK,
        }
    }

    fn arrival(&self, arrival: &Arrival) -> Vec<Violation> {
        let mut violations = Vec::new();
        if let Some(request) = self.requests.get(arrival.id.as_str()) {
            let after = arrival.at.saturating_sub(request.ended_at);
            if request.end == RequestEnd::Left && after > AFTER_CLIENT_LEFT + SLACK {
                violations.push(Violation::AttemptAfterClientLeft(arrival.clone(), after));
            }
            let left = (request.sent_at + request.timeout).saturating_sub(arrival.at);
            let excess = arrival.timeout.saturating_sub(left);
            if excess > TIMEOUT_SLACK + SLACK {
                violations.push(Violation::AttemptTimeoutTooLong(arrival.clone(), excess));
            }
            if request.kind == RequestKind::BoundedRead
                && arrival.staleness > STALENESS_BOUND + SLACK
                && !self.is_excused(request.gateway, arrival)
            {
                violations.push(Violation::Stale(arrival.clone()));
            }
        }
        if let Some(after) = self.after_drain(arrival) {
            violations.push(Violation::SentToDraining(arrival.clone(), after));
        }
        violations
    }

    /// Whether the gateway could not know that the member's data was old: the member has been the primary, and none of its answers
    /// to this process, or only one before a later one as the primary, has said that it is a replica.
    fn is_excused(&self, gateway: usize, arrival: &Arrival) -> bool {
        let promotions = self.record.promotions.iter();
        let was_primary = promotions
            .filter(|p| p.at <= arrival.at)
            .any(|p| p.member == arrival.member);
        was_primary && self.last_known_role(gateway, arrival) != Some(false)
    }

    /// Whether the member was the primary in its last answer that this gateway's process must have read before the arrival.
    fn last_known_role(&self, gateway: usize, arrival: &Arrival) -> Option<bool> {
        let starts = self.record.starts.iter();
        let started_at = starts
            .filter(|start| start.gateway == gateway && start.at <= arrival.at)
            .map(|start| start.at)
            .max()
            .unwrap_or_default();
        let answers = self.record.arrivals.iter().filter_map(|other| {
            let request = self.requests.get(other.id.as_str())?;
            let is_told = other.member == arrival.member
                && request.gateway == gateway
                && matches!(request.end, RequestEnd::Served(_))
                && self.attempts_of(&other.id) == 1
                && other.at >= started_at
                && request.ended_at + ANSWER_KNOWN_AFTER <= arrival.at;
            is_told.then_some((request.ended_at, other.is_primary))
        });
        answers.max().map(|(_, is_primary)| is_primary)
    }

    /// How long after the end of the grace time the request arrived at a draining or gone member; `None`: it did not.
    fn after_drain(&self, arrival: &Arrival) -> Option<Duration> {
        let announcements = self.record.announcements.iter();
        let last = announcements
            .filter(|a| a.member == arrival.member && a.at <= arrival.at)
            .max_by_key(|a| a.at)?;
        if last.phase == ListedPhase::Ready {
            return None;
        }
        let grace_end = self.notified_at(last.at) + DRAIN_GRACE + SLACK;
        arrival
            .at
            .checked_sub(grace_end)
            .filter(|after| !after.is_zero())
    }

    /// By when gateways must have received a change that the list service had at this time: immediately, or `NOTIFIED_WITHIN`
    /// after the last outage that delays it.
    fn notified_at(&self, changed_at: Duration) -> Duration {
        let mut at = changed_at;
        loop {
            let outages = self.record.list_outages.iter();
            let recent = outages
                .filter(|outage| outage.from <= at + SLACK && outage.to + NOTIFIED_WITHIN > at);
            match recent.map(|outage| outage.to + NOTIFIED_WITHIN).max() {
                Some(later) => at = later,
                None => return at,
            }
        }
    }

    fn gateways(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for client in &self.record.stalled_clients {
            let waited = client
                .ended_at
                .map(|at| at.saturating_sub(client.stopped_at));
            if waited.is_none_or(|waited| waited > STALLED_CLIENT_WITHIN + SLACK) {
                violations.push(Violation::StalledClientNotClosed(client.gateway));
            }
        }
        for start in &self.record.starts {
            let took = start.ready_at.map(|at| at.saturating_sub(start.at));
            if took.is_none_or(|took| took > READY_WITHIN) {
                violations.push(Violation::NotReady(start.gateway));
            }
        }
        for resources in &self.record.gateway_resources {
            let unreleased = resources.unreleased.iter().cloned();
            let memory = (resources.peak_memory_mib > MEMORY_MIB)
                .then(|| format!("{} MiB", resources.peak_memory_mib));
            let descriptors = (resources.descriptors > DESCRIPTORS)
                .then(|| format!("{} descriptors", resources.descriptors));
            for excess in unreleased.chain(memory).chain(descriptors) {
                violations.push(Violation::ResourceUse(resources.gateway, excess));
            }
        }
        violations
    }
}
