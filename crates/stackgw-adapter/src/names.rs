//! The names of one instance's members and requests on the wire, and the numbers that its router has for them.

use stackgw_router::api::{MemberId, RequestId};
use std::collections::HashMap;

/// The members, numbered in order of first mention.
#[derive(Debug, Default)]
pub struct MemberNames {
    names: HashMap<MemberId, String>,
    ids: HashMap<String, MemberId>,
    next: u32,
}

impl MemberNames {
    /// The number of a name that was mentioned before.
    pub fn id(&self, name: &str) -> Option<MemberId> {
        self.ids.get(name).copied()
    }

    /// The name of a number; empty where it has been removed.
    pub fn name(&self, id: MemberId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Numbers a name that was not mentioned before.
    pub fn add(&mut self, name: &str) -> MemberId {
        let id = MemberId(self.next);
        self.next += 1;
        self.names.insert(id, name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Removes a member that the router has forgotten; its number is not used again.
    pub fn remove(&mut self, id: MemberId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }
}

/// A request whose name is still needed.
#[derive(Debug)]
struct NamedRequest {
    name: String,
    attempts_in_flight: u32,
    has_ended: bool,
}

/// The requests, numbered in order of arrival. A name is known until its request has ended and the last attempt has come back.
#[derive(Debug, Default)]
pub struct RequestNames {
    requests: HashMap<RequestId, NamedRequest>,
    ids: HashMap<String, RequestId>,
    next: u64,
}

impl RequestNames {
    /// The number of a request that is known.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of a number; empty where it is no longer known.
    pub fn name(&self, id: RequestId) -> &str {
        let request = self.requests.get(&id);
        request.map_or("", |request| request.name.as_str())
    }

    /// Numbers a request that has come in; its name must not be known yet.
    pub fn add(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        self.ids.insert(name.to_owned(), id);
        let request = NamedRequest {
            name: name.to_owned(),
            attempts_in_flight: 0,
            has_ended: false,
        };
        self.requests.insert(id, request);
        id
    }

    /// Notes an attempt that was sent.
    pub fn begin_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Notes an attempt that has come back.
    pub fn end_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
        self.forget_if_done(id);
    }

    /// Notes that a request has its final answer, or that its client has left.
    pub fn end_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.has_ended = true;
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: RequestId) {
        let is_done = |request: &NamedRequest| request.has_ended && request.attempts_in_flight == 0;
        if self.requests.get(&id).is_some_and(is_done) {
            if let Some(request) = self.requests.remove(&id) {
                self.ids.remove(&request.name);
            }
        }
    }
}
