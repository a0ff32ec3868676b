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
    /// The classes, by index.
    pub classes: Vec<String>,
    /// The zones, by index.
    pub zones: Vec<String>,
}

/// The whole document.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The router's settings.
    pub router: Settings,
    /// The names of classes and zones.
    pub names: NameTable,
    /// The time that positions are counted from, in wire protocols that count them from a fixed
    /// time.
    pub position_zero: Time,
    /// Time in nanoseconds after which a member closes an idle connection; 0 if unknown.
    pub member_idle_timeout: Span,
    /// Maximum number of open requests of one router.
    pub max_open_requests: usize,
}

impl PlatformSettings {
    /// Reads the document from its text.
    ///
    /// # Errors
    /// If the text is not valid JSON, or a key is missing or has an invalid value; the error names
    /// the key.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        Self::from_json(&serde_json::from_str(text)?)
    }

    /// Reads the document.
    ///
    /// # Errors
    /// If a key is missing or has an invalid value; the error names the key.
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

/// Sets a field of a load report by its name in the document; unknown names are ignored. The
/// position (`x0`) is ignored too, because its origin and precision differ between wire protocols.
pub fn record_load_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "x1" => report.is_primary = Some(value > 0.5),
        "inflight" => report.in_flight = Some(value),
        "queue" => report.queued = Some(value),
        "util" => report.utilisation = Some(value),
        _ => {}
    }
}
