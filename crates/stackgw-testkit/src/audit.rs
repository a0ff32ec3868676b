//! The audit of sessions: clients write and then read through any gateway while faults are injected, and what they saw is
//! compared with what members executed.

use crate::audit_client::{AuditClient, SharedRecord};
use crate::audit_plan::AuditPlan;
use crate::audit_report::{OutcomeCounts, Verdict};
use crate::client::RequestOutcome;
use crate::fault_injection::FaultInjector;
use crate::gateway_fleet::GatewayFleet;
use crate::replica_group::ReplicaGroup;
use crate::replicated_log::{ExecutionLog, ReadsByRole};
use crate::statistics::Percentiles;
use crate::sync::lock;
use std::time::Duration;

/// How often progress is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an audit until the plan's pairs are complete or its time limit has passed, and returns the verdict. `on_progress` is
/// called every 50 ms with the outcomes so far.
pub fn run_audit(
    plan: &AuditPlan,
    group: &ReplicaGroup,
    gateways: &GatewayFleet,
    on_progress: impl Fn(&OutcomeCounts) + Sync,
) -> Verdict {
    let record = SharedRecord::new();
    let before = group.executions();
    let injector = FaultInjector::new(group, gateways);
    std::thread::scope(|scope| {
        let (record, injector) = (&record, &injector);
        let start_client =
            |index| scope.spawn(move || AuditClient::new(plan, gateways, record, index).run());
        let clients: Vec<_> = (0..plan.clients).map(start_client).collect();
        if let Some(faults) = plan.faults {
            scope.spawn(move || injector.run(faults, plan.seed));
        }
        while !clients.iter().all(|client| client.is_finished()) {
            std::thread::sleep(PROGRESS_INTERVAL);
            on_progress(&lock(&record.counts));
        }
        injector.stop();
    });
    Verdict {
        seed: plan.seed,
        kills: injector.kills(),
        ..compute_verdict(&record, &group.executions(), before.reads)
    }
}

/// Compares the outcomes that clients saw with what members executed.
fn compute_verdict(
    record: &SharedRecord,
    executions: &ExecutionLog,
    reads_before: ReadsByRole,
) -> Verdict {
    let write_outcomes = lock(&record.write_outcomes);
    let count = |is_wrong: &dyn Fn(&RequestOutcome, u32) -> bool| {
        let writes = write_outcomes.iter();
        let wrong = writes.filter(|(id, outcome)| is_wrong(outcome, executions.runs_of_write(id)));
        wrong.count() as u64
    };
    Verdict {
        counts: lock(&record.counts).clone(),
        duplicate_writes: executions.duplicate_writes(),
        rejected_but_executed: count(&|outcome, runs| {
            *outcome == RequestOutcome::Rejected && runs > 0
        }),
        served_but_not_executed: count(&|outcome, runs| {
            matches!(outcome, RequestOutcome::Served(_)) && runs == 0
        }),
        reads_by_role: executions.reads.since(reads_before),
        write_us: Percentiles::of(&mut lock(&record.write_times_us)),
        read_us: Percentiles::of(&mut lock(&record.read_times_us)),
        seconds: record.started.elapsed().as_secs_f64(),
        first_misses: lock(&record.first_misses).clone(),
        ..Verdict::default()
    }
}
