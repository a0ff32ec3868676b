//! The verdict on a soak: which rules of the service were broken, by what clients, members and the list service wrote down.

use super::clients::write_id;
use super::records::{Arrival, RequestEnd, RequestKind, RequestRecord, SoakRecord};
use crate::list_revisions::ListedPhase;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// By how much every time limit grows, for what passes between processes.
const SLACK: Duration = Duration::from_millis(50);
/// After its time a request's answer earns nothing; later than this it is lost.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// Nothing begins for a client later than this after it has left.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// An attempt is told at most so much more than what is left of its client's time.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Nothing new goes to a member later than this after word that it drains or is gone.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// A change counts as notified this long after the service could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The bound on the staleness of bounded reads.
const STALENESS_BOUND: Duration = Duration::from_secs(2);
/// A client that stops inside a message gets its error or its close within this.
const STALLED_CLIENT_WITHIN: Duration = Duration::from_secs(3);
/// A gateway is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A request that a closing connection crossed ends sooner than this, unread.
const CROSSING: Duration = Duration::from_millis(50);
/// What the platform grants a gateway: memory in MiB and descriptors.
const MEMORY_MIB: f64 = 192.0;
const DESCRIPTORS: usize = 256;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// A request got no final answer, or later than half a second after its time.
    Lost(RequestRecord),
    /// It got more than one.
    AnsweredTwice(RequestRecord),
    /// A write came this often to members that may have run it.
    RepeatedWrite(String, usize),
    /// An attempt began this long after its client had left.
    BegunAfterClientLeft(Arrival, Duration),
    /// A member got a request this long after word that it drains or is gone.
    SentToDraining(Arrival, Duration),
    /// A bounded read ran on data that was too old.
    Stale(Arrival),
    /// A session did not see its own write. With where the read and that write ran.
    OwnWriteMissed(RequestRecord, Vec<Arrival>),
    /// An attempt was told this much more time than its client had left.
    ToldTooMuchTime(Arrival, Duration),
    /// A client that stopped inside a message was kept.
    StalledClientKept(usize),
    /// A gateway was not ready in time.
    NotReady(usize),
    /// A gateway holds something although its clients have gone, or took more than it is granted.
    NotAtRest(usize, String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Every rule that a record shows broken.
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
    /// The place of each write in the order in which they ran.
    write_ranks: HashMap<&'a str, usize>,
}

impl<'a> Judge<'a> {
    fn new(record: &'a SoakRecord) -> Self {
        let mut arrivals = HashMap::new();
        for arrival in record.arrivals.iter().filter(|a| !a.is_refused_write) {
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

    /// Whether the write of one value ran before that of another; no value is before all. A write whose client left, or whose
    /// outcome is not known, may run after one that was answered later.
    fn ran_before(&self, value: Option<u64>, other: Option<u64>) -> bool {
        let rank = |value: Option<u64>| {
            let id = value.map(write_id)?;
            self.write_ranks.get(id.as_str()).copied()
        };
        rank(value) < rank(other)
    }

    /// With the arrivals of the read and of the write that it should have shown.
    fn own_write_missed(&self, request: &RequestRecord) -> Violation {
        let write = request.last_own_write.map(write_id);
        let arrivals = self.record.arrivals.iter();
        let concerned = arrivals.filter(|a| a.id == request.id || Some(&a.id) == write.as_ref());
        Violation::OwnWriteMissed(request.clone(), concerned.cloned().collect())
    }

    fn is_lost(&self, request: &RequestRecord) -> bool {
        let waited = request.ended_at.saturating_sub(request.sent_at);
        match request.end {
            RequestEnd::Left => false,
            RequestEnd::Unanswered => true,
            RequestEnd::Disconnected => waited > CROSSING || self.attempts_of(&request.id) > 0,
            _ => waited > request.timeout + LATE_ANSWER + SLACK,
        }
    }

    fn arrival(&self, arrival: &Arrival) -> Vec<Violation> {
        let mut violations = Vec::new();
        if let Some(request) = self.requests.get(arrival.id.as_str()) {
            let after = arrival.at.saturating_sub(request.ended_at);
            if request.end == RequestEnd::Left && after > AFTER_CLIENT_LEFT + SLACK {
                violations.push(Violation::BegunAfterClientLeft(arrival.clone(), after));
            }
            let left = (request.sent_at + request.timeout).saturating_sub(arrival.at);
            let excess = arrival.timeout.saturating_sub(left);
            if excess > TIMEOUT_SLACK + SLACK {
                violations.push(Violation::ToldTooMuchTime(arrival.clone(), excess));
            }
            if request.kind == RequestKind::BoundedRead
                && arrival.staleness > STALENESS_BOUND + SLACK
            {
                violations.push(Violation::Stale(arrival.clone()));
            }
        }
        if let Some(after) = self.after_drain(arrival) {
            violations.push(Violation::SentToDraining(arrival.clone(), after));
        }
        violations
    }

    /// How long after its grace a member that drains or is gone got a request; `None`: it did not.
    fn after_drain(&self, arrival: &Arrival) -> Option<Duration> {
        let announcements = self.record.announcements.iter();
        let last = announcements
            .filter(|a| a.member == arrival.member && a.at <= arrival.at)
            .max_by_key(|a| a.at)?;
        if last.phase == ListedPhase::Ready {
            return None;
        }
        let ends = self.notified_at(last.at) + DRAIN_GRACE + SLACK;
        arrival
            .at
            .checked_sub(ends)
            .filter(|after| !after.is_zero())
    }

    /// When a change that the service had at this time counts as notified: at once, or so long after the last outage.
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
        for misuse in &self.record.misuses {
            let waited = misuse
                .ended_at
                .map(|at| at.saturating_sub(misuse.stopped_at));
            if waited.is_none_or(|waited| waited > STALLED_CLIENT_WITHIN + SLACK) {
                violations.push(Violation::StalledClientKept(misuse.gateway));
            }
        }
        for start in &self.record.starts {
            let took = start.ready_at.map(|at| at.saturating_sub(start.at));
            if took.is_none_or(|took| took > READY_WITHIN) {
                violations.push(Violation::NotReady(start.gateway));
            }
        }
        for rest in &self.record.rests {
            let not_at_rest = rest.not_at_rest.iter().cloned();
            let memory = (rest.peak_memory_mib > MEMORY_MIB)
                .then(|| format!("{} MiB", rest.peak_memory_mib));
            let descriptors = (rest.descriptors > DESCRIPTORS)
                .then(|| format!("{} descriptors", rest.descriptors));
            for what in not_at_rest.chain(memory).chain(descriptors) {
                violations.push(Violation::NotAtRest(rest.gateway, what));
            }
        }
        violations
    }
}
