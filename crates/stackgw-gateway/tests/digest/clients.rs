//! Clients that pipeline, flood, cancel, stall, disconnect and send malformed messages.

use super::simulation::{Client, Scheduled, Simulation};
use crate::common::*;
use stackgw_gateway::pg::Frame;
use stackgw_gateway::reducer::{CallId, ClientId, Input, ReadAhead};
use stackgw_router::api::MS;

impl Simulation {
    pub(crate) fn client_written(&mut self, index: usize, id: ClientId, bytes: &[u8], close: bool) {
        let Some(client) = self.gateways[index].clients.get_mut(&id) else {
            return;
        };
        if let Some(at) = bytes.windows(5).position(|w| w == [b'K', 0, 0, 0, 12]) {
            client.cancel_key = bytes.get(at + 5..at + 13).map(<[u8]>::to_vec);
        }
        let reads = client.reads;
        if reads {
            let after = self.random.span(0, MS / 2);
            self.schedule(index, after, Scheduled::ClientFlushed(id));
        }
        if close && (reads || self.random.chance(50)) {
            let after = self.random.span(0, 40 * MS);
            self.schedule(index, after, Scheduled::ClientClosed(id));
        }
    }

    /// Delivers the messages that clients have sent, as far as they are accepted.
    pub(crate) fn send_pending_frames(&mut self, index: usize) {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        for id in ids {
            let mut has_delivered = false;
            while self.gateways[index].reducer.accepts_frame(id) {
                let client = self.gateways[index].clients.get_mut(&id);
                let Some(frame) = client.and_then(|client| client.pending.pop_front()) else {
                    break;
                };
                has_delivered = true;
                self.input(index, Input::ClientFrame(id, frame));
            }
            let Some(client) = self.gateways[index].clients.get(&id) else {
                continue;
            };
            let ahead =
                client.partial_bytes + client.pending.iter().map(|f| f.bytes.len()).sum::<usize>();
            if has_delivered || ahead > 0 {
                self.input(index, Input::ClientReadAhead(id, ReadAhead::partial(ahead)));
            }
        }
    }

    /// Creates a request id. A few ids are used twice.
    pub(crate) fn request_id(&mut self) -> String {
        if !self.random.chance(4) {
            self.next_id += 1;
        }
        format!("h{:x}", self.next_id)
    }

    pub(crate) fn statement(&mut self) -> Frame {
        let (id, key) = (self.request_id(), self.random.below(4));
        let wait = [5, 40, 200, 900, 3000][self.random.below(5) as usize];
        let after = match self.random.below(6) {
            0 => format!(",after={}", self.now / MS - 50),
            1 => ",r=1".to_owned(),
            _ => String::new(),
        };
        match self.random.below(24) {
            0 => query("SELECT 1"),
            1 => query(" ; "),
            2 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=none,d=90,cluster=2 */")),
            3 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=look,d=90,cluster=9 */")),
            4 => query(&format!("SELECT val FROM state WHERE uid = 'k' /* id={id},c=buy,d=90,cluster=2 */")),
            5 => message(b'P', b"\0\0\0\0"),
            6 => message(b'S', b""),
            7 if self.random.chance(30) => message(b'X', b""),
            8 if self.random.chance(30) => message(b'y', b""),
            9..=14 => query(&format!(
                "INSERT INTO state (uid, val) VALUES ('k{key}', '\\x9f03') RETURNING val /* id={id},c=buy,d={wait},cluster=2{after} */"
            )),
            15..=18 => query(&format!(
                "SELECT val FROM state WHERE uid = 'k{key}' /* id={id},c=mine,d={wait},cluster=2{after} */"
            )),
            _ => query(&format!(
                "SELECT val FROM state WHERE uid = 'k{key}' /* id={id},c=look,d={wait},cluster=2{after} */"
            )),
        }
    }

    pub(crate) fn any_client(&mut self, index: usize) -> Option<ClientId> {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        self.random.choose(&ids)
    }

    pub(crate) fn open_client(&mut self, index: usize) {
        if !self.gateways[index].accepts_clients {
            return;
        }
        self.next_client += 1;
        let id = ClientId(self.next_client);
        let reads = !self.random.chance(8);
        let mut client = Client {
            reads,
            sends_statements: true,
            ..Client::default()
        };
        match self.random.below(14) {
            0 if self.agent_up => client.sends_statements = false,
            1 => client.pending.push_back(Frame {
                kind: 0,
                bytes: vec![0, 0, 0, 8, 4, 210, 22, 47],
            }),
            2 => client.pending.push_back(Frame {
                kind: 0,
                bytes: vec![0, 0, 0, 9, 0, 1, 0, 0, 0],
            }),
            _ => client.pending.push_back(startup()),
        }
        let empty_query_percent = if self.agent_up { 40 } else { 95 };
        if self.random.chance(empty_query_percent) {
            client.pending.push_back(query(""));
        }
        self.gateways[index].clients.insert(id, client);
        self.input(index, Input::ClientConnected(id));
        self.send_pending_frames(index);
    }

    pub(crate) fn send_cancel(&mut self, index: usize) {
        let keys: Vec<_> = self.gateways[index]
            .clients
            .values()
            .filter_map(|c| c.cancel_key.clone())
            .collect();
        if keys.is_empty() || !self.gateways[index].accepts_clients {
            return;
        }
        let key = &keys[self.random.below(keys.len() as u64) as usize];
        let mut bytes = vec![0, 0, 0, 16, 4, 210, 22, 46];
        bytes.extend(key);
        self.next_client += 1;
        let id = ClientId(self.next_client);
        let mut client = Client {
            reads: true,
            ..Client::default()
        };
        client.pending.push_back(Frame { kind: 0, bytes });
        self.gateways[index].clients.insert(id, client);
        self.input(index, Input::ClientConnected(id));
        self.send_pending_frames(index);
    }

    pub(crate) fn send_statements(&mut self, index: usize) {
        let count = if self.random.chance(15) {
            12
        } else {
            1 + self.random.below(3)
        };
        let Some(id) = self.any_client(index) else {
            return;
        };
        for _ in 0..count {
            let frame = self.statement();
            if let Some(client) = self.gateways[index]
                .clients
                .get_mut(&id)
                .filter(|c| c.sends_statements)
            {
                client.pending.push_back(frame);
                client.partial_bytes = 0;
            }
        }
        self.send_pending_frames(index);
    }

    pub(crate) fn start_call(&mut self, index: usize) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let frame = self.statement();
        if frame.kind != b'Q' {
            return;
        }
        self.gateways[index].calls.insert(call);
        let may_stream = self.random.chance(60);
        self.input(index, Input::Call(call, frame, may_stream));
    }

    pub(crate) fn cancel_call(&mut self, index: usize) {
        let calls: Vec<_> = self.gateways[index].calls.iter().copied().collect();
        if let Some(call) = self.random.choose(&calls) {
            self.gateways[index].calls.remove(&call);
            self.input(index, Input::CallCancelled(call));
        }
    }

    pub(crate) fn send_partial_message(&mut self, index: usize) {
        let bytes = self.random.below(1500) as usize;
        if let Some(id) = self.any_client(index) {
            if let Some(client) = self.gateways[index].clients.get_mut(&id) {
                client.partial_bytes = bytes;
            }
            self.send_pending_frames(index);
        }
    }

    /// Lets clients that have not read their replies read them.
    pub(crate) fn resume_reading(&mut self, index: usize) {
        let stalled = self.gateways[index]
            .clients
            .iter_mut()
            .filter(|(_, c)| !c.reads);
        let stalled: Vec<_> = stalled.map(|(id, c)| (c.reads = true, *id).1).collect();
        for id in stalled {
            self.schedule(index, 0, Scheduled::ClientFlushed(id));
        }
    }
}
