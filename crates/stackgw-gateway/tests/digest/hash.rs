//! The hash of the reducer's effects: FNV-1a, 64 bits, over numbers and fixed names.

use stackgw_bootstrap::CachedEndpoints;
use stackgw_gateway::reducer::{Effect, FinalResponse};
use stackgw_sessions::Record;
use std::net::SocketAddr;

/// FNV-1a, 64 bits.
pub(crate) struct Digest(pub(crate) u64);

impl Digest {
    pub(crate) fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        for byte in bytes {
            self.byte(*byte);
        }
    }

    pub(crate) fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }

    pub(crate) fn number(&mut self, number: u64) {
        number
            .to_le_bytes()
            .into_iter()
            .for_each(|byte| self.byte(byte));
    }

    pub(crate) fn optional(&mut self, number: Option<u64>) {
        self.byte(u8::from(number.is_some()));
        self.number(number.unwrap_or(0));
    }

    pub(crate) fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
    }

    pub(crate) fn cached_endpoints(&mut self, cached: &CachedEndpoints) {
        self.number(cached.list.revision);
        self.byte(u8::from(cached.list.complete));
        self.number(cached.confirmed_at as u64);
        self.number(cached.warm_throughput.to_bits());
        for entry in &cached.list.members {
            self.bytes(entry.id.as_bytes());
            self.address(entry.address);
            self.number(entry.up_since_ms as u64);
            self.byte(u8::from(entry.leader));
        }
    }

    pub(crate) fn record(&mut self, record: &Record) {
        match record {
            Record::ReplicaSet(replica_set) => self.pair(0, *replica_set),
            Record::Position(_, position) => self.pair(1, *position as u64),
            Record::Unacknowledged(_, position) => self.pair(2, *position as u64),
            Record::CompletePeer(peer) => self.pair(3, peer.incarnation),
            Record::PeerStore(peer, _) => self.pair(4, peer.incarnation),
            Record::Invalidated(_, since) => self.pair(5, *since),
        }
    }

    pub(crate) fn pair(&mut self, first: u64, second: u64) {
        self.number(first);
        self.number(second);
    }

    /// Hashes the numbers and flags of a status reply, regardless of their names and order.
    pub(crate) fn status_reply(&mut self, value: &serde_json::Value) {
        let mut leaves = Vec::new();
        collect_leaves(value, &mut leaves);
        leaves.sort();
        leaves.iter().for_each(|leaf| self.bytes(leaf.as_bytes()));
    }

    pub(crate) fn final_response(&mut self, response: &FinalResponse) {
        match response {
            FinalResponse::Served(row) => {
                self.byte(0);
                self.bytes(row);
            }
            FinalResponse::Rejected(text, retry_after_ms) => {
                self.byte(1);
                self.bytes(text.as_bytes());
                self.optional(retry_after_ms.map(|ms| ms as u64));
            }
            FinalResponse::Unavailable(text) => {
                self.byte(2);
                self.bytes(text.as_bytes());
            }
            FinalResponse::Failed(text) => {
                self.byte(3);
                self.bytes(text.as_bytes());
            }
            FinalResponse::Malformed(text) => {
                self.byte(4);
                self.bytes(text.as_bytes());
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each effect")]
    pub(crate) fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::AcceptClients(on) => self.pair(0, u64::from(*on)),
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => {
                self.pair(1, client.0);
                self.bytes(bytes);
                self.byte(u8::from(*close));
            }
            Effect::ClientClose(client) => self.pair(2, client.0),
            Effect::ClientCloseIfIdle(client) => self.pair(3, client.0),
            Effect::ClientDropInput(client) => self.pair(21, client.0),
            Effect::ClientCheckStalled(client, _) => self.pair(20, client.0),
            Effect::MemberConnect(conn, address) => {
                self.pair(4, conn.0);
                self.address(*address);
            }
            Effect::BackendConnect(conn, address) => {
                self.pair(5, conn.0);
                self.address(*address);
            }
            Effect::BackendSend(conn, request) => {
                self.pair(6, conn.0);
                self.bytes(request.statement.as_bytes());
                self.pair(
                    request.timeout_ms,
                    u64::from(request.is_write) * 2 + u64::from(request.may_stream),
                );
            }
            Effect::MemberWrite(conn, bytes) => {
                self.pair(7, conn.0);
                self.bytes(bytes);
            }
            Effect::MemberClose(conn) => self.pair(8, conn.0),
            Effect::OpenWatch(address, after) => {
                self.number(9);
                self.address(*address);
                self.optional(*after);
            }
            Effect::CloseWatch => self.number(10),
            Effect::FetchEndpoints(address) => {
                self.number(11);
                self.address(*address);
            }
            Effect::GossipDatagram(address, bytes) => {
                self.number(12);
                self.address(*address);
                self.bytes(bytes);
            }
            Effect::ClusterDatagram(address, bytes) => {
                self.number(13);
                self.address(*address);
                self.bytes(bytes);
            }
            Effect::CallCompleted(call, response) => {
                self.pair(14, call.0);
                self.final_response(response);
            }
            Effect::CallStreaming(call, conn) => {
                self.pair(15, call.0);
                self.number(conn.0);
            }
            Effect::StoreRecord(record) => {
                self.number(16);
                self.record(record);
            }
            Effect::StoreEndpoints(cached) => {
                self.number(17);
                self.cached_endpoints(cached);
            }
            Effect::StatusReply(id, value) => {
                self.pair(18, *id);
                self.status_reply(value);
            }
            Effect::StopListening => self.number(19),
            Effect::Log(_) => self.number(20),
            Effect::Report(counters) => {
                self.number(21);
                parse_counters(&counters.to_string())
                    .into_iter()
                    .for_each(|(_, count)| self.number(count));
            }
            Effect::Exit => self.number(22),
        }
    }
}

fn collect_leaves(value: &serde_json::Value, leaves: &mut Vec<String>) {
    match value {
        serde_json::Value::Array(values) => values
            .iter()
            .for_each(|value| collect_leaves(value, leaves)),
        serde_json::Value::Object(fields) => fields
            .values()
            .for_each(|value| collect_leaves(value, leaves)),
        serde_json::Value::String(_) => {}
        leaf => leaves.push(leaf.to_string()),
    }
}

/// Parses the counters from their printed form.
pub(crate) fn parse_counters(line: &str) -> Vec<(String, u64)> {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs
        .filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?)))
        .collect()
}
