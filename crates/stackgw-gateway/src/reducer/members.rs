//! Connections to members: attempts and probes, what came back and what it means.

use super::*;

/// What a connection to a member is busy with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Job {
    Attempt {
        request: RequestId,
        number: u32,
        sent: Time,
        give_up: Time,
        again: bool,
    },
    Probe {
        sent: Time,
    },
}

impl Job {
    /// It has been given a second connection.
    fn is_again(self) -> bool {
        matches!(self, Job::Attempt { again: true, .. } | Job::Probe { .. })
    }

    fn once_more(self) -> Self {
        match self {
            Job::Attempt {
                request,
                number,
                sent,
                give_up,
                ..
            } => Job::Attempt {
                request,
                number,
                sent,
                give_up,
                again: true,
            },
            probe => probe,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Connecting,
    Starting,
    Idle,
    /// The job's bytes are being written.
    Writing,
    /// They are written.
    Waiting,
    /// The answer has begun and belongs to its client; it took so long until then. It is load at its member until it waits
    /// for its reader.
    Streaming {
        began: Span,
        call: CallId,
        load: bool,
    },
}

/// A connection to a member.
#[derive(Debug)]
pub(super) struct Conn {
    pub(super) member: MemberId,
    pub(super) phase: Phase,
    /// It speaks another front's protocol.
    pub(super) back: bool,
    pub(super) job: Option<Job>,
    /// It had stood idle before this job.
    pub(super) reused: bool,
    pub(super) reply: Reply,
    /// Its answer has begun and is not whole.
    pub(super) partial: bool,
    /// When its attempt or probe is given up.
    pub(super) until: Time,
    pub(super) timer: Option<TimerKey>,
}

impl Reducer {
    pub(super) fn send(
        &mut self,
        now: Time,
        request: RequestId,
        member: MemberId,
        timeout: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        self.counters.attempts += 1;
        let number = open.sent;
        open.sent += 1;
        let give_up = timeout.map_or(open.deadline, |t| open.deadline.min(now + t));
        let job = Job::Attempt {
            request,
            number,
            sent: now,
            give_up,
            again: false,
        };
        if give_up <= now || open.ended {
            return self.job_ended(now, member, job, Outcome::NotSent, Reply::default(), out);
        }
        self.employ(now, member, job, out);
    }

    /// Gives a job to an idle connection, the one used last, or to a new one.
    pub(super) fn employ(&mut self, now: Time, member: MemberId, job: Job, out: &mut Vec<Effect>) {
        let Some((address, back)) = self.members.get(&member).map(|m| (m.address, m.back)) else {
            return self.job_ended(now, member, job, Outcome::NotSent, Reply::default(), out);
        };
        self.ways_changed(member);
        if let Some(id) = self.pool.take(member) {
            self.bind(id, job);
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.reused = true;
            }
            return self.write_job(now, id, out);
        }
        if let Some(id) = self.coming.remove(&member) {
            self.bind(id, job);
            return self.set_conn_timer(id, now + self.limits.connect_timeout);
        }
        if !self.may_open(now, member) {
            return self.job_ended(now, member, job, Outcome::NotSent, Reply::default(), out);
        }
        if self.conns.len() >= self.limits.member_connections {
            match self
                .pool
                .oldest()
                .or_else(|| self.coming.pop_first().map(|(_, id)| id))
            {
                Some(idle) => {
                    self.counters.members_evicted += 1;
                    out.push(Effect::MemberClose(idle));
                    self.forget(idle);
                }
                None => {
                    return self.job_ended(
                        now,
                        member,
                        job,
                        Outcome::NotSent,
                        Reply::default(),
                        out,
                    )
                }
            }
        }
        let id = ConnectionId(self.next_conn);
        self.next_conn += 1;
        self.counters.members_opened += 1;
        self.counters.members_open += 1;
        self.deal(|deal| deal.record_attempt(now, member));
        let timer = Some(self.set_timer(now + self.limits.connect_timeout, Due::Conn(id)));
        let phase = Phase::Connecting;
        let reply = Reply::default();
        let conn = Conn {
            member,
            phase,
            back,
            job: None,
            reused: false,
            reply,
            partial: false,
            until: 0,
            timer,
        };
        self.conns.insert(id, conn);
        self.bind(id, job);
        out.push(if back {
            Effect::BackendConnect(id, address)
        } else {
            Effect::MemberConnect(id, address)
        });
    }

    /// Closes the idle connections to a member.
    pub(super) fn close_idle(&mut self, member: MemberId, out: &mut Vec<Effect>) {
        for conn in self
            .pool
            .drain(member)
            .into_iter()
            .chain(self.coming.remove(&member))
        {
            out.push(Effect::MemberClose(conn));
            self.forget(conn);
        }
    }

    pub(super) fn bind(&mut self, id: ConnectionId, job: Job) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.job = Some(job);
        }
        if let Job::Attempt {
            request, number, ..
        } = job
        {
            if let Some(open) = self.requests.get_mut(&request) {
                open.out.push((number, id));
            }
        }
    }

    pub(super) fn member_up(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Effect>) {
        let Some(conn) = self
            .conns
            .get_mut(&id)
            .filter(|c| c.phase == Phase::Connecting)
        else {
            return;
        };
        conn.phase = Phase::Starting;
        if conn.back {
            self.counters.members_up += 1;
            return self.write_job(now, id, out);
        }
        let mut bytes = Vec::new();
        write::startup(&mut bytes, "stackgw", "core");
        out.push(Effect::MemberWrite(id, bytes));
    }

    /// Writes the connection's job; its time to answer begins.
    pub(super) fn write_job(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let told = self.members.get(&conn.member).and_then(|m| m.told);
        if told.is_some_and(|told| now - told > self.limits.drain_grace) {
            // Danger: a slow connect would carry what was asked for inside the drain's grace past it.
            conn.phase = Phase::Writing;
            out.push(Effect::MemberClose(id));
            return self.end_job(now, id, Outcome::NotSent, out);
        }
        // Danger: a client may leave, or its time end, while its attempt waits for a connection; where the settings allow no
        // cancels nothing has taken that attempt back.
        if conn.job.is_some_and(|job| self.is_over(now, job)) {
            return self.rest(now, id, Outcome::NotSent, out);
        }
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let back = conn.back;
        let mut asked = BackendRequest::default();
        let (bytes, until) = match conn.job {
            Some(Job::Attempt {
                request, give_up, ..
            }) => {
                let Some(open) = self.requests.get(&request) else {
                    return;
                };
                let wait_ms = ((give_up - now) / MS).max(1) as u64;
                asked = BackendRequest {
                    timeout_ms: wait_ms,
                    is_write: open.statement.write,
                    may_stream: open.streams,
                    ..asked
                };
                (open.statement.with_timeout(wait_ms), give_up)
            }
            Some(Job::Probe { sent }) => {
                let mut bytes = Vec::new();
                write::query(&mut bytes, "SHOW server_load");
                asked.timeout_ms = (self.limits.health_check_timeout / MS).max(1) as u64;
                (bytes, sent + self.limits.health_check_timeout)
            }
            None => return,
        };
        (conn.phase, conn.reply, conn.partial) = (Phase::Writing, Reply::default(), false);
        conn.until = until;
        self.set_conn_timer(id, until);
        out.push(match back {
            true => Effect::BackendSend(id, asked.with(&bytes)),
            false => Effect::MemberWrite(id, bytes),
        });
    }

    /// Nobody waits for an attempt any more, or not for long enough.
    fn is_over(&self, now: Time, job: Job) -> bool {
        let ended = |request| self.requests.get(request).is_none_or(|open| open.ended);
        matches!(&job, Job::Attempt { request, give_up, .. } if *give_up <= now || ended(request))
    }

    /// A connection that is up has its job behind it, be it answered or no longer wanted, and stands idle.
    fn rest(&mut self, now: Time, id: ConnectionId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        conn.phase = Phase::Idle;
        let (member, timer) = (conn.member, conn.timer.take());
        timer.and_then(|timer| self.timers.remove(&timer));
        self.end_job(now, id, outcome, out);
        self.pool.put(member, id, now);
        self.ways_changed(member);
    }

    /// Sets a connection's one timer.
    pub(super) fn set_conn_timer(&mut self, id: ConnectionId, at: Time) {
        let timer = self.set_timer(at, Due::Conn(id));
        let old = self
            .conns
            .get_mut(&id)
            .and_then(|conn| conn.timer.replace(timer));
        if let Some(old) = old {
            self.timers.remove(&old);
        }
    }

    pub(super) fn member_written(&mut self, id: ConnectionId) {
        let Some(conn) = self
            .conns
            .get_mut(&id)
            .filter(|c| c.phase == Phase::Writing)
        else {
            return;
        };
        conn.phase = Phase::Waiting;
        if matches!(conn.job, Some(Job::Attempt { .. })) {
            self.counters.written += 1;
        }
    }

    pub(super) fn member_frame(
        &mut self,
        now: Time,
        id: ConnectionId,
        frame: &Frame,
        out: &mut Vec<Effect>,
    ) {
        let most = self.limits.answer_bytes;
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let greeting = |kind| matches!(kind, b'R' | b'S' | b'K' | b'N' | b'v' | b'E' | b'Z');
        match (conn.phase, conn.reply.take(frame, most)) {
            (Phase::Streaming { .. }, _) => {}
            // Danger: a second copy or noise behind an answer would be taken for the next request's answer. Nothing
            // is in place between requests, but a member that closes an idle connection may say why.
            (Phase::Idle, _) => {
                let why = if frame.kind == b'E' {
                    CloseReason::Disconnected
                } else {
                    CloseReason::UnexpectedData
                };
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, why, out);
            }
            (Phase::Starting, Ok(_)) if !greeting(frame.kind) => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, CloseReason::ProtocolError, out);
            }
            (Phase::Connecting, _) | (_, Err(_)) => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, CloseReason::ProtocolError, out);
            }
            (_, Ok(false)) => {}
            (Phase::Starting, Ok(true)) => {
                self.counters.members_up += 1;
                let (member, busy) = (conn.member, conn.job.is_some());
                self.deal(|deal| deal.record_success(member));
                let Some(conn) = self.conns.get_mut(&id) else {
                    return;
                };
                if busy {
                    return self.write_job(now, id, out);
                }
                conn.phase = Phase::Idle;
                let timer = conn.timer.take();
                timer.and_then(|timer| self.timers.remove(&timer));
                self.coming.remove(&member);
                self.pool.put(member, id, now);
                self.ways_changed(member);
            }
            (Phase::Writing | Phase::Waiting, Ok(true)) => {
                let outcome = outcome(&conn.reply).unwrap_or(Outcome::MalformedResponse);
                if conn.phase == Phase::Writing || outcome == Outcome::MalformedResponse {
                    // It is out of step: what is still to be written would be taken for the next request.
                    out.push(Effect::MemberClose(id));
                    return self.end_job(now, id, outcome, out);
                }
                self.rest(now, id, outcome, out);
            }
        }
    }

    /// Part of a message is no answer yet. On an idle connection nobody asked for it; an answer that has begun goes on.
    pub(super) fn member_partial(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Effect>) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        match conn.phase {
            Phase::Idle => {
                out.push(Effect::MemberClose(id));
                self.member_closed(now, id, CloseReason::UnexpectedData, out);
            }
            Phase::Waiting => {
                // Danger: a length beyond what follows would hold its request until the client's time is over.
                conn.partial = true;
                let until = conn.until.min(now + self.limits.answer_stall_timeout);
                self.set_conn_timer(id, until);
            }
            _ => {}
        }
    }

    /// A connection is over. Whether its request's last byte was written tells what that means.
    pub(super) fn member_closed(
        &mut self,
        now: Time,
        id: ConnectionId,
        why: CloseReason,
        out: &mut Vec<Effect>,
    ) {
        self.handshake_failed(now, id);
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if why == CloseReason::ProtocolError {
            self.counters.members_bad += 1;
            log_rarely(self.counters.members_bad, "bad bytes from members:", out);
        }
        let job = conn.job;
        if why == CloseReason::UnexpectedData {
            self.counters.members_unasked += 1;
            log_rarely(
                self.counters.members_unasked,
                "connections with more than was asked for:",
                out,
            );
        }
        // An error may be a member's last word; a row counts only once the member is ready again behind it.
        let ended = outcome(&conn.reply)
            .filter(|ended| *ended != Outcome::Served || conn.reply.is_complete());
        let outcome = match conn.phase {
            Phase::Idle => {
                self.counters.members_closed += u64::from(why == CloseReason::Disconnected);
                self.pool.remove(id);
                return self.forget(id);
            }
            Phase::Writing
                if conn.reused && why != CloseReason::ProtocolError && ended.is_none() =>
            {
                // It had closed while idle, so this request has not been sent at all yet.
                return self.reopen(now, id, job, out);
            }
            Phase::Starting
                if why == CloseReason::Disconnected
                    && ended.is_none()
                    && !job.is_some_and(Job::is_again) =>
            {
                // It came up, so somebody listens; what broke is this connection.
                return self.reopen(now, id, job.map(Job::once_more), out);
            }
            Phase::Connecting => Outcome::ConnectFailed,
            Phase::Streaming { .. } => {
                return self.member_stream_over(now, id, Outcome::ConnectionReset, out)
            }
            Phase::Waiting if why == CloseReason::NotSent && ended.is_none() => {
                Outcome::ConnectFailed
            }
            Phase::Starting | Phase::Writing if ended == Some(Outcome::Overloaded) => {
                Outcome::Overloaded
            }
            Phase::Starting | Phase::Writing => Outcome::ConnectFailed,
            Phase::Waiting if why == CloseReason::ProtocolError => Outcome::MalformedResponse,
            Phase::Waiting => ended.unwrap_or(Outcome::ConnectionReset),
        };
        self.end_job(now, id, outcome, out);
    }

    /// Gives a job whose bytes have not been sent at all another connection.
    fn reopen(&mut self, now: Time, id: ConnectionId, job: Option<Job>, out: &mut Vec<Effect>) {
        let Some(member) = self.conns.get(&id).map(|conn| conn.member) else {
            return;
        };
        self.counters.members_reopened += 1;
        self.unbind(id);
        self.forget(id);
        if let Some(job) = job {
            self.employ(now, member, job, out);
        }
    }

    /// A connection ends, or its time is up: where it was still coming up, that turn has brought nothing.
    fn handshake_failed(&mut self, now: Time, id: ConnectionId) {
        let coming = |c: &&Conn| matches!(c.phase, Phase::Connecting | Phase::Starting);
        if let Some(member) = self.conns.get(&id).filter(coming).map(|conn| conn.member) {
            self.deal(|deal| deal.record_failure(now, member));
        }
    }

    /// A connection's time is up: it did not come up, or its attempt or probe is given up.
    pub(super) fn conn_due(&mut self, now: Time, id: ConnectionId, out: &mut Vec<Effect>) {
        self.handshake_failed(now, id);
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        conn.timer = None;
        let outcome = match conn.phase {
            Phase::Connecting | Phase::Starting | Phase::Writing => Outcome::ConnectFailed,
            Phase::Waiting if conn.partial && now < conn.until => Outcome::MalformedResponse,
            Phase::Waiting => Outcome::TimedOut,
            Phase::Idle | Phase::Streaming { .. } => return,
        };
        self.give_up_conn(now, id, outcome, out);
    }

    /// Ends the job of a connection and closes that, as it can carry nothing else.
    ///
    /// Danger: a handshake that a member has begun costs it the same whether or not somebody still waits. Thrown away, it is
    /// asked for again by the next attempt, and a fleet that starts before busy members does nothing but shake hands. One for
    /// each member is let come up for whoever asks next.
    pub(super) fn give_up_conn(
        &mut self,
        now: Time,
        id: ConnectionId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let begun = |c: &&Conn| c.phase == Phase::Starting && !c.back && c.job.is_some();
        let member = self.conns.get(&id).filter(begun).map(|conn| conn.member);
        let serves = |m: &MemberId| {
            self.members
                .get(m)
                .is_some_and(|known| known.told.is_none())
        };
        let Some(member) = member
            .filter(serves)
            .filter(|m| !self.coming.contains_key(m))
        else {
            out.push(Effect::MemberClose(id));
            return self.end_job(now, id, outcome, out);
        };
        self.coming.insert(member, id);
        self.counters.members_late += 1;
        self.set_conn_timer(id, now + self.limits.late_connect_timeout);
        if let Some(job) = self.unbind(id) {
            self.job_ended(now, member, job, outcome, Reply::default(), out);
        }
    }

    pub(super) fn unbind(&mut self, id: ConnectionId) -> Option<Job> {
        let job = self.conns.get_mut(&id)?.job.take()?;
        if let Job::Attempt { request, .. } = job {
            if let Some(open) = self.requests.get_mut(&request) {
                open.out.retain(|(_, conn)| *conn != id);
            }
        }
        Some(job)
    }

    pub(super) fn forget(&mut self, id: ConnectionId) {
        if let Some(conn) = self.conns.remove(&id) {
            self.counters.members_open -= 1;
            self.ways_changed(conn.member);
            if self.coming.get(&conn.member) == Some(&id) {
                self.coming.remove(&conn.member);
            }
            if let Some(timer) = conn.timer {
                self.timers.remove(&timer);
            }
        }
    }

    /// Ends the job of a connection, which is forgotten unless it stands idle again.
    pub(super) fn end_job(
        &mut self,
        now: Time,
        id: ConnectionId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let job = self.unbind(id);
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let (member, mut reply) = (conn.member, std::mem::take(&mut conn.reply));
        if !reply.is_complete() || outcome == Outcome::MalformedResponse {
            reply = Reply::default(); // What is not whole tells nothing of its member.
        }
        if conn.phase != Phase::Idle {
            self.forget(id);
        }
        if let Some(job) = job {
            self.job_ended(now, member, job, outcome, reply, out);
        }
    }

    pub(super) fn job_ended(
        &mut self,
        now: Time,
        member: MemberId,
        job: Job,
        outcome: Outcome,
        mut reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let (request, attempt, sent) = match job {
            Job::Attempt {
                request,
                number,
                sent,
                ..
            } => (request, number, sent),
            Job::Probe { sent } => {
                let told = reply
                    .column()
                    .filter(|_| outcome == Outcome::Served)
                    .and_then(pg::parse_load_report);
                let told = told.filter(|report| self.can_be(now, report.position));
                self.counters.probes_failed += u64::from(told.is_none());
                let (answered, report) = (told.is_some(), told.unwrap_or_default());
                return self.events.push_back(Event::HealthChecked {
                    member,
                    responded: answered,
                    elapsed: now - sent,
                    load_report: report,
                });
            }
        };
        self.count(outcome);
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let finished = ended || outcome == Outcome::Served;
        self.disbelieve(now, &mut reply);
        if outcome == Outcome::Served && !ended {
            let row = std::mem::take(&mut reply.row);
            if let Some(row) = self.hold_write(now, request, reply.position, row, out) {
                let answered = self.answer(now, request, FinalResponse::Served(row), out);
                self.counters.answered_served += u64::from(answered);
            }
        }
        let Reply {
            primary,
            position,
            report,
            ..
        } = reply;
        let took = now - sent;
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
        self.forget_request(request);
    }

    /// Drops what a reply says of its member that cannot be: a position, the role beside it, a report.
    pub(super) fn disbelieve(&mut self, now: Time, reply: &mut Reply) {
        if !self.can_be(now, reply.position) {
            (reply.primary, reply.position) = (None, None);
        }
        if !self.can_be(now, reply.report.position) {
            reply.report = LoadReport::default();
        }
    }

    /// Danger: a position in the future would make its member the freshest for as long as it lasts.
    pub(super) fn can_be(&mut self, now: Time, position: Option<Time>) -> bool {
        let can = position.is_none_or(|at| at <= now + self.limits.max_clock_skew);
        self.counters.members_disbelieved += u64::from(!can);
        can
    }

    pub(super) fn count(&mut self, outcome: Outcome) {
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Served => &mut counters.ended_served,
            Outcome::Error => &mut counters.ended_error,
            Outcome::Overloaded => &mut counters.ended_shed,
            Outcome::Misrouted => &mut counters.ended_miss,
            Outcome::TimedOut => &mut counters.ended_timed_out,
            Outcome::ConnectFailed => &mut counters.ended_no_connection,
            Outcome::ConnectionReset => &mut counters.ended_reset,
            Outcome::MalformedResponse => &mut counters.ended_spoilt,
            Outcome::Cancelled => &mut counters.ended_cancelled,
            Outcome::NotSent => &mut counters.ended_unsent,
        } += 1;
    }
}

/// What a reply that is over means for its attempt; `None`: it is not over.
fn outcome(reply: &Reply) -> Option<Outcome> {
    Some(match reply.ended()? {
        ReplyOutcome::Row => Outcome::Served,
        ReplyOutcome::Error(code) => match &code {
            b"25006" | b"72000" => Outcome::Misrouted,
            b"53300" => Outcome::Overloaded,
            _ => Outcome::Error,
        },
        ReplyOutcome::NoRow => Outcome::MalformedResponse,
    })
}
