//! Clients and their requests: who is connected, what is asked and answered, who makes room.

use super::*;

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) opened: Time,
    /// Its startup is done; the key that cancels its query.
    pub(super) started: Option<u32>,
    /// What it has asked and what it is to be told, in its order.
    pub(super) line: VecDeque<Place>,
    /// Messages that start once what is before them is answered, and when each came: its time counts from then.
    pub(super) next: VecDeque<(Time, Frame)>,
    /// Since when something written to it has not left.
    pub(super) unsent: Option<Time>,
    /// So much was written to it since then.
    pub(super) unread: usize,
    /// Since when a message has been incomplete.
    pub(super) partial: Option<Time>,
    /// Bytes that it has sent and that are not taken yet.
    pub(super) ahead: usize,
    /// Malformed statements since its last good one.
    pub(super) malformed: u32,
    /// Came when all places were taken: turned away with its first statement unless there is room by then.
    pub(super) surplus: bool,
    /// Sent an empty query before the gateway could serve.
    pub(super) awaits_ready: bool,
    /// Used the extended protocol, which is not spoken: skip to its Sync.
    pub(super) skips: bool,
    /// Since when nothing more is taken from it: it is told why, and ends.
    pub(super) closing: Option<Time>,
    /// It has asked something.
    pub(super) used: bool,
    /// Since when it has been idle.
    pub(super) idle_since: Time,
}

/// One answer's place in a client's line.
#[derive(Debug, Default)]
pub(super) struct Place {
    /// The request that it waits for.
    request: Option<RequestId>,
    reply: Vec<u8>,
    /// Nothing follows it.
    last: bool,
}

impl Client {
    pub(super) fn idle(&self) -> bool {
        self.line.is_empty() && self.next.is_empty() && self.listens()
    }

    /// It may be asked for one more message, with so many places in its line.
    pub(super) fn has_room(&self, most: usize) -> bool {
        self.listens()
            && self.line.len() + self.next.len() < most
            && !self.line.iter().any(|place| place.last)
    }

    fn listens(&self) -> bool {
        self.unsent.is_none() && !self.awaits_ready && self.closing.is_none()
    }

    /// Its place among those that make room: whoever has asked nothing goes first.
    pub(super) fn place(&self, id: ClientId) -> (bool, Time, ClientId) {
        (self.used, self.idle_since, id)
    }
}

/// A request until it has its answer and its last attempt has ended.
#[derive(Debug)]
pub(super) struct Open {
    /// Who is still to be told.
    pub(super) asker: Option<Requester>,
    pub(super) statement: Statement,
    pub(super) deadline: Time,
    pub(super) sent: u32,
    pub(super) out: Vec<(u32, ConnectionId)>,
    pub(super) ended: bool,
    /// It waits for word of what its session wrote, before the router hears of it.
    pub(super) asks: Option<Box<Request>>,
    /// A served write's answer, until its session's homes know of it.
    pub(super) held: Option<Vec<u8>>,
    /// When that is given up.
    pub(super) held_until: Option<TimerKey>,
    /// Its answer may come as a stream.
    pub(super) streams: bool,
}

impl Reducer {
    /// Half a message, or nothing at all, holds a place for nothing. Who has sent something is told why; for who has sent
    /// nothing a request may be on its way, which must not be met by words that are not its answer.
    pub(super) fn client_silent(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        if self
            .clients
            .get_mut(&id)
            .is_some_and(|c| c.partial.take().is_some())
        {
            self.counters.clients_stalled += 1;
            log_rarely(
                self.counters.clients_stalled,
                "clients that stood still inside a message:",
                out,
            );
            return self.client_error(
                now,
                id,
                true,
                "08P01",
                "the message was not finished in time",
                out,
            );
        }
        self.counters.clients_silent += 1;
        log_rarely(
            self.counters.clients_silent,
            "clients that asked nothing:",
            out,
        );
        out.push(Effect::ClientCloseIfIdle(id));
    }

    pub(super) fn client_opened(&mut self, now: Time, id: ClientId) {
        self.counters.clients_opened += 1;
        self.counters.clients_open += 1;
        let client = Client {
            opened: now,
            surplus: self.clients.len() >= self.limits.clients,
            started: None,
            line: VecDeque::new(),
            next: VecDeque::new(),
            unsent: None,
            unread: 0,
            partial: None,
            ahead: 0,
            malformed: 0,
            awaits_ready: false,
            skips: false,
            closing: None,
            used: false,
            idle_since: now,
        };
        self.idle_clients.insert(client.place(id));
        self.clients.insert(id, client);
    }

    /// What a client has sent ahead takes room from all: past its share whoever holds most of it, those first that have
    /// asked nothing yet, is told so and ends. One with a request in hand keeps its connection for the answer.
    pub(super) fn client_holds(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: usize,
        out: &mut Vec<Effect>,
    ) {
        let takes = self.accepts_frame(id);
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        self.ahead = self.ahead - client.ahead + bytes;
        client.ahead = bytes;
        if takes && bytes > 0 {
            client.partial.get_or_insert(now);
        }
        if self.ahead > self.limits.client_bytes / 4 * 3 {
            let idle = self.clients.iter().filter(|(_, c)| c.ahead > 0 && c.idle());
            let Some((most, _)) = idle.max_by_key(|(_, c)| (!c.used, c.ahead)) else {
                return;
            };
            let most = *most;
            self.count_greedy(out);
            self.client_error(now, most, true, "53400", "too much was sent ahead", out);
        }
    }

    /// Takes new clients while there is room for one more. Where all places are taken one is kept free. Who has asked
    /// nothing makes room first, as hundreds may connect and say nothing; then the client idle longest, if that is a
    /// while (one just answered often asks again). None does that has sent something by then.
    ///
    /// Danger: clients that ask once and keep their connection have none left for what they ask next, well before all
    /// places here are taken. So from half of the places on those idle for longer are closed.
    pub(super) fn admit(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (open, limits) = (self.clients.len(), &self.limits);
        let full = open >= limits.clients;
        let spared = |used| match (full, used) {
            (false, _) => limits.soft_limit_idle,
            (true, true) => limits.eviction_idle,
            (true, false) => limits.eviction_grace,
        };
        if !self.listener_closed && (full || open > limits.client_soft_limit) {
            let first = |used| {
                self.idle_clients
                    .range((used, Time::MIN, ClientId(0))..)
                    .next()
                    .copied()
            };
            let due = [first(false).filter(|(used, ..)| full && !used), first(true)];
            let due = due.into_iter().flatten();
            let (ripe, green): (Vec<_>, Vec<_>) =
                due.partition(|(used, since, _)| now - since >= spared(*used));
            if let Some(&(.., oldest)) = ripe.first() {
                self.evicting = Some(oldest);
                // Danger: one that has sent something stays, and would keep all others from making room.
                self.note_idle(now, oldest);
                out.push(Effect::ClientCloseIfIdle(oldest));
            } else if let Some(at) = green
                .iter()
                .map(|(used, since, _)| since + spared(*used))
                .min()
            {
                if !std::mem::replace(&mut self.admits, true) {
                    self.set_timer(at, Due::Admit);
                }
            }
        }
        let places = self.limits.clients + self.limits.client_reserve;
        let wanted = self.clients.len() < places && !self.listener_closed;
        if wanted != self.accepting {
            self.accepting = wanted;
            out.push(Effect::AcceptClients(wanted));
        }
    }

    /// Keeps the order of idle clients after a client's state has changed.
    pub(super) fn note_idle(&mut self, now: Time, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.idle_clients.remove(&client.place(id));
            if client.idle() {
                client.idle_since = now;
                self.idle_clients.insert(client.place(id));
            }
        }
    }

    pub(super) fn client_write(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: Vec<u8>,
        close: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.unread += bytes.len();
        self.unread += bytes.len();
        if !client.line.is_empty() {
            return client.line.push_back(Place {
                request: None,
                reply: bytes,
                last: close,
            });
        }
        self.client_send(now, id, bytes, close, out);
    }

    /// Writes what is counted as unread already and has nothing before it.
    fn client_send(
        &mut self,
        now: Time,
        id: ClientId,
        bytes: Vec<u8>,
        close: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.unsent = client.unsent.or(Some(now));
        if close {
            client.closing.get_or_insert(now);
            self.ahead -= std::mem::take(&mut client.ahead); // Dropped with the rest that it sends.
        }
        self.note_idle(now, id);
        out.push(Effect::ClientWrite {
            client: id,
            bytes,
            close,
        });
        self.unread_most(id, out);
    }

    /// Danger: clients that ask for large values and do not read them would together take all memory.
    fn unread_most(&mut self, writes: ClientId, out: &mut Vec<Effect>) {
        if self.unread <= self.limits.pending_write_bytes {
            return;
        }
        let others = self
            .clients
            .iter()
            .filter(|(id, c)| **id != writes && c.unread > 0);
        let Some((slow, _)) = others.min_by_key(|(id, c)| (c.unsent.unwrap_or(Time::MAX), **id))
        else {
            return;
        };
        let slow = *slow;
        self.count_greedy(out);
        out.push(Effect::ClientClose(slow));
        self.client_gone(slow);
    }

    fn count_greedy(&mut self, out: &mut Vec<Effect>) {
        self.counters.clients_greedy += 1;
        log_rarely(
            self.counters.clients_greedy,
            "clients that sent or left unread too much:",
            out,
        );
    }

    /// Tells a client of an error; a fatal one ends its connection.
    pub(super) fn client_error(
        &mut self,
        now: Time,
        id: ClientId,
        fatal: bool,
        code: &str,
        why: &str,
        out: &mut Vec<Effect>,
    ) {
        self.client_write(now, id, error_reply(fatal, code, why, None), fatal, out);
    }

    /// Answers an empty query: the gateway can serve.
    pub(super) fn client_ready(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let mut reply = Vec::new();
        write::empty(&mut reply);
        write::ready(&mut reply);
        self.client_write(now, id, reply, false, out);
    }

    pub(super) fn client_flushed(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.unsent = None;
        let in_line = client.line.iter().map(|place| place.reply.len()).sum();
        self.unread -= std::mem::replace(&mut client.unread, in_line) - in_line;
        self.note_idle(now, id);
        if self.ending && now >= self.retire_at && self.clients.get(&id).is_some_and(Client::idle) {
            out.push(Effect::ClientCloseIfIdle(id));
        }
    }

    /// A client's bytes are no protocol: that connection alone ends, with a word if it can still be read.
    pub(super) fn client_bad(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        self.counters.clients_bad += 1;
        log_rarely(self.counters.clients_bad, "bad bytes from clients:", out);
        client.partial = None;
        self.client_error(
            now,
            id,
            true,
            "08P01",
            "these bytes are no message of the protocol",
            out,
        );
    }

    pub(super) fn client_gone(&mut self, id: ClientId) {
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        self.idle_clients.remove(&client.place(id));
        self.ahead -= client.ahead;
        self.unread -= client.unread;
        self.counters.clients_open -= 1;
        if self.evicting == Some(id) {
            self.counters.clients_evicted += 1;
            self.evicting = None;
        }
        self.counters.held_bytes -= client
            .next
            .iter()
            .map(|(_, frame)| frame.bytes.len() as u64)
            .sum::<u64>();
        for request in client.line.into_iter().filter_map(|place| place.request) {
            self.abandon(request);
        }
    }

    pub(super) fn abandon(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            (open.asker, open.ended) = (None, true);
            self.counters.answered_gone += 1;
            let known = open.asks.take().is_none();
            self.take_held(request);
            self.unshared(request);
            if known {
                self.events.push_back(Event::ClientDisconnected(request));
            }
            self.forget_request(request);
        }
    }

    pub(super) fn client_frame(
        &mut self,
        now: Time,
        id: ClientId,
        frame: Frame,
        out: &mut Vec<Effect>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.partial = None;
        self.ahead -= std::mem::take(&mut client.ahead);
        if client.started.is_none() {
            return self.startup(now, id, &frame, out);
        }
        self.counters.held_bytes += frame.bytes.len() as u64;
        client.next.push_back((now, frame));
        self.start_next(now, id, out);
    }

    /// Starts what a client has written as far as it may run now.
    ///
    /// Danger: one after another, statements written together would wait for the slowest before them until their time
    /// is over, above all behind a write that waits for a primary. Those of different keys mind no order, and neither do
    /// reads; all else starts when what came before it is answered.
    pub(super) fn start_next(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) {
        while let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|c| c.closing.is_none() && !c.awaits_ready)
        {
            let free = client.line.is_empty();
            let mut asked = client
                .line
                .iter()
                .filter_map(|place| self.requests.get(&place.request?));
            let mut joins = |frame: &Frame| {
                let target = Statement::target(frame).filter(|_| frame.kind == b'Q');
                let apart = |target: StatementTarget<'_>, s: &Statement| {
                    s.key != target.key || !(target.writes || s.write)
                };
                target.is_some_and(|target| asked.all(|open| apart(target, &open.statement)))
            };
            let next = client.next.pop_front_if(|(_, frame)| free || joins(frame));
            let Some((came, frame)) = next else { break };
            self.counters.held_bytes -= frame.bytes.len() as u64;
            self.client_asks(now, came, id, frame, out);
        }
        self.note_idle(now, id);
    }

    /// A message's turn has come; it came at this time.
    fn client_asks(
        &mut self,
        now: Time,
        came: Time,
        id: ClientId,
        frame: Frame,
        out: &mut Vec<Effect>,
    ) {
        let ready = self.is_ready(now);
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let mut reply = Vec::new();
        match frame.kind {
            b'Q' if client.skips => {}
            b'Q' if Statement::is_empty(&frame) => {
                // Danger: those that wait for the list may fill all places; whoever comes then is told so, not kept.
                if !ready && self.turned_away(now, id, out) {
                    self.counters.clients_refused += 1;
                    return;
                }
                self.client_used(id);
                let Some(client) = self.clients.get_mut(&id) else {
                    return;
                };
                if !ready {
                    client.awaits_ready = true;
                    return self.note_idle(now, id);
                }
                self.client_ready(now, id, out);
            }
            b'Q' => self.query(now, came, id, frame, out),
            b'X' => {
                out.push(Effect::ClientClose(id));
                self.client_gone(id);
            }
            b'S' => {
                client.skips = false;
                write::ready(&mut reply);
                self.client_write(now, id, reply, false, out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if client.skips => {}
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                client.skips = frame.kind != b'F';
                write::error(
                    &mut reply,
                    false,
                    "0A000",
                    "only simple queries are spoken here",
                    None,
                );
                if frame.kind == b'F' {
                    write::ready(&mut reply);
                }
                self.client_write(now, id, reply, false, out);
            }
            _ => self.client_bad(now, id, out),
        }
    }

    pub(super) fn startup(
        &mut self,
        now: Time,
        id: ClientId,
        frame: &Frame,
        out: &mut Vec<Effect>,
    ) {
        let mut reply = Vec::new();
        let version = frame.code().unwrap_or_default();
        match version {
            code::SSL | code::GSS if frame.body().len() == 4 => {
                self.client_write(now, id, b"N".to_vec(), false, out)
            }
            code::CANCEL => {
                self.cancel(now, frame, out);
                out.push(Effect::ClientClose(id));
                self.client_gone(id);
            }
            _ if frame.is_startup() && frame.has_parameters() => {
                self.secret = self
                    .secret
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(id.0 | 1);
                let secret = (self.secret >> 32) as u32;
                if version != code::VERSION_3 {
                    write::negotiate(&mut reply);
                }
                write::welcome(&mut reply, id.0 as u32, secret);
                if let Some(client) = self.clients.get_mut(&id) {
                    client.started = Some(secret);
                }
                self.client_write(now, id, reply, false, out);
            }
            _ => {
                self.counters.clients_bad += 1;
                self.client_error(
                    now,
                    id,
                    true,
                    "0A000",
                    "this startup is not understood",
                    out,
                );
            }
        }
    }

    /// A cancel request, by the key of the connection whose query it means.
    pub(super) fn cancel(&mut self, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
        let &[_, _, _, _, a, b, c, d, e, f, g, h] = frame.body() else {
            return;
        };
        let (process, secret) = (
            u32::from_be_bytes([a, b, c, d]),
            u32::from_be_bytes([e, f, g, h]),
        );
        let id = ClientId(process.into());
        let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|c| c.started == Some(secret))
        else {
            return;
        };
        if let Some(request) = client.line.iter().find_map(|place| place.request) {
            let reply = error_reply(false, "57014", "cancelled on the client's request", None);
            self.fill(now, id, request, reply, out);
            self.abandon(request);
        }
    }

    pub(super) fn query(
        &mut self,
        now: Time,
        came: Time,
        id: ClientId,
        frame: Frame,
        out: &mut Vec<Effect>,
    ) {
        self.counters.taken += 1;
        if self.turned_away(now, id, out) {
            self.counters.turned_away += 1;
            return;
        }
        let asked = Statement::parse(frame).map_err(|why| FinalResponse::Malformed(why.message()));
        match asked.and_then(|statement| self.ask(now, came, Requester::Client(id), statement, out))
        {
            Ok(request) => {
                self.client_used(id);
                if let Some(client) = self.clients.get_mut(&id) {
                    client.line.push_back(Place {
                        request: Some(request),
                        ..Place::default()
                    });
                    client.malformed = 0;
                }
                self.note_idle(now, id);
            }
            Err(FinalResponse::Malformed(why)) => self.reject(now, id, why, out),
            Err(declined) => self.client_write(now, id, declined.worded(), false, out),
        }
    }

    /// The first thing that a client asks which came when all places were taken: it gets the place of one that has asked
    /// nothing, else it is told that there is none.
    fn turned_away(&mut self, now: Time, id: ClientId, out: &mut Vec<Effect>) -> bool {
        let full = self.clients.len() > self.limits.clients;
        let surplus = self
            .clients
            .get_mut(&id)
            .is_some_and(|c| std::mem::take(&mut c.surplus));
        // Whoever has asked nothing gives way to one that has; is there none such, this one is turned away.
        let silent = self
            .idle_clients
            .iter()
            .take_while(|(used, ..)| !used)
            .find(|(.., other)| *other != id);
        if let Some(&(.., silent)) = silent.filter(|_| surplus && full) {
            self.evicting = Some(silent);
            out.push(Effect::ClientCloseIfIdle(silent));
        } else if surplus && full {
            // Danger: waiting for a place, in line or here, would cost its time; it has not run, so it may go elsewhere.
            self.client_error(now, id, true, "53300", "too many connections", out);
            return true;
        }
        false
    }

    /// Another front's request.
    pub(super) fn call(
        &mut self,
        now: Time,
        call: CallId,
        frame: Frame,
        streams: bool,
        out: &mut Vec<Effect>,
    ) {
        if self.listener_closed {
            return out.push(Effect::CallCompleted(
                call,
                FinalResponse::Unavailable("the gateway ends"),
            ));
        }
        self.counters.taken += 1;
        let asked = Statement::parse(frame).map_err(|why| FinalResponse::Malformed(why.message()));
        match asked.and_then(|statement| self.ask(now, now, Requester::Call(call), statement, out))
        {
            Ok(request) => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.streams = streams && !open.statement.write;
                }
                self.calls.insert(call, request);
            }
            Err(declined) => {
                self.counters.malformed +=
                    u64::from(matches!(declined, FinalResponse::Malformed(_)));
                out.push(Effect::CallCompleted(call, declined));
            }
        }
    }

    /// Takes a request, by whichever front, and tells the router of it; else says at once why not.
    fn ask(
        &mut self,
        now: Time,
        came: Time,
        asker: Requester,
        statement: Statement,
        out: &mut Vec<Effect>,
    ) -> Result<RequestId, FinalResponse> {
        if self.refuses {
            return self.decline(FinalResponse::Unavailable("the gateway ends"));
        }
        let class = self
            .names
            .classes
            .iter()
            .position(|name| *name == statement.class);
        let class = class.ok_or(FinalResponse::Malformed("the class is unknown"))?;
        if self.members.is_empty() {
            let hint = self.fixed.settings.router.limits.retry_after;
            let wait = self
                .starting
                .as_ref()
                .filter(|_| hint)
                .map(|s| s.start.retry_after(now));
            let text = "no list of members is known yet";
            return self.decline(match wait {
                Some(wait) => FinalResponse::Rejected(text, Some((wait + MS - 1) / MS)),
                None => FinalResponse::Unavailable(text),
            });
        }
        if !self.members.values().any(|m| m.group == statement.cluster) {
            return Err(FinalResponse::Malformed("the cluster is unknown"));
        }
        let need = self.classes[class].consistency;
        if (need == Consistency::Write) != statement.write {
            return Err(FinalResponse::Malformed(
                "the class and the statement do not go together",
            ));
        }
        if self.open_ids.contains(&statement.id) {
            // Danger: two requests under one id are one to the members, and the owner would get the other's answer.
            self.counters.ids_taken += 1;
            log_rarely(
                self.counters.ids_taken,
                "statements under the id of an open request:",
                out,
            );
            return Err(FinalResponse::Malformed("a request with this id is open"));
        }
        if self.requests.len() >= self.limits.requests {
            return self.decline(FinalResponse::Rejected("too many requests are open", None));
        }
        if let Some(why) = self.shut().filter(|_| need == Consistency::Write) {
            return self.decline(FinalResponse::Rejected(why, None));
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = came + (statement.wait_ms as Span * MS).min(self.limits.max_request_wait);
        let sessions = matches!(need, Consistency::Write | Consistency::ReadYourWrites);
        let asked = Request {
            id: request,
            class,
            group: GroupId(statement.cluster),
            deadline,
            session: sessions.then(|| SessionId(statement.key.as_str().into())),
            last_write: statement.after_ms.map(|ms| ms * MS),
            is_retry: statement.repeat,
            requires_strong_read: false,
        };
        self.counters.held_bytes += statement.size_bytes() as u64;
        self.open_ids.insert(statement.id.clone());
        let open = Open {
            asker: Some(asker),
            statement,
            deadline,
            sent: 0,
            out: Vec::new(),
            ended: false,
            asks: None,
            held: None,
            held_until: None,
            streams: false,
        };
        self.requests.insert(request, open);
        if need == Consistency::ReadYourWrites && self.shared.is_some() {
            self.ask_session(now, asked, out);
        } else {
            self.events.push_back(Event::Request(asked));
        }
        Ok(request)
    }

    /// Turned away before the router has seen it.
    fn decline<T>(&mut self, declined: FinalResponse) -> Result<T, FinalResponse> {
        self.counters.turned_away += 1;
        Err(declined)
    }

    /// A client has asked something: it is no stranger any more.
    pub(super) fn client_used(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.idle_clients.remove(&client.place(id));
            client.used = true;
            if client.idle() {
                self.idle_clients.insert(client.place(id));
            }
        }
    }

    pub(super) fn reject(&mut self, now: Time, id: ClientId, why: &str, out: &mut Vec<Effect>) {
        self.counters.malformed += 1;
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.malformed += 1;
        // One that goes on and on is not worth its turns.
        let fatal = client.malformed >= self.limits.max_consecutive_malformed;
        self.client_error(now, id, fatal, "42601", why, out);
    }

    /// Gives a request its one answer; whether there was still somebody to give it to.
    pub(super) fn answer(
        &mut self,
        now: Time,
        request: RequestId,
        ended: FinalResponse,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(open) = self.requests.get_mut(&request) else {
            return false;
        };
        open.ended = true;
        let asker = open.asker.take();
        let asks = open.asks.take().is_some();
        self.take_held(request);
        if asks {
            self.unshared(request);
        }
        match asker {
            Some(Requester::Client(id)) => self.fill(now, id, request, ended.worded(), out),
            Some(Requester::Call(call)) => {
                self.calls.remove(&call);
                out.push(Effect::CallCompleted(call, ended));
            }
            None => {}
        }
        self.forget_request(request);
        asker.is_some()
    }

    /// Puts a request's answer in its place, and writes all that nothing is before.
    fn fill(
        &mut self,
        now: Time,
        id: ClientId,
        request: RequestId,
        reply: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let Some(place) = client.line.iter_mut().find(|p| p.request == Some(request)) else {
            return;
        };
        client.unread += reply.len();
        self.unread += reply.len();
        (place.request, place.reply) = (None, reply);
        while let Some(client) = self.clients.get_mut(&id) {
            let first = client.line.pop_front_if(|place| place.request.is_none());
            let Some(Place { reply, last, .. }) = first else {
                break;
            };
            self.client_send(now, id, reply, last, out);
        }
        self.start_next(now, id, out);
    }

    pub(super) fn forget_request(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|o| o.ended && o.out.is_empty() && o.held.is_none())
        {
            if let Some(open) = self.requests.remove(&request) {
                let before = self.counters.held_bytes;
                self.counters.held_bytes = before - open.statement.size_bytes() as u64;
                self.open_ids.remove(&open.statement.id);
            }
        }
    }
}

/// An error, and that the gateway is ready again unless the connection ends with it.
pub(super) fn error_reply(fatal: bool, code: &str, text: &str, detail: Option<&str>) -> Vec<u8> {
    let mut reply = Vec::new();
    write::error(&mut reply, fatal, code, text, detail);
    if !fatal {
        write::ready(&mut reply);
    }
    reply
}
