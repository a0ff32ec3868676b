//! Assignment of requests to connections that each carry many requests.

use std::collections::{BTreeMap, BTreeSet};

/// Identifies a connection within its pool. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelId(u64);

/// One connection.
#[derive(Debug)]
struct Channel<M> {
    member: M,
    /// Number of requests assigned to the connection.
    requests: usize,
    /// The connection failed and accepts no further requests.
    broken: bool,
}

/// The connections to all members. `M` identifies a member.
///
/// Requests are packed onto few connections: the next request is assigned to the fullest connection
/// with capacity, so that connections left over from a load peak drain and are closed. A connection
/// that failed is assigned no further requests.
#[derive(Debug)]
pub struct ChannelPool<M> {
    requests_per_channel: usize,
    channels: BTreeMap<ChannelId, Channel<M>>,
    /// The connections with capacity of each member, ordered by their number of requests.
    available: BTreeMap<M, BTreeSet<(usize, ChannelId)>>,
    next_id: u64,
}

impl<M: Ord + Clone> ChannelPool<M> {
    /// Creates an empty pool whose connections carry up to `requests_per_channel` requests each; 0
    /// is treated as 1.
    pub fn new(requests_per_channel: usize) -> Self {
        ChannelPool {
            requests_per_channel: requests_per_channel.max(1),
            channels: BTreeMap::new(),
            available: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Assigns a request to a connection to `member`, and adds a connection if none has capacity.
    /// Returns the connection's ID.
    pub fn assign(&mut self, member: &M) -> ChannelId {
        let fullest = self.fullest_available(member);
        let id = fullest.unwrap_or_else(|| self.add_channel(member));
        self.update(id, |channel| channel.requests += 1);
        id
    }

    /// Removes a finished request from its connection. Returns `true` if that was the connection's
    /// last request: the connection has then been removed from the pool, and the caller closes it.
    /// Returns `false` for a connection that is not in the pool.
    pub fn release(&mut self, id: ChannelId) -> bool {
        self.update(id, |channel| {
            channel.requests = channel.requests.saturating_sub(1);
        });
        let is_empty = self
            .channels
            .get(&id)
            .is_some_and(|channel| channel.requests == 0);
        if is_empty {
            // Removes the connection from `available`.
            self.mark_broken(id);
            self.channels.remove(&id);
        }
        is_empty
    }

    /// Records that a connection failed or could not be established: no further request is assigned
    /// to it. The caller still has to release each of its current requests.
    pub fn mark_broken(&mut self, id: ChannelId) {
        self.update(id, |channel| channel.broken = true);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Returns whether there is no connection.
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

    /// Changes a connection and updates `available` accordingly.
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
