//! Members that answer, lag, fail, stall, disconnect and send unexpected data.

use super::simulation::{Scheduled, Simulation};
use crate::common::*;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{CloseReason, ConnectionId, Input, StreamHeader};
use stackgw_router::api::{LoadReport, Outcome, Span, MS, SECOND};

/// How a member behaves until its next change.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MemberBehavior {
    Answers,
    Lags,
    Fails,
    RejectsOverload,
    WrongRole,
    SendsMalformed,
    Hangs,
    HangsWithinResponse,
    Disconnects,
    DisconnectsInStartup,
    ClosesAfterResponse,
    RefusesConnect,
    ConnectsSlowly,
    SendsUnexpectedData,
    FutureClock,
}

pub(crate) const BEHAVIORS: [MemberBehavior; 15] = [
    MemberBehavior::Answers,
    MemberBehavior::Lags,
    MemberBehavior::Fails,
    MemberBehavior::RejectsOverload,
    MemberBehavior::WrongRole,
    MemberBehavior::SendsMalformed,
    MemberBehavior::Hangs,
    MemberBehavior::HangsWithinResponse,
    MemberBehavior::Disconnects,
    MemberBehavior::DisconnectsInStartup,
    MemberBehavior::ClosesAfterResponse,
    MemberBehavior::RefusesConnect,
    MemberBehavior::ConnectsSlowly,
    MemberBehavior::SendsUnexpectedData,
    MemberBehavior::FutureClock,
];

impl Simulation {
    pub(crate) fn connect_member(
        &mut self,
        index: usize,
        conn: ConnectionId,
        member: u32,
        is_backend: bool,
    ) {
        self.gateways[index].conns.insert(conn, member);
        let behavior = self.behaviors[member as usize];
        let (connect_delay, greeting_delay) = match behavior {
            MemberBehavior::RefusesConnect => {
                let after = self.random.span(0, 2 * MS);
                return self.schedule(
                    index,
                    after,
                    Scheduled::MemberClosed(conn, CloseReason::Disconnected),
                );
            }
            MemberBehavior::ConnectsSlowly => (
                self.random.span(10 * MS, 500 * MS),
                self.random.span(10 * MS, 600 * MS),
            ),
            MemberBehavior::Hangs if self.random.chance(30) => return,
            _ => (self.random.span(0, 2 * MS), self.random.span(0, 5 * MS)),
        };
        self.schedule(
            index,
            connect_delay,
            Scheduled::Member(conn, Input::MemberConnected(conn)),
        );
        if is_backend {
            return;
        }
        self.schedule(
            index,
            connect_delay,
            Scheduled::Member(conn, Input::MemberFlushed(conn)),
        );
        if behavior == MemberBehavior::DisconnectsInStartup {
            let reason = if self.random.chance(80) {
                CloseReason::Disconnected
            } else {
                CloseReason::ProtocolError
            };
            return self.schedule(
                index,
                connect_delay + greeting_delay,
                Scheduled::MemberClosed(conn, reason),
            );
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
                connect_delay + greeting_delay,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
    }

    /// The parameter messages with a member's role and position.
    pub(crate) fn role_and_position(&mut self, member: u32, lag: Span) -> Vec<Frame> {
        let position = match self.behaviors[member as usize] {
            MemberBehavior::FutureClock => self.now + 9 * SECOND,
            _ => self.now - lag,
        };
        let claims_primary = (member + 1 == self.leader)
            != (self.behaviors[member as usize] == MemberBehavior::WrongRole);
        let role = if claims_primary { "leader" } else { "follower" };
        vec![
            status("node_role", role),
            status("replay_position", &(position / MS).to_string()),
        ]
    }

    pub(crate) fn respond(
        &mut self,
        index: usize,
        conn: ConnectionId,
        is_health_check: bool,
        is_backend: bool,
    ) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let behavior = self.behaviors[member as usize];
        let lag = if behavior == MemberBehavior::Lags {
            3 * SECOND
        } else {
            self.random.span(0, 30 * MS)
        };
        let latency = match behavior {
            MemberBehavior::Lags => self.random.span(50 * MS, 400 * MS),
            _ => self.random.span(MS / 2, 20 * MS),
        };
        let row = self.response_row(member, is_health_check, lag);
        let status_frames = if self.random.chance(85) {
            self.role_and_position(member, lag)
        } else {
            Vec::new()
        };
        match behavior {
            MemberBehavior::Hangs => return,
            MemberBehavior::Disconnects => {
                let reason = if is_backend && self.random.chance(40) {
                    CloseReason::NotSent
                } else {
                    CloseReason::Disconnected
                };
                return self.schedule(index, latency, Scheduled::MemberClosed(conn, reason));
            }
            MemberBehavior::HangsWithinResponse => {
                self.schedule(
                    index,
                    latency,
                    Scheduled::Member(conn, Input::MemberFrame(conn, row[0].clone())),
                );
                return self.schedule(
                    index,
                    latency,
                    Scheduled::Member(conn, Input::MemberPartialFrame(conn)),
                );
            }
            _ => {}
        }
        let frames = self.response_frames(behavior, row, status_frames);
        for frame in frames {
            self.schedule(
                index,
                latency,
                Scheduled::Member(conn, Input::MemberFrame(conn, frame)),
            );
        }
        if behavior == MemberBehavior::ClosesAfterResponse {
            self.close_after(index, conn, latency);
        }
    }

    /// The row of a response to a request or to a health check.
    fn response_row(&mut self, member: u32, is_health_check: bool, lag: Span) -> Vec<Frame> {
        if is_health_check {
            let position = self.now - lag;
            let text = format!(
                "x0={}.{:03},x1={}",
                position / SECOND,
                position % SECOND / MS,
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
            MemberBehavior::Fails => [vec![error("XX000")], status_frames, vec![ready()]].concat(),
            MemberBehavior::RejectsOverload => {
                [vec![error("53300")], status_frames, vec![ready()]].concat()
            }
            MemberBehavior::WrongRole => {
                let code = if self.random.chance(50) {
                    "25006"
                } else {
                    "72000"
                };
                [vec![error(code)], status_frames, vec![ready()]].concat()
            }
            MemberBehavior::SendsMalformed => match self.random.below(3) {
                0 => vec![message(b'I', b""), ready()],
                1 => vec![row[1].clone()],
                _ => [row, vec![message(b'x', b"")]].concat(),
            },
            MemberBehavior::SendsUnexpectedData => {
                [row.clone(), status_frames, vec![ready()], row].concat()
            }
            _ => [row, status_frames, vec![ready()]].concat(),
        }
    }

    /// Closes a connection after a response, sometimes with an error message first.
    fn close_after(&mut self, index: usize, conn: ConnectionId, latency: Span) {
        let after = latency + self.random.span(0, 10 * MS);
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
            Scheduled::MemberClosed(conn, CloseReason::Disconnected),
        );
    }

    pub(crate) fn respond_with_stream(&mut self, index: usize, conn: ConnectionId) {
        let Some(member) = self.gateways[index].conns.get(&conn).copied() else {
            return;
        };
        let header = StreamHeader {
            primary: self.random.chance(80).then_some(member + 1 == self.leader),
            position: self.random.chance(80).then_some(self.now),
            report: LoadReport {
                position: Some(self.now - 10 * MS),
                ..LoadReport::default()
            },
        };
        let start_delay = self.random.span(MS, 30 * MS);
        self.schedule(
            index,
            start_delay,
            Scheduled::Member(conn, Input::StreamStarted(conn, header)),
        );
        let pause_delay = start_delay + self.random.span(0, 50 * MS);
        if self.random.chance(50) {
            self.schedule(
                index,
                pause_delay,
                Scheduled::Member(conn, Input::StreamPaused(conn)),
            );
        }
        let end_delay = pause_delay + self.random.span(0, 300 * MS);
        match self.random.below(5) {
            0 => self.schedule(
                index,
                end_delay,
                Scheduled::MemberClosed(conn, CloseReason::Disconnected),
            ),
            1 => self.schedule(
                index,
                end_delay,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::ConnectionReset)),
            ),
            2 => self.schedule(
                index,
                end_delay,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Cancelled)),
            ),
            _ => self.schedule(
                index,
                end_delay,
                Scheduled::Member(conn, Input::StreamEnded(conn, Outcome::Served)),
            ),
        }
    }

    pub(crate) fn any_connection(&mut self, index: usize) -> Option<ConnectionId> {
        let conns: Vec<_> = self.gateways[index].conns.keys().copied().collect();
        self.random.choose(&conns)
    }

    pub(crate) fn close_any_connection(&mut self, index: usize) {
        let reason = if self.random.chance(70) {
            CloseReason::Disconnected
        } else {
            CloseReason::ProtocolError
        };
        if let Some(conn) = self.any_connection(index) {
            self.deliver(index, Scheduled::MemberClosed(conn, reason));
        }
    }

    pub(crate) fn send_partial_frame(&mut self, index: usize) {
        if let Some(conn) = self.any_connection(index) {
            self.input(index, Input::MemberPartialFrame(conn));
        }
    }
}
