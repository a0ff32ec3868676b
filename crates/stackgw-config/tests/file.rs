//! Reading of the operator's file, and the errors of invalid files.

mod common;

use common::read_text;
use stackgw_config::{read, schema, Duration, OperatorConfig};
use std::path::{Path, PathBuf};

const COMPLETE: &str = r#"
log:
  format: json
control: /run/stackgw/g0.sock
sessions:
  cluster: depots
  listen: 127.0.0.1:7101
  seeds: ["127.0.0.1:7101", "127.0.0.1:7102"]
  keys: [/etc/stackgw/cluster.key]
  keepers: [g0, g1]
  lease: 500ms
  store: /var/lib/stackgw/g0.redb
"#;

#[test]
fn a_file_is_read_and_missing_fields_have_defaults() {
    let operator = read_text(COMPLETE).expect("the file is valid");
    let sessions = operator.sessions.expect("the section is present");
    assert_eq!(
        (sessions.lease, sessions.horizon),
        (Duration::from_millis(500), Duration::from_millis(60_000))
    );
    assert_eq!(
        (
            sessions.homes,
            sessions.cluster().advertised_address().port()
        ),
        (2, 7101)
    );
    assert_eq!(read_text("# nothing\n"), Ok(OperatorConfig::default()));
}

#[test]
fn each_error_is_one_line_that_names_the_field() {
    let cases = [
        ("lease: 500ms", "lease: 5ms", "lease"),
        ("lease: 500ms", "lease: soon", "lease"),
        ("lease: 500ms", "lease: 9s\n  horizon: 10s", "horizon"),
        ("keepers: [g0, g1]", "keepers: [g0, g0]", "keepers"),
        ("keepers: [g0, g1]", "keepers: []", "keepers"),
        ("cluster: depots", "claster: depots", "claster"),
        ("cluster: depots\n", "\n", "cluster"),
        ("listen: 127.0.0.1:7101", "listen: here", "listen"),
        ("format: json", "format: xml", "xml"),
        ("log:", "log: [", ""),
    ];
    for (valid, invalid, name) in cases {
        let error = read_text(&COMPLETE.replace(valid, invalid)).expect_err(invalid);
        assert!(!error.contains('\n'), "{error}");
        println!("{error}");
        assert!(error.starts_with("FILE"), "{error}");
        assert!(error.contains(name), "'{invalid}' gives '{error}'");
    }
    let missing = read(Path::new("/nowhere/at/all.yaml")).expect_err("the file is missing");
    assert!(missing.to_string().starts_with("/nowhere/at/all.yaml: "));
}

#[test]
fn the_files_under_deploy_fit_the_schema_and_are_valid() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let schema = jsonschema::validator_for(&schema()).expect("the schema is valid");
    let mut checked_files = 0;
    for entry in std::fs::read_dir(directory)
        .expect("the directory exists")
        .flatten()
    {
        let path = entry.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "yaml")
        {
            read(&path).unwrap_or_else(|error| panic!("{error}"));
            let text = std::fs::read_to_string(&path).expect("the file is UTF-8");
            let value: serde_json::Value =
                serde_saphyr::from_str(&text).expect("the file is valid YAML");
            let errors: Vec<_> = schema.iter_errors(&value).map(|e| e.to_string()).collect();
            assert!(errors.is_empty(), "{}: {errors:?}", path.display());
            checked_files += 1;
        }
    }
    assert!(checked_files > 0);
}
