//! The list of members, its watch, and word of members from other gateways.

use super::*;

/// A member that some list has named, until the router has no more use for it.
#[derive(Debug)]
pub(super) struct Listed {
    pub(super) name: String,
    pub(super) group: u32,
    pub(super) address: SocketAddr,
    /// It speaks another front's protocol.
    pub(super) back: bool,
    /// When its process started, where that is recent or not known.
    pub(super) started: Option<Time>,
    /// Since when the list has had it draining or gone, in a way that binds.
    pub(super) told: Option<Time>,
}

impl Reducer {
    pub(super) fn watch(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.watching = true;
        let after = self.revision;
        self.open_watch(now, after, out);
    }

    /// Opens a watch, whoever wants it, and sets its clock.
    pub(super) fn open_watch(&mut self, now: Time, after: Option<u64>, out: &mut Vec<Effect>) {
        self.counters.watches += 1;
        out.push(Effect::OpenWatch(self.discovery, after));
        self.set_watch_timer(now + self.limits.watch_connect_timeout);
    }

    /// Closes the watch.
    pub(super) fn unwatch(&mut self, out: &mut Vec<Effect>) {
        self.watching = false;
        self.unwatch_waits();
        out.push(Effect::CloseWatch);
    }

    /// The watch goes on, and has until then for its next word. One that is over has no clock to be set.
    pub(super) fn watch_wait(&mut self, until: Time) {
        if self.watch_until.is_some() {
            self.set_watch_timer(until);
        }
    }

    /// Sets the watch's one timer.
    fn set_watch_timer(&mut self, at: Time) {
        self.unwatch_waits();
        self.watch_until = Some(self.set_timer(at, Due::WatchSilent));
    }

    /// The watch's clock stops.
    pub(super) fn unwatch_waits(&mut self) {
        if let Some(old) = self.watch_until.take() {
            self.timers.remove(&old);
        }
    }

    pub(super) fn watch_lost(&mut self, now: Time, lost: WatchError, out: &mut Vec<Effect>) {
        self.unwatch_waits();
        if self.starting.is_some() {
            self.counters.watches_lost += 1;
            log_rarely(
                self.counters.watches_lost,
                &format!("watch of the list lost ({}),", lost.reason),
                out,
            );
            return self.with_start(now, out, |start, outputs| {
                start.handle_watch_lost(now, lost.retry_after, outputs)
            });
        }
        if !std::mem::replace(&mut self.watching, false) {
            return;
        }
        self.counters.watches_lost += 1;
        log_rarely(
            self.counters.watches_lost,
            &format!("watch of the list lost ({}),", lost.reason),
            out,
        );
        self.watch_pause = (self.watch_pause * 2)
            .clamp(self.limits.watch_min_backoff, self.limits.watch_max_backoff);
        self.set_timer(now + self.watch_pause, Due::Watch);
        self.list_failed();
    }

    /// The old list holds; a router that asks for the list itself will ask again.
    pub(super) fn list_failed(&mut self) {
        self.events.push_back(Event::EndpointList {
            scope: ListScope::Failed,
            members: Vec::new(),
        });
    }

    pub(super) fn list(&mut self, now: Time, list: ListUpdate, out: &mut Vec<Effect>) {
        self.watch_wait(now + self.limits.watch_idle_timeout);
        if self.starting.is_some() {
            return self.with_start(now, out, |start, outputs| {
                start.handle_watch_update(now, list, outputs)
            });
        }
        self.watch_pause = 0;
        if !list.complete && self.revision.is_some_and(|known| list.revision < known) {
            return; // Word that newer word has overtaken.
        }
        self.fetching &= !list.complete;
        self.revision = Some(list.revision);
        let scope = if list.complete {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        self.told(now, scope, &list.members, out);
    }

    /// The list, or what changed in it, is this.
    pub(super) fn told(
        &mut self,
        now: Time,
        scope: ListScope,
        list: &[ListEntry],
        out: &mut Vec<Effect>,
    ) {
        self.counters.lists += 1;
        let members: Vec<_> = list
            .iter()
            .filter_map(|e| self.listed(now, e, out))
            .collect();
        self.start_listed(now, list);
        if scope == ListScope::Full && !self.limits.removal_is_advisory {
            let named: BTreeSet<_> = members.iter().map(|m| m.id).collect();
            let missing = self
                .members
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, known)| known.told = known.told.or(Some(now)));
        }
        self.events
            .push_back(Event::EndpointList { scope, members });
        self.wake_ready(now, out);
    }

    /// Whether this gateway says that it is ready.
    pub(super) fn is_ready(&self, now: Time) -> bool {
        !self.members.is_empty() && self.starting.as_ref().is_none_or(|s| s.start.is_ready(now))
    }

    /// Tells the clients that wait for it that the gateway is ready, if it is.
    pub(super) fn wake_ready(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.is_ready(now) {
            let waiting = self
                .clients
                .iter()
                .filter(|(_, c)| c.awaits_ready)
                .map(|(id, _)| *id);
            for id in waiting.collect::<Vec<_>>() {
                if let Some(client) = self.clients.get_mut(&id) {
                    client.awaits_ready = false;
                }
                self.client_ready(now, id, out);
                self.start_next(now, id, out);
            }
        }
    }

    /// Drops all that goes by a member's number.
    pub(super) fn forget_member(&mut self, member: MemberId, out: &mut Vec<Effect>) {
        let Some(Listed { name, .. }) = self.members.remove(&member) else {
            return;
        };
        self.member_ids.remove(&name);
        self.gossip_codec.remove(member);
        self.start_forgets(member, &name);
        self.counters.members_known -= 1;
        self.counters.members_forgotten += 1;
        self.close_idle(member, out);
    }

    pub(super) fn listed(
        &mut self,
        now: Time,
        entry: &ListEntry,
        out: &mut Vec<Effect>,
    ) -> Option<Member> {
        let id = match self.member_ids.get(&entry.id) {
            Some(id) => *id,
            None if self.members.len() >= self.limits.members => return None,
            None => {
                let id = MemberId(self.next_member);
                self.next_member += 1;
                let (name, group) = (entry.id.clone(), entry.cell);
                self.member_ids.insert(name.clone(), id);
                let back = self.backs.speaks(entry);
                let known = Listed {
                    name,
                    group,
                    address: entry.address,
                    back,
                    started: None,
                    told: None,
                };
                self.members.insert(id, known);
                self.gossip_codec.add(id, &entry.id);
                self.counters.members_known += 1;
                id
            }
        };
        if let Some(known) = self
            .members
            .get_mut(&id)
            .filter(|m| m.address != entry.address)
        {
            known.address = entry.address;
            self.close_idle(id, out);
        }
        // Below zero: nobody knows, so that it may have started just now.
        let started = Some(entry.up_since_ms * MS)
            .map(|at| if at < 0 { now } else { at })
            .filter(|at| *at > 0);
        if let Some(known) = self.members.get_mut(&id) {
            (known.group, known.started) = (entry.cell, started);
            let binds = match entry.phase {
                Lifecycle::Serving => false,
                Lifecycle::Draining => true,
                Lifecycle::Removed => !self.limits.removal_is_advisory || known.told.is_some(),
            };
            known.told = if binds {
                known.told.or(Some(now))
            } else {
                None
            };
        }
        Some(Member {
            id,
            group: GroupId(entry.cell),
            zone: self
                .names
                .zones
                .iter()
                .position(|z| *z == entry.locality)
                .unwrap_or(0) as u32,
            weight: entry.size,
            started_at: started,
            lifecycle: entry.phase,
            listed_primary: entry.leader,
        })
    }

    pub(super) fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let sender = self.peers.iter().position(|peer| *peer == from);
        let known =
            sender.is_some_and(|n| n != self.me) && bytes.len() <= self.limits.datagram_bytes;
        match self.gossip_codec.decode(now, bytes).filter(|_| known) {
            Some((told, relay, news)) => {
                self.counters.words_heard += 1;
                self.events.push_back(Event::Gossip {
                    sent_at: told,
                    relay,
                    updates: news,
                });
            }
            None => self.counters.words_dropped += 1,
        }
    }
}
