//! What the operator's file may hold, and what is said of one that cannot be used.

use stackgw_config::{read, schema, Duration, OperatorConfig};
use std::path::{Path, PathBuf};

const WHOLE: &str = r#"
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

fn from(name: &str, text: &str) -> Result<OperatorConfig, String> {
    let file =
        std::env::temp_dir().join(format!("stackgw-config-{}-{name}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let read = read(&file).map_err(|problem| {
        let said = problem.to_string();
        assert!(!said.contains('\n'), "{said}");
        said.replace(&file.display().to_string(), "FILE")
    });
    std::fs::remove_file(&file).expect("it was there");
    read
}

#[test]
fn a_whole_file_is_read_and_defaults_fill_it() {
    let operator = from("whole", WHOLE).expect("a good file");
    let sessions = operator.sessions.expect("they are on");
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
    assert_eq!(from("empty", "# nothing\n"), Ok(OperatorConfig::default()));
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
    for (n, (good, bad, names)) in cases.into_iter().enumerate() {
        let said = from(&format!("bad{n}"), &WHOLE.replace(good, bad)).expect_err(bad);
        println!("{said}");
        assert!(said.starts_with("FILE"), "{said}");
        assert!(said.contains(names), "'{bad}' gives '{said}'");
    }
    let missing = read(Path::new("/nowhere/at/all.yaml")).expect_err("it is not there");
    assert!(missing.to_string().starts_with("/nowhere/at/all.yaml: "));
}

#[test]
fn the_files_under_deploy_fit_the_schema_and_are_valid() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let schema = jsonschema::validator_for(&schema()).expect("a schema");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|end| end == "yaml") {
            read(&path).unwrap_or_else(|problem| panic!("{problem}"));
            let text = std::fs::read_to_string(&path).expect("a text");
            let value: serde_json::Value = serde_saphyr::from_str(&text).expect("some YAML");
            let wrong: Vec<_> = schema.iter_errors(&value).map(|e| e.to_string()).collect();
            assert!(wrong.is_empty(), "{}: {wrong:?}", path.display());
            seen += 1;
        }
    }
    assert!(seen > 0);
}
