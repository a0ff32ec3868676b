//! Clients that pipeline, flood, cancel, stall, leave and send malformed messages.

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
            client.key = bytes.get(at + 5..at + 13).map(<[u8]>::to_vec);
        }
        let reads = client.reads;
        if reads {
            let after = self.random.span(0, MS / 2);
            self.schedule(index, after, Scheduled::Flushed(id));
        }
        if close && (reads || self.random.chance(50)) {
            let after = self.random.span(0, 40 * MS);
            self.schedule(index, after, Scheduled::Left(id));
        }
    }

    /// Hands over what clients have sent as far as it is taken.
    pub(crate) fn send_pending_frames(&mut self, index: usize) {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        for id in ids {
            let mut fed = false;
            while self.gateways[index].reducer.accepts_frame(id) {
                let client = self.gateways[index].clients.get_mut(&id);
                let Some(frame) = client.and_then(|client| client.pending.pop_front()) else {
                    break;
                };
                fed = true;
                self.input(index, Input::ClientFrame(id, frame));
            }
            let Some(client) = self.gateways[index].clients.get(&id) else {
                continue;
            };
            let ahead = client.half + client.pending.iter().map(|f| f.bytes.len()).sum::<usize>();
            if fed || ahead > 0 {
                self.input(index, Input::ClientReadAhead(id, ReadAhead::partial(ahead)));
            }
        }
    }

    pub(crate) fn id(&mut self) -> String {
        if !self.random.chance(4) {
            self.next_id += 1;
        }
        format!("h{:x}", self.next_id)
    }

    pub(crate) fn statement(&mut self) -> Frame {
        let (id, key) = (self.id(), self.random.below(4));
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

    pub(crate) fn client(&mut self, index: usize) -> Option<ClientId> {
        let ids: Vec<_> = self.gateways[index].clients.keys().copied().collect();
        self.random.one(&ids)
    }

    pub(crate) fn open_client(&mut self, index: usize) {
        if !self.gateways[index].accepts {
            return;
        }
        self.next_client += 1;
        let id = ClientId(self.next_client);
        let reads = !self.random.chance(8);
        let mut client = Client {
            reads,
            greeted: true,
            ..Client::default()
        };
        match self.random.below(14) {
            0 if self.agent_up => client.greeted = false,
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
        let greets_first = if self.agent_up { 40 } else { 95 };
        if self.random.chance(greets_first) {
            client.pending.push_back(query(""));
        }
        self.gateways[index].clients.insert(id, client);
        self.input(index, Input::ClientConnected(id));
        self.send_pending_frames(index);
    }

    pub(crate) fn cancel(&mut self, index: usize) {
        let keys: Vec<_> = self.gateways[index]
            .clients
            .values()
            .filter_map(|c| c.key.clone())
            .collect();
        if keys.is_empty() || !self.gateways[index].accepts {
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

    pub(crate) fn ask(&mut self, index: usize) {
        let many = if self.random.chance(15) {
            12
        } else {
            1 + self.random.below(3)
        };
        let Some(id) = self.client(index) else { return };
        for _ in 0..many {
            let frame = self.statement();
            if let Some(client) = self.gateways[index]
                .clients
                .get_mut(&id)
                .filter(|c| c.greeted)
            {
                client.pending.push_back(frame);
                client.half = 0;
            }
        }
        self.send_pending_frames(index);
    }

    pub(crate) fn call(&mut self, index: usize) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let frame = self.statement();
        if frame.kind != b'Q' {
            return;
        }
        self.gateways[index].calls.insert(call);
        let streams = self.random.chance(60);
        self.input(index, Input::Call(call, frame, streams));
    }

    pub(crate) fn leave_call(&mut self, index: usize) {
        let calls: Vec<_> = self.gateways[index].calls.iter().copied().collect();
        if let Some(call) = self.random.one(&calls) {
            self.gateways[index].calls.remove(&call);
            self.input(index, Input::CallCancelled(call));
        }
    }

    pub(crate) fn half_message(&mut self, index: usize) {
        let bytes = self.random.below(1500) as usize;
        if let Some(id) = self.client(index) {
            if let Some(client) = self.gateways[index].clients.get_mut(&id) {
                client.half = bytes;
            }
            self.send_pending_frames(index);
        }
    }

    pub(crate) fn read_on(&mut self, index: usize) {
        let slow = self.gateways[index]
            .clients
            .iter_mut()
            .filter(|(_, c)| !c.reads);
        let slow: Vec<_> = slow.map(|(id, c)| (c.reads = true, *id).1).collect();
        for id in slow {
            self.schedule(index, 0, Scheduled::Flushed(id));
        }
    }
}
