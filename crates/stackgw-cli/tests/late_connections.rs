//! A member whose connection comes up late, on real sockets: the test holds the connection's startup until the member has told that
//! it is no longer the primary.

mod common;

use common::gateway_common::{
    config_text, entry, error, list_text, message, new_id, query, ready, row, status,
};
use common::gateway_process::GatewayProcess;
use common::pg_connection::{frame_kinds, insert, PgConnection, Side, TIMEOUT};
use common::scripted_list_service::start_list_service;
use stackgw_gateway::pg::Frame;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// The key of the statement whose answer the member holds until it is released.
const HELD_KEY: &str = "held";

/// Blocks threads while it is closed.
#[derive(Default)]
struct Gate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn set_closed(&self, is_closed: bool) {
        *self.is_closed.lock().expect("no panic") = is_closed;
        self.opened.notify_all();
    }

    fn is_closed(&self) -> bool {
        *self.is_closed.lock().expect("no panic")
    }

    fn wait(&self) {
        let is_closed = self.is_closed.lock().expect("no panic");
        let waited = self
            .opened
            .wait_timeout_while(is_closed, TIMEOUT, |is_closed| *is_closed);
        drop(waited.expect("no panic"));
    }
}

/// What the test controls of the member, and what it learns from it.
struct Control {
    is_primary: AtomicBool,
    startups: Gate,
    held_answer: Gate,
    /// Connections without a statement in progress, by the gateway's port.
    idle: Mutex<BTreeMap<u16, TcpStream>>,
    events: Sender<Event>,
}

#[derive(Debug, PartialEq, Eq)]
enum Event {
    StartupHeld,
    Statement(String),
}

impl Control {
    /// Closes idle connections, so that the next statement needs a new one, and holds the startup of that.
    fn hold_next_connection(&self) {
        self.startups.set_closed(true);
        for socket in self.idle.lock().expect("no panic").values() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// Starts the member; returns its port.
fn start_controlled_member(control: Arc<Control>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let control = control.clone();
            std::thread::spawn(move || serve(&control, socket));
        }
    });
    port
}

fn serve(control: &Control, socket: TcpStream) {
    let peer = socket.peer_addr().expect("a peer").port();
    let idle = socket.try_clone().expect("a descriptor");
    let mut connection = PgConnection::new(socket, Side::Server);
    while let Some(frame) = connection.next() {
        control.idle.lock().expect("no panic").remove(&peer);
        if frame.kind == 0 {
            if control.startups.is_closed() {
                let _ = control.events.send(Event::StartupHeld);
                control.startups.wait();
            }
            connection.write(&[message(b'R', &[0; 4]), ready()]);
        } else {
            let text = String::from_utf8_lossy(frame.body()).into_owned();
            connection.write(&answer(control, text));
        }
        let idle = idle.try_clone().expect("a descriptor");
        control.idle.lock().expect("no panic").insert(peer, idle);
    }
    control.idle.lock().expect("no panic").remove(&peer);
}

fn answer(control: &Control, text: String) -> Vec<Frame> {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    if text.starts_with("SHOW") {
        let is_primary = u8::from(control.is_primary.load(Ordering::Relaxed));
        let report = format!("x0={}.{:03},x1={is_primary}", now_ms / 1000, now_ms % 1000);
        return [row(report.as_bytes()), vec![ready()]].concat();
    }
    let is_held = text.contains(&format!("'{HELD_KEY}'"));
    let _ = control.events.send(Event::Statement(text));
    if is_held {
        control.held_answer.wait();
    }
    let role = if control.is_primary.load(Ordering::Relaxed) {
        "leader"
    } else {
        "follower"
    };
    let tail = vec![
        status("node_role", role),
        status("replay_position", &now_ms.to_string()),
        ready(),
    ];
    [row(b"x"), tail].concat()
}

/// Starts a replica that rejects writes and whose position is never known.
fn start_silent_replica() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut connection = PgConnection::new(socket, Side::Server);
                while let Some(frame) = connection.next() {
                    let reply = match frame.kind {
                        0 => vec![message(b'R', &[0; 4]), ready()],
                        _ => vec![error("25006"), ready()],
                    };
                    connection.write(&reply);
                }
            });
        }
    });
    port
}

/// A gateway in front of the controlled member, the primary, and a replica. Reads of the class `look` need the latest data.
fn start_gateway(control: &Arc<Control>) -> GatewayProcess {
    let ports = [
        start_controlled_member(control.clone()),
        start_silent_replica(),
    ];
    let entries = [entry(1, "ready", "leader"), entry(2, "ready", "follower")];
    let entries: Vec<String> = entries
        .iter()
        .zip([7001, 7002].iter().zip(ports))
        .map(|(entry, (old, port))| entry.replace(&format!(":{old}\""), &format!(":{port}\"")))
        .collect();
    let config = config_text("null")
        .replacen("[\"recent\",", "[\"latest\",", 1)
        .replacen(
            "\"DialTimeoutNs\":250000000",
            "\"DialTimeoutNs\":20000000000",
            1,
        );
    let lists = start_list_service(list_text(1, true, &entries));
    GatewayProcess::start_with_config("late-connection", lists, &config)
}

fn wait_for(events: &Receiver<Event>, matches: impl Fn(&Event) -> bool) {
    loop {
        let event = events.recv_timeout(TIMEOUT).expect("the event");
        if matches(&event) {
            return;
        }
    }
}

/// Regression: a read that waited for its connection to the primary was written to it although it had denied the role meanwhile.
#[test]
fn a_latest_read_is_not_written_to_a_member_that_denied_the_primary_role_meanwhile() {
    let (events_sender, events) = channel();
    let control = Arc::new(Control {
        is_primary: AtomicBool::new(true),
        startups: Gate::default(),
        held_answer: Gate::default(),
        idle: Mutex::default(),
        events: events_sender,
    });
    let gateway = start_gateway(&control);
    let [mut writer, mut holder, mut reader] = [(); 3].map(|()| gateway.ready_client());
    writer.write(&[insert("claim")]);
    assert_eq!(
        frame_kinds(&writer.read_reply()),
        "TDCZ",
        "the primary claims its role"
    );

    control.held_answer.set_closed(true);
    holder.write(&[insert(HELD_KEY)]);
    wait_for(
        &events,
        |event| matches!(event, Event::Statement(text) if text.contains(HELD_KEY)),
    );
    control.hold_next_connection();
    let comment = format!("/* id={},c=look,d=1000,cluster=2 */", new_id());
    reader.write(&[query(&format!(
        "SELECT val FROM state WHERE uid = 'late' {comment}"
    ))]);
    wait_for(&events, |event| *event == Event::StartupHeld);

    control.is_primary.store(false, Ordering::Relaxed);
    control.held_answer.set_closed(false);
    assert_eq!(
        frame_kinds(&holder.read_reply()),
        "TDCZ",
        "the denial has arrived"
    );
    control.startups.set_closed(false);
    assert_eq!(
        frame_kinds(&reader.read_reply()),
        "EZ",
        "no primary is there"
    );
    let late = events
        .try_iter()
        .filter(|event| matches!(event, Event::Statement(text) if text.contains("late")));
    assert_eq!(late.count(), 0, "the read was written to a replica");
}
