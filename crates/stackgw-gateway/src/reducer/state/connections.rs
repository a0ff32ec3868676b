//! The connections to members.

use super::connection::{Connection, ConnectionState, ConnectionTask};
use super::pool::ConnectionPool;
use crate::pg::Reply;
use crate::reducer::context::Context;
use crate::reducer::ids::ConnectionId;
use crate::reducer::timers::Timer;
use stackgw_router::api::{MemberId, Time};
use std::collections::{BTreeMap, HashMap};

/// All connections to members, with the idle ones and those in a handshake without a task.
///
/// Invariants: each connection has at most one timer; the pool holds connections without a task; for each member at most
/// one handshake is in progress without a task.
#[derive(Default)]
pub(crate) struct Connections {
    open: HashMap<ConnectionId, Connection>,
    next_id: u64,
    pool: ConnectionPool,
    /// For each member the connection that is being established without a task.
    connecting: BTreeMap<MemberId, ConnectionId>,
}

impl Connections {
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.open.get_mut(&id)
    }

    /// Counts the attempts that are open on connections to a member.
    pub(crate) fn attempts_on(&self, member: MemberId) -> usize {
        let has_attempt = |connection: &&Connection| {
            connection.member == member
                && matches!(connection.task, Some(ConnectionTask::Attempt(_)))
        };
        self.open.values().filter(has_attempt).count()
    }

    pub(crate) fn idle_count(&self, member: MemberId) -> usize {
        self.pool.count(member)
    }

    /// Registers a connection that is being established and sets its connect timeout.
    pub(crate) fn open(
        &mut self,
        cx: &mut Context<'_>,
        member: MemberId,
        is_backend: bool,
    ) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        cx.counters.members_opened += 1;
        cx.counters.members_open += 1;
        let timer = cx.set_timer_after(cx.limits.connect_timeout, Timer::Connection(id));
        let connection = Connection {
            member,
            state: ConnectionState::Connecting,
            is_backend,
            task: None,
            is_reused: false,
            reply: Reply::default(),
            response_started: false,
            task_deadline: 0,
            timer: Some(timer),
        };
        self.open.insert(id, connection);
        id
    }

    /// Takes the member's most recently used idle connection.
    pub(crate) fn take_idle(&mut self, member: MemberId) -> Option<ConnectionId> {
        let id = self.pool.take_latest(member)?;
        if let Some(connection) = self.open.get_mut(&id) {
            connection.is_reused = true;
        }
        Some(id)
    }

    /// Takes the member's connection that is being established without a task.
    pub(crate) fn take_connecting(&mut self, member: MemberId) -> Option<ConnectionId> {
        self.connecting.remove(&member)
    }

    pub(crate) fn has_connecting(&self, member: MemberId) -> bool {
        self.connecting.contains_key(&member)
    }

    /// Keeps a connection whose handshake continues without a task, for the member's next task.
    pub(crate) fn keep_connecting(&mut self, member: MemberId, id: ConnectionId) {
        self.connecting.insert(member, id);
    }

    /// Takes a connection that may be closed for another one: the one idle longest, else one in a handshake without a task.
    pub(crate) fn take_evictable(&mut self) -> Option<ConnectionId> {
        let idle = self.pool.take_oldest();
        idle.or_else(|| self.connecting.pop_first().map(|(_, id)| id))
    }

    /// Takes all of a member's connections that have no task.
    pub(crate) fn take_unused(&mut self, member: MemberId) -> Vec<ConnectionId> {
        let mut unused = self.pool.take_all(member);
        unused.extend(self.connecting.remove(&member));
        unused
    }

    /// Takes the connections that became idle before a time.
    pub(crate) fn take_idle_since_before(&mut self, before: Time) -> Vec<ConnectionId> {
        self.pool.take_idle_since_before(before)
    }

    /// Puts a connection without a task into the pool.
    pub(crate) fn return_to_pool(&mut self, now: Time, member: MemberId, id: ConnectionId) {
        self.pool.insert(member, id, now);
    }

    pub(crate) fn remove_from_pool(&mut self, id: ConnectionId) {
        self.pool.remove(id);
    }

    /// Sets a connection's timer, replacing the previous one.
    pub(crate) fn set_timer(&mut self, cx: &mut Context<'_>, id: ConnectionId, at: Time) {
        let timer = cx.timers.set(at, Timer::Connection(id));
        if let Some(connection) = self.open.get_mut(&id) {
            cx.timers.cancel(connection.timer.replace(timer));
        }
    }

    pub(crate) fn clear_timer(&mut self, cx: &mut Context<'_>, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            cx.timers.cancel(connection.timer.take());
        }
    }

    /// Removes a connection that is not in the pool, and its timer. Returns its member.
    pub(crate) fn remove(&mut self, cx: &mut Context<'_>, id: ConnectionId) -> Option<MemberId> {
        let connection = self.open.remove(&id)?;
        cx.counters.members_open -= 1;
        if self.connecting.get(&connection.member) == Some(&id) {
            self.connecting.remove(&connection.member);
        }
        cx.timers.cancel(connection.timer);
        Some(connection.member)
    }
}
