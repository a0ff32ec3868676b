//! The state that the roles of an instance share, and the context in which they handle one input.

use crate::durability::Durability;
use crate::identity::{Peer, RequestNumber};
use crate::message::Message;
use crate::output::{Output, ReadRequirement};
use crate::record::Record;
use crate::replica_set::ReplicaSet;
use crate::settings::Settings;
use crate::status::UncomparedCounters;
use stackgw_router::api::Time;

/// The state that the roles of an instance share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
    pub(crate) settings: Settings,
    /// The replica set in force.
    pub(crate) replica_set: ReplicaSet,
    pub(crate) durability: Durability,
    pub(crate) counters: UncomparedCounters,
    /// The last number assigned to a lease request, a position query or a forwarded write.
    last_nonce: u64,
}

impl Instance {
    pub(crate) fn new(settings: Settings, durability: Durability) -> Self {
        Instance {
            replica_set: settings.replica_set(),
            settings,
            durability,
            counters: UncomparedCounters::default(),
            last_nonce: 0,
        }
    }

    /// This instance and its incarnation.
    pub(crate) fn local(&self) -> Peer {
        self.settings.local
    }

    /// Whether this instance is a session replica.
    pub(crate) fn is_replica(&self) -> bool {
        self.replica_set.contains(self.local().node)
    }

    /// Whether responses to writes can be released at all.
    pub(crate) fn can_release(&self) -> bool {
        !(self.durability.has_failed() && self.is_replica())
    }
}

/// The context of one input: its time, the shared state and the list that receives the outputs.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) instance: &'a mut Instance,
    outputs: &'a mut Vec<Output>,
}

impl<'a> Context<'a> {
    pub(crate) fn new(now: Time, instance: &'a mut Instance, outputs: &'a mut Vec<Output>) -> Self {
        Context {
            now,
            instance,
            outputs,
        }
    }

    pub(crate) fn send(&mut self, to: Peer, message: Message) {
        self.instance.counters.messages_sent += 1;
        self.outputs.push(Output::Send(to, message));
    }

    /// Requests that a record be stored, and returns its number.
    pub(crate) fn store(&mut self, record: Record) -> u64 {
        self.outputs.push(Output::Store(record));
        self.instance.durability.number_record()
    }

    pub(crate) fn release(&mut self, request: RequestNumber) {
        self.outputs.push(Output::Release(request));
    }

    pub(crate) fn require(&mut self, request: RequestNumber, requirement: ReadRequirement) {
        self.outputs
            .push(Output::ReadRequirement(request, requirement));
    }

    pub(crate) fn next_nonce(&mut self) -> u64 {
        self.instance.last_nonce += 1;
        self.instance.last_nonce
    }

    /// Requests that the replica set in force be recorded, if there is a store.
    pub(crate) fn record_replica_set(&mut self) {
        if self.instance.durability.has_store() {
            let digest = self.instance.replica_set.digest();
            let record = self.store(Record::ReplicaSet(digest));
            self.instance.durability.set_replica_set_record(record);
        }
    }
}
