//! The data of a replication group: one log, of which each member sees the part that its lag allows, and a record of every
//! execution, with which tests compare what sessions saw. It is independent of the wire protocol.

use crate::member::FakeMember;
use crate::statements::{BOUNDED_READ_CLASS, HEALTH_CHECK, STALENESS_BOUND_MS};
use crate::sync::lock;
use serde::Serialize;
use stackgw_gateway::pg::{write, Frame, Statement};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The present time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// The number of reads by the role of the member that ran them. Serialized as a list: the primary's, then the replicas'.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 2]")]
pub struct ReadsByRole {
    /// Reads that the primary ran.
    pub primary: u64,
    /// Reads that replicas ran.
    pub replicas: u64,
}

impl From<ReadsByRole> for [u64; 2] {
    fn from(reads: ReadsByRole) -> Self {
        [reads.primary, reads.replicas]
    }
}

impl ReadsByRole {
    /// The reads that ran after `earlier` was counted.
    pub(crate) fn since(self, earlier: ReadsByRole) -> Self {
        ReadsByRole {
            primary: self.primary - earlier.primary,
            replicas: self.replicas - earlier.replicas,
        }
    }

    /// The fraction of reads that replicas ran, from 0 to 1.
    pub fn replica_fraction(self) -> f64 {
        self.replicas as f64 / (self.primary + self.replicas).max(1) as f64
    }
}

/// All statements that members executed.
#[derive(Debug, Default, Clone)]
pub struct ExecutionLog {
    /// Number of executions of each write, by request id.
    pub writes: HashMap<String, u32>,
    /// Number of executions of each read, by request id.
    pub reads_by_id: HashMap<String, u32>,
    /// Reads by the role of the member that ran them.
    pub reads: ReadsByRole,
    /// Reads with a bound on staleness that ran on a replica whose lag exceeded the bound.
    pub stale_reads: u64,
    /// Writes that arrived at a member that was not the primary.
    pub misrouted_writes: u64,
    /// The longest time between the listing of a member as draining or gone and a later request to it.
    pub latest_after_drain: Duration,
}

impl ExecutionLog {
    /// The number of times that a write ran.
    pub(crate) fn runs_of_write(&self, id: &str) -> u32 {
        self.writes.get(id).copied().unwrap_or(0)
    }

    /// Writes that ran more than once.
    pub fn duplicate_writes(&self) -> u64 {
        self.writes.values().filter(|runs| **runs > 1).count() as u64
    }
}

/// The outcome of a statement at a member.
pub(crate) enum StatementOutcome {
    /// A value, and the position up to which the member has applied the log; for a write, the position of its commit.
    Value { value: Vec<u8>, position_ms: u64 },
    /// The statement is a write, and the member is not the primary; it has applied the log up to this position.
    NotPrimary { position_ms: u64 },
    /// The text is not a valid statement of a client.
    Malformed,
    /// The answer to a health check.
    LoadReport(String),
}

/// A value with the time of its commit, in Unix milliseconds.
struct CommittedValue {
    commit_ms: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct LogState {
    /// The values of each key, in commit order.
    values: HashMap<String, Vec<CommittedValue>>,
    last_commit_ms: u64,
    /// The ids of all writes, in execution order.
    write_order: Vec<String>,
    executions: ExecutionLog,
}

/// The arrival of a client's statement at a member, regardless of its outcome.
#[derive(Debug, Clone)]
pub(crate) struct LoggedArrival {
    /// The request's id.
    pub(crate) id: String,
    /// The member's index.
    pub(crate) member: usize,
    /// When the statement's last byte arrived.
    pub(crate) at: Instant,
    /// The statement's timeout, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the statement is a write to which the member answers that it is not the primary.
    pub(crate) is_misrouted_write: bool,
    /// The member's replication lag, in milliseconds.
    pub(crate) staleness_ms: u64,
    /// Whether the member is the primary.
    pub(crate) is_primary: bool,
}

/// The replicated log of a group.
#[derive(Default)]
pub(crate) struct ReplicatedLog {
    state: Mutex<LogState>,
    /// The arrivals of statements; `None` if they are not recorded.
    arrivals: Mutex<Option<Vec<LoggedArrival>>>,
}

impl ReplicatedLog {
    /// The statements executed so far.
    pub(crate) fn executions(&self) -> ExecutionLog {
        lock(&self.state).executions.clone()
    }

    /// The ids of all writes so far, in execution order.
    pub(crate) fn write_order(&self) -> Vec<String> {
        lock(&self.state).write_order.clone()
    }

    /// Starts to record the statements that arrive at members.
    pub(crate) fn start_recording_arrivals(&self) {
        lock(&self.arrivals).get_or_insert_default();
    }

    /// The recorded arrivals of statements at members.
    pub(crate) fn arrivals(&self) -> Vec<LoggedArrival> {
        lock(&self.arrivals).clone().unwrap_or_default()
    }

    /// Records the arrival of a message at a member, if it is a client's statement and arrivals are recorded.
    pub(crate) fn record_arrival(&self, index: usize, member: &FakeMember, frame: &Frame) {
        let at = Instant::now();
        let mut arrivals = lock(&self.arrivals);
        let Some(arrivals) = arrivals.as_mut() else {
            return;
        };
        if let Ok(statement) = Statement::parse(frame.clone()) {
            arrivals.push(LoggedArrival {
                id: statement.id,
                member: index,
                at,
                timeout_ms: statement.wait_ms,
                is_misrouted_write: statement.write
                    && !member.is_primary()
                    && !member.is_unresponsive(),
                staleness_ms: member.effective_lag_ms(),
                is_primary: member.is_primary(),
            });
        }
    }

    /// Runs a statement at a member.
    pub(crate) fn execute(&self, member: &FakeMember, text: &str) -> StatementOutcome {
        // The member sees every commit up to its lag, and everything that it committed itself.
        let replicated_ms = unix_ms().saturating_sub(member.effective_lag_ms());
        let position_ms = replicated_ms.max(member.committed_ms());
        if text == HEALTH_CHECK {
            return StatementOutcome::LoadReport(load_report(member, position_ms));
        }
        member.requests.fetch_add(1, Ordering::Relaxed);
        let mut query = Vec::new();
        write::query(&mut query, text);
        let Ok(statement) = Statement::parse(Frame {
            kind: b'Q',
            bytes: query,
        }) else {
            return StatementOutcome::Malformed;
        };
        let draining_for = member.draining_for();
        let mut state = lock(&self.state);
        let latest = &mut state.executions.latest_after_drain;
        *latest = (*latest).max(draining_for);
        if !statement.write {
            return state.read(member, &statement, position_ms);
        }
        if member.is_primary() {
            let outcome = state.write(&statement, text);
            member.record_commit(state.last_commit_ms);
            return outcome;
        }
        state.executions.misrouted_writes += 1;
        StatementOutcome::NotPrimary { position_ms }
    }
}

impl LogState {
    fn write(&mut self, statement: &Statement, text: &str) -> StatementOutcome {
        let runs = &mut self.executions.writes;
        *runs.entry(statement.id.clone()).or_default() += 1;
        self.write_order.push(statement.id.clone());
        let value = written_value(text);
        // Rounded up, so that a replica whose position reaches this time has applied the commit.
        let commit_ms = (unix_ms() + 1).max(self.last_commit_ms);
        self.last_commit_ms = commit_ms;
        let committed = CommittedValue {
            commit_ms,
            value: value.clone(),
        };
        self.values
            .entry(statement.key().to_owned())
            .or_default()
            .push(committed);
        StatementOutcome::Value {
            value,
            position_ms: commit_ms,
        }
    }

    fn read(
        &mut self,
        member: &FakeMember,
        statement: &Statement,
        position_ms: u64,
    ) -> StatementOutcome {
        self.count_read(member, statement, position_ms);
        let position_ms = if member.is_primary() {
            self.last_commit_ms.max(unix_ms())
        } else {
            position_ms
        };
        let values = self.values.get(statement.key()).into_iter().flatten();
        let visible = values
            .rev()
            .find(|committed| committed.commit_ms <= position_ms);
        StatementOutcome::Value {
            value: visible
                .map(|committed| committed.value.clone())
                .unwrap_or_default(),
            position_ms,
        }
    }

    fn count_read(&mut self, member: &FakeMember, statement: &Statement, position_ms: u64) {
        let exceeds_bound = unix_ms().saturating_sub(position_ms) > STALENESS_BOUND_MS;
        let executions = &mut self.executions;
        executions.stale_reads += u64::from(exceeds_bound && statement.class == BOUNDED_READ_CLASS);
        if member.is_primary() {
            executions.reads.primary += 1;
        } else {
            executions.reads.replicas += 1;
        }
        *executions
            .reads_by_id
            .entry(statement.id.clone())
            .or_default() += 1;
    }
}

/// The answer to a health check: the position in seconds and the role.
fn load_report(member: &FakeMember, position_ms: u64) -> String {
    let is_primary = u8::from(member.is_primary());
    format!(
        "x0={}.{:03},x1={is_primary}",
        position_ms / 1000,
        position_ms % 1000
    )
}

/// The hexadecimal value in the text of a write.
fn written_value(text: &str) -> Vec<u8> {
    let value = text
        .split("'\\x")
        .nth(1)
        .and_then(|rest| rest.split('\'').next());
    value.unwrap_or_default().as_bytes().to_vec()
}
