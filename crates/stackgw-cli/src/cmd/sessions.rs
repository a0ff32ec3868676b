//! `stackgw sessions`: shows the session state of a running gateway.

use crate::control_socket::{entries, plain_text, request};
use crate::error::CommandResult;
use clap::Args;
use serde_json::{json, Value};
use std::path::PathBuf;

/// Show the session state of a running gateway.
#[derive(Args)]
#[command(after_help = "Examples:\n  stackgw sessions /run/stackgw/g0.sock\n  \
    stackgw sessions /run/stackgw/g0.sock --group 2 --session 7f3a9c21e0b4d655")]
pub struct SessionsQuery {
    /// The gateway's control socket (`control` in its operator's file).
    socket: PathBuf,
    /// Show only this session, given by its key as quoted in its statements.
    #[arg(long, requires = "group")]
    session: Option<String>,
    /// The session's group.
    #[arg(long, requires = "session")]
    group: Option<u32>,
    /// Print the gateway's answer as JSON.
    #[arg(long)]
    json: bool,
}

impl SessionsQuery {
    /// Queries the gateway and prints its answer.
    ///
    /// # Errors
    /// If the request to the gateway fails.
    pub fn run(self) -> CommandResult {
        let query = match (&self.session, self.group) {
            (Some(session), Some(group)) => {
                json!({"ask": "session", "group": group, "session": session})
            }
            _ => json!({"ask": "sessions"}),
        };
        let answer = request(&self.socket, &query)?;
        if self.json {
            println!("{answer}");
        } else if self.session.is_some() {
            print_session(&answer);
        } else {
            print_sessions(&answer);
        }
        Ok(())
    }
}

/// Describes whether the instance is certain about its sessions, that is, knows the positions that their reads must see: `sure`,
/// or `cautious` with the reason why it serves session reads as strong reads.
fn certainty(answer: &Value) -> String {
    match &answer["unsure_because"] {
        Value::Null => "sure".to_owned(),
        reason => format!("cautious: {}", plain_text(reason)),
    }
}

fn print_session(answer: &Value) {
    let owners: Vec<_> = entries(answer, "homes").map(plain_text).collect();
    println!("homes: {}", owners.join(", "));
    println!("this instance: {}", certainty(answer));
    match &answer["mark"] {
        Value::Null => println!("mark: none"),
        mark => {
            let shared = if mark["pushed_out"] == true {
                ", evicted: shares a bucket with other sessions"
            } else {
                ""
            };
            println!(
                "mark: position {} ms, {} ms old{shared}",
                plain_text(&mark["position_ms"]),
                mark["age_ms"]
            );
        }
    }
}

fn print_sessions(answer: &Value) {
    let role = if answer["keeper"] == true {
        "keeper"
    } else {
        "guest"
    };
    println!(
        "{} ({role}, incarnation {}): {}",
        plain_text(&answer["name"]),
        answer["incarnation"],
        certainty(answer)
    );
    println!(
        "marks {} (pushed out {}), own {}, waiting {}",
        answer["marks"], answer["marks_pushed_out"], answer["own_marks"], answer["waiting"]
    );
    for replica in entries(answer, "keepers") {
        println!(
            "keeper {}: pledged for {} ms, bound for {} ms, owed {}",
            plain_text(&replica["name"]),
            replica["pledged_for_ms"],
            replica["bound_for_ms"],
            replica["owed"]
        );
    }
    for instance in entries(answer, "instances") {
        let state = if instance["up"] == true { "up" } else { "gone" };
        println!(
            "instance {} at {}: {state}",
            plain_text(&instance["name"]),
            plain_text(&instance["address"])
        );
    }
    let reasons = answer["cautious_because"].as_object();
    for (reason, count) in reasons.into_iter().flatten() {
        println!("cautious reads: {count}, {reason}");
    }
    println!("counts {}", answer["counts"]);
}
