//! Format of a trace, and the errors for an invalid one.

use std::path::Path;

use test_case::test_case;
use verbenahitch::replay::{Deployment, Options, ReplayError, Trace, generate, run, run_trace};

use super::outcome::fixture;

const DECLARE: &str = r#"{"at-ms":0,"event":{"declare":{}}}"#;
const END: &str = r#"{"at-ms":9,"event":"end"}"#;

struct Invalid {
    lines: &'static [&'static str],
    message: &'static str,
}

#[test_case(Invalid { lines: &[], message: "line 1: a trace starts with declare" }; "empty")]
#[test_case(Invalid { lines: &[DECLARE, "{", END], message: "line 2: EOF" }; "truncated line")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":1,"event":{"explode":{}}}"#, END], message: "line 2: unknown variant `explode`" }; "unknown event")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":-1,"event":"end"}"#], message: "line 2: invalid value: integer `-1`" }; "negative time")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":5,"event":"store-down"}"#, r#"{"at-ms":4,"event":"end"}"#], message: "line 3: at-ms 4 is before 5" }; "time goes back")]
#[test_case(Invalid { lines: &[END], message: "line 1: declare is the first line" }; "no declarations")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":1,"event":"store-down"}"#], message: "line 2: end is the last line" }; "no end")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":1,"event":{"cancel":{"job":"a"}}}"#, END], message: "line 2: job \"a\" is not known" }; "unknown job")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":1,"event":{"down":{"worker":"a-1"}}}"#, END], message: "line 2: worker \"a-1\" is not known" }; "unknown worker")]
#[test_case(Invalid { lines: &[DECLARE, r#"{"at-ms":1,"event":{"load":{"profile":"a","rate":1.0}}}"#, END], message: "line 2: profile \"a\" is not declared" }; "unknown profile")]
fn errors_name_the_line(invalid: Invalid) {
    let text = invalid.lines.join("\n");
    let error = Trace::parse("faulty", &text).expect_err("the trace is invalid");
    assert!(error.to_string().contains(invalid.message), "{error}");
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let error = run(Path::new("no-such-trace.jsonl"), &Options::default());
    let error = error.expect_err("there is no such file");
    assert!(error.to_string().contains("no-such-trace.jsonl"), "{error}");
}

#[test]
fn options_without_seeds_are_rejected() {
    let trace = Trace::parse("short", &[DECLARE, END].join("\n")).expect("the trace is valid");
    let options = Options {
        seeds: Vec::new(),
        ..Options::default()
    };
    assert!(matches!(
        run_trace(&trace, &options),
        Err(ReplayError::EmptyOptions)
    ));
}

#[test_case(Deployment::Bureau, "bureau"; "bureau")]
#[test_case(Deployment::Kilele, "kilele"; "kilele")]
fn committed_traces_match_the_generator(deployment: Deployment, name: &str) {
    let path = fixture(&format!("{name}.jsonl"));
    let committed = std::fs::read_to_string(&path).expect("the trace is committed");
    assert!(
        generate(deployment, 1).to_text() == committed,
        "{name}.jsonl differs from the generated trace; generate it again"
    );
    let trace = Trace::load(&path).expect("the trace is valid");
    assert_eq!(trace.to_text(), committed);
}
