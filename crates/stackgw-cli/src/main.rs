//! `stackgw`: one gateway, configured by its environment where no sub-command is named, and what operators need around it.
//!
//! This package has arguments, calls and output. Every sub-command calls a library and prints what comes of it; its errors are
//! one line on standard error, and an exit code that is not zero. It must not decide anything about requests, nor know a wire.

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
    /// Check an operator's file: one line if it cannot be used.
    Check(cmd::check::Check),
    /// Print the JSON Schema of the operator's file.
    Schema,
    /// Ask a running gateway what it holds of sessions, and why one is read cautiously.
    Sessions(cmd::sessions::SessionsQuery),
    /// Ask a running gateway where its list of members is from.
    List(cmd::list::ListQuery),
    /// Stand-ins, gateways and clients on loopback; gateways are killed, and the audit says what sessions saw.
    Demo(cmd::demo::Demo),
    /// Ask a gateway, or a member, by Arrow Flight SQL.
    #[cfg(feature = "flight")]
    Query(Box<cmd::query::Query>),
    /// Measure what a subsystem costs, on against off in one run.
    Measure(cmd::measure::Measure),
    /// Print completions for a shell.
    Completions {
        /// Which shell.
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
        Err(problem) => {
            eprintln!("stackgw: {problem}");
            ExitCode::FAILURE
        }
    }
}
