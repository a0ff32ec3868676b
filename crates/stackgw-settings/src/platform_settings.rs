//! The settings document, translated into the router's [`Settings`] and into what its host needs.

use serde_json::Value;
use stackgw_router::api::*;

/// What the document calls things; requests and lists name them so on some wires.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct NameTable {
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The zones, by index.
    pub zones: Vec<String>,
}

/// The whole document, told apart into the router's part and its host's.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlatformSettings {
    /// What the router is told.
    pub router: Settings,
    /// What the document calls things.
    pub names: NameTable,
    /// The moment that positions are counted from, where a wire counts them from one.
    pub position_zero: Time,
    /// A member closes a connection that has stood idle for this long.
    pub member_idle_timeout: Span,
    /// Requests that one router may hold open.
    pub max_open_requests: usize,
}

impl PlatformSettings {
    /// Reads the document from its text; an error names the key at fault.
    pub fn from_text(text: &str) -> Result<Self, String> {
        Self::from_json(&serde_json::from_str(text).map_err(|e| format!("no JSON object: {e}"))?)
    }

    /// Reads the document; an error names the key at fault.
    pub fn from_json(conf: &Value) -> Result<Self, String> {
        let limits = part(conf, "Limits")?;
        let called = |value: &Value, list: &str| {
            value
                .as_str()
                .map(str::to_owned)
                .ok_or_else(|| format!("{list} holds a name that is no text"))
        };
        let zones = conf
            .get("Zones")
            .and_then(Value::as_array)
            .map_or(&[][..], Vec::as_slice);
        let classes = conf
            .get("Classes")
            .and_then(Value::as_array)
            .map_or(&[][..], Vec::as_slice);
        let class = |c: &Value| called(c.get("Name").unwrap_or(&Value::Null), "Classes");
        Ok(PlatformSettings {
            router: settings(conf)?,
            names: NameTable {
                classes: classes.iter().map(class).collect::<Result<_, _>>()?,
                zones: zones
                    .iter()
                    .map(|z| called(z, "Zones"))
                    .collect::<Result<_, _>>()?,
            },
            position_zero: int(part(conf, "Domain")?, "CountedFromNs")?,
            member_idle_timeout: span_or(limits, "ConnIdleNs", 0)?,
            max_open_requests: span_or(limits, "MaxOpen", i64::from(u32::MAX))? as usize,
        })
    }
}

/// Notes one field of a load report under the settings' name for it. The position (`x0`) is not among them: its zero
/// and its precision are the wire's. Names without a meaning here are skipped.
pub fn record_load_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "x1" => report.is_primary = Some(value > 0.5),
        "inflight" => report.in_flight = Some(value),
        "queue" => report.queued = Some(value),
        "util" => report.utilisation = Some(value),
        _ => {}
    }
}

fn settings(conf: &Value) -> Result<Settings, String> {
    let domain = part(conf, "Domain")?;
    let limits = part(conf, "Limits")?;
    let rules = part(conf, "Obligations")?;
    let prices = part(conf, "Prices")?;
    let stats = part(conf, "Stats")?;
    let list = |at: &Value, key: &str| -> Result<Vec<Value>, String> {
        at.get(key)
            .and_then(Value::as_array)
            .cloned()
            .ok_or(format!("{key} is no list"))
    };
    let needs = list(domain, "NeedsByClass")?;
    let bounds = list(domain, "StalenessBoundNs")?;
    let class = |(i, c): (usize, &Value)| -> Result<Class, String> {
        let bound = bounds.get(i).and_then(Value::as_i64);
        let need = match needs.get(i).and_then(Value::as_str) {
            Some("update") => Consistency::Write,
            Some("latest") => Consistency::Strong,
            Some("own_writes") => Consistency::ReadYourWrites,
            Some("recent") => {
                let bound = bound.ok_or("StalenessBoundNs is too short")?;
                Consistency::BoundedStaleness(
                    Some(bound)
                        .filter(|b| *b > 0)
                        .ok_or("StalenessBoundNs holds one that is not above 0")?,
                )
            }
            Some("loose") => Consistency::Eventual,
            other => return Err(format!("NeedsByClass holds {other:?} for class {i}")),
        };
        let scope = || match word(c, "Group")? {
            "cell" => Ok(KeyScope::Group),
            "zone" => Ok(KeyScope::Zone),
            "all" => Ok(KeyScope::Global),
            other => Err(format!("Group holds '{other}'")),
        };
        let effect = match word(c, "Effect")? {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::WithKey {
                scope: scope()?,
                window: span(c, "DedupWindowNs")?,
            },
            "fragile" => Idempotency::NonIdempotent,
            other => return Err(format!("Effect holds '{other}'")),
        };
        Ok(Class {
            consistency: need,
            idempotency: effect,
            latency_objective: above_zero(c, "AimNs")?,
            deadline: above_zero(c, "DeadlineNs")?,
            priority_weight: amount(c, "Worth")?,
            late_weight_share: amount(c, "LateWorth")?,
        })
    };
    let reported = list(stats, "Fields")?;
    Ok(Settings {
        classes: list(conf, "Classes")?
            .iter()
            .enumerate()
            .map(class)
            .collect::<Result<_, _>>()?,
        fleet_size: index(conf, "FleetSize").and_then(|n| {
            if n > 0 {
                Ok(n)
            } else {
                Err("FleetSize is not above 0".to_owned())
            }
        })?,
        instance_index: index(conf, "Me")?,
        zone: index(conf, "Zone")?,
        tick: span(conf, "QuantumNs")?,
        polls_endpoint_list: word(conf, "MembershipMode")? == "subscribe",
        poll_grace: span_or(rules, "MustAskInNs", 0)?,
        lagging_reads: match word(domain, "Behind")? {
            "silent" => LaggingReads::ServedStale,
            "reject" => LaggingReads::Rejected,
            "hold" => LaggingReads::Delayed(span(domain, "CatchUpWaitNs")?),
            other => return Err(format!("Behind holds '{other}'")),
        },
        positions_in_responses: flag(domain, "Stamps")?,
        role_listing: match word(domain, "RoleListed")? {
            "delayed" => RoleListing::Delayed,
            "initial" => RoleListing::AtStart,
            "silent" => RoleListing::Never,
            other => return Err(format!("RoleListed holds '{other}'")),
        },
        session_tracking: match word(domain, "SessionMarks")? {
            "client" => SessionTracking::Client,
            "router" => SessionTracking::Router,
            other => return Err(format!("SessionMarks holds '{other}'")),
        },
        commit_waits_for_replica: flag(domain, "CommitWaits")?,
        load_reporting: match word(stats, "How")? {
            "piggyback" => LoadReporting::OnResponses,
            "pull" => LoadReporting::OnHealthChecks,
            "silent" => LoadReporting::Never,
            other => return Err(format!("How holds '{other}'")),
        },
        reports_carry_position: reported.iter().any(|f| f == "x0"),
        retries_are_flagged: conf
            .get("Clients")
            .is_some_and(|c| flag(c, "MarksRetry") == Ok(true)),
        limits: Limits {
            max_attempts: index(limits, "MaxAttempts")?,
            hedged_requests: flag(limits, "SecondCopies")?,
            cancel: flag(limits, "Cancel")?,
            health_checks: flag(limits, "Probes")?,
            retry_after: flag(limits, "RetryAfter")?,
            max_retry_after: span_or(limits, "MaxRetryAfterNs", 0)?,
            gossip: flag(limits, "MayTell")?,
            host_gossip: false,
            connect_timeout: above_zero(limits, "DialTimeoutNs")?,
        },
        obligations: Obligations {
            answer_slack: span(rules, "AnswerSlackNs")?,
            drain_grace: span(rules, "StopSendingWithinNs")?,
            removal_is_advisory: rules
                .get("OnlyDrainingBinds")
                .and_then(Value::as_bool)
                .unwrap_or(false),
            cold_capacity_share: amount(rules, "StartCapacity")?,
            warm_up_time: span(rules, "WarmWithinNs")?,
            overload_multiple: amount(rules, "FallMultiple")?,
            overload_window: above_zero(rules, "FallNs")?,
        },
        costs: Costs {
            health_check: number(prices, "Probe")?,
            cross_zone: number(prices, "CrossZone")?,
            wasted_work: number(prices, "Waste")?,
            late_failure: number(prices, "LateFail")?,
        },
    })
}

fn part<'a>(at: &'a Value, key: &str) -> Result<&'a Value, String> {
    at.get(key)
        .filter(|v| v.is_object())
        .ok_or(format!("{key} is no object"))
}

fn int(at: &Value, key: &str) -> Result<i64, String> {
    at.get(key)
        .and_then(Value::as_i64)
        .ok_or(format!("{key} is no whole number"))
}

/// A whole number that may be nothing, and nothing below.
fn span(at: &Value, key: &str) -> Result<i64, String> {
    int(at, key).and_then(|n| {
        if n >= 0 {
            Ok(n)
        } else {
            Err(format!("{key} is below 0"))
        }
    })
}

fn span_or(at: &Value, key: &str, absent: i64) -> Result<i64, String> {
    at.get(key).map_or(Ok(absent), |_| span(at, key))
}

/// Danger: decisions divide by these.
fn above_zero(at: &Value, key: &str) -> Result<i64, String> {
    int(at, key).and_then(|n| {
        if n > 0 {
            Ok(n)
        } else {
            Err(format!("{key} is not above 0"))
        }
    })
}

fn index(at: &Value, key: &str) -> Result<u32, String> {
    u32::try_from(int(at, key)?).map_err(|_| format!("{key} is out of range"))
}

fn number(at: &Value, key: &str) -> Result<f64, String> {
    at.get(key)
        .and_then(Value::as_f64)
        .ok_or(format!("{key} is no number"))
}

fn amount(at: &Value, key: &str) -> Result<f64, String> {
    number(at, key).and_then(|n| {
        if n >= 0.0 {
            Ok(n)
        } else {
            Err(format!("{key} is below 0"))
        }
    })
}

fn flag(at: &Value, key: &str) -> Result<bool, String> {
    at.get(key)
        .and_then(Value::as_bool)
        .ok_or(format!("{key} is neither true nor false"))
}

fn word<'a>(at: &'a Value, key: &str) -> Result<&'a str, String> {
    at.get(key)
        .and_then(Value::as_str)
        .ok_or(format!("{key} is no text"))
}
