//! Reads the router's part of the document, section by section.

use crate::error::SettingsError;
use crate::section::Section;
use serde_json::Value;
use stackgw_router::api::{
    Class, Consistency, Costs, Idempotency, KeyScope, LaggingReads, Limits, LoadReporting,
    Obligations, RoleListing, SessionTracking, Settings,
};

/// The document's name for the load report field with a member's position.
const POSITION_FIELD: &str = "x0";

/// Reads the router's settings. If several keys are invalid, the error names the first one that is
/// read; the sections themselves, and the lists in `Domain` and `Stats`, are checked first.
pub(crate) fn router_settings(document: Section) -> Result<Settings, SettingsError> {
    let domain = document.section("Domain")?;
    let limits_section = document.section("Limits")?;
    let obligations_section = document.section("Obligations")?;
    let prices = document.section("Prices")?;
    let stats = document.section("Stats")?;
    let consistencies = ConsistencyLists::read(domain)?;
    let report_fields = stats.list("Fields")?;
    Ok(Settings {
        classes: classes(document, &consistencies)?,
        fleet_size: fleet_size(document)?,
        instance_index: document.index("Me")?,
        zone: document.index("Zone")?,
        tick: document.non_negative("QuantumNs")?,
        polls_endpoint_list: document.text("MembershipMode")? == "subscribe",
        poll_grace: obligations_section.non_negative_or("MustAskInNs", 0)?,
        lagging_reads: lagging_reads(domain)?,
        positions_in_responses: domain.flag("Stamps")?,
        role_listing: role_listing(domain)?,
        session_tracking: session_tracking(domain)?,
        commit_waits_for_replica: domain.flag("CommitWaits")?,
        load_reporting: load_reporting(stats)?,
        reports_carry_position: report_fields.iter().any(|field| field == POSITION_FIELD),
        retries_are_flagged: retries_are_flagged(document),
        limits: limits(limits_section)?,
        obligations: obligations(obligations_section)?,
        costs: costs(prices)?,
    })
}

fn fleet_size(document: Section) -> Result<u32, SettingsError> {
    match document.index("FleetSize")? {
        0 => Err(SettingsError::NotPositive("FleetSize")),
        size => Ok(size),
    }
}

/// Whether clients mark retries; false if the section `Clients` or its key is missing or invalid.
fn retries_are_flagged(document: Section) -> bool {
    let clients = document.get("Clients").map(Section::new);
    clients.is_some_and(|clients| clients.flag("MarksRetry").unwrap_or(false))
}

/// The lists in the section `Domain` that have one entry for each class.
struct ConsistencyLists<'a> {
    needs: &'a [Value],
    staleness_bounds: &'a [Value],
}

impl<'a> ConsistencyLists<'a> {
    fn read(domain: Section<'a>) -> Result<Self, SettingsError> {
        let needs = domain.list("NeedsByClass")?;
        let staleness_bounds = domain.list("StalenessBoundNs")?;
        Ok(ConsistencyLists {
            needs,
            staleness_bounds,
        })
    }

    fn consistency(&self, class: usize) -> Result<Consistency, SettingsError> {
        match self.needs.get(class).and_then(Value::as_str) {
            Some("update") => Ok(Consistency::Write),
            Some("latest") => Ok(Consistency::Strong),
            Some("own_writes") => Ok(Consistency::ReadYourWrites),
            Some("recent") => self
                .staleness_bound(class)
                .map(Consistency::BoundedStaleness),
            Some("loose") => Ok(Consistency::Eventual),
            other => Err(SettingsError::UnknownConsistency {
                class,
                value: other.map(str::to_owned),
            }),
        }
    }

    fn staleness_bound(&self, class: usize) -> Result<i64, SettingsError> {
        let bound = self.staleness_bounds.get(class).and_then(Value::as_i64);
        let bound = bound.ok_or(SettingsError::NoStalenessBound)?;
        if bound > 0 {
            Ok(bound)
        } else {
            Err(SettingsError::StalenessBoundNotPositive)
        }
    }
}

fn classes(
    document: Section,
    consistencies: &ConsistencyLists,
) -> Result<Vec<Class>, SettingsError> {
    let classes = document.list("Classes")?;
    classes
        .iter()
        .enumerate()
        .map(|(index, value)| class(Section::new(value), consistencies.consistency(index)?))
        .collect()
}

fn class(section: Section, consistency: Consistency) -> Result<Class, SettingsError> {
    Ok(Class {
        consistency,
        idempotency: idempotency(section)?,
        latency_objective: section.positive("AimNs")?,
        deadline: section.positive("DeadlineNs")?,
        priority_weight: section.non_negative_number("Worth")?,
        late_weight_share: section.non_negative_number("LateWorth")?,
    })
}

fn idempotency(class: Section) -> Result<Idempotency, SettingsError> {
    match class.text("Effect")? {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::WithKey {
            scope: key_scope(class)?,
            window: class.non_negative("DedupWindowNs")?,
        }),
        "fragile" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_value("Effect", other)),
    }
}

fn key_scope(class: Section) -> Result<KeyScope, SettingsError> {
    match class.text("Group")? {
        "cell" => Ok(KeyScope::Group),
        "zone" => Ok(KeyScope::Zone),
        "all" => Ok(KeyScope::Global),
        other => Err(unknown_value("Group", other)),
    }
}

fn lagging_reads(domain: Section) -> Result<LaggingReads, SettingsError> {
    match domain.text("Behind")? {
        "silent" => Ok(LaggingReads::ServedStale),
        "reject" => Ok(LaggingReads::Rejected),
        "hold" => domain
            .non_negative("CatchUpWaitNs")
            .map(LaggingReads::Delayed),
        other => Err(unknown_value("Behind", other)),
    }
}

fn role_listing(domain: Section) -> Result<RoleListing, SettingsError> {
    match domain.text("RoleListed")? {
        "delayed" => Ok(RoleListing::Delayed),
        "initial" => Ok(RoleListing::AtStart),
        "silent" => Ok(RoleListing::Never),
        other => Err(unknown_value("RoleListed", other)),
    }
}

fn session_tracking(domain: Section) -> Result<SessionTracking, SettingsError> {
    match domain.text("SessionMarks")? {
        "client" => Ok(SessionTracking::Client),
        "router" => Ok(SessionTracking::Router),
        other => Err(unknown_value("SessionMarks", other)),
    }
}

fn load_reporting(stats: Section) -> Result<LoadReporting, SettingsError> {
    match stats.text("How")? {
        "piggyback" => Ok(LoadReporting::OnResponses),
        "pull" => Ok(LoadReporting::OnHealthChecks),
        "silent" => Ok(LoadReporting::Never),
        other => Err(unknown_value("How", other)),
    }
}

fn limits(section: Section) -> Result<Limits, SettingsError> {
    Ok(Limits {
        max_attempts: section.index("MaxAttempts")?,
        hedged_requests: section.flag("SecondCopies")?,
        cancel: section.flag("Cancel")?,
        health_checks: section.flag("Probes")?,
        retry_after: section.flag("RetryAfter")?,
        max_retry_after: section.non_negative_or("MaxRetryAfterNs", 0)?,
        gossip: section.flag("MayTell")?,
        host_gossip: false,
        connect_timeout: section.positive("DialTimeoutNs")?,
    })
}

fn obligations(section: Section) -> Result<Obligations, SettingsError> {
    Ok(Obligations {
        answer_slack: section.non_negative("AnswerSlackNs")?,
        drain_grace: section.non_negative("StopSendingWithinNs")?,
        removal_is_advisory: section.flag("OnlyDrainingBinds").unwrap_or(false),
        cold_capacity_share: section.non_negative_number("StartCapacity")?,
        warm_up_time: section.non_negative("WarmWithinNs")?,
        overload_multiple: section.non_negative_number("FallMultiple")?,
        overload_window: section.positive("FallNs")?,
    })
}

fn costs(prices: Section) -> Result<Costs, SettingsError> {
    Ok(Costs {
        health_check: prices.number("Probe")?,
        cross_zone: prices.number("CrossZone")?,
        wasted_work: prices.number("Waste")?,
        late_failure: prices.number("LateFail")?,
    })
}

fn unknown_value(key: &'static str, value: &str) -> SettingsError {
    SettingsError::UnknownValue {
        key,
        value: value.to_owned(),
    }
}
