//! Reads a text as the operator's file.

use stackgw_config::{read, OperatorConfig};

/// The configuration, or the error with the file's name replaced by `FILE`.
pub fn read_text(text: &str) -> Result<OperatorConfig, String> {
    // Each test has a thread of its own.
    let thread = format!("{:?}", std::thread::current().id()).replace(['(', ')'], "");
    let name = format!("stackgw-config-{}-{thread}.yaml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a file");
    let result = read(&file).map_err(|error| error.to_string());
    std::fs::remove_file(&file).expect("it was there");
    result.map_err(|line| line.replace(&file.display().to_string(), "FILE"))
}
