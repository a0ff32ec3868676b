//! Checks of the router's source files. Each policy file, which deploy/balancer.toml lists, must stay short
//! enough to be read from start to end, so its lines and columns are limited. Only they and the file of
//! time units may declare numeric constants. The first lines of the router module must refer to its
//! interface, api.rs.

use std::fs;
use std::path::{Path, PathBuf};

/// Non-blank lines of one policy file.
const MAX_LINES: usize = 180;
const MAX_COLUMNS: usize = 110;

/// The only file besides the policy files that may declare numeric constants.
const TIME_UNITS_FILE: &str = "src/api/time.rs";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository's root exists")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The files listed under `policy` in deploy/balancer.toml.
fn policy_files() -> Vec<PathBuf> {
    let root = repository_root();
    let manifest = read(&root.join("deploy/balancer.toml"));
    let start = manifest.find("\npolicy = [").expect("deploy/balancer.toml lists policy files");
    let list = manifest[start..]
        .split(['[', ']'])
        .nth(1)
        .expect("the policy list in deploy/balancer.toml ends with a bracket");
    let names = list.split('"').skip(1).step_by(2);
    names.map(|name| root.join(name)).collect()
}

/// All source files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder is readable");
    let paths = entries.map(|entry| entry.expect("the entry of the folder is readable").path());
    paths.flat_map(|path| if path.is_dir() { source_files(&path) } else { vec![path] }).collect()
}

#[test]
fn each_policy_file_is_within_the_limits_of_lines_and_columns() {
    let files = policy_files();
    assert!(!files.is_empty(), "no policy file is listed");
    for file in &files {
        let text = read(file);
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{} has {lines} non-blank lines, {MAX_LINES} allowed", file.display());
        for (number, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{}:{} has {columns} columns", file.display(), number + 1);
        }
    }
}

#[test]
fn the_first_lines_of_the_router_module_refer_to_api_rs() {
    let text = read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/router/mod.rs"));
    let opening: Vec<&str> = text.lines().take(5).collect();
    assert!(opening.join(" ").contains("api.rs"), "no reference to api.rs in {opening:?}");
}

#[test]
fn only_policy_files_and_the_file_of_time_units_declare_numeric_constants() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR")).canonicalize().expect("the package's folder exists");
    let policy: Vec<PathBuf> = policy_files().iter().filter_map(|file| file.canonicalize().ok()).collect();
    for file in source_files(&package.join("src")) {
        if policy.contains(&file) || file.ends_with(TIME_UNITS_FILE) {
            continue;
        }
        for line in read(&file).lines() {
            let is_number = ["f64", "Span", "Time", "u32", "u64", "i64", "usize"]
                .iter()
                .any(|kind| line.contains(&format!(": {kind} =")));
            assert!(
                !(line.contains("const ") && is_number),
                "a numeric constant in {}: {line}",
                file.display()
            );
        }
    }
}
