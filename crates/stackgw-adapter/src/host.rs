//! Hosts router instances: turns lines into events and actions into lines. Decides nothing.

use crate::wire::{Line, Malformed};
use base64::{engine::general_purpose::STANDARD, Engine};
use stackgw_router::{api::*, Router};
use stackgw_settings::{record_load_field, GossipCodec, PlatformSettings};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The client says that it repeats an earlier try.
const REPEAT_BIT: i64 = 2;

/// An entry of a numbered list, as yet without an instance's own numbers.
#[derive(Debug, Clone)]
struct Entry {
    name: String,
    member: Member,
}

/// What an instance still needs to know of a request's name.
#[derive(Debug)]
struct Open {
    name: String,
    attempts_out: u32,
    ended: bool,
}

/// One router with the names behind its numbers.
struct Instance {
    router: Router,
    position_zero: Time,
    classes: usize,
    members: HashMap<MemberId, String>,
    next_member: u32,
    gossip_codec: GossipCodec,
    member_ids: HashMap<String, MemberId>,
    requests: BTreeMap<RequestId, Open>,
    request_ids: HashMap<String, RequestId>,
    next_request: u64,
    actions: Vec<Action>,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    lists: HashMap<u32, Vec<Entry>>,
    /// The list that `item` lines belong to, and how many are still to come.
    filling: Option<(u32, u64)>,
    now: Option<Time>,
    seq: String,
}

impl Host {
    /// Takes one line; a reply is due when it closes a batch.
    pub fn line(&mut self, number: u64, text: &str, out: &mut String) -> Result<bool, Malformed> {
        let line = Line::parse(number, text)?;
        if let Some((buffer, left)) = self.filling {
            if line.name != "item" {
                return Err(line.wrong(
                    "MembersList",
                    format!("{left} more item lines were announced"),
                ));
            }
            let entry = entry(&line)?;
            self.lists.entry(buffer).or_default().push(entry);
            self.filling = Some((buffer, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(false);
        }
        if line.name == "clock" {
            if self.now.is_some() {
                return Err(line.wrong("clock", "the batch before has no 'go'"));
            }
            self.now = Some(line.need_int("NowNs")?);
            self.seq = line.text("seq")?.to_owned();
            line.need_int("seq")?;
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(line.wrong(line.name, "outside a batch: no 'clock' came before it"));
        };
        match line.name {
            "go" => {
                let _ = writeln!(out, "done seq={}", self.seq);
                self.now = None;
                return Ok(true);
            }
            "page" => {
                let buffer = line.need_index("Buffer")?;
                if buffer > 15 {
                    return Err(line.wrong("Buffer", "must lie between 0 and 15"));
                }
                let count = line.need_index("MembersList")?;
                self.lists.insert(buffer, Vec::new());
                self.filling = Some((buffer, u64::from(count))).filter(|_| count > 0);
            }
            "item" => return Err(line.wrong("item", "belongs to no 'page'")),
            "power_on" => {
                let name = line.text("GatewayId")?.to_owned();
                let text = line.text("Seed")?;
                let seed = text
                    .parse::<u64>()
                    .or_else(|_| text.parse::<i64>().map(|s| s as u64));
                let seed =
                    seed.map_err(|_| line.wrong("Seed", format!("'{text}' is no whole number")))?;
                let conf = line.text("Conf")?;
                let host = PlatformSettings::from_text(conf).map_err(|e| line.wrong("Conf", e))?;
                let instance = Instance {
                    position_zero: host.position_zero,
                    classes: host.router.classes.len(),
                    router: Router::new(host.router, seed),
                    members: HashMap::new(),
                    next_member: 0,
                    gossip_codec: GossipCodec::default(),
                    member_ids: HashMap::new(),
                    requests: BTreeMap::new(),
                    request_ids: HashMap::new(),
                    next_request: 0,
                    actions: Vec::new(),
                };
                self.instances.insert(name, instance);
            }
            "halt" => {
                self.instances.remove(line.text("GatewayId")?);
            }
            _ => {
                let name = line.text("GatewayId")?;
                let lists = &self.lists;
                let Some(instance) = self.instances.get_mut(name) else {
                    return Err(line.wrong("GatewayId", format!("no instance '{name}' is running")));
                };
                if let Some(event) = instance.event(&line, lists, now)? {
                    instance.handle(name, now, event, out);
                }
            }
        }
        Ok(false)
    }

    /// Input ended: an error if that was inside a batch.
    pub fn end(&self, number: u64) -> Result<(), Malformed> {
        let open = self.now.is_some();
        let problem = format!("input ended inside batch {}", self.seq);
        if open {
            Err(Malformed {
                line: number,
                field: "go".into(),
                problem,
            })
        } else {
            Ok(())
        }
    }
}

fn entry(line: &Line) -> Result<Entry, Malformed> {
    let weight = line.number("Weight")?.unwrap_or(1.0);
    if weight < 0.0 {
        return Err(line.wrong("Weight", "below 0"));
    }
    let standing = match line.text("Readiness")? {
        "in_service" => Lifecycle::Serving,
        "terminating" => Lifecycle::Draining,
        "terminated" => Lifecycle::Removed,
        other => return Err(line.wrong("Readiness", format!("'{other}' is unknown"))),
    };
    let member = Member {
        id: MemberId(0),
        group: GroupId(line.need_index("Shard")?),
        zone: line
            .get("Area")
            .map_or(Ok(0), |_| line.need_index("Area"))?,
        weight,
        started_at: line.int("StartedAtNs")?.filter(|t| *t != 0),
        lifecycle: standing,
        listed_primary: line.number("Leads")?.unwrap_or(0.0) > 0.0,
    };
    Ok(Entry {
        name: line.text("Server")?.to_owned(),
        member,
    })
}

fn outcome(line: &Line) -> Result<Outcome, Malformed> {
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
        other => return Err(line.wrong("Status", format!("'{other}' is unknown"))),
    })
}

impl Instance {
    fn member(&self, line: &Line) -> Result<Option<MemberId>, Malformed> {
        Ok(self.member_ids.get(line.text("Server")?).copied())
    }

    fn report(&self, line: &Line) -> Result<LoadReport, Malformed> {
        let mut report = LoadReport::default();
        for (name, value) in line.pairs("Stats")? {
            match name {
                "x0" => report.position = Some(self.position_zero + (value * 1e9).floor() as Time),
                _ => record_load_field(&mut report, name, value),
            }
        }
        Ok(report)
    }

    /// The event behind a line; `None` where it speaks of what this instance never knew or has forgotten.
    fn event(
        &mut self,
        line: &Line,
        lists: &HashMap<u32, Vec<Entry>>,
        now: Time,
    ) -> Result<Option<Event>, Malformed> {
        let event = match line.name {
            "topology" => {
                line.need_int("Serial")?;
                let scope = match line.text("Scope")? {
                    "delta" => ListScope::Changes,
                    "full" => ListScope::Full,
                    "cached" => ListScope::Cached,
                    "failed" => ListScope::Failed,
                    other => return Err(line.wrong("Scope", format!("'{other}' is unknown"))),
                };
                let mut members = Vec::new();
                if scope != ListScope::Failed {
                    let buffer = line.need_index("Buffer")?;
                    let Some(entries) = lists.get(&buffer) else {
                        return Err(line.wrong("Buffer", format!("no page {buffer} came before")));
                    };
                    members = entries.iter().map(|e| self.listed(e)).collect();
                }
                Event::EndpointList { scope, members }
            }
            "query" => Event::Request(self.request(line, now)?),
            "first" => {
                line.need_index("Attempt")?;
                line.need_int("TookNs")?;
                let request = self.request_ids.get(line.text("RequestId")?).copied();
                let (Some(request), Some(member)) = (request, self.member(line)?) else {
                    return Ok(None);
                };
                Event::StreamStarted { request, member }
            }
            "resolved" => return self.answer(line),
            "abandoned" => {
                let Some(&request) = self.request_ids.get(line.text("RequestId")?) else {
                    return Ok(None);
                };
                self.close(request);
                Event::ClientDisconnected(request)
            }
            "ring" => {
                let text = line.text("Cookie")?;
                let token = text.parse();
                Event::Timer(
                    token.map_err(|_| line.wrong("Cookie", format!("'{text}' is no token")))?,
                )
            }
            "probe_done" => {
                let answered = outcome(line)? == Outcome::Served;
                let took = line.need_int("TookNs")?;
                let report = self.report(line)?;
                let Some(member) = self.member(line)? else {
                    return Ok(None);
                };
                Event::HealthChecked {
                    member,
                    responded: answered,
                    elapsed: took,
                    load_report: report,
                }
            }
            "heard" => {
                let body = match line.text("Body")? {
                    "-" => Vec::new(),
                    text => STANDARD
                        .decode(text)
                        .map_err(|e| line.wrong("Body", format!("no base64: {e}")))?,
                };
                line.need_index("From")?;
                // Another version's message is no fault of the input.
                let Some((told, relay, news)) = self.gossip_codec.decode(now, &body) else {
                    return Ok(None);
                };
                Event::Gossip {
                    sent_at: told,
                    relay,
                    updates: news,
                }
            }
            _ => return Err(line.wrong("message", format!("'{}' is unknown", line.name))),
        };
        Ok(Some(event))
    }

    fn listed(&mut self, entry: &Entry) -> Member {
        let next = MemberId(self.next_member);
        let id = *self.member_ids.entry(entry.name.clone()).or_insert(next);
        if id == next {
            self.next_member += 1;
            self.members.insert(id, entry.name.clone());
            self.gossip_codec.add(id, &entry.name);
        }
        Member {
            id,
            ..entry.member.clone()
        }
    }

    fn request(&mut self, line: &Line, now: Time) -> Result<Request, Malformed> {
        let name = line.text("RequestId")?.to_owned();
        let class = line.need_index("Service")? as usize;
        if class >= self.classes {
            return Err(line.wrong("Service", format!("there is no class {class}")));
        }
        if self.request_ids.contains_key(&name) {
            return Err(line.wrong("RequestId", "is open already"));
        }
        let age = line.number("TokenAgeMs")?.filter(|age| *age > 0.0);
        let request = Request {
            id: RequestId(self.next_request),
            class,
            group: GroupId(line.need_index("Cluster")?),
            deadline: line.need_int("DropDeadNs")?,
            session: line.get("Sess").map(|s| SessionId(s.into())),
            last_write: age.map(|ms| now - (ms * 1e6) as Span),
            is_retry: line.int("StateBits")?.unwrap_or(0) & REPEAT_BIT != 0,
            requires_strong_read: false,
        };
        self.next_request += 1;
        self.request_ids.insert(name.clone(), request.id);
        self.requests.insert(
            request.id,
            Open {
                name,
                attempts_out: 0,
                ended: false,
            },
        );
        Ok(request)
    }

    fn answer(&mut self, line: &Line) -> Result<Option<Event>, Malformed> {
        let outcome = outcome(line)?;
        let note = line.int("Note")?;
        if note.is_some_and(|n| n < 0) {
            return Err(line.wrong("Note", "below 0"));
        }
        let role = note.map(|n| n % 4);
        let position = note
            .map(|n| n / 4)
            .filter(|p| *p > 0)
            .map(|ms| self.position_zero + ms * MS);
        let request = self.request_ids.get(line.text("RequestId")?).copied();
        let attempt = line.need_index("Attempt")?;
        let took = line.need_int("TookNs")?;
        let finished = line.flag("Finished")?;
        let report = self.report(line)?;
        let (Some(request), Some(member)) = (request, self.member(line)?) else {
            return Ok(None);
        };
        if let Some(open) = self.requests.get_mut(&request) {
            open.attempts_out = open.attempts_out.saturating_sub(1);
        }
        if finished {
            self.close(request);
        } else {
            self.forget_if_done(request);
        }
        let primary = match role {
            Some(1) => Some(true),
            Some(2) => Some(false),
            _ => None,
        };
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
        Ok(Some(Event::AttemptEnded(answer)))
    }

    fn close(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.ended = true;
        }
        self.forget_if_done(request);
    }

    /// A name is needed until the request has ended and its last attempt has come back.
    fn forget_if_done(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|o| o.ended && o.attempts_out == 0)
        {
            if let Some(open) = self.requests.remove(&request) {
                self.request_ids.remove(&open.name);
            }
        }
    }

    fn handle(&mut self, gateway: &str, now: Time, event: Event, out: &mut String) {
        let (router, actions) = (&mut self.router, &mut self.actions);
        let ran = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, actions)));
        if let Err(panic) = ran {
            let said = panic.downcast_ref::<String>().map(String::as_str);
            let text = said
                .or(panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            let text = text.replace(['\n', '\r'], " ");
            let _ = writeln!(out, "exception GatewayId={gateway} NoteText={text}");
            self.actions.clear();
            return;
        }
        for action in std::mem::take(&mut self.actions) {
            self.write(gateway, now, &action, out);
        }
    }

    fn write(&mut self, gateway: &str, now: Time, action: &Action, out: &mut String) {
        let name = |id: &RequestId| self.requests.get(id).map_or("", |o| o.name.as_str());
        let server = |id: &MemberId| self.members.get(id).map_or("", String::as_str);
        let _ = match action {
            Action::Send {
                request,
                member,
                timeout,
            } => {
                let wait = timeout.map_or(String::new(), |t| format!(" GiveUpAfterNs={t}"));
                let (id, to) = (name(request), server(member));
                writeln!(
                    out,
                    "pass_on GatewayId={gateway} RequestId={id} Server={to}{wait}"
                )
            }
            Action::Cancel { request, attempt } => {
                writeln!(
                    out,
                    "undo_send GatewayId={gateway} RequestId={} Attempt={attempt}",
                    name(request)
                )
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let wait = retry_after.map_or(String::new(), |t| format!(" HoldOffNs={t}"));
                writeln!(
                    out,
                    "not_now GatewayId={gateway} RequestId={}{wait}",
                    name(request)
                )
            }
            Action::Fail(request) => {
                writeln!(
                    out,
                    "drop_request GatewayId={gateway} RequestId={}",
                    name(request)
                )
            }
            Action::SetTimer { after, token } => {
                writeln!(
                    out,
                    "defer GatewayId={gateway} WaitNs={after} Cookie={token}"
                )
            }
            Action::HealthCheck(member) => {
                writeln!(
                    out,
                    "ask_load GatewayId={gateway} Server={}",
                    server(member)
                )
            }
            Action::CloseIdleConnections(member) => {
                writeln!(
                    out,
                    "shut_idle GatewayId={gateway} Server={}",
                    server(member)
                )
            }
            Action::SendGossip { to, updates: news } => {
                let target = to.map_or("all".to_owned(), |n| n.to_string());
                let bodies = self.gossip_codec.encode(now, to.is_some(), news);
                bodies.iter().try_for_each(|body| {
                    writeln!(
                        out,
                        "say GatewayId={gateway} Target={target} Body={}",
                        STANDARD.encode(body)
                    )
                })
            }
            Action::Subscribe(on) => {
                writeln!(
                    out,
                    "stream_changes GatewayId={gateway} On={}",
                    u8::from(*on)
                )
            }
            Action::ForgetMember(_) => Ok(()),
            Action::FetchEndpointList => writeln!(out, "lookup GatewayId={gateway}"),
            Action::Log(text) => writeln!(out, "log GatewayId={gateway} NoteText={text}"),
        };
        match action {
            Action::Send { request, .. } => {
                if let Some(open) = self.requests.get_mut(request) {
                    open.attempts_out += 1;
                }
            }
            Action::Reject { request, .. } | Action::Fail(request) => self.close(*request),
            Action::ForgetMember(member) => {
                self.gossip_codec.remove(*member);
                if let Some(name) = self.members.remove(member) {
                    self.member_ids.remove(&name);
                }
            }
            _ => {}
        }
    }
}
