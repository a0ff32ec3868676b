//! What the gateway's tests share: a configuration, client messages, and a reducer driven by hand.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod fixtures;

use stackgw_gateway::config::Config;
use stackgw_gateway::discovery::{parse_endpoint_list, ListUpdate};
use stackgw_gateway::pg::{write, Frame};
use stackgw_gateway::reducer::{ClientId, CloseReason, ConnectionId, Effect, Input, Reducer};
use stackgw_router::api::{Span, Time, MS, SECOND};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};

pub const START: Time = 1_800_000_000 * SECOND;

/// One entry of a list; the member's number makes its name and address.
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
    parse_endpoint_list(list_text(revision, complete, entries).as_bytes()).expect("a list")
}

/// A configuration with two reading classes, `look` (bounded) and `mine` (session), and one writing, `buy`.
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
    Config::from_text(&config_text(known), |_| None).expect("a configuration")
}

/// A primary and two replicas, as a gateway is told them.
pub fn three() -> String {
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

/// An id that no other request has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("a{:x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn read(wait_ms: u64) -> Frame {
    let id = new_id();
    query(&format!(
        "SELECT val FROM state WHERE uid = 'k1' /* id={id},c=look,d={wait_ms},cluster=2 */"
    ))
}

pub fn buy(wait_ms: u64) -> Frame {
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

/// A row's three messages.
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

/// The SQLSTATE of an error that was written to a client.
pub fn sqlstate(bytes: &[u8]) -> Option<String> {
    (bytes.first() == Some(&b'E')).then(|| {
        let field = bytes[5..]
            .split(|b| *b == 0)
            .find(|f| f.first() == Some(&b'C'))
            .expect("a code");
        String::from_utf8_lossy(&field[1..]).into_owned()
    })
}

/// A reducer with a clock that only the test moves; writes are carried out at once.
pub struct Rig {
    pub reducer: Reducer,
    pub now: Time,
    pub effects: Vec<Effect>,
    /// Writes stay unfinished.
    pub clients_stuck: bool,
    pub members_stuck: bool,
    /// Connections to members come up by themselves.
    pub connects: bool,
    /// Probes are answered by themselves, with a position of this moment.
    pub probes: bool,
}

impl Rig {
    pub fn new(known: &str) -> Self {
        Self::with(config(known))
    }

    pub fn with(config: Config) -> Self {
        let mut rig = Rig {
            reducer: Reducer::new(config),
            now: START,
            effects: Vec::new(),
            clients_stuck: false,
            members_stuck: false,
            connects: true,
            probes: true,
        };
        rig.input(Input::Start);
        rig
    }

    /// What a member says of itself when it is probed.
    pub fn report(&self) -> Vec<Frame> {
        let text = format!(
            "x0={}.{:03},x1=0",
            self.now / SECOND,
            self.now % SECOND / MS
        );
        [row(text.as_bytes()), vec![ready()]].concat()
    }

    /// Hands over an input and what follows from it at once; gives the effects.
    pub fn input(&mut self, input: Input) -> Vec<Effect> {
        let mut inputs = VecDeque::from([input]);
        let from = self.effects.len();
        while let Some(input) = inputs.pop_front() {
            let mut effects = Vec::new();
            self.reducer.handle(self.now, input, &mut effects);
            for effect in &effects {
                match effect {
                    Effect::ClientWrite { client, .. } if !self.clients_stuck => {
                        inputs.push_back(Input::ClientFlushed(*client))
                    }
                    Effect::MemberConnect(conn, _) if self.connects => {
                        inputs.push_back(Input::MemberConnected(*conn));
                        inputs.push_back(Input::MemberFlushed(*conn));
                        inputs.push_back(Input::MemberFrame(*conn, message(b'R', &[0; 4])));
                        inputs.push_back(Input::MemberFrame(*conn, ready()));
                    }
                    Effect::MemberWrite(conn, bytes) if !self.members_stuck && bytes[0] == b'Q' => {
                        inputs.push_back(Input::MemberFlushed(*conn));
                        if self.probes && bytes[5..].starts_with(b"SHOW") {
                            inputs.extend(
                                self.report()
                                    .into_iter()
                                    .map(|f| Input::MemberFrame(*conn, f)),
                            );
                        }
                    }
                    _ => {}
                }
            }
            self.effects.append(&mut effects);
        }
        self.effects[from..].to_vec()
    }

    /// Moves the clock on, timer by timer.
    pub fn pass(&mut self, span: Span) -> Vec<Effect> {
        let (until, mut effects) = (self.now + span, Vec::new());
        while let Some(due) = self.reducer.next_due().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            effects.extend(self.input(Input::TimerDue));
        }
        self.now = until;
        effects
    }

    pub fn client(&mut self, n: u64) -> ClientId {
        let id = ClientId(n);
        self.input(Input::ClientConnected(id));
        self.input(Input::ClientFrame(id, startup()));
        id
    }

    pub fn ask(&mut self, client: ClientId, frame: Frame) -> Vec<Effect> {
        assert!(
            self.reducer.accepts_frame(client),
            "the client's message is not taken"
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

    /// A member's whole answer, with its role and position.
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

    /// The statement that a connection carries, now or once it is up.
    pub fn written(&mut self, conn: ConnectionId, mut effects: Vec<Effect>) -> String {
        if statements(&effects).is_empty() {
            effects = self.reply(conn, vec![message(b'R', &[0; 4]), ready()]);
        }
        statements(&effects)
            .into_iter()
            .map(|(_, text)| text)
            .collect()
    }

    pub fn lose(&mut self, conn: ConnectionId) -> Vec<Effect> {
        self.input(Input::MemberClosed(conn, CloseReason::Disconnected))
    }
}

/// What was written to a client.
pub fn answers(effects: &[Effect]) -> Vec<Vec<u8>> {
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

/// Connections opened to members.
pub fn opened(effects: &[Effect]) -> Vec<(ConnectionId, u32)> {
    let opened = effects.iter().filter_map(|e| match e {
        Effect::MemberConnect(conn, address) => Some((*conn, u32::from(address.port()) - 7000)),
        _ => None,
    });
    opened.collect()
}

/// Connections closed to members.
pub fn closed(effects: &[Effect]) -> Vec<ConnectionId> {
    let closed = effects.iter().filter_map(|e| match e {
        Effect::MemberClose(conn) => Some(*conn),
        _ => None,
    });
    closed.collect()
}

/// A rig with one client whose request is out on the connection that is returned.
pub fn request_in_flight(frame: Frame) -> (Rig, ClientId, ConnectionId) {
    let mut rig = Rig::new(&three());
    let client = rig.client(1);
    let effects = rig.ask(client, frame);
    let sent = statements(&effects);
    let conn = sent.first().map(|(conn, _)| *conn);
    let conn = conn.or_else(|| {
        statements(&rig.pass(400 * MS))
            .first()
            .map(|(conn, _)| *conn)
    });
    (rig, client, conn.expect("an attempt"))
}
