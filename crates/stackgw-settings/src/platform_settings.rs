//! The platform's settings document: the settings of the router and of its host.

use crate::error::SettingsError;
use crate::router_settings::router_settings;
use crate::section::Section;
use serde_json::Value;
use stackgw_router::api::{LoadReport, Settings, Span, Time};

/// The names that the document gives to classes and zones. Some wire protocols use them in requests
/// and endpoint lists.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct NameTable {
    /// The names of the classes, by the index that requests give.
    pub classes: Vec<String>,
    /// The names of the zones, by the index that the router's settings and members give; empty if
    /// the document has no list of them.
    pub zones: Vec<String>,
}

/// The whole document.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The router's settings.
    pub router: Settings,
    /// The names of classes and zones.
    pub names: NameTable,
    /// The router's time, in nanoseconds, that position 0 stands for in wire protocols that give the
    /// positions of members as the time since a fixed point.
    pub position_zero: Time,
    /// Time in nanoseconds after which a member closes an idle connection; 0 if unknown.
    pub member_idle_timeout: Span,
    /// Maximum number of open requests of one router; 2^32 - 1 if the document has none.
    pub max_open_requests: usize,
}

impl PlatformSettings {
    /// Reads the document from its text.
    ///
    /// # Errors
    /// If the text is not valid JSON, or for the reasons of [`PlatformSettings::from_json`].
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        Self::from_json(&serde_json::from_str(text)?)
    }

    /// Reads the document.
    ///
    /// # Errors
    /// If a key is missing or has an invalid value; the error names the key, or the list that
    /// contains the invalid value. A missing key is no error if it has a default: `ConnIdleNs`,
    /// `MaxRetryAfterNs` and `MustAskInNs` (0), and `MaxOpen` (2^32 - 1). `Zones` is empty if it is
    /// missing or not a list, and `MarksRetry` and `OnlyDrainingBinds` are false if they are missing
    /// or not a boolean. Some keys are needed only with certain values of others, for example
    /// `CatchUpWaitNs` only if `Behind` is `hold`.
    pub fn from_json(document: &Value) -> Result<Self, SettingsError> {
        let document = Section::new(document);
        let limits = document.section("Limits")?;
        Ok(PlatformSettings {
            router: router_settings(document)?,
            names: NameTable {
                classes: class_names(document)?,
                zones: zone_names(document)?,
            },
            position_zero: document.section("Domain")?.integer("CountedFromNs")?,
            member_idle_timeout: limits.non_negative_or("ConnIdleNs", 0)?,
            max_open_requests: limits.non_negative_or("MaxOpen", i64::from(u32::MAX))? as usize,
        })
    }
}

fn class_names(document: Section) -> Result<Vec<String>, SettingsError> {
    let classes = document.list("Classes").unwrap_or_default();
    let names = classes
        .iter()
        .map(|class| class.get("Name").and_then(Value::as_str));
    names.map(|name| owned_name(name, "Classes")).collect()
}

fn zone_names(document: Section) -> Result<Vec<String>, SettingsError> {
    let zones = document.list("Zones").unwrap_or_default();
    zones
        .iter()
        .map(|zone| owned_name(zone.as_str(), "Zones"))
        .collect()
}

fn owned_name(name: Option<&str>, list: &'static str) -> Result<String, SettingsError> {
    name.map(str::to_owned)
        .ok_or(SettingsError::NameNotText(list))
}

/// Sets the field of a load report that has this name on the wire: `x1` (primary if above 0.5),
/// `inflight`, `queue` or `util`. Other names are ignored, among them `x0`, the position, because its
/// origin and precision differ between wire protocols.
pub fn record_load_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "x1" => report.is_primary = Some(value > 0.5),
        "inflight" => report.in_flight = Some(value),
        "queue" => report.queued = Some(value),
        "util" => report.utilisation = Some(value),
        _ => {}
    }
}
