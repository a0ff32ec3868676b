//! `stackgw check` and `stackgw schema`: validate the operator's file and print its schema.

use crate::error::CommandResult;
use clap::Args;
use std::path::PathBuf;

/// Check an operator's file.
#[derive(Args)]
pub struct Check {
    /// The operator's file.
    file: PathBuf,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl Check {
    /// Reports whether the file is valid.
    ///
    /// # Errors
    /// If it isn't; the message names the file, the line and the field.
    pub fn run(self) -> CommandResult {
        let read = stackgw_config::read(&self.file);
        if self.json {
            let problem = read.as_ref().err();
            let outcome = serde_json::json!({"file": self.file, "good": problem.is_none(),
                "line": problem.and_then(|p| p.line), "problem": problem.map(|p| p.reason.to_string())});
            println!("{outcome}");
        }
        let operator = read?;
        if !self.json {
            let sessions = match operator.sessions {
                Some(s) => format!("on, keepers {}", s.keepers.join(", ")),
                None => "off".to_owned(),
            };
            println!(
                "{}: good; sessions across instances {sessions}",
                self.file.display()
            );
        }
        Ok(())
    }
}

/// Prints the JSON Schema of the operator's file.
pub fn schema() -> CommandResult {
    println!("{:#}", stackgw_config::schema());
    Ok(())
}
