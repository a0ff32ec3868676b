//! How this instance comes to know the list, where the operator's file says so: carries word between `stackgw-bootstrap`, the
//! watch, the other instances, the disk and the router. Which source is believed for what is decided there.

use super::*;
use serde_json::{json, Value};
use stackgw_bootstrap::{
    Bootstrap, BootstrapSettings, CachedEndpoints, ConnectionPacer, ListedMember, LogEvent,
    MergeOutcome, Message, Observation, Origin, Output, PacerConfig, PeerSettings, PollRate,
    Reload, WatchScope,
};

/// Everything of it.
pub(super) struct Starting {
    pub(super) start: Bootstrap,
    outputs: Vec<Output>,
    due: Option<TimerKey>,
    service: String,
    /// Who may open a connection to a cold member when; `None`: that is not dealt.
    deal: Option<ConnectionPacer>,
    /// Members to which the ways have changed since the router was last told.
    ways: BTreeSet<MemberId>,
    /// Members by their names as sightings carry them.
    sights: HashMap<u64, MemberId>,
    /// When members' word was last gathered from the router.
    gathered: Time,
}

impl Starting {
    /// One line for the log.
    pub(super) fn line(&self, now: Time) -> String {
        let (counts, cache) = (self.start.counters(), self.start.cache());
        let (holders, live) = (self.start.watch_leaders(), self.start.is_watch_live());
        let origin = cache.origin().map_or("nothing", word);
        let age = cache
            .age(now)
            .map_or_else(|| "never".to_owned(), |age| format!("{} ms", age / MS));
        format!(
            "list from {origin}, version {:?}, vouched for {age} ago, watch={live} holders={holders:?} watches={} alone={} asked={} \
             unanswered={} answered={} pushed={} taken={} older={} foreign={} sighted={} dealt={} waited={}",
            cache.revision(), counts.watches_opened, counts.watches_without_leader, counts.polls_sent, counts.polls_unanswered, counts.polls_answered, counts.snapshots_pushed,
            counts.snapshots_merged, counts.stale_updates, counts.foreign_messages, counts.observations_merged, self.dealt(now), self.waited()
        )
    }

    /// Members whose connections are dealt now: not those that have become warm since they were listed.
    fn dealt(&self, now: Time) -> usize {
        self.deal.as_ref().map_or(0, |deal| {
            deal.paced_members()
                .filter(|m| deal.next_connection_at(now, *m).is_some())
                .count()
        })
    }

    /// How often somebody would have opened a connection out of turn.
    fn waited(&self) -> u64 {
        self.deal.as_ref().map_or(0, ConnectionPacer::deferrals)
    }

    fn tell(&self, now: Time) -> Value {
        let (counts, cache) = (self.start.counters(), self.start.cache());
        let (holders, live) = (self.start.watch_leaders(), self.start.is_watch_live());
        json!({
            "service": self.service,
            "revision": cache.revision(), "origin": cache.origin().map(word), "age_ms": cache.age(now).map(|age| age / MS),
            "members": cache.endpoints().count(), "behind": cache.is_behind(), "resets": cache.resets(),
            "ready": self.start.is_ready(now), "watch": live,
            "holders": holders.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "counts": {"watches": counts.watches_opened, "alone": counts.watches_without_leader, "asked": counts.polls_sent,
                "unanswered": counts.polls_unanswered, "answered": counts.polls_answered, "pushed": counts.snapshots_pushed,
                "taken": counts.snapshots_merged, "older": counts.stale_updates, "foreign": counts.foreign_messages, "sighted": counts.observations_merged,
                "waited": self.waited()},
            "dealt": self.dealt(now),
        })
    }
}

fn word(origin: Origin) -> &'static str {
    match origin {
        Origin::Cached => "kept word",
        Origin::Peer => "a peer",
        Origin::Service => "the service",
    }
}

impl Reducer {
    /// Comes to know the list as the operator's file says, from what the disk kept; before [`Input::Start`], and after
    /// [`Reducer::join_cluster`] where others are talked to.
    pub fn enable_bootstrap(
        &mut self,
        now: Time,
        file: &stackgw_config::Bootstrap,
        others: Option<&stackgw_config::Cluster>,
        kept: Option<CachedEndpoints>,
        out: &mut Vec<Effect>,
    ) {
        let pace = PollRate {
            instance_number: self.me as u32,
            fleet_size: self
                .fixed
                .settings
                .router
                .fleet_size
                .max(others.map_or(0, |o| o.expected)),
            service_capacity: f64::from(file.bears),
            min_pause: self.limits.watch_min_backoff,
        };
        let set = BootstrapSettings {
            poll_rate: pace,
            peers: others.map(|others| PeerSettings {
                advertised_address: others.advertised_address(),
                seeds: others.seeds.clone(),
            }),
            min_watch_leaders: stackgw_bootstrap::MIN_WATCH_LEADERS,
            service_id: stackgw_bootstrap::service_id(&file.service),
            drain_grace: self.limits.drain_grace,
            watch_timeout: self.limits.watch_idle_timeout,
            cached_list_wait: file.kept_wait.as_nanos(),
            service_reset_after: file.reset_after.as_nanos(),
            seed: self.secret,
        };
        // What the platform knows is kept word too; of which moment, it does not say.
        let known = self.known.take().map(|list| CachedEndpoints {
            list,
            confirmed_at: 0,
            warm_throughput: 0.0,
        });
        let newer = [kept, known]
            .into_iter()
            .flatten()
            .max_by_key(|kept| kept.list.revision);
        let mut outputs = Vec::new();
        let start = Bootstrap::new(now, set, newer, &mut outputs);
        let service = file.service.clone();
        let rules = &self.fixed.settings.router.obligations;
        let dealt = |opens| PacerConfig {
            instance_number: pace.instance_number,
            fleet_size: pace.fleet_size,
            connection_rate: f64::from(opens),
            cold_capacity_share: rules.cold_capacity_share,
            warm_up_time: rules.warm_up_time,
        };
        self.starting = Some(Box::new(Starting {
            start,
            outputs: Vec::new(),
            due: None,
            service,
            deal: file
                .opens
                .map(|opens| ConnectionPacer::new(dealt(opens), self.secret)),
            ways: BTreeSet::new(),
            sights: HashMap::new(),
            gathered: now,
        }));
        self.start_outputs(now, outputs, out);
        self.start_due_set(now);
    }

    pub(super) fn with_start(
        &mut self,
        now: Time,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Bootstrap, &mut Vec<Output>),
    ) {
        let Some(starting) = self.starting.as_mut() else {
            return;
        };
        let mut outputs = std::mem::take(&mut starting.outputs);
        act(&mut starting.start, &mut outputs);
        self.start_outputs(now, outputs, out);
    }

    fn start_outputs(&mut self, now: Time, mut outputs: Vec<Output>, out: &mut Vec<Effect>) {
        for output in outputs.drain(..) {
            match output {
                Output::OpenWatch(after) => self.open_watch(now, after, out),
                Output::CloseWatch => self.unwatch(out),
                Output::Send(to, message) => {
                    let body = message.encode();
                    self.cluster_send(out, |cluster, effects| cluster.send_bootstrap(to, &body, effects));
                }
                Output::SeedWarmThroughput(rate) => self.router.seed_warm_throughput(rate),
                Output::Observations(seen) => self.sighted(now, &seen),
                Output::Persist(kept) => out.push(Effect::StoreEndpoints(Box::new(kept))),
                Output::Endpoints(MergeOutcome::Complete(entries)) => {
                    self.told(now, ListScope::Full, &entries, out)
                }
                Output::Endpoints(MergeOutcome::Cached(entries)) => {
                    self.told(now, ListScope::Cached, &entries, out)
                }
                Output::Endpoints(MergeOutcome::Changed(entries)) => {
                    self.told(now, ListScope::Changes, &entries, out)
                }
                Output::Endpoints(MergeOutcome::Unchanged | MergeOutcome::Stale) => {}
                Output::Log(note) => out.push(Effect::Log(match note {
                    LogEvent::WatchEstablished(WatchScope::Fleet) => "holds a watch of the list for the fleet".to_owned(),
                    LogEvent::WatchEstablished(WatchScope::Standalone) => {
                        "watches the list for itself: nobody tells it who hears the service".to_owned()
                    }
                    LogEvent::WatchReleased => "leaves the watch of the list to others".to_owned(),
                    LogEvent::ServiceBehind(version) => {
                        format!("the list service tells older lists than version {version}, which is held")
                    }
                    LogEvent::ServiceReset => {
                        "the list service counts its versions anew, and is believed".to_owned()
                    }
                })),
            }
        }
        if let Some(starting) = self.starting.as_mut() {
            starting.outputs = outputs;
        }
        self.wake_ready(now, out);
    }

    /// Sets its timer anew where its moment has changed.
    pub(super) fn start_due_set(&mut self, now: Time) {
        let Some(starting) = self.starting.as_ref() else {
            return;
        };
        let key = self.moved(starting.due, starting.start.next_timeout(now), Due::Start);
        if let Some(starting) = self.starting.as_mut() {
            starting.due = Some(key);
        }
    }

    pub(super) fn start_due(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(starting) = self.starting.as_mut() {
            starting.due = None;
        }
        let (rate, seen) = (self.router.warm_throughput(), self.saw(now));
        self.with_start(now, out, |start, outputs| {
            start.set_warm_throughput(rate);
            start.record_observations(now, seen);
            start.handle_timeout(now, outputs);
        });
    }

    /// What members have told here, in the form in which others are told.
    fn saw(&mut self, now: Time) -> Vec<Observation> {
        // Danger: an answer may be as old as the gathering before, and a role told just before its member started again must not
        // pass for one told after it.
        let since = self
            .starting
            .as_mut()
            .map_or(now, |s| std::mem::replace(&mut s.gathered, now));
        let news = self.router.take_gossip();
        let seen = |news: &GossipUpdate| {
            let name = &self.members.get(&news.member)?.name;
            let position_ms = u64::try_from(news.position? / MS).ok()?;
            let at_ms = u64::try_from(since / MS).ok()?;
            Some(Observation {
                member_hash: Observation::hash_name(name),
                position_ms,
                is_primary: news.is_primary,
                observed_at_ms: at_ms,
            })
        };
        news.iter().filter_map(seen).collect()
    }

    /// What members have told elsewhere, for the router.
    fn sighted(&mut self, now: Time, seen: &[Observation]) {
        for seen in seen {
            let known = self
                .starting
                .as_ref()
                .and_then(|s| s.sights.get(&seen.member_hash).copied());
            let Some(member) = known else { continue };
            let position = Some(seen.position()).filter(|at| *at > 0);
            if !self.can_be(now, position) {
                continue;
            }
            // Danger: a process that has started since leads nobody until it says so itself.
            let began = self.members.get(&member).and_then(|known| known.started);
            let primary = seen
                .is_primary
                .filter(|_| began.is_none_or(|began| seen.observed_at() > began));
            let news = vec![GossipUpdate {
                member,
                position,
                is_primary: primary,
                latency_ratio: 0.0,
                samples: 0,
            }];
            // No earlier than its position, which the answer that told it had.
            let told = seen.observed_at().max(seen.position()).min(now);
            self.events.push_back(Event::Gossip {
                sent_at: told,
                relay: false,
                updates: news,
            });
        }
    }

    // Connections that are dealt.

    pub(super) fn deal(&mut self, act: impl FnOnce(&mut ConnectionPacer)) {
        if let Some(deal) = self
            .starting
            .as_mut()
            .and_then(|starting| starting.deal.as_mut())
        {
            act(deal);
        }
    }

    /// Members as the list has them now. Kept word knows of nobody whether it has just started.
    pub(super) fn start_listed(&mut self, now: Time, list: &[ListEntry]) {
        let Some(starting) = self.starting.as_mut() else {
            return;
        };
        for entry in list {
            let Some(member) = self.member_ids.get(&entry.id).copied() else {
                continue;
            };
            starting
                .sights
                .insert(Observation::hash_name(&entry.id), member);
            let Some(deal) = starting.deal.as_mut() else {
                continue;
            };
            let listed = ListedMember {
                id: member,
                name: &entry.id,
                group: GroupId(entry.cell),
                start_time: entry.start_time(),
            };
            deal.update_member(now, listed);
            starting.ways.insert(member);
        }
        if let Some(deal) = starting.deal.as_mut() {
            deal.schedule_new_members(now);
        }
    }

    /// Drops what goes by a member's number.
    pub(super) fn start_forgets(&mut self, member: MemberId, name: &str) {
        let Some(starting) = self.starting.as_mut() else {
            return;
        };
        starting.sights.remove(&Observation::hash_name(name));
        if let Some(deal) = starting.deal.as_mut() {
            deal.remove_member(member);
        }
    }

    /// Whether a connection may be opened now that nobody has opened yet.
    pub(super) fn may_open(&mut self, now: Time, member: MemberId) -> bool {
        let Some(deal) = self
            .starting
            .as_mut()
            .and_then(|starting| starting.deal.as_mut())
        else {
            return true;
        };
        let may = deal
            .next_connection_at(now, member)
            .is_none_or(|from| from <= now);
        if !may {
            deal.record_deferral();
        }
        may
    }

    /// A connection to a member has come, gone, fallen idle or been taken.
    pub(super) fn ways_changed(&mut self, member: MemberId) {
        if let Some(starting) = self
            .starting
            .as_mut()
            .filter(|starting| starting.deal.is_some())
        {
            starting.ways.insert(member);
        }
    }

    /// All that are dealt: some may be warm by now.
    pub(super) fn ways_aged(&mut self) {
        if let Some(starting) = self.starting.as_mut() {
            starting.ways.extend(
                starting
                    .deal
                    .iter()
                    .flat_map(ConnectionPacer::paced_members),
            );
        }
    }

    /// Tells the router how it can reach those members to which that has changed.
    pub(super) fn tell_ways(&mut self, now: Time) {
        let Some(starting) = self
            .starting
            .as_mut()
            .filter(|starting| !starting.ways.is_empty())
        else {
            return;
        };
        let Some(deal) = starting.deal.as_ref() else {
            return;
        };
        for member in std::mem::take(&mut starting.ways) {
            let free = u32::try_from(self.pool.idle(member)).unwrap_or(u32::MAX);
            let may_open_from = deal.next_connection_at(now, member);
            let permits =
                may_open_from.map(|may_open_from| stackgw_router::api::ConnectionPermits {
                    free,
                    may_open_from,
                });
            self.router.set_connection_permits(member, permits);
        }
    }

    pub(super) fn start_heard(&mut self, now: Time, body: &[u8], out: &mut Vec<Effect>) {
        let message = Message::decode(body);
        if message.is_none() {
            self.counters.words_dropped += 1;
        }
        if let Some(message) = message {
            self.with_start(now, out, |start, outputs| {
                start.handle_message(now, message, outputs)
            });
        }
    }

    pub(super) fn start_met(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(member) = self.cluster.as_ref().filter(|_| self.starting.is_some()) else {
            return;
        };
        let up = member
            .cluster
            .instances()
            .filter(|seen| seen.up)
            .map(|seen| seen.identity.address)
            .collect();
        self.with_start(now, out, |start, outputs| {
            start.update_membership(now, up, outputs)
        });
    }

    /// What a running gateway can change of it; `moved`: the list is at another address now.
    pub(super) fn start_reload(
        &mut self,
        now: Time,
        file: Option<&stackgw_config::Bootstrap>,
        seeds: &[SocketAddr],
        moved: bool,
        out: &mut Vec<Effect>,
    ) {
        let (starting, file) = match (self.starting.as_mut(), file) {
            (Some(starting), Some(file)) => (starting, file),
            (None, None) => return,
            _ => {
                return out.push(Effect::Log(
                    "start is turned on or off by a restart alone".to_owned(),
                ))
            }
        };
        let moved = moved || starting.service != file.service;
        starting.service = file.service.clone();
        let service = stackgw_bootstrap::service_id(&file.service);
        self.with_start(now, out, |start, outputs| {
            start.reload(
                now,
                Reload {
                    seeds,
                    service_id: service,
                    has_service_moved: moved,
                },
                outputs,
            )
        });
    }

    pub(super) fn tell_list(&self, now: Time) -> Value {
        match &self.starting {
            Some(starting) => starting.tell(now),
            None => {
                json!({"revision": self.revision, "members": self.members.len(), "watch": self.watching,
                "ready": !self.members.is_empty()})
            }
        }
    }
}
