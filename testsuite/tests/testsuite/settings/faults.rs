//! Validation of settings: all faults are reported at once, each with its line and column.

use test_case::test_case;
use verbenahitch::settings::{Fallback, SETTINGS, SettingsError, Shape, parse_settings};

const MINIMAL: &str = r#"{
  // The least that an entry host needs.
  "name": "entry-a1",
  "zone": "a",
  "platform": {"store": "127.0.0.1:8500", "hosts": "127.0.0.1:8501"},
  "peers": {"token-file": "peers.token", "seeds": [{"address": "127.0.0.1:7001"}]},
  "gateway": {
    "callers": "127.0.0.1:8000",
    "operators": "127.0.0.1:8001",
    "metrics": "127.0.0.1:8002",
    "peers": "127.0.0.1:7001"
  },
  "scheduler": {"metrics": "127.0.0.1:8003", "peers": "127.0.0.1:7002"}
}"#;

struct Case {
    replace: &'static str,
    by: &'static str,
    faults: &'static [&'static str],
}

#[test_case(Case {
    replace: r#""zone": "a","#,
    by: r#""zone": "A b","#,
    faults: &[r#"4:11: zone: found "A b", allowed is a name of lower-case letters, digits and inner hyphens"#],
}; "malformed name")]
#[test_case(Case {
    replace: r#""zone": "a","#,
    by: "",
    faults: &["1:1: zone: is missing, allowed is a name of lower-case letters, digits and inner hyphens"],
}; "missing key")]
#[test_case(Case {
    replace: r#""zone": "a","#,
    by: r#""zone": "a", "zone": "b","#,
    faults: &["4:16: zone: stands twice"],
}; "duplicate key")]
#[test_case(Case {
    replace: r#""metrics": "127.0.0.1:8003""#,
    by: r#""metrics": "127.0.0.1:8003", "sinc-ms": 5, "commit-ms": 0, "mark-ahead": -1"#,
    faults: &[
        r#"13:46: scheduler.sinc-ms: is not a known key, the nearest is "sync-ms""#,
        "13:73: scheduler.commit-ms: found 0, allowed is a whole number from 1 to 10000",
        "13:90: scheduler.mark-ahead: found -1, allowed is a whole number from 0 to 10000",
    ],
}; "several faults in one file")]
#[test_case(Case {
    replace: r#""metrics": "127.0.0.1:8003""#,
    by: r#""metrics": "127.0.0.1:8003", "sync-ms": 9007199254740993"#,
    faults: &["13:57: scheduler.sync-ms: found 9007199254740993, allowed is a whole number from 50 to 60000"],
}; "integer above two to the power of 53")]
#[test_case(Case {
    replace: r#""metrics": "127.0.0.1:8003""#,
    by: r#""metrics": "127.0.0.1:8003", "sync-ms": 1.5"#,
    faults: &["13:57: scheduler.sync-ms: found 1.5, allowed is a whole number from 50 to 60000"],
}; "fraction instead of an integer")]
#[test_case(Case {
    replace: r#""store": "127.0.0.1:8500""#,
    by: r#""store": "store.example:8500""#,
    faults: &[r#"5:25: platform.store: found "store.example:8500", allowed is an address as ip:port"#],
}; "host name instead of an address")]
#[test_case(Case {
    replace: r#""seeds": [{"address": "127.0.0.1:7001"}]"#,
    by: r#""seeds": {}"#,
    faults: &["6:51: peers.seeds: found an object, allowed is a list"],
}; "wrong type")]
#[test_case(Case {
    replace: r#""operators": "127.0.0.1:8001""#,
    by: r#""operators": "127.0.0.1:8000""#,
    faults: &["9:18: gateway.operators: found 127.0.0.1:8000, which gateway.callers has already"],
}; "address shared by two listeners")]
#[test_case(Case {
    replace: r#""metrics": "127.0.0.1:8003""#,
    by: r#""metrics": "127.0.0.1:8003", "task-lease-ms": 4000"#,
    faults: &["13:63: scheduler.task-lease-ms: found 4000, allowed is at least twice sync-ms and sync-timeout-ms together (6000)"],
}; "lease shorter than two syncs and their timeouts")]
#[test_case(Case {
    replace: r#""name": "entry-a1","#,
    by: r#""name": "entry-a1"#,
    faults: &["4:4: Unexpected token"],
}; "syntax error")]
fn faults_are_reported_with_line_column_and_path(case: Case) {
    let text = MINIMAL.replace(case.replace, case.by);
    assert_ne!(text, MINIMAL, "the case does not change the settings");
    let error = parse_settings("entry.jsonc", &text).expect_err("the text has a fault");
    let SettingsError::Faulty { faults, .. } = &error else {
        panic!("unexpected error: {error}");
    };
    let found: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(found, case.faults);
    let named = error
        .to_string()
        .lines()
        .all(|line| line.starts_with("entry.jsonc:"));
    assert!(named, "not every line starts with the file name: {error}");
}

#[test_case(""; "empty")]
#[test_case("// Only a comment."; "only a comment")]
#[test_case("[]"; "a list")]
#[test_case("null"; "null")]
fn documents_other_than_an_object_are_rejected(text: &str) {
    assert!(parse_settings("entry.jsonc", text).is_err());
}

#[test]
fn defaults_in_the_table_match_those_of_the_type() {
    let implicit = parse_settings("short", MINIMAL).expect("minimal settings are valid");
    let mut value: serde_json::Value =
        serde_json::to_value(parse_settings("short", MINIMAL).unwrap()).unwrap();
    let count = fill_defaults(&SETTINGS, &mut value);
    assert!(count > 20, "only {count} defaults were compared");
    let explicit = parse_settings("long", &value.to_string()).expect("defaults are allowed");
    assert_eq!(implicit, explicit);
}

/// Sets every key that has a default in the table to that default; returns their number.
fn fill_defaults(shape: &Shape, value: &mut serde_json::Value) -> usize {
    let (Shape::Object(fields), Some(object)) = (shape, value.as_object_mut()) else {
        return 0;
    };
    object.retain(|_, value| !value.is_null());
    let mut count = 0;
    for field in *fields {
        if let Fallback::Value(json) = field.fallback {
            let parsed = serde_json::from_str(json).expect("a default is JSON");
            object.insert(field.key.to_owned(), parsed);
            count += 1;
        }
        if let Some(inner) = object.get_mut(field.key) {
            count += fill_defaults(&field.shape, inner);
        }
    }
    count
}
