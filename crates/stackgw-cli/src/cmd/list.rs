//! `stackgw list`: where a running gateway's list of members is from.

use crate::control_socket::{ask, entries, plain_text};
use crate::error::CommandResult;
use clap::Args;
use serde_json::{json, Value};
use std::path::PathBuf;

/// Ask a running gateway where its list of members is from.
#[derive(Args)]
#[command(after_help = "Example:\n  stackgw list /run/stackgw/g0.sock")]
pub struct ListQuery {
    /// The socket that the gateway's file names as `control`.
    socket: PathBuf,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

impl ListQuery {
    /// Asks and prints.
    ///
    /// # Errors
    /// Where the gateway can't be asked.
    pub fn run(self) -> CommandResult {
        let answer = ask(&self.socket, &json!({"ask": "list"}))?;
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
        ", watches the service"
    } else {
        ""
    };
    println!(
        "{ready}: {} members, version {}{watch}",
        answer["members"], answer["revision"]
    );
    if answer["origin"].is_string() {
        println!(
            "from {}, vouched for {} ms ago",
            plain_text(&answer["origin"]),
            answer["age_ms"]
        );
    }
    if answer["behind"] == true {
        println!("the list service tells older lists than this one");
    }
    for leader in entries(answer, "holders") {
        println!("should hold the watch: {}", plain_text(leader));
    }
    if answer["counts"].is_object() {
        println!("counts {}", answer["counts"]);
    }
}
