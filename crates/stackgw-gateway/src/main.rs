//! `stackgw`: one gateway, configured by its environment.

use stackgw_gateway::{config::Config, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Config::from_env(|name| std::env::var(name).ok()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("stackgw: {problem}");
            ExitCode::FAILURE
        }
    }
}
