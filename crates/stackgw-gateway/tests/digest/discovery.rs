//! The list service and its endpoint list.

use super::simulation::{Scheduled, Simulation};
use super::MEMBERS;
use crate::common::*;
use stackgw_gateway::discovery::{ListUpdate, WatchError};
use stackgw_gateway::reducer::Input;
use stackgw_router::api::{MS, SECOND};

impl Simulation {
    /// The current list of the list service: all entries, or some of them.
    pub(crate) fn endpoint_list(&mut self, complete: bool) -> ListUpdate {
        let mut entries = Vec::new();
        for n in 1..=MEMBERS {
            let index = (n - 1) as usize;
            if self.phases[index] == 3 || (!complete && self.random.chance(50)) {
                continue;
            }
            let phase = ["ready", "draining", "gone"][usize::from(self.phases[index])];
            let role = if n == self.leader {
                "leader"
            } else {
                "follower"
            };
            let mut text = entry(n, phase, role);
            if self.has_new_address[index] {
                text = text.replace("127.0.0.1:70", "127.0.0.1:71");
            }
            if self.up_since_ms[index] != 0 {
                text = text.replace(
                    "\"up_since_ms\":0",
                    &format!("\"up_since_ms\":{}", self.up_since_ms[index]),
                );
            }
            entries.push(text);
        }
        list(self.revision, complete, &entries)
    }

    pub(crate) fn open_watch(&mut self, index: usize, _after: Option<u64>) {
        let gateway = &mut self.gateways[index];
        gateway.watches_opened += 1;
        gateway.watch = Some(gateway.watches_opened);
        let number = gateway.watches_opened;
        if !self.agent_up {
            if self.random.chance(60) {
                let retry_after = self.random.chance(30).then_some(200 * MS);
                let error = WatchError {
                    reason: "refused".to_owned(),
                    retry_after,
                };
                let after = self.random.span(0, 3 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Watch(number, Input::WatchLost(error)),
                );
            }
            return;
        }
        let connect_delay = self.random.span(0, 10 * MS);
        self.schedule(
            index,
            connect_delay,
            Scheduled::Watch(number, Input::WatchConnected),
        );
        let list = self.endpoint_list(true);
        let after = connect_delay + self.random.span(0, 10 * MS);
        self.schedule(
            index,
            after,
            Scheduled::Watch(number, Input::EndpointList(list)),
        );
        for n in 1..4 {
            self.schedule(
                index,
                after + n * 2 * SECOND,
                Scheduled::Watch(number, Input::WatchKeepalive),
            );
        }
    }

    pub(crate) fn change_list(&mut self) {
        let member = self.random.below(MEMBERS.into()) as usize;
        match self.random.below(8) {
            0..=3 => self.phases[member] = [0, 0, 0, 1, 2, 3][self.random.below(6) as usize],
            4 => self.has_new_address[member] = !self.has_new_address[member],
            5 => self.up_since_ms[member] = self.now / MS - self.random.span(0, 20_000),
            6 => self.leader = 1 + self.random.below(MEMBERS.into()) as u32,
            _ => self.up_since_ms[member] = 0,
        }
        self.revision += 1;
        if self.random.chance(5) {
            self.revision = 1;
        }
        let complete = self.random.chance(40);
        for index in 0..self.gateways.len() {
            let list = self.endpoint_list(complete);
            if let Some(number) = self.gateways[index].watch.filter(|_| self.agent_up) {
                let after = self.random.span(0, 20 * MS);
                self.schedule(
                    index,
                    after,
                    Scheduled::Watch(number, Input::EndpointList(list)),
                );
            }
        }
    }

    pub(crate) fn lose_watch(&mut self, index: usize) {
        if let Some(number) = self.gateways[index].watch {
            self.deliver(
                index,
                Scheduled::Watch(number, Input::WatchLost("ended".into())),
            );
        }
    }
}
