//! The names of one instance's members and requests on the wire, and their ids in its router.

use stackgw_router::api::{MemberId, RequestId};
use std::collections::HashMap;

/// Names and ids of members. Ids are assigned in order of first mention.
#[derive(Debug, Default)]
pub struct MemberNames {
    names: HashMap<MemberId, String>,
    ids: HashMap<String, MemberId>,
    next: u32,
}

impl MemberNames {
    /// Returns the id of a name, if it is known.
    pub fn id(&self, name: &str) -> Option<MemberId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a member; empty if the member has been removed.
    pub fn name(&self, id: MemberId) -> &str {
        self.names.get(&id).map_or("", String::as_str)
    }

    /// Assigns an id to a new name.
    pub fn add(&mut self, name: &str) -> MemberId {
        let id = MemberId(self.next);
        self.next += 1;
        self.names.insert(id, name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Removes a member that the router has forgotten. Its id is not used again.
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

/// Names and ids of requests. Ids are assigned in order of arrival. A name is known until its request and the request's last
/// attempt have ended.
#[derive(Debug, Default)]
pub struct RequestNames {
    requests: HashMap<RequestId, NamedRequest>,
    ids: HashMap<String, RequestId>,
    next: u64,
}

impl RequestNames {
    /// Returns the id of a request, if it is known.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a request; empty if it is no longer known.
    pub fn name(&self, id: RequestId) -> &str {
        let request = self.requests.get(&id);
        request.map_or("", |request| request.name.as_str())
    }

    /// Assigns an id to a new request, whose name must not be known yet.
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

    /// Records that an attempt was sent.
    pub fn begin_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records that an attempt has ended.
    pub fn end_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
        self.forget_if_done(id);
    }

    /// Records that a request has its final answer, or that its client has disconnected.
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
