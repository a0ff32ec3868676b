//! Reports for the log and the control socket.

use crate::reducer::context::Context;
use crate::reducer::effect::Effect;
use crate::reducer::input::StatusQuery;
use crate::reducer::state::Gateway;
use crate::reducer::status::MemberStatus;
use serde_json::{json, Value};
use stackgw_router::api::Time;

impl Gateway {
    /// Returns the status of each member that the router knows.
    pub(crate) fn member_statuses(&self) -> impl Iterator<Item = MemberStatus> + '_ {
        self.router.member_snapshots().map(|(id, snapshot)| {
            let name = self.members.get(id).map_or("?", |e| e.name.as_str());
            MemberStatus {
                name: name.to_owned(),
                snapshot,
                attempts: self.connections.attempts_on(id) as u32,
            }
        })
    }

    /// Logs the counters and the state of members, sessions and bootstrap.
    pub(super) fn report(&mut self, cx: &mut Context<'_>) {
        let counters = Box::new(cx.counters.clone());
        cx.emit(Effect::Report(counters));
        for status in self.member_statuses() {
            cx.log(status.log_line(cx.now));
        }
        let cluster = self.cluster.as_ref();
        let datagrams = cluster.map(|cluster| cluster.cluster().counters());
        if let Some(sessions) = &self.sessions {
            cx.log(sessions.log_line(cx.now, datagrams.unwrap_or_default()));
        }
        if let Some(bootstrap) = &self.bootstrap {
            cx.log(bootstrap.log_line(cx.now));
        }
    }

    /// Replies to a query at the control socket.
    pub(super) fn handle_status_query(
        &mut self,
        cx: &mut Context<'_>,
        id: u64,
        query: StatusQuery,
    ) {
        let reply = self.status_reply(cx.now, query);
        cx.emit(Effect::StatusReply(id, reply));
    }

    fn status_reply(&self, now: Time, query: StatusQuery) -> Value {
        match (query, self.sessions.as_ref().zip(self.cluster.as_ref())) {
            (StatusQuery::EndpointList, _) => self.endpoint_list_status(now),
            (_, None) => json!({"error": "sessions across instances are off"}),
            (StatusQuery::Sessions, Some((sessions, cluster))) => {
                sessions.status(now, cluster.cluster())
            }
            (StatusQuery::Session(group, session), Some((sessions, _))) => {
                sessions.session_status(now, group, &session)
            }
        }
    }

    fn endpoint_list_status(&self, now: Time) -> Value {
        match &self.bootstrap {
            Some(bootstrap) => bootstrap.status(now),
            None => json!({
                "revision": self.watch.revision(),
                "members": self.members.len(),
                "watch": self.watch.is_open(),
                "ready": !self.members.is_empty(),
            }),
        }
    }
}
