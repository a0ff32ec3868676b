//! Helpers of the gateway's tests: a configuration, client messages, and a harness that drives the reducer without I/O.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod fixtures;

use stackgw_gateway::config::Config;
use stackgw_gateway::discovery::{parse_endpoint_list, ListUpdate};
use stackgw_gateway::pg::{write, Frame};
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input, Reducer};
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

pub const START: Time = 1_800_000_000 * SECOND;

/// One entry of an endpoint list. The member's id and port are derived from its number.
pub fn entry(n: u32, phase: &str, role: &str) -> String {
    format!(
        r#"{{"id":"m{n}","host_port":"127.0.0.1:{}","locality":"room","flavor":"f","cell":2,
        "phase":"{phase}","size":1.0,"up_since_ms":0,"role":"{role}"}}"#,
        7000 + n
    )
}

pub fn list_text(revision: u64, complete: bool, entries: &[String]) -> String {
    let members = entries.join(",").replace('\n', " ");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

pub fn list(revision: u64, complete: bool, entries: &[String]) -> ListUpdate {
    parse_endpoint_list(list_text(revision, complete, entries).as_bytes()).expect("a valid list")
}

/// A configuration with two classes of reads, `look` (bounded staleness) and `mine` (session consistency), and one of writes,
/// `buy`.
pub fn config_text(known: &str) -> String {
    let class = |name: &str, effect: &str, deadline: Span| {
        format!(
            r#"{{"Name":"{name}","Effect":"{effect}","Group":"all","AimNs":{},"DeadlineNs":{deadline},
            "DedupWindowNs":0,"LateWorth":0.5,"Worth":1.0}}"#,
            200 * MS
        )
    };
    let classes = [
        class("look", "retryable", SECOND),
        class("mine", "retryable", SECOND),
        class("buy", "fragile", 2 * SECOND),
    ];
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},
        "peer_listen":null,"peers":["127.0.0.1:7900","127.0.0.1:7901"],"peers_all":"127.0.0.1:7999",
        "known":{known},
        "settings":{{"Classes":[{}],"FleetSize":2,"Me":0,"Zone":0,"Zones":["room"],"QuantumNs":5000000,
        "MembershipMode":"automatic","Clients":{{"MarksRetry":false}},
        "Domain":{{"Behind":"silent","CatchUpWaitNs":0,"CommitWaits":true,"CountedFromNs":0,
          "NeedsByClass":["recent","own_writes","update"],"RoleListed":"delayed","SessionMarks":"client",
          "StalenessBoundNs":[{SECOND},0,0],"Stamps":true}},
        "Limits":{{"Cancel":true,"ConnIdleNs":{},"DialTimeoutNs":{},"MaxAttempts":5,"MaxOpen":1000,
          "MaxRetryAfterNs":{SECOND},"MayTell":true,"Probes":true,"RetryAfter":true,"SecondCopies":false}},
        "Obligations":{{"AnswerSlackNs":{},"FallMultiple":4.0,"FallNs":{SECOND},"StartCapacity":0.25,
          "StopSendingWithinNs":{SECOND},"WarmWithinNs":{}}},
        "Prices":{{"Probe":0.05,"CrossZone":0.0,"Waste":0.04,"LateFail":0.1}},
        "Stats":{{"How":"piggyback","Fields":["x0","x1"]}}}}}}"#,
        classes.join(","),
        20 * SECOND,
        250 * MS,
        20 * MS,
        10 * SECOND,
    )
}

pub fn config(known: &str) -> Config {
    Config::from_text(&config_text(known), |_| None).expect("a valid configuration")
}

/// The endpoint list of a primary and two replicas.
pub fn three_members() -> String {
    list_text(
        1,
        true,
        &[
            entry(1, "ready", "leader"),
            entry(2, "ready", "follower"),
            entry(3, "ready", "follower"),
        ],
    )
}

pub fn frame(bytes: Vec<u8>) -> Frame {
    Frame {
        kind: bytes[0],
        bytes,
    }
}

pub fn query(text: &str) -> Frame {
    let mut bytes = Vec::new();
    write::query(&mut bytes, text);
    frame(bytes)
}

/// A request id that is unique in this process.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("a{:x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn read_query(wait_ms: u64) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = 'k1' /* id={id},c=look,d={wait_ms},cluster=2 */"
    ))
}

pub fn write_query(wait_ms: u64) -> Frame {
    let id = new_id();
    query(&format!(
        "INSERT INTO state (uid, val) VALUES ('k1', '\\x9f03') RETURNING val /* id={id},c=buy,d={wait_ms},cluster=2 */"
    ))
}

pub fn startup() -> Frame {
    let mut bytes = Vec::new();
    write::startup(&mut bytes, "client", "core");
    Frame { kind: 0, bytes }
}

pub fn message(kind: u8, body: &[u8]) -> Frame {
    let mut bytes = vec![kind];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    Frame { kind, bytes }
}

pub fn status(name: &str, value: &str) -> Frame {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The three messages of a row: its description, its data and the command completion.
pub fn row(value: &[u8]) -> Vec<Frame> {
    let mut description = vec![0, 1];
    description.extend(b"val\0");
    description.extend([0; 18]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    vec![
        message(b'T', &description),
        message(b'D', &data),
        message(b'C', b"SELECT 1\0"),
    ]
}

pub fn ready() -> Frame {
    message(b'Z', b"I")
}

pub fn error(code: &str) -> Frame {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// The SQLSTATE of an error reply, or `None` if the reply is not an error.
pub fn sqlstate(bytes: &[u8]) -> Option<String> {
    (bytes.first() == Some(&b'E')).then(|| {
        let field = bytes[5..]
            .split(|b| *b == 0)
            .find(|f| f.first() == Some(&b'C'))
            .expect("an error has a code");
        String::from_utf8_lossy(&field[1..]).into_owned()
    })
}

/// A reducer with a clock that only the test advances. By default writes complete at once.
pub struct ReducerHarness {
    pub reducer: Reducer,
    pub now: Time,
    pub effects: Vec<Effect>,
    /// Writes to clients do not complete.
    pub client_writes_blocked: bool,
    /// Clients that are checked have sent the rest of their messages.
    pub is_behind_with_reading: bool,
    /// Writes to members do not complete.
    pub member_writes_blocked: bool,
    /// Connections to members are established at once.
    pub auto_connect: bool,
    /// Health checks are answered at once, with the current time as position.
    pub answer_health_checks: bool,
    /// Connections whose health check is not answered because of `answer_health_checks`.
    pub pending_health_checks: Vec<ConnectionId>,
    /// The port of the member that each connection leads to.
    pub member_ports: BTreeMap<ConnectionId, u16>,
}

impl ReducerHarness {
    pub fn new(known: &str) -> Self {
        Self::with(config(known))
    }

    /// The harness's clock is that of the members.
    pub fn with(mut config: Config) -> Self {
        config.limits.clock_is_synchronized = true;
        Self::with_unknown_clock(config)
    }

    /// As [`ReducerHarness::with`], where the reducer does not know how its clock differs from the members'.
    pub fn with_unknown_clock(config: Config) -> Self {
        let mut harness = ReducerHarness {
            reducer: Reducer::new(config),
            now: START,
            effects: Vec::new(),
            client_writes_blocked: false,
            is_behind_with_reading: false,
            member_writes_blocked: false,
            auto_connect: true,
            answer_health_checks: true,
            pending_health_checks: Vec::new(),
            member_ports: BTreeMap::new(),
        };
        harness.input(Input::Start);
        harness
    }

    /// A member's response to a health check, with the current time as position.
    pub fn health_check_response(&self) -> Vec<Frame> {
        let text = format!(
            "x0={}.{:03},x1=0",
            self.now / SECOND,
            self.now % SECOND / MS
        );
        [row(text.as_bytes()), vec![ready()]].concat()
    }

    /// Passes an input, and the inputs that follow from its effects at once, to the reducer. Returns all effects.
    pub fn input(&mut self, input: Input) -> Vec<Effect> {
        let mut inputs = VecDeque::from([input]);
        let first_effect = self.effects.len();
        while let Some(input) = inputs.pop_front() {
            let mut effects = Vec::new();
            self.reducer.handle(self.now, input, &mut effects);
            for effect in &effects {
                if let Effect::MemberConnect(conn, address) = effect {
                    self.member_ports.insert(*conn, address.port());
                }
                match effect {
                    Effect::ClientWrite { client, .. } if !self.client_writes_blocked => {
                        inputs.push_back(Input::ClientFlushed(*client))
                    }
                    Effect::ClientCheckStalled(client, reason) if !self.is_behind_with_reading => {
                        inputs.push_back(Input::ClientStalled(*client, *reason))
                    }
                    Effect::MemberConnect(conn, _) if self.auto_connect => {
                        inputs.push_back(Input::MemberConnected(*conn));
                        inputs.push_back(Input::MemberFlushed(*conn));
                        inputs.push_back(Input::MemberFrame(*conn, message(b'R', &[0; 4])));
                        inputs.push_back(Input::MemberFrame(*conn, ready()));
                    }
                    Effect::MemberWrite(conn, bytes)
                        if !self.member_writes_blocked && bytes[0] == b'Q' =>
                    {
                        inputs.push_back(Input::MemberFlushed(*conn));
                        if self.answer_health_checks && bytes[5..].starts_with(b"SHOW") {
                            inputs.extend(
                                self.health_check_response()
                                    .into_iter()
                                    .map(|f| Input::MemberFrame(*conn, f)),
                            );
                        } else if bytes[5..].starts_with(b"SHOW") {
                            self.pending_health_checks.push(*conn);
                        }
                    }
                    _ => {}
                }
            }
            self.effects.append(&mut effects);
        }
        self.effects[first_effect..].to_vec()
    }

    /// Advances the clock and reports each timer when it is due.
    pub fn advance(&mut self, span: Span) -> Vec<Effect> {
        let (until, mut effects) = (self.now + span, Vec::new());
        while let Some(due) = self.reducer.next_due().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            effects.extend(self.input(Input::TimerDue));
        }
        self.now = until;
        effects
    }

    /// Connects a client and sends its startup message.
    pub fn client(&mut self, n: u64) -> ClientId {
        let id = ClientId(n);
        self.input(Input::ClientConnected(id));
        self.input(Input::ClientFrame(id, startup()));
        id
    }

    /// Sends a client's message, which the reducer must accept.
    pub fn send(&mut self, client: ClientId, frame: Frame) -> Vec<Effect> {
        assert!(
            self.reducer.accepts_frame(client),
            "the client's message is not accepted"
        );
        self.input(Input::ClientFrame(client, frame))
    }

    pub fn reply(&mut self, conn: ConnectionId, frames: Vec<Frame>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for frame in frames {
            effects.extend(self.input(Input::MemberFrame(conn, frame)));
        }
        effects
    }

    /// Sends a replica's complete response, with its role and position.
    pub fn serve(&mut self, conn: ConnectionId, value: &[u8]) -> Vec<Effect> {
        let mut frames = row(value);
        let position = (self.now / MS).to_string();
        frames.extend([
            status("node_role", "follower"),
            status("replay_position", &position),
            ready(),
        ]);
        self.reply(conn, frames)
    }

    /// The statement sent on a connection, at once or when the connection is established.
    pub fn sent_statement(&mut self, conn: ConnectionId, mut effects: Vec<Effect>) -> String {
        if statements(&effects).is_empty() {
            effects = self.reply(conn, vec![message(b'R', &[0; 4]), ready()]);
        }
        statements(&effects)
            .into_iter()
            .map(|(_, text)| text)
            .collect()
    }

    pub fn disconnect(&mut self, conn: ConnectionId) -> Vec<Effect> {
        self.input(Input::MemberClosed(conn, CloseReason::Disconnected))
    }
}

/// The bytes of each write to a client.
pub fn client_replies(effects: &[Effect]) -> Vec<Vec<u8>> {
    let written = effects.iter().filter_map(|e| match e {
        Effect::ClientWrite { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    written.collect()
}

/// Statements written to members.
pub fn statements(effects: &[Effect]) -> Vec<(ConnectionId, String)> {
    let written = effects.iter().filter_map(|e| match e {
        Effect::MemberWrite(conn, bytes) if bytes[0] == b'Q' => {
            let text = String::from_utf8_lossy(&bytes[5..bytes.len() - 1]).into_owned();
            (!text.starts_with("SHOW")).then_some((*conn, text))
        }
        _ => None,
    });
    written.collect()
}

/// Connections opened to members, each with the member's number.
pub fn opened(effects: &[Effect]) -> Vec<(ConnectionId, u32)> {
    let opened = effects.iter().filter_map(|e| match e {
        Effect::MemberConnect(conn, address) => Some((*conn, u32::from(address.port()) - 7000)),
        _ => None,
    });
    opened.collect()
}

/// Connections to members that were closed.
pub fn closed(effects: &[Effect]) -> Vec<ConnectionId> {
    let closed = effects.iter().filter_map(|e| match e {
        Effect::MemberClose(conn) => Some(*conn),
        _ => None,
    });
    closed.collect()
}

/// A harness with one client, whose request is in flight on the returned connection.
pub fn request_in_flight(frame: Frame) -> (ReducerHarness, ClientId, ConnectionId) {
    let mut harness = ReducerHarness::new(&three_members());
    let client = harness.client(1);
    let effects = harness.send(client, frame);
    let sent = statements(&effects);
    let conn = sent.first().map(|(conn, _)| *conn);
    let conn = conn.or_else(|| {
        statements(&harness.advance(400 * MS))
            .first()
            .map(|(conn, _)| *conn)
    });
    (harness, client, conn.expect("an attempt was sent"))
}
