//! Declarations: validation across keys, differences between revisions, and the
//! revision in force.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::config::{CurrentDeclarations, Declarations, diff, token_digest};
use verbenahitch::settings::{SettingsError, parse_declarations};

fn document(profile: &str, extra: &str) -> String {
    let digest = token_digest("secret");
    format!(
        r#"{{
  "profiles": {{"quote": {{
    "class": "latency-critical", "team": "kilele",
    "resources": {{"millicores": 500, "memory-mib": 256}},
    "worth": 10, "target-ms": 50, "deadline-ms": 2000, "idempotent": true{profile}
  }}}},
  "kinds": {{"pass-quote": {{"path": "/pass-quote", "profile": "quote"}}{extra}}},
  "teams": {{"kilele": {{"quota": {{"millicores": 64000, "memory-mib": 65536}}, "token-digest": "{digest}"}}}},
  "zones": {{"a": {{"state": "in"}}, "b": {{"state": "out", "shards": 2}}}}
}}"#
    )
}

struct Case {
    profile: &'static str,
    extra: &'static str,
    faults: &'static [&'static str],
}

#[test_case(Case {
    profile: "",
    extra: r#", "gate-sync": {"path": "gate", "profile": "gate"}"#,
    faults: &[
        r#"7:94: kinds.gate-sync.path: found "gate", a path starts with /"#,
        r#"7:113: kinds.gate-sync.profile: profile "gate" is not declared"#,
    ],
}; "undeclared profile and relative path")]
#[test_case(Case {
    profile: r#", "max-slowdown": 0.5, "worht": 1"#,
    extra: "",
    faults: &[
        "5:92: profiles.quote.max-slowdown: found 0.5, allowed is a number from 1.0 to 100.0",
        r#"5:97: profiles.quote.worht: is not a known key, the nearest is "worth""#,
    ],
}; "value below its minimum and unknown key")]
fn faults_are_reported_with_line_column_and_path(case: Case) {
    let text = document(case.profile, case.extra);
    let error = parse_declarations("d.jsonc", &text).expect_err("the text has a fault");
    let SettingsError::Faulty { faults, .. } = &error else {
        panic!("unexpected error: {error}");
    };
    let found: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(found, case.faults);
}

#[test]
fn kind_with_the_longest_matching_path_is_found() {
    let extra = r#", "priced": {"path": "/pass-quote/priced", "profile": "quote"}"#;
    let declared = parse_declarations("d.jsonc", &document("", extra)).expect("no faults");
    let kind = |path| declared.kind_of(path).map(|(name, _)| name);
    assert_eq!(kind("/pass-quote/1"), Some("pass-quote"));
    assert_eq!(kind("/pass-quote/priced/1"), Some("priced"));
    assert_eq!(kind("/pass-quotes"), None);
    assert!(
        declared.is_in_service("a") && !declared.is_in_service("b") && !declared.is_in_service("c")
    );
    let shards: Vec<String> = declared.shards().map(|shard| shard.to_string()).collect();
    assert_eq!(shards, ["a-0", "b-0", "b-1"]);
}

#[test]
fn removing_a_shard_or_zone_that_may_hold_jobs_is_a_fault() {
    let before = parse_declarations("d.jsonc", &document("", "")).expect("no faults");
    let faults = |change: &dyn Fn(&mut Declarations)| -> Vec<String> {
        let mut after = before.clone();
        change(&mut after);
        let faults = before.succession_faults(&after);
        faults.into_iter().map(|fault| fault.path).collect()
    };
    let shards = |after: &mut Declarations, count| {
        after.zones.get_mut("b").expect("declared").shards = count;
    };
    assert!(faults(&|after| shards(after, 3)).is_empty());
    assert_eq!(faults(&|after| shards(after, 1)), ["zones.b.shards"]);
    let removed = faults(&|after| {
        after.zones.remove("a");
    });
    assert_eq!(removed, ["zones.a"]);
}

#[test]
fn diff_lists_each_changed_key() {
    let before = parse_declarations("d.jsonc", &document("", "")).expect("no faults");
    let mut after = before.clone();
    after.revision = 7;
    after.profiles.get_mut("quote").expect("declared").worth = 20;
    after.zones.remove("b");
    let changes: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "~ profiles.quote.worth: 10 -> 20",
        "- zones.b.ramp-ms: 30000",
        "- zones.b.shards: 2",
        r#"- zones.b.state: "out""#,
    ];
    assert_eq!(changes, expected);
}

#[test]
fn older_or_equal_revision_is_not_put_in_force() {
    let current = CurrentDeclarations::default();
    let revision = |revision| {
        Arc::new(Declarations {
            revision,
            ..Declarations::default()
        })
    };
    assert!(current.advance(revision(3)));
    assert!(!current.advance(revision(2)));
    assert!(!current.advance(revision(3)));
    assert_eq!(current.load().revision, 3);
}
