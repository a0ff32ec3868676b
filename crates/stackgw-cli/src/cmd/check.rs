//! `stackgw check` and `stackgw schema`.

use clap::Args;
use std::path::PathBuf;

/// Check an operator's file.
#[derive(Args)]
pub struct Check {
    /// The file.
    file: PathBuf,
    /// Print the outcome as JSON.
    #[arg(long)]
    json: bool,
}

impl Check {
    /// Says whether the file can be used.
    pub fn run(self) -> Result<(), String> {
        let read = stackgw_config::read(&self.file);
        if self.json {
            let problem = read.as_ref().err();
            let told = serde_json::json!({"file": self.file, "good": problem.is_none(),
                "line": problem.and_then(|p| p.line), "problem": problem.map(|p| &p.what)});
            println!("{told}");
        }
        let operator = read.map_err(|problem| problem.to_string())?;
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

/// Prints the schema.
pub fn schema() -> Result<(), String> {
    println!("{:#}", stackgw_config::schema());
    Ok(())
}
