//! `stackgw sessions`: what a running gateway tells at its local socket.

use clap::Args;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);

/// Ask a running gateway what it holds of sessions.
#[derive(Args)]
#[command(after_help = "Examples:\n  stackgw sessions /run/stackgw/g0.sock\n  \
    stackgw sessions /run/stackgw/g0.sock --group 2 --session 7f3a9c21e0b4d655")]
pub struct Ask {
    /// The socket that the gateway's file names as `control`.
    socket: PathBuf,
    /// Ask of one session: its key, as its statements quote it.
    #[arg(long, requires = "group")]
    session: Option<String>,
    /// The session's group.
    #[arg(long, requires = "session")]
    group: Option<u32>,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

/// Puts a question to a gateway's socket.
pub fn ask(socket: &Path, question: &Value) -> Result<Value, String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(wrong)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(wrong)?;
    stream
        .write_all(format!("{question}\n").as_bytes())
        .map_err(wrong)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(wrong)?;
    let told: Value =
        serde_json::from_str(&line).map_err(|e| format!("{}: {e}", socket.display()))?;
    match told.get("error").and_then(Value::as_str) {
        Some(error) => Err(format!("{}: {error}", socket.display())),
        None => Ok(told),
    }
}

impl Ask {
    /// Asks and prints.
    pub fn run(self) -> Result<(), String> {
        let question = match (&self.session, self.group) {
            (Some(session), Some(group)) => {
                json!({"ask": "session", "group": group, "session": session})
            }
            _ => json!({"ask": "sessions"}),
        };
        let told = ask(&self.socket, &question)?;
        if self.json {
            println!("{told}");
        } else if self.session.is_some() {
            session(&told);
        } else {
            sessions(&told);
        }
        Ok(())
    }
}

/// A value as people write it.
pub fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

fn because(told: &Value) -> String {
    match &told["unsure_because"] {
        Value::Null => "sure".to_owned(),
        why => format!("cautious: {}", text(why)),
    }
}

fn session(told: &Value) {
    let homes: Vec<_> = told["homes"]
        .as_array()
        .into_iter()
        .flatten()
        .map(text)
        .collect();
    println!("homes: {}", homes.join(", "));
    println!("here: {}", because(told));
    match &told["mark"] {
        Value::Null => println!("mark: none"),
        mark => {
            let pushed = if mark["pushed_out"] == true {
                ", of a cell that others share"
            } else {
                ""
            };
            println!(
                "mark: position {} ms, {} ms old{pushed}",
                text(&mark["position_ms"]),
                mark["age_ms"]
            );
        }
    }
}

fn sessions(told: &Value) {
    let role = if told["keeper"] == true {
        "keeper"
    } else {
        "guest"
    };
    println!(
        "{} ({role}, incarnation {}): {}",
        text(&told["name"]),
        told["incarnation"],
        because(told)
    );
    println!(
        "marks {} (pushed out {}), own {}, waiting {}",
        told["marks"], told["marks_pushed_out"], told["own_marks"], told["waiting"]
    );
    for keeper in told["keepers"].as_array().into_iter().flatten() {
        println!(
            "keeper {}: pledged for {} ms, bound for {} ms, owed {}",
            text(&keeper["name"]),
            keeper["pledged_for_ms"],
            keeper["bound_for_ms"],
            keeper["owed"]
        );
    }
    for instance in told["instances"].as_array().into_iter().flatten() {
        let up = if instance["up"] == true { "up" } else { "gone" };
        println!(
            "instance {} at {}: {up}",
            text(&instance["name"]),
            text(&instance["address"])
        );
    }
    for (why, count) in told["cautious_because"].as_object().into_iter().flatten() {
        println!("cautious reads: {count}, {why}");
    }
    println!("counts {}", told["counts"]);
}
