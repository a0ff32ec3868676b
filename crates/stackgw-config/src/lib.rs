//! The operator's file. What the platform says stays in its own JSON document; this file turns on what other installations
//! have: talk among instances, a lasting disk, a local socket. All of it is off where there is no file or no such part.
//!
//! One type, [`OperatorConfig`], is read, validated and handed down. An error is one plain line that names file, line and field.

mod duration;
mod read;

pub use duration::Duration;
pub use read::{read, schema, ConfigError};

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Operator")]
pub struct OperatorConfig {
    /// How the log is written.
    #[serde(default)]
    #[garde(dive)]
    pub log: Log,
    /// A local socket at which a running gateway answers questions, such as `stackgw sessions`.
    #[serde(default)]
    #[garde(skip)]
    pub control: Option<PathBuf>,
    /// Sessions that hold across instances and restarts. Absent: off.
    #[serde(default)]
    #[garde(dive)]
    pub sessions: Option<Sessions>,
    /// Arrow Flight SQL for clients. Absent: off.
    #[serde(default)]
    #[garde(dive)]
    pub flight: Option<Flight>,
    /// The other instances, where sessions are not shared; `sessions` names them itself. Absent: this one talks to nobody.
    #[serde(default)]
    #[garde(dive, custom(alone(&self.sessions)))]
    pub cluster: Option<Cluster>,
    /// How this instance comes to know the list of members where many share one list service. Absent: it asks at once and by
    /// itself.
    #[serde(default)]
    #[garde(dive)]
    pub start: Option<Bootstrap>,
}

/// The other instances.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Cluster {
    /// The cluster's name; datagrams of another one are foreign, whatever their key.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Where datagrams of the other instances arrive, over UDP.
    pub listen: SocketAddr,
    /// What the others send to, where that differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses at which others may be found; this one's own may be among them. The same on every instance: with `start` on
    /// the first of them to be up hold the watch of the list.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Files that each hold one secret of 16 bytes or more. The first one seals, all of them open.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// How many instances there are about.
    #[serde(default = "default_expected")]
    #[garde(range(min = 1, max = 4_096))]
    pub expected: u32,
}

impl Cluster {
    /// The address that the others send to.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// How an instance comes to know the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
#[serde(rename = "Start")]
pub struct Bootstrap {
    /// Requests a second that the list service bears from all gateways together.
    #[garde(range(min = 1, max = 1_000_000))]
    pub bears: u32,
    /// New connections a second that a member which has just started bears from all gateways together; it grows with its warmth.
    /// They take turns at such a member, and at one whose start nobody knows. Absent: they connect as they like.
    #[serde(default)]
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub opens: Option<u32>,
    /// The list service's name. Instances tell each other of the list only where this is the same; a new name says that its
    /// versions are counted anew.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub service: String,
    /// A file on a lasting disk that keeps the list. Without one an instance that starts knows what the platform tells it.
    #[serde(default)]
    pub list: Option<PathBuf>,
    /// How long an instance that has only kept word waits for better before it says that it is ready.
    #[serde(default = "default_kept_wait")]
    #[garde(custom(between("0ms", "1min")))]
    pub kept_wait: Duration,
    /// A list service that tells older lists alone for this long has lost its state and is believed.
    #[serde(default = "default_reset_after")]
    #[garde(custom(between("1s", "1h")))]
    pub reset_after: Duration,
}

fn default_kept_wait() -> Duration {
    Duration::from_millis(300)
}

fn default_reset_after() -> Duration {
    Duration::from_millis(60_000)
}

fn alone(sessions: &Option<Sessions>) -> impl FnOnce(&Option<Cluster>, &()) -> garde::Result + '_ {
    move |cluster, ()| {
        let twice = cluster.is_some() && sessions.is_some();
        (!twice)
            .then_some(())
            .ok_or_else(|| garde::Error::new("sessions name the cluster already"))
    }
}

/// Arrow Flight SQL for clients.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Flight {
    /// Where clients connect, over plain gRPC.
    pub listen: SocketAddr,
    /// Files that each hold one secret of 16 bytes or more: they seal tickets and prepared statements, so that any instance
    /// with the same ones serves them. The first one seals, all of them open.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// How long a ticket or a prepared statement is good.
    #[serde(default = "default_ticket")]
    #[garde(custom(between("1s", "24h")))]
    pub ticket: Duration,
    /// How long a request may take at most, and does where its client names no time.
    #[serde(default = "default_wait")]
    #[garde(custom(between("10ms", "30s")))]
    pub wait: Duration,
    /// Requests that may be open at once.
    #[serde(default = "default_requests")]
    #[garde(range(min = 1, max = 100_000))]
    pub requests: usize,
    /// Streams of one connection.
    #[serde(default = "default_streams")]
    #[garde(range(min = 1, max = 10_000))]
    pub streams: u32,
    /// Threads that serve clients and members that speak it.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 64))]
    pub threads: usize,
    /// Groups whose members speak Flight SQL at the addresses that discovery gives.
    #[serde(default)]
    #[garde(length(max = 4_096))]
    pub groups: Vec<u32>,
    /// Members that do, by the names that discovery gives.
    #[serde(default)]
    #[garde(length(max = 4_096), inner(length(min = 1, max = 256)))]
    pub members: Vec<String>,
    /// Bulk answers that pass through.
    #[serde(default)]
    #[garde(dive)]
    pub bulk: Bulk,
    /// How clients show who they are. Absent: they need not.
    #[serde(default)]
    pub auth: Option<Auth>,
}

/// How clients of Flight SQL show who they are. The file holds lines `name:secret`, each secret of 8 bytes or more.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Auth {
    /// By name and secret with each call, or once with a handshake, which gives a token for as long as a ticket is good.
    Basic(PathBuf),
    /// By one of the file's secrets as a token.
    Bearer(PathBuf),
}

/// Bulk answers: streams from members that speak Flight SQL to clients that do.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Bulk {
    /// Streams that may be open at once; more are UNAVAILABLE.
    #[garde(range(min = 1, max = 10_000))]
    pub streams: usize,
    /// Streams and requests on one connection to a member, before another is opened.
    #[garde(range(min = 1, max = 1_000))]
    pub per_channel: usize,
    /// KiB that one stream holds before its member is read no further.
    #[garde(range(min = 64, max = 65_536))]
    pub each_kib: usize,
    /// KiB that all of them hold together. Past it a stream is read on only once its reader has all that came before.
    #[garde(range(min = 256, max = 4_194_304))]
    pub all_kib: usize,
    /// KiB of one message; a larger one ends its stream.
    #[garde(range(min = 64, max = 262_144))]
    pub message_kib: usize,
    /// A reader that takes nothing for this long is ended.
    #[garde(custom(between("100ms", "10min")))]
    pub stall: Duration,
    /// A member that sends nothing for this long, while its stream is wanted, is given up.
    #[garde(custom(between("50ms", "10min")))]
    pub silence: Duration,
}

impl Default for Bulk {
    fn default() -> Self {
        Bulk {
            streams: 200,
            per_channel: 64,
            each_kib: 1_024,
            all_kib: 32_768,
            message_kib: 4_096,
            stall: Duration::from_millis(10_000),
            silence: Duration::from_millis(3_000),
        }
    }
}

fn default_ticket() -> Duration {
    Duration::from_millis(600_000)
}

fn default_wait() -> Duration {
    Duration::from_millis(3_000)
}

fn default_requests() -> usize {
    1_000
}

fn default_threads() -> usize {
    2
}

fn default_streams() -> u32 {
    100
}

/// How the log is written.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Lines for people, or JSON objects for programs.
    #[serde(default)]
    #[garde(skip)]
    pub format: LogFormat,
}

/// The log's form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "Format")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Sessions across instances.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Sessions {
    /// The cluster's name; datagrams of another one are foreign, whatever their key.
    #[garde(length(min = 1, max = 64))]
    pub cluster: String,
    /// Where datagrams of the other instances arrive, over UDP.
    pub listen: SocketAddr,
    /// What the others send to, where that differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses at which others may be found; this one's own may be among them.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Files that each hold one secret of 16 bytes or more. The first one seals, all of them open.
    #[garde(length(min = 1, max = 8))]
    pub keys: Vec<PathBuf>,
    /// The names of the gateways that keep marks: in a small deployment all of them, in a large one three to five. The same
    /// on every instance.
    #[garde(
        length(min = 1, max = 16),
        inner(length(min = 1, max = 64)),
        custom(distinct)
    )]
    pub keepers: Vec<String>,
    /// So many keepers hold each session's marks.
    #[serde(default = "two")]
    #[garde(range(min = 1, max = 5))]
    pub homes: usize,
    /// How long a pledge binds: a write waits this long at most for a keeper that is not there.
    #[serde(default = "default_lease")]
    #[garde(custom(between("50ms", "10s")))]
    pub lease: Duration,
    /// After this long every replica holds a write.
    #[serde(default = "default_horizon")]
    #[garde(custom(between("1s", "1h")), custom(leases(&self.lease)))]
    pub horizon: Duration,
    /// A message without an answer is sent again after this.
    #[serde(default = "default_resend")]
    #[garde(custom(between("1ms", "1s")))]
    pub resend: Duration,
    /// How long a read waits for a home's word.
    #[serde(default = "default_lookup")]
    #[garde(custom(between("1ms", "1s")))]
    pub lookup: Duration,
    /// Marks that a keeper holds at most, at about 60 bytes each.
    #[serde(default = "default_marks")]
    #[garde(range(min = 1_000, max = 100_000_000))]
    pub marks: usize,
    /// Own marks kept for keepers that join, at about 150 bytes each.
    #[serde(default = "default_own")]
    #[garde(range(min = 1_000, max = 10_000_000))]
    pub own_marks: usize,
    /// Writes and reads that may wait at once.
    #[serde(default = "default_waits")]
    #[garde(range(min = 16, max = 1_000_000))]
    pub waits: usize,
    /// A file on a lasting disk. Without one each restart of a keeper costs a horizon of caution.
    #[serde(default)]
    pub store: Option<PathBuf>,
    /// How many instances there are about.
    #[serde(default = "default_expected")]
    #[garde(range(min = 1, max = 4_096))]
    pub expected: u32,
}

impl Sessions {
    /// The other instances, as it names them.
    pub fn cluster(&self) -> Cluster {
        Cluster {
            name: self.cluster.clone(),
            listen: self.listen,
            advertise: self.advertise,
            seeds: self.seeds.clone(),
            keys: self.keys.clone(),
            expected: self.expected,
        }
    }
}

fn two() -> usize {
    2
}

fn default_lease() -> Duration {
    Duration::from_millis(800)
}

fn default_horizon() -> Duration {
    Duration::from_millis(60_000)
}

fn default_resend() -> Duration {
    Duration::from_millis(20)
}

fn default_lookup() -> Duration {
    Duration::from_millis(20)
}

fn default_marks() -> usize {
    1_000_000
}

fn default_own() -> usize {
    100_000
}

fn default_waits() -> usize {
    20_000
}

fn default_expected() -> u32 {
    8
}

type Check<T> = Box<dyn FnOnce(&T, &()) -> garde::Result>;

fn distinct(names: &[String], _: &()) -> garde::Result {
    let different: BTreeSet<_> = names.iter().collect();
    let twice = different.len() < names.len();
    (!twice)
        .then_some(())
        .ok_or_else(|| garde::Error::new("names one keeper twice"))
}

fn between(least: &'static str, most: &'static str) -> Check<Duration> {
    Box::new(move |duration, ()| {
        let fits = |text: &str, order: fn(&Duration, &Duration) -> bool| {
            text.parse::<Duration>()
                .is_ok_and(|end| order(duration, &end))
        };
        let inside = fits(least, |a, b| a >= b) && fits(most, |a, b| a <= b);
        inside
            .then_some(())
            .ok_or_else(|| garde::Error::new(format!("must be from {least} to {most}")))
    })
}

/// Danger: with a horizon of a few leases a pledge that is late now and then would cost more caution than it saves.
fn leases(lease: &Duration) -> Check<Duration> {
    let least = Duration::from_millis(lease.as_millis().saturating_mul(4));
    Box::new(move |horizon, ()| {
        let enough = *horizon >= least;
        enough
            .then_some(())
            .ok_or_else(|| garde::Error::new(format!("must be four leases at least, {least}")))
    })
}
