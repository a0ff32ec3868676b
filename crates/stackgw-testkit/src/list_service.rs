//! The service that has the list of members: its watches get the whole list and then what changes, and an empty line now and
//! then. Unless it is bounded it answers everybody at once, as an agent on the gateway's own machine does; bounded, it is one
//! service of a fixed capacity for a whole fleet, and it can fail in the ways that such services do.

use crate::replica_group::{lock, GROUP};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How the service, or one door to it, behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceState {
    /// It serves.
    #[default]
    Up,
    /// It is dead: connections break, new ones are closed unread.
    Down,
    /// It takes requests and says nothing; watches stay open and silent.
    Silent,
    /// It says the first byte of an answer and no more.
    FirstByteOnly,
    /// It answers with half a list, then ends.
    Truncated,
    /// It has fallen behind: what it tells, in answers and watches, ends at this version; its blank lines go on.
    Stale(u64),
}

/// What a bounded service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Requests a second; more wait in line.
    pub per_second: f64,
    /// Whoever would wait longer than this is told 503 at once, with a time to come back.
    pub line: Duration,
}

/// What became of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollOutcome {
    /// Answered, as far as the door's mood has it.
    Answered,
    /// Told to come back later.
    Rejected,
    /// Nobody was there.
    Unreachable,
}

/// One request, as the service saw it.
#[derive(Debug, Clone, Copy)]
pub struct PollRecord {
    /// When, from the service's start on.
    pub at: Duration,
    /// What became of it.
    pub fate: PollOutcome,
}

/// One member as the list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ListedMember {
    phase: &'static str,
    /// In Unix milliseconds; 0: long ago.
    up_since_ms: u64,
    leads: bool,
}

struct State {
    /// The list after each version, from 1 on.
    versions: Vec<Vec<ListedMember>>,
    moods: Vec<ServiceState>,
    bears: Option<ServiceCapacity>,
    /// When the line that waits now will have been served.
    free_at: Duration,
    asked: Vec<PollRecord>,
}

/// The service.
pub struct ListService {
    addresses: Vec<SocketAddr>,
    since: Instant,
    state: Mutex<State>,
    changed: Condvar,
    doors: Vec<SocketAddr>,
}

/// Between empty lines of a watch.
const BLANK: Duration = Duration::from_secs(2);

impl ListService {
    /// ListService members at these addresses, the first one as the primary, behind so many doors: gateways that come by different
    /// ones can be treated differently.
    pub fn start(addresses: &[SocketAddr], doors: usize) -> std::io::Result<Arc<Self>> {
        let entry = |n| ListedMember {
            phase: "ready",
            up_since_ms: 0,
            leads: n == 0,
        };
        let listeners: Vec<_> = (0..doors)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let lists = Arc::new(ListService {
            addresses: addresses.to_vec(),
            since: Instant::now(),
            state: Mutex::new(State {
                versions: vec![(0..addresses.len()).map(entry).collect()],
                moods: vec![ServiceState::Up; doors],
                bears: None,
                free_at: Duration::ZERO,
                asked: Vec::new(),
            }),
            changed: Condvar::new(),
            doors: listeners
                .iter()
                .map(TcpListener::local_addr)
                .collect::<Result<_, _>>()?,
        });
        for (door, listener) in listeners.into_iter().enumerate() {
            let lists = lists.clone();
            std::thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let lists = lists.clone();
                    std::thread::spawn(move || lists.serve(door, socket));
                }
            });
        }
        Ok(lists)
    }

    /// Where a door is.
    pub fn door(&self, door: usize) -> SocketAddr {
        self.doors[door % self.doors.len()]
    }

    /// Where the members are.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// From now on it bears no more than this.
    pub fn bear(&self, bears: Option<ServiceCapacity>) {
        lock(&self.state).bears = bears;
    }

    /// A door's mood from now on; `None`: all doors'.
    pub fn mood(&self, door: Option<usize>, mood: ServiceState) {
        let mut state = lock(&self.state);
        match door {
            Some(door) => state.moods[door] = mood,
            None => state.moods.fill(mood),
        }
        drop(state);
        self.changed.notify_all();
    }

    /// The version that the service has come to.
    pub fn version(&self) -> u64 {
        lock(&self.state).versions.len() as u64
    }

    /// Every request so far.
    pub fn asked(&self) -> Vec<PollRecord> {
        lock(&self.state).asked.clone()
    }

    /// How long the service has been there.
    pub fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    pub(crate) fn announce(&self, n: usize, phase: &'static str, up_since_ms: u64) {
        self.change(|entries| {
            if let Some(entry) = entries.get_mut(n) {
                (entry.phase, entry.up_since_ms) = (phase, up_since_ms);
            }
        });
    }

    /// The list tells that another member is the primary.
    pub fn lead(&self, n: usize) {
        self.change(|entries| {
            entries
                .iter_mut()
                .enumerate()
                .for_each(|(at, entry)| entry.leads = at == n)
        });
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedMember>)) {
        let mut state = lock(&self.state);
        let mut entries = state.versions.last().cloned().unwrap_or_default();
        change(&mut entries);
        state.versions.push(entries);
        drop(state);
        self.changed.notify_all();
    }

    /// What a door tells of the list after a version (0: all of it), and the version it is then.
    fn list(&self, state: &State, door: usize, after: u64) -> (u64, String) {
        let newest = state.versions.len() as u64;
        let now = if let ServiceState::Stale(version) = state.moods[door] {
            version.min(newest)
        } else {
            newest
        };
        let at = |version: u64| {
            version
                .checked_sub(1)
                .and_then(|n| state.versions.get(usize::try_from(n).ok()?))
        };
        let before = at(after).filter(|_| after <= now);
        let entry = |(n, entry): (usize, &ListedMember)| {
            // All that changed since, be it there and back.
            let same = before.is_some()
                && (after..=now)
                    .filter_map(at)
                    .all(|entries| entries.get(n) == Some(entry));
            let (at, role) = (
                self.addresses[n],
                if entry.leads { "leader" } else { "follower" },
            );
            let (phase, since) = (entry.phase, entry.up_since_ms);
            (!same).then(|| {
                format!(
                    r#"{{"id":"m{n}","host_port":"{at}","locality":"room","flavor":"f","cell":{GROUP},"phase":"{phase}","size":1.0,"up_since_ms":{since},"role":"{role}"}}"#
                )
            })
        };
        let members: Vec<_> = at(now)
            .into_iter()
            .flatten()
            .enumerate()
            .filter_map(entry)
            .collect();
        let (complete, members) = (before.is_none(), members.join(","));
        (
            now,
            format!(r#"{{"revision":{now},"complete":{complete},"members":[{members}]}}"#),
        )
    }

    /// Takes a request in: what becomes of it, and how long it waits in line.
    fn admit(&self, door: usize) -> (PollOutcome, Duration) {
        let mut state = lock(&self.state);
        let at = self.since.elapsed();
        let (mut fate, mut wait) = (PollOutcome::Answered, Duration::ZERO);
        if state.moods[door] == ServiceState::Down {
            fate = PollOutcome::Unreachable;
        } else if let Some(bears) = state.bears {
            let free_at = state.free_at.max(at);
            if free_at - at > bears.line {
                (fate, wait) = (PollOutcome::Rejected, free_at - at);
            } else {
                state.free_at = free_at + Duration::from_secs_f64(1.0 / bears.per_second);
                wait = state.free_at - at;
            }
        }
        state.asked.push(PollRecord { at, fate });
        (fate, wait)
    }

    fn serve(&self, door: usize, mut socket: TcpStream) {
        let mut line = String::new();
        let (fate, wait) = self.admit(door);
        if fate == PollOutcome::Unreachable {
            return;
        }
        let _ = BufReader::new(&socket).read_line(&mut line);
        if fate == PollOutcome::Rejected {
            let seconds = wait.as_secs() + 1;
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = socket.write_all(text.as_bytes());
            return;
        }
        std::thread::sleep(wait);
        let watches = line.contains("watch");
        let after = line
            .split("after=")
            .nth(1)
            .map(|rest| rest.split(|c: char| !c.is_ascii_digit()));
        let after = after
            .and_then(|mut words| words.next()?.parse().ok())
            .unwrap_or(0);
        let chunk = |body: &str| format!("{:x}\r\n{body}\r\n", body.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let (mood, (mut version, list)) = {
            let state = lock(&self.state);
            (state.moods[door], self.list(&state, door, after))
        };
        let whole = match mood {
            ServiceState::Silent => String::new(),
            ServiceState::FirstByteOnly => "H".to_owned(),
            ServiceState::Truncated => format!("{head}{}", chunk(&list[..list.len() / 2])),
            _ if watches => format!("{head}{}", chunk(&format!("{list}\n"))),
            _ => format!("{head}{}0\r\n\r\n", chunk(&format!("{list}\n"))),
        };
        let sent = socket.write_all(whole.as_bytes());
        if sent.is_err() || mood == ServiceState::Truncated {
            return;
        }
        let hangs = matches!(mood, ServiceState::Silent | ServiceState::FirstByteOnly);
        if !watches && !hangs {
            return;
        }
        loop {
            let mut state = lock(&self.state);
            let (now, list) = loop {
                let waited = self.changed.wait_timeout(state, BLANK);
                let (now_state, over) = waited.unwrap_or_else(PoisonError::into_inner);
                state = now_state;
                if state.moods[door] == ServiceState::Down {
                    return;
                }
                let told = self.list(&state, door, version);
                let quiet = hangs
                    || matches!(
                        state.moods[door],
                        ServiceState::Silent | ServiceState::FirstByteOnly
                    );
                if !quiet && (told.0 > version || over.timed_out()) {
                    break told;
                }
                if over.timed_out() && gone(&socket) {
                    return;
                }
            };
            drop(state);
            let line = if now > version {
                format!("{list}\n")
            } else {
                "\n".to_owned()
            };
            version = version.max(now);
            if socket.write_all(chunk(&line).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Whether the other side has closed a connection on which it says nothing more.
fn gone(socket: &TcpStream) -> bool {
    let mut byte = [0];
    let quiet = socket
        .set_nonblocking(true)
        .and_then(|()| socket.peek(&mut byte));
    let _ = socket.set_nonblocking(false);
    !matches!(&quiet, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// The most that fall into any span of this length, of moments in order.
pub fn worst(moments: impl IntoIterator<Item = Duration>, span: Duration) -> usize {
    let moments: Vec<_> = moments.into_iter().collect();
    let mut first = 0;
    let mut most = 0;
    for (n, at) in moments.iter().enumerate() {
        while *at - moments[first] >= span {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most
}
