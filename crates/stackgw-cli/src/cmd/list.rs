//! `stackgw list`: shows the endpoint list of a running gateway and where it came from.

use crate::control_socket::{entries, plain_text, request};
use crate::error::CommandResult;
use clap::Args;
use serde_json::{json, Value};
use std::path::PathBuf;

/// Show the endpoint list of a running gateway and where it came from.
#[derive(Args)]
#[command(after_help = "Example:\n  stackgw list /run/stackgw/g0.sock")]
pub struct ListQuery {
    /// The gateway's control socket (`control` in its operator's file).
    socket: PathBuf,
    /// Print the gateway's answer as JSON.
    #[arg(long)]
    json: bool,
}

impl ListQuery {
    /// Queries the gateway and prints its answer.
    ///
    /// # Errors
    /// If the request to the gateway fails.
    pub fn run(self) -> CommandResult {
        let answer = request(&self.socket, &json!({"ask": "list"}))?;
        if self.json {
            println!("{answer}");
        } else {
            print_list(&answer);
        }
        Ok(())
    }
}

fn print_list(answer: &Value) {
    let ready = if answer["ready"] == true {
        "ready"
    } else {
        "not ready"
    };
    let watch = if answer["watch"] == true {
        ", watching the list service"
    } else {
        ""
    };
    println!(
        "{ready}: {} members, revision {}{watch}",
        answer["members"], answer["revision"]
    );
    if answer["origin"].is_string() {
        println!(
            "from {}, last confirmed {} ms ago",
            plain_text(&answer["origin"]),
            answer["age_ms"]
        );
    }
    if answer["behind"] == true {
        println!("the list service sends an older revision than this list");
    }
    // The key `holders` names the instances that should watch the list service.
    for leader in entries(answer, "holders") {
        println!("designated watch leader: {}", plain_text(leader));
    }
    if answer["counts"].is_object() {
        println!("counts {}", answer["counts"]);
    }
}
