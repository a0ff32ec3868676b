//! The random actions of a history.

use super::config::{add_operator_file, peer_address};
use super::members::{MemberBehavior, BEHAVIORS};
use super::random::Random;
use super::simulation::{Scheduled, Simulation};
use super::MEMBERS;
use stackgw_gateway::config::{Config, ConfigError};
use stackgw_gateway::reducer::{CloseReason, Input, StatusQuery};
use stackgw_router::api::{MS, SECOND};
use stackgw_store::CommitOutcome;

impl Simulation {
    pub(crate) fn reload(&mut self, index: usize) {
        let port = 8500 + self.random.below(3);
        let text = self
            .config_text
            .replace("127.0.0.1:8500", &format!("127.0.0.1:{port}"));
        let fails = self.random.chance(20);
        let mut config = match Config::from_text(&text, |_| None) {
            Ok(config) if !fails => config,
            _ => return self.input(index, Input::Reload(Err(ConfigError::NoFile))),
        };
        let options = self.options;
        let mut random = Random(self.random.next());
        add_operator_file(&mut config, index, options, &mut random);
        if self.random.chance(10) {
            (config.session_sharing, config.cluster, config.bootstrap) = (None, None, None);
        }
        self.input(index, Input::Reload(Ok(Box::new(config))));
    }

    pub(crate) fn query_status(&mut self, index: usize) {
        let query = match self.random.below(3) {
            0 => StatusQuery::Sessions,
            1 => StatusQuery::Session(2, format!("k{}", self.random.below(4))),
            _ => StatusQuery::EndpointList,
        };
        self.input(index, Input::StatusQuery(7, query));
    }

    /// Delivers a random or replayed datagram.
    pub(crate) fn deliver_datagram(&mut self, index: usize) {
        let length = self.random.below(40);
        let random_bytes: Vec<_> = (0..length).map(|_| self.random.next() as u8).collect();
        let bytes = match self.sent_datagrams.len() as u64 {
            0 => random_bytes,
            _ if self.random.chance(40) => random_bytes,
            count => self.sent_datagrams[self.random.below(count) as usize].clone(),
        };
        let from = peer_address(self.random.below(3) as usize);
        self.input(index, Input::GossipDatagram(from, bytes.clone()));
        if self.random.chance(30) {
            self.input(index, Input::ClusterDatagram(bytes));
        }
    }

    pub(crate) fn fail_store(&mut self, index: usize) {
        let quarantined = self.random.chance(50);
        let error = stackgw_store::StoreError::Io {
            path: "g0.redb".into(),
            source: std::io::Error::other("the disk is full"),
        };
        self.input(
            index,
            Input::StoreEvent(CommitOutcome::Failed { error, quarantined }),
        );
    }

    pub(crate) fn terminate(&mut self, index: usize) {
        if !self.gateways[index].terminated && self.random.chance(15) {
            self.gateways[index].terminated = true;
            self.input(index, Input::Terminate);
        }
    }

    pub(crate) fn step(&mut self) {
        let index = self.random.below(self.gateways.len() as u64) as usize;
        match self.random.below(100) {
            0..=11 => self.open_client(index),
            12..=49 => self.send_statements(index),
            50..=55 => self.start_call(index),
            56..=57 => self.cancel_call(index),
            58..=60 => {
                if let Some(id) = self.any_client(index) {
                    self.deliver(index, Scheduled::ClientClosed(id));
                }
            }
            61 => {
                if let Some(id) = self.any_client(index) {
                    self.input(index, Input::ClientClosed(id, CloseReason::ProtocolError));
                }
            }
            62..=64 => self.send_cancel(index),
            65..=74 => {
                let member = self.random.below(MEMBERS.into()) as usize;
                let behavior = self
                    .random
                    .choose(&BEHAVIORS)
                    .unwrap_or(MemberBehavior::Answers);
                self.behaviors[member] = if self.random.chance(45) {
                    MemberBehavior::Answers
                } else {
                    behavior
                };
            }
            75..=79 => self.change_list(),
            80 => self.agent_up = !self.agent_up,
            81 => self.lose_watch(index),
            82 => self.reload(index),
            83..=84 => self.deliver_datagram(index),
            85..=86 => self.query_status(index),
            87 => self.input(index, Input::Report),
            88..=90 => self.send_partial_message(index),
            91..=92 => self.resume_reading(index),
            93..=94 => self.close_any_connection(index),
            95 => self.send_partial_frame(index),
            96 if self.options.sessions && self.random.chance(15) => self.fail_store(index),
            97 if self.last_event_number > 400 => self.terminate(index),
            98 => {
                let span = if self.random.chance(15) {
                    100 * SECOND
                } else {
                    2 * SECOND
                };
                self.advance(span);
            }
            _ => {}
        }
        let span = match self.random.below(6) {
            0 => 0,
            1 => self.random.span(0, 300 * MS),
            _ => self.random.span(0, 20 * MS),
        };
        self.advance(span);
        self.digest_visible_state();
    }
}
