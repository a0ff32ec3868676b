//! What the platform tells a gateway at start: `ROUTER_CONFIG` names a JSON document, the other variables override
//! its fields. Each error is one plain line that names the variable or field.

use crate::discovery::{self, ListUpdate};
use crate::limits::{Limits, Platform, MIN_DESCRIPTORS};
use serde_json::Value;
use stackgw_cluster::{Key, Keyring};
use stackgw_settings::PlatformSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A gateway's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The agent that has the list of members.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Where other gateways' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each gateway of the tier, this one included.
    pub peers: Vec<SocketAddr>,
    /// Reaches them all.
    pub peers_all: Option<SocketAddr>,
    /// The list as this gateway last had it.
    pub initial_endpoints: Option<ListUpdate>,
    /// The settings, for the router and for its host.
    pub settings: PlatformSettings,
    /// Every size, count and time.
    pub limits: Limits,
    /// The file that it was read from.
    pub file: Option<PathBuf>,
    /// The operator's file; without one everything in it is off.
    pub operator: Operator,
    /// What the operator's file says of sessions across instances, with the keys that it names.
    pub session_sharing: Option<SessionSharingConfig>,
    /// The other instances, as either part of the operator's file names them.
    pub cluster: Option<ClusterConfig>,
    /// How this instance comes to know the list, where not as the platform has it.
    pub bootstrap: Option<stackgw_config::Bootstrap>,
}

/// The operator's file as far as a gateway has it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Operator {
    /// Where it is.
    pub file: Option<PathBuf>,
    /// The log's form.
    pub format: stackgw_config::LogFormat,
    /// The local socket.
    pub control: Option<PathBuf>,
    /// Arrow Flight SQL, with the keys that the file names.
    pub flight: Option<(stackgw_config::Flight, Keyring)>,
}

/// Sessions across instances: the file's part, and the keys that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSharingConfig {
    /// The file's part.
    pub options: stackgw_config::Sessions,
    /// The keys.
    pub keyring: Keyring,
}

/// The other instances, and the keys that they share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterConfig {
    /// The file's part.
    pub options: stackgw_config::Cluster,
    /// The keys.
    pub keyring: Keyring,
}

impl From<&SessionSharingConfig> for ClusterConfig {
    fn from(session_sharing: &SessionSharingConfig) -> Self {
        ClusterConfig {
            options: session_sharing.options.cluster(),
            keyring: session_sharing.keyring.clone(),
        }
    }
}

/// A secret is smaller than this.
const KEY_MOST: u64 = 4 << 10;

/// The keys of a cluster from the files that hold their secrets.
fn read_keyring(field: &str, cluster: &str, files: &[PathBuf]) -> Result<Keyring, String> {
    let mut keys = Vec::new();
    for path in files {
        let wrong = |why: &dyn std::fmt::Display| format!("{field}: {}: {why}", path.display());
        let about = std::fs::metadata(path).map_err(|e| wrong(&e))?;
        if !about.is_file() || about.len() > KEY_MOST {
            return Err(wrong(&"no plain file, or too large a one"));
        }
        let secret = std::fs::read(path).map_err(|e| wrong(&e))?;
        let key = Key::new(cluster, secret.trim_ascii());
        keys.push(key.ok_or_else(|| wrong(&"holds fewer than 16 bytes"))?);
    }
    Keyring::new(keys).ok_or_else(|| format!("{field}: names no file"))
}

impl SessionSharingConfig {
    fn read(file: stackgw_config::Sessions) -> Result<Self, String> {
        let keyring = read_keyring("sessions.keys", &file.cluster, &file.keys)?;
        Ok(SessionSharingConfig {
            options: file,
            keyring,
        })
    }
}

/// Reads the file of a running gateway anew. What the environment said holds for the start alone: where both name
/// something the file now wins, and the environment only stands in for what it leaves out.
#[derive(Debug, Clone)]
pub struct Reread {
    file: Option<PathBuf>,
    operator: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
}

impl Reread {
    /// The configuration as the file has it now.
    pub fn read(&self) -> Result<Config, String> {
        let file = self.file.as_deref().ok_or("no file was named at start")?;
        let started = |env: &str| match env {
            "ROUTER_NAME" => Some(self.name.clone()),
            "ROUTER_LISTEN" => Some(self.listen.to_string()),
            "ROUTER_DISCOVERY" => Some(self.discovery.to_string()),
            _ => None,
        };
        let config = Config::read(&text_of(file)?, started, true)?;
        match &self.operator {
            Some(operator) => config.with_operator(operator),
            None => Ok(config),
        }
    }
}

/// A configuration is smaller than this.
const FILE_MOST: u64 = 16 << 20;

/// The text of a file. Danger: a pipe in its place would hold up the whole gateway.
fn text_of(file: &Path) -> Result<String, String> {
    let wrong = |e: &dyn std::fmt::Display| format!("ROUTER_CONFIG: {}: {e}", file.display());
    let about = std::fs::metadata(file).map_err(|e| wrong(&e))?;
    if !about.is_file() || about.len() > FILE_MOST {
        return Err(wrong(&"no plain file, or too large a one"));
    }
    std::fs::read_to_string(file).map_err(|e| wrong(&e))
}

impl Config {
    /// Reads the environment and the file that it names.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = var("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
        let file = PathBuf::from(path);
        let config = Self::from_text(&text_of(&file)?, var)?;
        Ok(Config {
            file: Some(file),
            ..config
        })
    }

    /// The same with what the operator's file turns on.
    pub fn with_operator(self, file: &Path) -> Result<Self, String> {
        let read = stackgw_config::read(file).map_err(|problem| problem.to_string())?;
        let named = |why| format!("{}: {why}", file.display());
        let session_sharing = read
            .sessions
            .map(SessionSharingConfig::read)
            .transpose()
            .map_err(named)?;
        let cluster = match (read.cluster, &session_sharing) {
            (Some(file), _) => {
                let keyring =
                    read_keyring("cluster.keys", &file.name, &file.keys).map_err(named)?;
                Some(ClusterConfig {
                    options: file,
                    keyring,
                })
            }
            (None, session_sharing) => session_sharing.as_ref().map(ClusterConfig::from),
        };
        let flight = match read.flight {
            Some(flight) => Some((
                read_keyring("flight.keys", "flight", &flight.keys).map_err(named)?,
                flight,
            )),
            None => None,
        };
        let operator = Operator {
            file: Some(file.to_owned()),
            format: read.log.format,
            control: read.control,
            flight: flight.map(|(keyring, flight)| (flight, keyring)),
        };
        Ok(Config {
            operator,
            session_sharing,
            cluster: cluster,
            bootstrap: read.start,
            ..self
        })
    }

    /// Reads the document's text; variables override its fields.
    pub fn from_text(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::read(text, var, false)
    }

    /// What reads this configuration's file anew.
    pub fn reread(&self) -> Reread {
        let Config {
            file,
            name,
            listen,
            discovery,
            ..
        } = self;
        let operator = self.operator.file.clone();
        Reread {
            file: file.clone(),
            operator,
            name: name.clone(),
            listen: *listen,
            discovery: *discovery,
        }
    }

    fn read(
        text: &str,
        var: impl Fn(&str) -> Option<String>,
        file_wins: bool,
    ) -> Result<Self, String> {
        let doc: Value =
            serde_json::from_str(text).map_err(|e| format!("ROUTER_CONFIG: no JSON: {e}"))?;
        let word = |key: &str, env: &str| -> Result<String, String> {
            let held = || doc.get(key).and_then(Value::as_str).map(str::to_owned);
            let word = if file_wins {
                held().or_else(|| var(env))
            } else {
                var(env).or_else(held)
            };
            word.ok_or_else(|| format!("{key} is no text and {env} is not set"))
        };
        let address = |key: &str, text: &str| -> Result<SocketAddr, String> {
            text.parse()
                .map_err(|_| format!("{key}: '{text}' is no address and port"))
        };
        let optional = |key: &str| match doc.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => {
                let text = value.as_str().ok_or_else(|| format!("{key} is no text"))?;
                address(key, text).map(Some)
            }
        };
        let peers = match doc.get("peers") {
            None | Some(Value::Null) => Vec::new(),
            Some(value) => {
                let list = value.as_array().ok_or("peers is no list")?;
                let one =
                    |v: &Value| address("peers", v.as_str().ok_or("peers holds what is no text")?);
                list.iter().map(one).collect::<Result<_, String>>()?
            }
        };
        let given = doc.get("limits").ok_or("limits is missing")?;
        let count = |key: &str| {
            let n = given.get(key).and_then(Value::as_f64).filter(|n| *n >= 1.0);
            n.map(|n| n as usize)
                .ok_or_else(|| format!("limits.{key} is no positive number"))
        };
        let platform = Platform {
            memory_mb: count("memory_mb")?,
            sockets: count("sockets")?,
        };
        if platform.sockets < MIN_DESCRIPTORS {
            return Err(format!(
                "limits.sockets: {} are fewer than {MIN_DESCRIPTORS}",
                platform.sockets
            ));
        }
        let settings = doc.get("settings").ok_or("settings is missing")?;
        let settings =
            PlatformSettings::from_json(settings).map_err(|e| format!("settings: {e}"))?;
        let known = match doc.get("known") {
            None | Some(Value::Null) => None,
            Some(list) => Some(discovery::endpoint_list(list).map_err(|e| format!("known: {e}"))?),
        };
        Ok(Config {
            name: word("name", "ROUTER_NAME")?,
            listen: address("listen", &word("listen", "ROUTER_LISTEN")?)?,
            discovery: address("discovery", &word("discovery", "ROUTER_DISCOVERY")?)?,
            seed: seed(doc.get("seed").unwrap_or(&Value::Null))?,
            peer_listen: optional("peer_listen")?,
            peers,
            peers_all: optional("peers_all")?,
            initial_endpoints: known,
            limits: Limits::new(platform, &settings),
            settings,
            file: None,
            operator: Operator::default(),
            session_sharing: None,
            cluster: None,
            bootstrap: None,
        })
    }
}

fn seed(value: &Value) -> Result<u64, String> {
    let text = value
        .as_str()
        .map(str::to_owned)
        .or_else(|| value.as_u64().map(|n| format!("{n:x}")));
    let text = text.ok_or("seed is no text")?;
    u64::from_str_radix(&text, 16).map_err(|_| format!("seed: '{text}' is no hexadecimal number"))
}
