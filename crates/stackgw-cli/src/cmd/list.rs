//! `stackgw list`: where a running gateway's list of members is from, as it tells at its local socket.

use super::sessions::{ask, text};
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

/// Ask a running gateway where its list of members is from.
#[derive(Args)]
#[command(after_help = "Example:\n  stackgw list /run/stackgw/g0.sock")]
pub struct Ask {
    /// The socket that the gateway's file names as `control`.
    socket: PathBuf,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

impl Ask {
    /// Asks and prints.
    pub fn run(self) -> Result<(), String> {
        let told = ask(&self.socket, &json!({"ask": "list"}))?;
        if self.json {
            println!("{told}");
            return Ok(());
        }
        let ready = if told["ready"] == true {
            "ready"
        } else {
            "not ready"
        };
        let watch = if told["watch"] == true {
            ", watches the service"
        } else {
            ""
        };
        println!(
            "{ready}: {} members, version {}{watch}",
            told["members"], told["revision"]
        );
        if told["origin"].is_string() {
            println!(
                "from {}, vouched for {} ms ago",
                text(&told["origin"]),
                told["age_ms"]
            );
        }
        if told["behind"] == true {
            println!("the list service tells older lists than this one");
        }
        for holder in told["holders"].as_array().into_iter().flatten() {
            println!("should hold the watch: {}", text(holder));
        }
        if told["counts"].is_object() {
            println!("counts {}", told["counts"]);
        }
        Ok(())
    }
}
