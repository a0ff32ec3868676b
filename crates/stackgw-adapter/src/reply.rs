//! Converts the router's actions to lines of a reply.

use crate::names::{MemberNames, RequestNames};
use base64::{engine::general_purpose::STANDARD, Engine};
use stackgw_router::api::{Action, Time};
use stackgw_settings::GossipCodec;
use std::any::Any;
use std::fmt::Write;

/// The target of gossip to all other instances.
const ALL_INSTANCES: &str = "all";

/// Writes the reply lines of one instance.
pub struct ReplyWriter<'a> {
    /// The instance's name.
    pub instance: &'a str,
    /// The batch's time.
    pub now: Time,
    /// The reply that lines are appended to.
    pub reply: &'a mut String,
}

impl ReplyWriter<'_> {
    /// Writes an action. Names that are no longer known are written as empty fields.
    pub fn write_action(
        &mut self,
        action: &Action,
        members: &MemberNames,
        requests: &RequestNames,
        gossip_codec: &GossipCodec,
    ) {
        let request_field = |id| format!("RequestId={}", requests.name(id));
        let member_field = |id| format!("Server={}", members.name(id));
        match action {
            Action::Send {
                request,
                member,
                timeout,
                ..
            } => {
                let timeout = optional_field("GiveUpAfterNs", *timeout);
                let (request, member) = (request_field(*request), member_field(*member));
                self.write_line("pass_on", &format!("{request} {member}{timeout}"));
            }
            Action::Cancel { request, attempt } => {
                let request = request_field(*request);
                self.write_line("undo_send", &format!("{request} Attempt={attempt}"));
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let retry_after = optional_field("HoldOffNs", *retry_after);
                let request = request_field(*request);
                self.write_line("not_now", &format!("{request}{retry_after}"));
            }
            Action::Fail(request) => self.write_line("drop_request", &request_field(*request)),
            Action::SetTimer { after, token } => {
                self.write_line("defer", &format!("WaitNs={after} Cookie={token}"));
            }
            Action::HealthCheck(member) => self.write_line("ask_load", &member_field(*member)),
            Action::CloseIdleConnections(member) => {
                self.write_line("shut_idle", &member_field(*member));
            }
            Action::SendGossip { to, updates } => {
                let target = to.map_or(ALL_INSTANCES.to_owned(), |to| to.to_string());
                for body in gossip_codec.encode(self.now, to.is_some(), updates) {
                    let body = STANDARD.encode(body);
                    self.write_line("say", &format!("Target={target} Body={body}"));
                }
            }
            Action::Subscribe(on) => {
                self.write_line("stream_changes", &format!("On={}", u8::from(*on)));
            }
            Action::ForgetMember(_) | Action::PrimaryChanged { .. } => {}
            Action::FetchEndpointList => {
                let _ = writeln!(self.reply, "lookup GatewayId={}", self.instance);
            }
            Action::Log(text) => self.write_line("log", &format!("NoteText={text}")),
        }
    }

    /// Reports a panic of the router in one line.
    pub fn write_panic(&mut self, panic: &(dyn Any + Send)) {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied());
        let text = text.unwrap_or("panic").replace(['\n', '\r'], " ");
        self.write_line("exception", &format!("NoteText={text}"));
    }

    fn write_line(&mut self, message: &str, fields: &str) {
        let instance = self.instance;
        let _ = writeln!(self.reply, "{message} GatewayId={instance} {fields}");
    }
}

/// A field with a leading space, or nothing if it has no value.
fn optional_field(name: &str, value: Option<i64>) -> String {
    value.map_or(String::new(), |value| format!(" {name}={value}"))
}
