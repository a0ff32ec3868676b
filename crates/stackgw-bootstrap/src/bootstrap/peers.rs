//! Exchange of the list with peers: polls of the leaders, answers to polls, pushes of changes, and merging of snapshots.

use super::Bootstrap;
use crate::endpoint::EndpointUpdate;
use crate::endpoint_cache::MergeOutcome;
use crate::message::{EndpointSnapshot, Fragment, Message, Poll, UNSOLICITED};
use crate::output::Output;
use crate::update_source::UpdateSource;
use crate::watch_leaders::WatchLeaders;
use stackgw_router::api::{Span, Time, MS};

/// Ages and retry-after times received from peers are limited to this, in milliseconds.
const MAX_RECEIVED_MS: u64 = 1_000_000_000;
/// Snapshots carry the throughput of a warm member in requests per this many seconds.
const THROUGHPUT_SCALE: f64 = 1_000.0;

impl Bootstrap {
    pub(super) fn poll_leaders(&mut self, now: Time, out: &mut Vec<Output>) {
        let (Some(leaders), Some(peers)) = (self.leaders.as_mut(), self.settings.peers.as_ref())
        else {
            return;
        };
        let known_revision = self.cache.revision().filter(|_| self.cache.is_confirmed());
        let Some(request) = self
            .poller
            .begin_poll(now, leaders, known_revision.is_some())
        else {
            return;
        };
        self.counters.polls_sent += request.targets.len() as u64;
        let poll = Poll {
            sender: peers.advertised_address,
            nonce: request.nonce,
            service_id: self.settings.service_id,
            known_revision,
            observations: self.observations.take_unsent(),
        };
        let send = |target| Output::Send(target, Message::Poll(poll.clone()));
        out.extend(request.targets.into_iter().map(send));
    }

    pub(super) fn handle_poll(&mut self, now: Time, poll: Poll, out: &mut Vec<Output>) {
        self.merge_observations(now, poll.observations, out);
        self.counters.polls_answered += 1;
        let Some(header) = self.snapshot_header(now, poll.nonce) else {
            return;
        };
        if !self.watch.is_live() && !self.cache.is_confirmed() {
            self.sender.add_waiting_peer(poll.sender);
        }
        let answer = self
            .sender
            .answer(now, header, &self.cache, poll.known_revision);
        let send = |datagram| Output::Send(poll.sender, Message::Snapshot(datagram));
        out.extend(answer.into_iter().map(send));
    }

    /// Sends the changes since `previous_revision` to all peers, and the complete list to peers that wait for it.
    pub(super) fn push_changes(
        &mut self,
        now: Time,
        previous_revision: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        if self.leaders.is_none() {
            return;
        }
        let Some(header) = self.snapshot_header(now, UNSOLICITED) else {
            return;
        };
        let peers = self.leaders.iter().flat_map(WatchLeaders::peers);
        let datagrams = self
            .sender
            .push(now, header, &self.cache, previous_revision, peers);
        self.counters.snapshots_pushed += datagrams.len() as u64;
        let send = |(peer, datagram)| Output::Send(peer, Message::Snapshot(datagram));
        out.extend(datagrams.into_iter().map(send));
    }

    /// A snapshot of what this instance knows, without the list's entries; `None` if there is no cluster.
    fn snapshot_header(&mut self, now: Time, nonce: u32) -> Option<EndpointSnapshot> {
        let observations = self
            .observations
            .next_batch(now, self.settings.watch_timeout);
        let sender = self.settings.peers.as_ref()?.advertised_address;
        let age = self.cache.age(now).unwrap_or_default();
        let retry_after = self.watch.remaining_retry_after(now);
        Some(EndpointSnapshot {
            sender,
            nonce,
            service_id: self.settings.service_id,
            revision: self.cache.revision(),
            confirmed_ago_ms: u64::try_from(age / MS).unwrap_or_default(),
            is_live: self.watch.is_live() && !self.cache.is_service_behind(),
            is_cached: self.cache.revision().is_some() && !self.cache.is_confirmed(),
            retry_after_ms: u64::try_from(retry_after / MS).unwrap_or_default(),
            warm_throughput_millis: (self.warm_throughput.measured() * THROUGHPUT_SCALE) as u64,
            base: None,
            fragment: Fragment::WITHOUT_ENTRIES,
            endpoints: Vec::new(),
            observations,
        })
    }

    pub(super) fn handle_snapshot(
        &mut self,
        now: Time,
        mut snapshot: EndpointSnapshot,
        out: &mut Vec<Output>,
    ) {
        self.merge_observations(now, std::mem::take(&mut snapshot.observations), out);
        if let Some(leaders) = self.leaders.as_mut() {
            leaders.record_answer(snapshot.sender);
        }
        if snapshot.retry_after_ms > 0 {
            self.watch
                .postpone(now, received_span(snapshot.retry_after_ms));
        }
        if let Some(snapshot) = self.poller.handle_snapshot(now, snapshot) {
            self.merge_snapshot(now, snapshot, out);
        }
    }

    fn merge_snapshot(&mut self, now: Time, snapshot: EndpointSnapshot, out: &mut Vec<Output>) {
        self.seed_warm_throughput(
            snapshot.warm_throughput_millis as f64 / THROUGHPUT_SCALE,
            out,
        );
        if let Some(revision) = snapshot.revision {
            self.merge_revision(now, revision, snapshot, out);
        }
        self.update_watch(now, out);
    }

    /// Merges a snapshot of the list at version `revision`, or polls for the entries if the snapshot has none.
    fn merge_revision(
        &mut self,
        now: Time,
        revision: u64,
        snapshot: EndpointSnapshot,
        out: &mut Vec<Output>,
    ) {
        let confirmed_at = now - received_span(snapshot.confirmed_ago_ms);
        let is_fresh = !snapshot.is_cached && now - confirmed_at < self.settings.watch_timeout;
        if is_fresh && Some(revision) >= self.cache.revision() {
            self.contact.record(now, snapshot.is_live);
            if Some(confirmed_at) > self.cache.confirmed_at() {
                self.watch.expedite(now);
            }
        }
        if snapshot.fragment.count == 0 {
            return self.poll_for_newer(now, revision, is_fresh);
        }
        let base = snapshot.base;
        let update = EndpointUpdate {
            revision,
            complete: base.is_none(),
            members: snapshot.endpoints,
        };
        let source = if is_fresh {
            UpdateSource::Peer { confirmed_at, base }
        } else {
            UpdateSource::Cached { confirmed_at }
        };
        let outcome = self.cache.merge(now, update, source);
        if outcome == MergeOutcome::Stale {
            self.counters.stale_updates += 1;
            self.poll_for_newer(now, revision, is_fresh);
        } else {
            self.counters.snapshots_merged += 1;
            self.publish(now, outcome, out);
        }
    }

    /// Polls at once for a version that is newer than the cache and whose entries were not in the snapshot, or could not be
    /// applied. Versions from a cached list are not polled for.
    fn poll_for_newer(&mut self, now: Time, revision: u64, is_fresh: bool) {
        if is_fresh && Some(revision) > self.cache.revision() {
            self.poller.expedite(now);
        }
    }
}

/// Converts a time span received from a peer, limited to [`MAX_RECEIVED_MS`].
fn received_span(ms: u64) -> Span {
    MS.saturating_mul(ms.min(MAX_RECEIVED_MS) as Span)
}
