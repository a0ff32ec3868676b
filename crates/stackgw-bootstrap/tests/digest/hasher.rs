//! Hashes outputs by numbers and serialized values, independently of names in the code.

use crate::common::Simulation;
use serde::Serialize;
use stackgw_bootstrap::{
    Bootstrap, BootstrapCounters, EndpointCache, LogEvent, MergeOutcome, Origin, Output, WatchScope,
};
use stackgw_router::api::Time;
use std::net::SocketAddr;

/// FNV-1a over 64 bits.
pub struct Digest(u64);

impl Digest {
    pub fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn unsigned(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn signed(&mut self, number: i64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn float(&mut self, number: f64) {
        self.unsigned(number.to_bits());
    }

    pub fn flag(&mut self, flag: bool) {
        self.unsigned(u64::from(flag));
    }

    pub fn optional(&mut self, number: Option<u64>) {
        self.flag(number.is_some());
        self.unsigned(number.unwrap_or_default());
    }

    pub fn optional_time(&mut self, time: Option<Time>) {
        self.flag(time.is_some());
        self.signed(time.unwrap_or_default());
    }

    /// Hashes a value in its serialized form, which is stable.
    pub fn serialized(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_allocvec(value).expect("the value can be serialized");
        self.unsigned(bytes.len() as u64);
        self.bytes(&bytes);
    }

    pub fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
    }

    pub fn origin(&mut self, origin: Option<Origin>) {
        self.unsigned(match origin {
            None => 0,
            Some(Origin::Cached) => 1,
            Some(Origin::Peer) => 2,
            Some(Origin::Service) => 3,
        });
    }

    pub fn outcome(&mut self, outcome: &MergeOutcome) {
        let (number, endpoints) = match outcome {
            MergeOutcome::Complete(endpoints) => (1, Some(endpoints)),
            MergeOutcome::Cached(endpoints) => (2, Some(endpoints)),
            MergeOutcome::Changed(endpoints) => (3, Some(endpoints)),
            MergeOutcome::Unchanged => (4, None),
            MergeOutcome::Stale => (5, None),
        };
        self.unsigned(number);
        self.serialized(&endpoints);
    }

    pub fn log_event(&mut self, event: &LogEvent) {
        let (number, value) = match event {
            LogEvent::WatchEstablished(scope) => (1, u64::from(*scope == WatchScope::Fleet)),
            LogEvent::WatchReleased => (2, 0),
            LogEvent::ServiceBehind(version) => (3, *version),
            LogEvent::ServiceReset => (4, 0),
        };
        self.unsigned(number);
        self.unsigned(value);
    }

    pub fn output(&mut self, output: &Output) {
        match output {
            Output::OpenWatch(after) => {
                self.unsigned(11);
                self.optional(*after);
            }
            Output::CloseWatch => self.unsigned(12),
            Output::Send(to, message) => {
                self.unsigned(13);
                self.address(*to);
                self.bytes(&message.encode());
            }
            Output::Endpoints(outcome) => {
                self.unsigned(14);
                self.outcome(outcome);
            }
            Output::Persist(cached) => {
                self.unsigned(15);
                self.serialized(&cached.list);
                self.signed(cached.confirmed_at);
                self.float(cached.warm_throughput);
            }
            Output::SeedWarmThroughput(throughput) => {
                self.unsigned(16);
                self.float(*throughput);
            }
            Output::Observations(observations) => {
                self.unsigned(17);
                self.serialized(observations);
            }
            Output::Log(event) => {
                self.unsigned(18);
                self.log_event(event);
            }
        }
    }

    pub fn cache(&mut self, now: Time, cache: &EndpointCache) {
        self.optional(cache.revision());
        self.origin(cache.origin());
        self.optional_time(cache.age(now));
        self.optional_time(cache.confirmed_at());
        self.flag(cache.is_service_behind());
        self.unsigned(cache.resets());
        let endpoints: Vec<_> = cache.endpoints().collect();
        self.serialized(&endpoints);
    }

    pub fn counters(&mut self, counters: BootstrapCounters) {
        for count in [
            counters.watches_opened,
            counters.watches_without_leader,
            counters.polls_sent,
            counters.polls_unanswered,
            counters.polls_answered,
        ] {
            self.unsigned(count);
        }
        for count in [
            counters.snapshots_pushed,
            counters.snapshots_merged,
            counters.stale_updates,
            counters.foreign_messages,
            counters.observations_merged,
        ] {
            self.unsigned(count);
        }
    }

    /// Hashes the observable state of an instance.
    pub fn instance(&mut self, now: Time, bootstrap: &Bootstrap) {
        self.cache(now, bootstrap.cache());
        self.counters(bootstrap.counters());
        bootstrap
            .watch_leaders()
            .into_iter()
            .for_each(|leader| self.address(leader));
        self.flag(bootstrap.is_watch_live());
        self.flag(bootstrap.is_ready(now));
        self.signed(bootstrap.retry_after(now));
        self.signed(bootstrap.next_timeout(now));
    }

    pub fn fleet(&mut self, sim: &mut Simulation) {
        for (at, n, output) in sim.recorded.replace(Vec::new()).unwrap_or_default() {
            self.signed(at);
            self.unsigned(n as u64);
            self.output(&output);
        }
        for instance in &sim.instances {
            self.flag(instance.bootstrap.is_some());
            if let Some(bootstrap) = &instance.bootstrap {
                self.instance(sim.now, bootstrap);
            }
        }
    }

    pub fn print(&self, name: &str) {
        println!("digest {name} = {:016x}", self.0);
    }
}
