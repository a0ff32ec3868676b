//! Assignment of requests to connections, where one connection carries many requests.

use std::collections::{BTreeMap, BTreeSet};

/// Identifies a connection within its pool. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelId(u64);

/// One connection.
#[derive(Debug)]
struct Channel<M> {
    member: M,
    /// Requests that it carries.
    requests: usize,
    /// It broke and takes no further request.
    broken: bool,
}

/// The connections to all members. `M` identifies a member.
///
/// Requests are packed on few connections: the fullest one with capacity takes the next request, so
/// that connections left over from a busy time run empty and are closed. A connection that broke
/// takes no further request.
#[derive(Debug)]
pub struct ChannelPool<M> {
    requests_per_channel: usize,
    channels: BTreeMap<ChannelId, Channel<M>>,
    /// For each member: the connections with capacity, ordered by the requests that they carry.
    available: BTreeMap<M, BTreeSet<(usize, ChannelId)>>,
    next_id: u64,
}

impl<M: Ord + Clone> ChannelPool<M> {
    /// An empty pool whose connections carry up to `requests_per_channel` requests each, at least
    /// one.
    pub fn new(requests_per_channel: usize) -> Self {
        ChannelPool {
            requests_per_channel: requests_per_channel.max(1),
            channels: BTreeMap::new(),
            available: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Assigns one more request to a connection to `member`, to a new one where none has capacity.
    pub fn assign(&mut self, member: &M) -> ChannelId {
        let fullest = self.fullest_available(member);
        let id = fullest.unwrap_or_else(|| self.add_channel(member));
        self.update(id, |channel| channel.requests += 1);
        id
    }

    /// Takes a finished request off its connection. Returns whether the connection carries none any
    /// more; it has then left the pool and is to be closed.
    pub fn release(&mut self, id: ChannelId) -> bool {
        self.update(id, |channel| {
            channel.requests = channel.requests.saturating_sub(1);
        });
        let is_empty = self
            .channels
            .get(&id)
            .is_some_and(|channel| channel.requests == 0);
        if is_empty {
            // Takes it out of `available`, too.
            self.mark_broken(id);
            self.channels.remove(&id);
        }
        is_empty
    }

    /// Notes that a connection broke or could not be established: no further request is assigned to
    /// it. The requests on it end by themselves and are released as all others.
    pub fn mark_broken(&mut self, id: ChannelId) {
        self.update(id, |channel| channel.broken = true);
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    fn fullest_available(&self, member: &M) -> Option<ChannelId> {
        let available = self.available.get(member)?;
        available.last().map(|(_, id)| *id)
    }

    fn add_channel(&mut self, member: &M) -> ChannelId {
        let id = ChannelId(self.next_id);
        self.next_id += 1;
        let channel = Channel {
            member: member.clone(),
            requests: 0,
            broken: false,
        };
        self.channels.insert(id, channel);
        id
    }

    /// Changes a connection and brings `available` up to date.
    fn update(&mut self, id: ChannelId, change: impl FnOnce(&mut Channel<M>)) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let requests_before = channel.requests;
        change(channel);
        let has_capacity = !channel.broken && channel.requests < self.requests_per_channel;
        let available = self.available.entry(channel.member.clone()).or_default();
        available.remove(&(requests_before, id));
        if has_capacity {
            available.insert((channel.requests, id));
        }
        if available.is_empty() {
            self.available.remove(&channel.member);
        }
    }
}
