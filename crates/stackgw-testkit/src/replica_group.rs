//! A group of a replicated store: a primary, replicas that apply its log late, and the agent that lists them. Threads, one a
//! connection; only what is committed and has reached a replica is seen there. Its members speak our first protocol, or
//! Arrow Flight SQL: the log, the troubles and the audit are the same.

use crate::list_service::ListService;
use crate::slow_start_model::{Load, ObservedLoad, SlowStartModel, Took};
use stackgw_gateway::pg::{code, write, Frame, FrameDecoder, Statement};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The group's number.
pub const GROUP: u32 = 2;

/// The bound of the class `look`.
pub(crate) const BOUND_MS: u64 = 2_000;

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// What members speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Our first protocol.
    Postgres,
    /// Arrow Flight SQL.
    #[cfg(feature = "flight")]
    FlightSql,
}

/// What ran.
#[derive(Debug, Default, Clone)]
pub struct ExecutionLog {
    /// Executions of each write, by its request's id.
    pub writes: HashMap<String, u32>,
    /// Executions of each read, by its request's id.
    pub reads_by_id: HashMap<String, u32>,
    /// Reads that the primary ran, and those that replicas ran.
    pub reads: [u64; 2],
    /// Reads with a bound of two seconds that a replica further behind ran.
    pub stale: u64,
    /// Writes that came to a member that was no primary.
    pub misplaced: u64,
    /// The latest request that a member got after the list had it draining or gone.
    pub after_drain: Duration,
}

/// One member's state, changed by the trial while it runs.
#[derive(Debug, Default)]
pub struct FakeMember {
    /// How far it is behind, in milliseconds; the primary never is.
    pub lag_ms: AtomicU64,
    /// Each answer takes this much longer, in milliseconds.
    pub slow_ms: AtomicU64,
    /// It takes requests and answers none.
    pub silent: AtomicBool,
    /// A write's answer never comes, though it runs: its connection is broken first.
    pub cuts_writes: AtomicBool,
    /// Its streams stand still after so many batches; 0: they do not.
    pub stalls_after: AtomicU64,
    /// Its streams change their schema after so many batches; 0: they do not.
    pub changes_after: AtomicU64,
    /// Requests and streams that it works on now.
    pub running: Arc<AtomicUsize>,
    /// Cancels that it was told of.
    pub cancels: AtomicU64,
    /// Requests that came.
    pub asked: AtomicU64,
    pub(crate) primary: AtomicBool,
    load: Mutex<Option<Load>>,
    /// Since when the list has it draining or gone.
    told: Mutex<Option<Instant>>,
    dead: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

/// Counts one piece of work for as long as it is there.
pub(crate) struct Running(Arc<AtomicUsize>);

impl FakeMember {
    /// It is the primary.
    pub(crate) fn leads(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// What it must bear for a connection (`None`) or a message.
    fn bears(&self, now: Duration, message: Option<&Frame>) -> Took {
        match (lock(&self.load).as_mut(), message) {
            (None, _) => Took::Done(Duration::ZERO),
            (Some(load), None) => load.handshake(now),
            (Some(load), Some(frame)) if frame.body().starts_with(b"SHOW") => load.probe(now),
            (Some(load), Some(_)) => load.request(now),
        }
    }

    pub(crate) fn works(&self) -> Running {
        self.running.fetch_add(1, Ordering::Relaxed);
        Running(self.running.clone())
    }

    /// Takes a connection, unless the member is dead.
    fn takes(&self, socket: &TcpStream) -> bool {
        let _ = socket.set_nodelay(true);
        if let Ok(clone) = socket.try_clone() {
            lock(&self.sockets).push(clone);
        }
        let alive = !self.dead.load(Ordering::SeqCst);
        if !alive {
            let _ = socket.shutdown(Shutdown::Both);
        }
        alive
    }

    /// A connection is over. Danger: held on to, thousands of them take all descriptors of a rig of hundreds of gateways.
    fn leaves(&self, peer: Option<SocketAddr>) {
        lock(&self.sockets).retain(|socket| socket.peer_addr().ok() != peer);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct Data {
    /// By key: commit in Unix milliseconds, and the value.
    log: HashMap<String, Vec<(u64, Vec<u8>)>>,
    last: u64,
    audit: ExecutionLog,
}

/// The whole group.
pub struct ReplicaGroup {
    data: Mutex<Data>,
    lists: Arc<ListService>,
    since: Instant,
    /// The members; the first one is the primary.
    pub members: Vec<FakeMember>,
}

/// How a statement ended at a member.
pub(crate) enum Done {
    /// A value, and the position or the commit.
    Value(Vec<u8>, u64),
    /// It is no primary, and stands at this position.
    NotHere(u64),
    /// It is no statement of a client.
    Nonsense,
    /// What probes get.
    Report(String),
}

/// A poisoned lock still holds whole data here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ReplicaGroup {
    /// Starts a primary and replicas that are so far behind, and the agent that lists them; gives the agent's address.
    pub fn start(lags_ms: &[u64]) -> std::io::Result<(Arc<ReplicaGroup>, SocketAddr)> {
        ReplicaGroup::start_speaking(lags_ms, Protocol::Postgres)
    }

    /// The same with members that speak this.
    pub fn start_speaking(
        lags_ms: &[u64],
        speaks: Protocol,
    ) -> std::io::Result<(Arc<ReplicaGroup>, SocketAddr)> {
        ReplicaGroup::start_behind(lags_ms, speaks, 1)
    }

    /// The same with a list that has so many doors.
    pub fn start_behind(
        lags_ms: &[u64],
        speaks: Protocol,
        doors: usize,
    ) -> std::io::Result<(Arc<ReplicaGroup>, SocketAddr)> {
        let replica = |lag: &u64| FakeMember {
            lag_ms: (*lag).into(),
            ..FakeMember::default()
        };
        let primary = FakeMember {
            primary: true.into(),
            ..FakeMember::default()
        };
        let members: Vec<_> = std::iter::once(primary)
            .chain(lags_ms.iter().map(replica))
            .collect();
        let listeners: Vec<_> = members
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let addresses: Vec<_> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let lists = ListService::start(&addresses, doors)?;
        let (at, since) = (lists.door(0), Instant::now());
        let store = Arc::new(ReplicaGroup {
            data: Mutex::default(),
            lists,
            since,
            members,
        });
        for (n, listener) in listeners.into_iter().enumerate() {
            let store = store.clone();
            let hand: Box<dyn Fn(TcpStream) + Send> = match speaks {
                Protocol::Postgres => {
                    let store = store.clone();
                    Box::new(move |socket| {
                        let store = store.clone();
                        std::thread::spawn(move || {
                            let peer = socket.peer_addr().ok();
                            store.serve(n, socket);
                            store.members[n].leaves(peer);
                        });
                    })
                }
                #[cfg(feature = "flight")]
                Protocol::FlightSql => {
                    let sockets = crate::flight::serve(store.clone(), n)?;
                    Box::new(move |socket| drop(sockets.send(socket)))
                }
            };
            std::thread::spawn(move || {
                listener
                    .incoming()
                    .flatten()
                    .filter(|s| store.members[n].takes(s))
                    .for_each(hand);
            });
        }
        Ok((store, at))
    }

    /// What ran so far.
    pub fn audit(&self) -> ExecutionLog {
        lock(&self.data).audit.clone()
    }

    /// The value of a key that the primary holds.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.data)
            .log
            .get(key)?
            .last()
            .map(|(_, value)| value.clone())
    }

    /// The service that lists the members.
    pub fn lists(&self) -> &ListService {
        &self.lists
    }

    /// A member can bear no more than this from now on; where `cold`, its process has just started.
    pub fn bear(&self, n: usize, can: SlowStartModel, cold: bool) {
        let mut load = Load::new(can);
        if cold {
            load.start(self.since.elapsed());
        }
        *lock(&self.members[n].load) = Some(load);
    }

    /// What a member was asked to bear since then, its moments counted from the store's start.
    pub fn borne(&self, n: usize) -> ObservedLoad {
        lock(&self.members[n].load)
            .as_ref()
            .map(Load::borne)
            .unwrap_or_default()
    }

    /// How long the store has been there.
    pub fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    /// Another member is the primary from now on. The list does not know of it by itself.
    pub fn promote(&self, n: usize) {
        for (at, member) in self.members.iter().enumerate() {
            member.primary.store(at == n, Ordering::SeqCst);
        }
    }

    /// Where the members listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        self.lists.addresses()
    }

    /// The list tells that a member is in this phase: `ready`, `draining` or `gone`.
    pub fn announce(&self, n: usize, phase: &'static str) {
        *lock(&self.members[n].told) = (phase != "ready").then(Instant::now);
        self.lists.announce(n, phase, 0);
    }

    /// The list tells that a member's process has just started.
    pub fn announce_start(&self, n: usize) {
        self.lists.announce(n, "ready", unix_ms());
    }

    /// A member dies where it stands: its connections break, and new ones are closed at once.
    pub fn kill(&self, n: usize) {
        let member = &self.members[n];
        member.dead.store(true, Ordering::SeqCst);
        for socket in lock(&member.sockets).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// It takes connections again.
    pub fn revive(&self, n: usize) {
        self.members[n].dead.store(false, Ordering::SeqCst);
    }

    fn serve(&self, n: usize, mut socket: TcpStream) {
        let mut frames = FrameDecoder::client(1 << 16, 1 << 20);
        let mut buffer = [0; 8192];
        loop {
            while let Some(frame) = frames.next_frame() {
                let Ok(frame) = frame else { return };
                let member = &self.members[n];
                let _works = (frame.kind != 0).then(|| member.works());
                if member.silent.load(Ordering::Relaxed) && frame.kind != 0 {
                    if !here(&socket, Duration::MAX) {
                        return;
                    }
                    continue;
                }
                let took = member.bears(self.since.elapsed(), (frame.kind != 0).then_some(&frame));
                let reply = match took {
                    Took::Down => return,
                    Took::Shed => Some((turned_away(), false)),
                    Took::Done(_) => self.reply(n, frame),
                };
                let Some((reply, wrote)) = reply else { return };
                if let Took::Done(after) = took {
                    std::thread::sleep(after);
                }
                let slow = member.slow_ms.load(Ordering::Relaxed);
                if slow > 0 && !here(&socket, Duration::from_millis(slow)) {
                    return;
                }
                if wrote && member.cuts_writes.load(Ordering::Relaxed) {
                    let _ = socket.shutdown(Shutdown::Both);
                    return;
                }
                if socket.write_all(&reply).is_err() {
                    return;
                }
            }
            match socket.read(&mut buffer) {
                Ok(n) if n > 0 => frames.feed(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// The answer, and whether it is a write's.
    fn reply(&self, n: usize, frame: Frame) -> Option<(Vec<u8>, bool)> {
        let mut out = Vec::new();
        if frame.kind == 0 {
            (frame.code() == Some(code::VERSION_3)).then_some(())?;
            write::welcome(&mut out, n as u32, 0);
            return Some((out, false));
        }
        (frame.kind == b'Q').then_some(())?;
        let text = String::from_utf8_lossy(frame.body())
            .trim_end_matches('\0')
            .to_owned();
        let (mut wrote, mut at) = (false, None);
        match self.run(n, &text) {
            Done::Report(report) => write::row(&mut out, Some(report.as_bytes())),
            Done::Nonsense => {
                write::error(&mut out, false, "08P01", "no statement of a client", None)
            }
            Done::NotHere(position) => {
                write::error(&mut out, false, "25006", "a replica takes no writes", None);
                at = Some(position);
            }
            Done::Value(value, position) => {
                write::row(&mut out, Some(&value));
                (wrote, at) = (text.starts_with("INSERT"), Some(position));
            }
        }
        if let Some(at) = at {
            let role = if self.members[n].leads() {
                "leader"
            } else {
                "follower"
            };
            write::status(&mut out, "node_role", role);
            write::status(&mut out, "replay_position", &at.to_string());
        }
        write::ready(&mut out);
        Some((out, wrote))
    }

    /// Every commit up to this is seen there.
    fn position(&self, member: &FakeMember) -> u64 {
        let lag = if member.leads() {
            0
        } else {
            member.lag_ms.load(Ordering::Relaxed)
        };
        unix_ms().saturating_sub(lag)
    }

    /// Runs a statement at a member.
    pub(crate) fn run(&self, n: usize, text: &str) -> Done {
        let member = &self.members[n];
        let at = self.position(member);
        if text == "SHOW server_load" {
            let primary = u8::from(member.leads());
            return Done::Report(format!("x0={}.{:03},x1={primary}", at / 1000, at % 1000));
        }
        member.asked.fetch_add(1, Ordering::Relaxed);
        let mut query = Vec::new();
        write::query(&mut query, text);
        let Ok(statement) = Statement::parse(Frame {
            kind: b'Q',
            bytes: query,
        }) else {
            return Done::Nonsense;
        };
        let told = lock(&member.told).map(|at| at.elapsed());
        let mut data = lock(&self.data);
        data.audit.after_drain = data.audit.after_drain.max(told.unwrap_or_default());
        if statement.write {
            if !member.leads() {
                data.audit.misplaced += 1;
                return Done::NotHere(at);
            }
            *data.audit.writes.entry(statement.id.clone()).or_default() += 1;
            let value = text
                .split("'\\x")
                .nth(1)
                .and_then(|rest| rest.split('\'').next());
            let value = value.unwrap_or_default().as_bytes().to_vec();
            // Rounded up: a replica that has come this far has it.
            let commit = (unix_ms() + 1).max(data.last);
            data.last = commit;
            data.log
                .entry(statement.key.clone())
                .or_default()
                .push((commit, value.clone()));
            return Done::Value(value, commit);
        }
        let behind = unix_ms().saturating_sub(at) > BOUND_MS;
        data.audit.stale += u64::from(behind && statement.class == "look");
        data.audit.reads[usize::from(!member.leads())] += 1;
        *data
            .audit
            .reads_by_id
            .entry(statement.id.clone())
            .or_default() += 1;
        let at = if member.leads() {
            data.last.max(unix_ms())
        } else {
            at
        };
        let seen = data
            .log
            .get(&statement.key)
            .into_iter()
            .flatten()
            .rev()
            .find(|(commit, _)| *commit <= at);
        Done::Value(seen.map(|(_, value)| value.clone()).unwrap_or_default(), at)
    }
}

/// The member's line is full.
fn turned_away() -> Vec<u8> {
    let mut out = Vec::new();
    write::error(
        &mut out,
        false,
        "53300",
        "too many requests wait here",
        None,
    );
    write::ready(&mut out);
    out
}

/// Works for so long; whether whoever asked is still there. A client that waits sends nothing, so that a byte or an end of
/// its bytes says the same.
fn here(socket: &TcpStream, work: Duration) -> bool {
    let (since, mut byte) = (Instant::now(), [0]);
    loop {
        let left = work.saturating_sub(since.elapsed());
        if left.is_zero() {
            return socket.set_read_timeout(None).is_ok();
        }
        if socket
            .set_read_timeout(Some(left.min(Duration::from_secs(1))))
            .is_err()
        {
            return false;
        }
        match socket.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => std::thread::sleep(left.min(Duration::from_millis(2))),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return false,
        }
    }
}
