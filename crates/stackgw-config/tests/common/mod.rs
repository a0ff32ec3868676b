//! Reads the operator's file from a string.

use stackgw_config::{read, OperatorConfig};

/// Returns the configuration, or the error with the file's name replaced by `FILE`.
pub fn read_text(text: &str) -> Result<OperatorConfig, String> {
    // Each test runs on a thread of its own, so the file's name is unique.
    let thread = format!("{:?}", std::thread::current().id()).replace(['(', ')'], "");
    let name = format!("stackgw-config-{}-{thread}.yaml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("the file can be written");
    let result = read(&file).map_err(|error| error.to_string());
    std::fs::remove_file(&file).expect("the file exists");
    result.map_err(|line| line.replace(&file.display().to_string(), "FILE"))
}
