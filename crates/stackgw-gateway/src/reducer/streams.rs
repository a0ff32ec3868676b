//! Members that speak another front's protocol, and answers that come as streams: from the first message on such an answer
//! belongs to its client and is never begun again elsewhere. It counts as load at its member until it waits for its reader.

use super::*;
use crate::config::OperatorConfig;

/// What is asked of a member that speaks another front's protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendRequest {
    /// The statement with its comment, as our first protocol has it.
    pub statement: String,
    /// How long this gateway will wait, in milliseconds.
    pub timeout_ms: u64,
    /// It writes: once asked it runs to its end, whoever leaves.
    pub is_write: bool,
    /// Its answer may come as a stream; else it is one value.
    pub may_stream: bool,
}

impl BackendRequest {
    /// The same with the statement of a query message.
    pub(super) fn with(self, query: &[u8]) -> Self {
        let text = query
            .get(5..)
            .and_then(|body| body.strip_suffix(b"\0"))
            .unwrap_or_default();
        BackendRequest {
            statement: String::from_utf8_lossy(text).into_owned(),
            ..self
        }
    }
}

/// What a stream's beginning says of its member.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamHeader {
    /// It is the primary, or it is not.
    pub primary: Option<bool>,
    /// Its position.
    pub position: Option<Time>,
    /// The load report that rode along.
    pub report: LoadReport,
}

/// Which members speak another front's protocol, by the operator's file.
#[derive(Debug, Default)]
pub(super) struct Backs {
    groups: BTreeSet<u32>,
    members: BTreeSet<String>,
}

impl Backs {
    pub(super) fn new(operator: &OperatorConfig) -> Self {
        let Some(flight) = &operator.flight else {
            return Backs::default();
        };
        Backs {
            groups: flight.options.groups.iter().copied().collect(),
            members: flight.options.members.iter().cloned().collect(),
        }
    }

    pub(super) fn speaks(&self, entry: &ListEntry) -> bool {
        self.groups.contains(&entry.cell) || self.members.contains(&entry.id)
    }
}

impl Reducer {
    /// An answer has begun. It is its client's from here on: what else is out for it is called off, the router is told that
    /// nothing is owed any more, and nothing of it is asked for again.
    pub(super) fn member_streams(
        &mut self,
        now: Time,
        id: ConnectionId,
        said: StreamHeader,
        out: &mut Vec<Effect>,
    ) {
        let Some(conn) = self
            .conns
            .get_mut(&id)
            .filter(|c| c.phase == Phase::Waiting)
        else {
            return;
        };
        let (member, job) = (conn.member, conn.job);
        let Some(Job::Attempt { request, sent, .. }) = job else {
            // A probe is answered by one value.
            out.push(Effect::MemberClose(id));
            return self.end_job(now, id, Outcome::MalformedResponse, out);
        };
        let open = self
            .requests
            .get_mut(&request)
            .filter(|open| !open.ended && open.streams);
        let asker = open.and_then(|open| {
            open.asker
                .filter(|asker| matches!(asker, Requester::Call(_)))
        });
        let Some(Requester::Call(call)) = asker else {
            out.push(Effect::MemberClose(id));
            return self.end_job(now, id, Outcome::Cancelled, out);
        };
        let timer = conn.timer.take();
        conn.phase = Phase::Streaming {
            began: now - sent,
            call,
            load: true,
        };
        if let Some(timer) = timer {
            self.timers.remove(&timer);
        }
        // Kept until the router is told how the attempt went.
        let StreamHeader {
            primary,
            position,
            report,
        } = said;
        let mut reply = Reply::default();
        (reply.primary, reply.position, reply.report) = (primary, position, report);
        self.disbelieve(now, &mut reply);
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.reply = reply;
        }
        let mut others = Vec::new();
        if let Some(open) = self.requests.get_mut(&request) {
            (open.ended, open.asker) = (true, None);
            others.extend(
                open.out
                    .iter()
                    .map(|(_, conn)| *conn)
                    .filter(|conn| *conn != id),
            );
        }
        self.counters.answered_served += 1;
        self.counters.streams_begun += 1;
        out.push(Effect::CallStreaming(call, id));
        self.events
            .push_back(Event::StreamStarted { request, member });
        for other in others {
            out.push(Effect::MemberClose(other));
            self.end_job(now, other, Outcome::Cancelled, out);
        }
    }

    /// A stream waits for its reader: what it is from here on is no load at its member.
    ///
    /// Danger: streams that nobody reads would else count against their member's limit, and close it for all others.
    pub(super) fn member_stream_waits(&mut self, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if let Phase::Streaming { load, .. } = &mut conn.phase {
            if std::mem::replace(load, false) {
                self.stream_told(id, Outcome::Served);
            }
        }
    }

    /// Tells the router how an attempt went whose answer is a stream, by the time until that began.
    fn stream_told(&mut self, id: ConnectionId, outcome: Outcome) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let Phase::Streaming { began: took, .. } = conn.phase else {
            return;
        };
        let (
            member,
            Reply {
                primary,
                position,
                report,
                ..
            },
        ) = (conn.member, std::mem::take(&mut conn.reply));
        let Some(Job::Attempt {
            request,
            number: attempt,
            ..
        }) = conn.job
        else {
            return;
        };
        let finished = true;
        let answer = AttemptResult {
            request,
            attempt,
            member,
            outcome,
            elapsed: took,
            request_finished: finished,
            is_primary: primary,
            position,
            load_report: report,
        };
        self.events.push_back(Event::AttemptEnded(answer));
    }

    /// A stream is over. The router learns from the time until it began, not from how long its reader took.
    pub(super) fn member_stream_over(
        &mut self,
        now: Time,
        id: ConnectionId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let Phase::Streaming { call, load, .. } = conn.phase else {
            return;
        };
        let (member, whole) = (conn.member, outcome == Outcome::Served);
        if load {
            self.stream_told(id, outcome);
        }
        let job = self.unbind(id);
        if let Some(conn) = self.conns.get_mut(&id).filter(|_| whole) {
            conn.phase = Phase::Idle;
            self.pool.put(member, id, now);
        } else {
            self.counters.streams_broken += 1;
            out.push(Effect::MemberClose(id));
            self.forget(id);
        }
        self.count(outcome);
        self.calls.remove(&call);
        if let Some(Job::Attempt { request, .. }) = job {
            self.forget_request(request);
        }
    }

    /// Nobody waits for another front's request any more. A read's stream ends at its member; a write runs to its end there.
    pub(super) fn call_gone(&mut self, now: Time, call: CallId, out: &mut Vec<Effect>) {
        let Some(request) = self.calls.remove(&call) else {
            return;
        };
        let streaming = |id: &ConnectionId| {
            self.conns
                .get(id)
                .is_some_and(|conn| matches!(conn.phase, Phase::Streaming { .. }))
        };
        let open = self.requests.get(&request);
        match open.and_then(|open| open.out.iter().map(|(_, id)| *id).find(streaming)) {
            Some(conn) => self.member_stream_over(now, conn, Outcome::Cancelled, out),
            None => self.abandon(request),
        }
    }
}
