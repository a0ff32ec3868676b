//! The `stackgw` command: without a sub-command it runs a gateway that is configured by environment variables; the sub-commands
//! are tools for operators.
//!
//! This package parses arguments, calls libraries and prints results. An error is printed as one line on standard error, with a
//! non-zero exit code. Decisions about requests and knowledge of wire formats belong to the libraries, not here.

mod cmd;
mod control_socket;
mod error;
#[cfg(feature = "flight")]
mod flight_frontend;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "stackgw",
    version,
    about = "A gateway between clients and a replicated store",
    max_term_width = 100
)]
#[command(after_help = "Without a sub-command it runs the gateway that ROUTER_CONFIG describes.")]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway in the foreground.
    Run(cmd::run::Run),
    /// Check an operator's file and report the first problem in one line.
    Check(cmd::check::Check),
    /// Print the JSON Schema of the operator's file.
    Schema,
    /// Show the session state of a running gateway, and why reads are cautious (must see every commit).
    Sessions(cmd::sessions::SessionsQuery),
    /// Show the endpoint list of a running gateway and where it came from.
    List(cmd::list::ListQuery),
    /// Run fake members, gateways and clients on loopback, inject faults, and audit session consistency.
    Demo(cmd::demo::Demo),
    /// Query a gateway or a member over Arrow Flight SQL.
    #[cfg(feature = "flight")]
    Query(Box<cmd::query::Query>),
    /// Measure the cost of a subsystem by comparing runs with and without it.
    Measure(cmd::measure::Measure),
    /// Print a shell completion script.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        None => cmd::run::Run::default().run(),
        Some(Command::Run(run)) => run.run(),
        Some(Command::Check(check)) => check.run(),
        Some(Command::Schema) => cmd::check::schema(),
        Some(Command::Sessions(query)) => query.run(),
        Some(Command::List(query)) => query.run(),
        Some(Command::Demo(demo)) => demo.run(),
        #[cfg(feature = "flight")]
        Some(Command::Query(query)) => query.run(),
        Some(Command::Measure(measure)) => measure.run(),
        Some(Command::Completions { shell }) => {
            let mut command = <Arguments as clap::CommandFactory>::command();
            clap_complete::generate(shell, &mut command, "stackgw", &mut std::io::stdout());
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackgw: {error}");
            ExitCode::FAILURE
        }
    }
}
