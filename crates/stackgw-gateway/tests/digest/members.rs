//! Members that answer, lag, fail, stall, break and send what nobody requested.

use super::simulation::{Scheduled, Simulation};
use crate::common::*;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{CloseReason, ConnectionId, Input, StreamHeader};
use stackgw_router::api::{LoadReport, Outcome, Span, MS, SECOND};

/// How a member behaves for a while.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MemberBehavior {
    Answers,
    Lags,
    Errs,
    Sheds,
    WrongRole,
    Spoils,
    StandsStill,
    StandsInside,
    Breaks,
    BreaksInStartup,
    ClosesAfter,
    Refuses,
    ComesUpLate,
    SaysTooMuch,
    FutureClock,
}

pub(crate) const BEHAVIORS: [MemberBehavior; 15] = [
    MemberBehavior::Answers,
    MemberBehavior::Lags,
    MemberBehavior::Errs,
    MemberBehavior::Sheds,
    MemberBehavior::WrongRole,
    MemberBehavior::Spoils,
    MemberBehavior::StandsStill,
    MemberBehavior::StandsInside,
    MemberBehavior::Breaks,
    MemberBehavior::BreaksInStartup,
    MemberBehavior::ClosesAfter,
    MemberBehavior::Refuses,
    MemberBehavior::ComesUpLate,
    MemberBehavior::SaysTooMuch,
    MemberBehavior::FutureClock,
];

impl Simulation {
    pub(crate) fn open(&mut self, index: usize, conn: ConnectionId, member: u32, back: bool) {
        self.gateways[index].conns.insert(conn, member);
        let behavior = self.behaviors[member as usize];
        let (up, greets) = match behavior {
            MemberBehavior::Refuses => {
                let after = self.random.span(0, 2 * MS);
                return self.schedule(
                    index,
                    after,
                    Scheduled::Lost(conn, CloseReason::Disconnected),
                );
            }
            MemberBehavior::ComesUpLate => (
                self.random.span(10 * MS, 500 * MS),
                self.random.span(10 * MS, 600 * MS),
            ),
            MemberBehavior::StandsStill if self.random.chance(30) => return,
            _ => (self.random.span(0, 2 * MS), self.random.span(0, 5 * MS)),
        };
        self.schedule(
            index,
            up,
            Scheduled::Member(conn, Input::MemberConnected(conn)),
        );
        if back {
            return;
        }
        self.schedule(
            index,
            up,
            Scheduled::Member(conn, Input::MemberFlushed(conn)),
        );
        if behavior == MemberBehavior::BreaksInStartup {
            let why = if self.random.chance(80) {
                CloseReason::Disconnected
            } else {
                CloseReason::ProtocolError
            };
            return self.schedule(index, up + greets, Scheduled::Lost(conn, why));
        }
        let greeting = match self.random.below(40) {
            0 => vec![error("53300"), ready()],
            1 => vec![message(b'T', b"")],
            2 => vec![error("53300")],
            _ => vec![message(b'R', &[0; 4]), ready()],
        };
        for frame in greeting {
            self.schedule(
                index,
                up + greets,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
    }

    /// What a member says of itself beside an answer.
    pub(crate) fn role_and_position(&mut self, member: u32, behind: Span) -> Vec<Frame> {
        let position = match self.behaviors[member as usize] {
            MemberBehavior::FutureClock => self.now + 9 * SECOND,
            _ => self.now - behind,
        };
        let leads = (member + 1 == self.leader)
            != (self.behaviors[member as usize] == MemberBehavior::WrongRole);
        let role = if leads { "leader" } else { "follower" };
        vec![
            status("node_role", role),
            status("replay_position", &(position / MS).to_string()),
        ]
    }

    pub(crate) fn answer(&mut self, index: usize, conn: ConnectionId, probe: bool, back: bool) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let behavior = self.behaviors[member as usize];
        let behind = if behavior == MemberBehavior::Lags {
            3 * SECOND
        } else {
            self.random.span(0, 30 * MS)
        };
        let took = match behavior {
            MemberBehavior::Lags => self.random.span(50 * MS, 400 * MS),
            _ => self.random.span(MS / 2, 20 * MS),
        };
        let row = self.response_row(member, probe, behind);
        let status_frames = if self.random.chance(85) {
            self.role_and_position(member, behind)
        } else {
            Vec::new()
        };
        match behavior {
            MemberBehavior::StandsStill => return,
            MemberBehavior::Breaks => {
                let why = if back && self.random.chance(40) {
                    CloseReason::NotSent
                } else {
                    CloseReason::Disconnected
                };
                return self.schedule(index, took, Scheduled::Lost(conn, why));
            }
            MemberBehavior::StandsInside => {
                self.schedule(
                    index,
                    took,
                    Scheduled::Member(conn, Input::MemberFrame(conn, row[0].clone())),
                );
                return self.schedule(
                    index,
                    took,
                    Scheduled::Member(conn, Input::MemberPartialFrame(conn)),
                );
            }
            _ => {}
        }
        let frames = self.response_frames(behavior, row, status_frames);
        for frame in frames {
            self.schedule(
                index,
                took,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
        if behavior == MemberBehavior::ClosesAfter {
            self.close_after(index, conn, took);
        }
    }

    /// The row of a response, or of a health check.
    fn response_row(&mut self, member: u32, probe: bool, behind: Span) -> Vec<Frame> {
        if probe {
            let at = self.now - behind;
            let text = format!(
                "x0={}.{:03},x1={}",
                at / SECOND,
                at % SECOND / MS,
                u8::from(member + 1 == self.leader)
            );
            row(text.as_bytes())
        } else {
            let length = self.random.below(300) as usize;
            row(&vec![b'v'; length])
        }
    }

    fn response_frames(
        &mut self,
        behavior: MemberBehavior,
        row: Vec<Frame>,
        status_frames: Vec<Frame>,
    ) -> Vec<Frame> {
        match behavior {
            MemberBehavior::Errs => [vec![error("XX000")], status_frames, vec![ready()]].concat(),
            MemberBehavior::Sheds => [vec![error("53300")], status_frames, vec![ready()]].concat(),
            MemberBehavior::WrongRole => {
                let code = if self.random.chance(50) {
                    "25006"
                } else {
                    "72000"
                };
                [vec![error(code)], status_frames, vec![ready()]].concat()
            }
            MemberBehavior::Spoils => match self.random.below(3) {
                0 => vec![message(b'I', b""), ready()],
                1 => vec![row[1].clone()],
                _ => [row, vec![message(b'x', b"")]].concat(),
            },
            MemberBehavior::SaysTooMuch => {
                [row.clone(), status_frames, vec![ready()], row].concat()
            }
            _ => [row, status_frames, vec![ready()]].concat(),
        }
    }

    /// Closes a connection after a response, perhaps with a message that says why.
    fn close_after(&mut self, index: usize, conn: ConnectionId, took: Span) {
        let after = took + self.random.span(0, 10 * MS);
        if self.random.chance(30) {
            self.schedule(
                index,
                after,
                Scheduled::Member(conn, Input::MemberFrame(conn, error("57P01"))),
            );
        }
        self.schedule(
            index,
            after,
            Scheduled::Lost(conn, CloseReason::Disconnected),
        );
    }

    pub(crate) fn stream(&mut self, index: usize, conn: ConnectionId) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let said = StreamHeader {
            primary: self.random.chance(80).then_some(member + 1 == self.leader),
            position: self.random.chance(80).then_some(self.now),
            report: LoadReport {
                position: Some(self.now - 10 * MS),
                ..LoadReport::default()
            },
        };
        let begins = self.random.span(MS, 30 * MS);
        self.schedule(
            index,
            begins,
            Scheduled::Member(conn, Input::StreamStarted(conn, said)),
        );
        let waits = begins + self.random.span(0, 50 * MS);
        if self.random.chance(50) {
            self.schedule(
                index,
                waits,
                Scheduled::Member(conn, Input::StreamPaused(conn)),
            );
        }
        let over = waits + self.random.span(0, 300 * MS);
        match self.random.below(5) {
            0 => self.schedule(
                index,
                over,
                Scheduled::Lost(conn, CloseReason::Disconnected),
            ),
            1 => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::ConnectionReset)),
            ),
            2 => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Cancelled)),
            ),
            _ => self.schedule(
                index,
                over,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Served)),
            ),
        }
    }

    pub(crate) fn any_conn(&mut self, index: usize) -> Option<ConnectionId> {
        let conns: Vec<_> = self.gateways[index].conns.keys().copied().collect();
        self.random.one(&conns)
    }

    pub(crate) fn lose_conn(&mut self, index: usize) {
        let why = if self.random.chance(70) {
            CloseReason::Disconnected
        } else {
            CloseReason::ProtocolError
        };
        if let Some(conn) = self.any_conn(index) {
            self.deliver(index, Scheduled::Lost(conn, why));
        }
    }

    pub(crate) fn partial(&mut self, index: usize) {
        if let Some(conn) = self.any_conn(index) {
            self.input(index, Input::MemberPartialFrame(conn));
        }
    }
}
