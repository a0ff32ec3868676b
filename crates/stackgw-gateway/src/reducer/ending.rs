//! The end: what was taken is finished, clients are served until shortly before the kill.

use super::*;

impl Reducer {
    pub(super) fn terminate(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.ending, true) {
            self.set_timer(now + self.limits.shutdown_accept, Due::StopListening);
            self.retire_at = now + self.limits.shutdown_serve;
            self.set_timer(self.retire_at, Due::Retire);
            self.set_timer(now + self.limits.shutdown_reject, Due::Refuse);
            self.set_timer(now + self.limits.shutdown_deadline, Due::End);
            out.push(Effect::Log(format!(
                "ending, {} requests in hand",
                self.requests.len()
            )));
        }
    }

    /// Closes clients between requests, again and again until none is left. Danger: done as soon as the listener is
    /// closed, it would send them where nobody serves until this gateway is back.
    pub(super) fn retire_clients(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.retire_at {
            return;
        }
        let idle = self
            .clients
            .iter()
            .filter(|(_, c)| c.idle() || c.awaits_ready);
        out.extend(idle.map(|(id, _)| Effect::ClientCloseIfIdle(*id)));
        if !self.clients.is_empty() {
            self.set_timer(now + self.limits.shutdown_sweep_interval, Due::Retire);
        }
    }

    /// Shortly before a SIGKILL: what is still in hand gets the answer that promises nothing, and what is asked from here on is
    /// refused at once. Clients are then closed between requests as before, and the program ends with the last of them.
    ///
    /// Danger: each answer may let a statement start that waited behind it, and that one has been taken too. So have those
    /// that a client's task has read and could not hand over, and an answer that has not left yet is none: were this the end,
    /// they would go with the process.
    pub(super) fn refuse_rest(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.refuses = true;
        let in_hand = |(id, open): (&RequestId, &Open)| open.asker.map(|_| *id);
        let mut left: BTreeSet<_> = self.requests.iter().filter_map(in_hand).collect();
        while let Some(request) = left.pop_first() {
            // What was never sent may be asked for elsewhere.
            let sent = self
                .requests
                .get(&request)
                .is_some_and(|open| open.sent > 0);
            let text = "the gateway ends";
            let ended = if sent {
                FinalResponse::Failed(text)
            } else {
                FinalResponse::Unavailable(text)
            };
            let answered = self.answer(now, request, ended, out);
            self.counters.answered_failed += u64::from(answered && sent);
            self.counters.answered_refused += u64::from(answered && !sent);
            if left.is_empty() {
                left = self.requests.iter().filter_map(in_hand).collect();
            }
        }
        self.retire_clients(now, out);
    }

    pub(super) fn exit(&mut self, out: &mut Vec<Effect>) {
        if std::mem::replace(&mut self.exited, true) {
            return;
        }
        out.push(Effect::Report(Box::new(self.counters.clone())));
        out.push(Effect::Exit);
    }
}
