//! Which connection carries a request, where one connection carries many.

use std::collections::{BTreeMap, BTreeSet};

/// A connection that carries many requests, numbered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChannelId(u64);

#[derive(Debug)]
struct Channel<M> {
    member: M,
    /// Requests that it carries.
    carries: usize,
    /// It takes no more: it broke.
    broken: bool,
}

/// The connections to all members. `M` is what tells members apart.
///
/// Requests are kept together on few connections: the fullest with room takes the next, so that those left over from a busy
/// time run empty and are closed. A connection that broke takes nothing more.
#[derive(Debug)]
pub struct Channels<M> {
    /// Requests that one may carry.
    most: usize,
    channels: BTreeMap<ChannelId, Channel<M>>,
    /// By member: those with room, by what they carry.
    room: BTreeMap<M, BTreeSet<(usize, ChannelId)>>,
    next: u64,
}

impl<M: Ord + Clone> Channels<M> {
    /// No connection yet; each may carry so many requests, one at least.
    pub fn new(most: usize) -> Self {
        Channels {
            most: most.max(1),
            channels: BTreeMap::new(),
            room: BTreeMap::new(),
            next: 0,
        }
    }

    /// Places one more request for a member; gives its connection, a new one where none has room.
    pub fn place(&mut self, member: &M) -> ChannelId {
        let fullest = self
            .room
            .get(member)
            .and_then(|room| room.last())
            .map(|(_, id)| *id);
        let channel = fullest.unwrap_or_else(|| {
            let id = ChannelId(self.next);
            self.next += 1;
            self.channels.insert(
                id,
                Channel {
                    member: member.clone(),
                    carries: 0,
                    broken: false,
                },
            );
            id
        });
        self.change(channel, |c| c.carries += 1);
        channel
    }

    /// A request is over; whether its connection is to be closed, as it carries none any more.
    pub fn freed(&mut self, id: ChannelId) -> bool {
        self.change(id, |c| c.carries = c.carries.saturating_sub(1));
        let empty = self.channels.get(&id).is_some_and(|c| c.carries == 0);
        if empty {
            self.change(id, |c| c.broken = true);
            self.channels.remove(&id);
        }
        empty
    }

    /// A connection broke, or never came up: no request is placed on it any more. Those on it end by themselves.
    pub fn broke(&mut self, id: ChannelId) {
        self.change(id, |c| c.broken = true);
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
    fn change(&mut self, id: ChannelId, change: impl FnOnce(&mut Channel<M>)) {
        let Some(channel) = self.channels.get_mut(&id) else {
            return;
        };
        let before = channel.carries;
        change(channel);
        let (after, has_room) = (
            channel.carries,
            !channel.broken && channel.carries < self.most,
        );
        let room = self.room.entry(channel.member.clone()).or_default();
        room.remove(&(before, id));
        if has_room {
            room.insert((after, id));
        }
        if room.is_empty() {
            let member = channel.member.clone();
            self.room.remove(&member);
        }
    }
}
