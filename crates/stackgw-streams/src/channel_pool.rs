//! Which connection carries a request, where one connection carries many.

use std::collections::{BTreeMap, BTreeSet};

/// A connection that carries many requests, numbered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelId(u64);

#[derive(Debug)]
struct Channel<M> {
    member: M,
    /// Requests that it carries.
    requests: usize,
    /// It takes no more: it broke.
    broken: bool,
}

/// The connections to all members. `M` is what tells members apart.
///
/// Requests are kept together on few connections: the fullest with room takes the next, so that those left over from a busy
/// time run empty and are closed. A connection that broke takes nothing more.
#[derive(Debug)]
pub struct ChannelPool<M> {
    /// Requests that one may carry.
    requests_per_channel: usize,
    channels: BTreeMap<ChannelId, Channel<M>>,
    /// By member: those with room, by what they carry.
    available: BTreeMap<M, BTreeSet<(usize, ChannelId)>>,
    next_id: u64,
}

impl<M: Ord + Clone> ChannelPool<M> {
    /// No connection yet; each may carry so many requests, one at least.
    pub fn new(requests_per_channel: usize) -> Self {
        ChannelPool {
            requests_per_channel: requests_per_channel.max(1),
            channels: BTreeMap::new(),
            available: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Places one more request for a member; gives its connection, a new one where none has room.
    pub fn assign(&mut self, member: &M) -> ChannelId {
        let fullest = self
            .available
            .get(member)
            .and_then(|available| available.last())
            .map(|(_, id)| *id);
        let channel = fullest.unwrap_or_else(|| {
            let id = ChannelId(self.next_id);
            self.next_id += 1;
            self.channels.insert(
                id,
                Channel {
                    member: member.clone(),
                    requests: 0,
                    broken: false,
                },
            );
            id
        });
        self.update(channel, |c| c.requests += 1);
        channel
    }

    /// A request is over; whether its connection is to be closed, as it carries none any more.
    pub fn release(&mut self, id: ChannelId) -> bool {
        self.update(id, |c| c.requests = c.requests.saturating_sub(1));
        let empty = self.channels.get(&id).is_some_and(|c| c.requests == 0);
        if empty {
            self.update(id, |c| c.broken = true);
            self.channels.remove(&id);
        }
        empty
    }

    /// A connection broke, or never came up: no request is placed on it any more. Those on it end by themselves.
    pub fn mark_broken(&mut self, id: ChannelId) {
        self.update(id, |c| c.broken = true);
    }

    /// Connections that are kept.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    /// Changes a connection and keeps the order of those with room.
    fn update(&mut self, id: ChannelId, change: impl FnOnce(&mut Channel<M>)) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let before = channel.requests;
        change(channel);
        let (after, has_capacity) = (
            channel.requests,
            !channel.broken && channel.requests < self.requests_per_channel,
        );
        let available = self.available.entry(channel.member.clone()).or_default();
        available.remove(&(before, id));
        if has_capacity {
            available.insert((after, id));
        }
        if available.is_empty() {
            let member = channel.member.clone();
            self.available.remove(&member);
        }
    }
}
