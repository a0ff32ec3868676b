//! One instance: a router, and the names that belong to its member and request ids. Converts lines to the router's events;
//! `reply.rs` converts its actions to lines.

use crate::line::{InputError, Line};
use crate::member_pages::{ListedMember, MemberPages};
use crate::names::{MemberNames, RequestNames};
use crate::reply::ReplyWriter;
use base64::{engine::general_purpose::STANDARD, Engine};
use stackgw_router::api::{
    Action, AttemptResult, Event, GroupId, ListScope, LoadReport, Member, MemberId, Outcome,
    Request, SessionId, Span, Time, MS,
};
use stackgw_router::Router;
use stackgw_settings::{record_load_field, GossipCodec, PlatformSettings};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The bit of `StateBits` that marks a retry of an earlier request by the client.
const RETRY_BIT: i64 = 2;

/// The number of values of the two lowest bits of `Note`, which have the member's role. The bits above them have the member's
/// position in milliseconds since [`Instance::position_zero`]; 0 means that it has none.
const NOTE_ROLES: i64 = 4;
const NOTE_PRIMARY: i64 = 1;
const NOTE_REPLICA: i64 = 2;

/// The field of a load report with the member's position in seconds since [`Instance::position_zero`].
const POSITION_FIELD: &str = "x0";

const SECOND_IN_NS: f64 = 1e9;
const MS_IN_NS: f64 = 1e6;

/// Stands for an empty body of a gossip message.
const EMPTY_BODY: &str = "-";

/// One router with the names that belong to its ids.
pub struct Instance {
    router: Router,
    /// The router's time that position 0 on the wire stands for.
    position_zero: Time,
    classes: usize,
    members: MemberNames,
    requests: RequestNames,
    gossip_codec: GossipCodec,
    /// The router's actions for the current event; empty between events.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance with the settings of a `power_on` line.
    ///
    /// # Errors
    /// If the seed or the settings are malformed.
    pub fn start(line: &Line) -> Result<Self, InputError> {
        let text = line.text("Seed")?;
        let seed = text
            .parse::<u64>()
            .or_else(|_| text.parse::<i64>().map(|seed| seed as u64))
            .map_err(|_| line.error("Seed", format!("'{text}' is not an integer")))?;
        let settings = PlatformSettings::from_text(line.text("Conf")?)
            .map_err(|problem| line.error("Conf", problem.to_string()))?;
        Ok(Instance {
            position_zero: settings.position_zero,
            classes: settings.router.classes.len(),
            router: Router::new(settings.router, seed),
            members: MemberNames::default(),
            requests: RequestNames::default(),
            gossip_codec: GossipCodec::default(),
            actions: Vec::new(),
        })
    }

    /// Parses a line as an event. Returns `None` if the line names a request or member that this instance doesn't know or has
    /// already forgotten, or has a gossip message that cannot be decoded.
    ///
    /// # Errors
    /// If the line is malformed.
    pub fn parse_event(
        &mut self,
        line: &Line,
        pages: &MemberPages,
        now: Time,
    ) -> Result<Option<Event>, InputError> {
        match line.name {
            "topology" => self.parse_list(line, pages).map(Some),
            "query" => self.parse_request(line, now).map(Event::Request).map(Some),
            "first" => self.parse_stream_start(line),
            "resolved" => self.parse_attempt_end(line),
            "abandoned" => self.parse_client_end(line),
            "ring" => parse_timer(line).map(Some),
            "probe_done" => self.parse_health_check(line),
            "heard" => self.parse_gossip(line, now),
            _ => Err(line.error("message", format!("'{}' is unknown", line.name))),
        }
    }

    /// Passes an event to the router, and writes the router's actions to `reply`. If the router panics, the panic is written to
    /// `reply` instead of the event's actions, and the instance keeps running.
    pub fn handle(&mut self, name: &str, now: Time, event: Event, reply: &mut String) {
        let (router, actions) = (&mut self.router, &mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, actions)));
        let mut writer = ReplyWriter {
            instance: name,
            now,
            reply,
        };
        if let Err(panic) = handled {
            writer.write_panic(&*panic);
            self.actions.clear();
            return;
        }
        for action in std::mem::take(&mut self.actions) {
            writer.write_action(&action, &self.members, &self.requests, &self.gossip_codec);
            self.update_names(&action);
        }
    }

    /// Updates the names of members and requests after an action.
    fn update_names(&mut self, action: &Action) {
        match action {
            Action::Send { request, .. } => self.requests.begin_attempt(*request),
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.requests.end_request(*request);
            }
            Action::ForgetMember(member) => {
                self.gossip_codec.remove(*member);
                self.members.remove(*member);
            }
            _ => {}
        }
    }

    fn parse_list(&mut self, line: &Line, pages: &MemberPages) -> Result<Event, InputError> {
        line.integer("Serial")?;
        let scope = match line.text("Scope")? {
            "delta" => ListScope::Changes,
            "full" => ListScope::Full,
            "cached" => ListScope::Cached,
            "failed" => ListScope::Failed,
            other => return Err(line.error("Scope", format!("'{other}' is unknown"))),
        };
        let mut members = Vec::new();
        if scope != ListScope::Failed {
            let page = line.index("Buffer")?;
            let Some(entries) = pages.get(page) else {
                return Err(line.error(
                    "Buffer",
                    format!("no 'page' line with number {page} precedes it"),
                ));
            };
            members = entries.iter().map(|entry| self.assign_id(entry)).collect();
        }
        Ok(Event::EndpointList { scope, members })
    }

    /// A list entry with this instance's id of the member, which is assigned if the member is new.
    fn assign_id(&mut self, entry: &ListedMember) -> Member {
        let id = self.members.id(&entry.name).unwrap_or_else(|| {
            let id = self.members.add(&entry.name);
            self.gossip_codec.add(id, &entry.name);
            id
        });
        Member {
            id,
            ..entry.member.clone()
        }
    }

    fn parse_request(&mut self, line: &Line, now: Time) -> Result<Request, InputError> {
        let name = line.text("RequestId")?;
        let class = line.index("Service")? as usize;
        if class >= self.classes {
            return Err(line.error("Service", format!("there is no class {class}")));
        }
        if self.requests.id(name).is_some() {
            return Err(line.error("RequestId", "is the id of an open request"));
        }
        let write_age_ms = line.optional_number("TokenAgeMs")?.filter(|age| *age > 0.0);
        let group = GroupId(line.index("Cluster")?);
        let deadline = line.integer("DropDeadNs")?;
        let state_bits = line.optional_integer("StateBits")?.unwrap_or(0);
        Ok(Request {
            id: self.requests.add(name),
            class,
            group,
            deadline,
            session: line.optional_text("Sess").map(|s| SessionId(s.into())),
            last_write: write_age_ms.map(|ms| now - (ms * MS_IN_NS) as Span),
            is_retry: state_bits & RETRY_BIT != 0,
            requires_strong_read: false,
        })
    }

    fn parse_stream_start(&self, line: &Line) -> Result<Option<Event>, InputError> {
        line.index("Attempt")?;
        line.integer("TookNs")?;
        let request = self.requests.id(line.text("RequestId")?);
        let (Some(request), Some(member)) = (request, self.parse_member(line)?) else {
            return Ok(None);
        };
        Ok(Some(Event::StreamStarted { request, member }))
    }

    fn parse_attempt_end(&mut self, line: &Line) -> Result<Option<Event>, InputError> {
        let outcome = parse_outcome(line)?;
        let note = line.optional_integer("Note")?;
        if note.is_some_and(|note| note < 0) {
            return Err(line.error("Note", "below 0"));
        }
        let position_ms = note.map(|note| note / NOTE_ROLES).filter(|ms| *ms > 0);
        let is_primary = match note.map(|note| note % NOTE_ROLES) {
            Some(NOTE_PRIMARY) => Some(true),
            Some(NOTE_REPLICA) => Some(false),
            _ => None,
        };
        let request = self.requests.id(line.text("RequestId")?);
        let attempt = line.index("Attempt")?;
        let elapsed = line.integer("TookNs")?;
        let request_finished = line.flag("Finished")?;
        let load_report = self.parse_load_report(line)?;
        let (Some(request), Some(member)) = (request, self.parse_member(line)?) else {
            return Ok(None);
        };
        self.requests.end_attempt(request);
        if request_finished {
            self.requests.end_request(request);
        }
        Ok(Some(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            member,
            outcome,
            elapsed,
            request_finished,
            is_primary,
            position: position_ms.map(|ms| self.position_zero + ms * MS),
            load_report,
        })))
    }

    fn parse_client_end(&mut self, line: &Line) -> Result<Option<Event>, InputError> {
        let Some(request) = self.requests.id(line.text("RequestId")?) else {
            return Ok(None);
        };
        self.requests.end_request(request);
        Ok(Some(Event::ClientDisconnected(request)))
    }

    fn parse_health_check(&self, line: &Line) -> Result<Option<Event>, InputError> {
        let responded = parse_outcome(line)? == Outcome::Served;
        let elapsed = line.integer("TookNs")?;
        let load_report = self.parse_load_report(line)?;
        let Some(member) = self.parse_member(line)? else {
            return Ok(None);
        };
        Ok(Some(Event::HealthChecked {
            member,
            responded,
            elapsed,
            load_report,
        }))
    }

    fn parse_gossip(&self, line: &Line, now: Time) -> Result<Option<Event>, InputError> {
        let body = match line.text("Body")? {
            EMPTY_BODY => Vec::new(),
            text => STANDARD
                .decode(text)
                .map_err(|e| line.error("Body", format!("not valid base64: {e}")))?,
        };
        line.index("From")?;
        // A message that cannot be decoded may come from another version, so it is not an input error.
        let Some(message) = self.gossip_codec.decode(now, &body) else {
            return Ok(None);
        };
        Ok(Some(Event::Gossip {
            sent_at: message.sent_at,
            relay: message.relay,
            updates: message.updates,
        }))
    }

    /// The member that a line names, or `None` if it is unknown.
    fn parse_member(&self, line: &Line) -> Result<Option<MemberId>, InputError> {
        Ok(self.members.id(line.text("Server")?))
    }

    fn parse_load_report(&self, line: &Line) -> Result<LoadReport, InputError> {
        let mut report = LoadReport::default();
        for (name, value) in line.number_pairs("Stats")? {
            if name == POSITION_FIELD {
                let position = (value * SECOND_IN_NS).floor() as Time;
                report.position = Some(self.position_zero + position);
            } else {
                record_load_field(&mut report, name, value);
            }
        }
        Ok(report)
    }
}

fn parse_timer(line: &Line) -> Result<Event, InputError> {
    let text = line.text("Cookie")?;
    let token = text.parse();
    let token =
        token.map_err(|_| line.error("Cookie", format!("'{text}' is not a timer token")))?;
    Ok(Event::Timer(token))
}

fn parse_outcome(line: &Line) -> Result<Outcome, InputError> {
    Ok(match line.text("Status")? {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Overloaded,
        "empty" => Outcome::Misrouted,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::ConnectFailed,
        "dropped" => Outcome::ConnectionReset,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => return Err(line.error("Status", format!("'{other}' is unknown"))),
    })
}
