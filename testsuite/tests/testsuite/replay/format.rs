//! The format of a trace, and what is said of a faulty one.

use std::path::Path;

use test_case::test_case;
use verbenahitch::replay::{Deployment, Options, ReplayError, Trace, generate, run, run_trace};

use super::outcome::fixture;

const DECLARE: &str = r#"{"at-ms":0,"event":{"declare":{}}}"#;
const END: &str = r#"{"at-ms":9,"event":"end"}"#;

struct Fault {
    lines: &'static [&'static str],
    says: &'static str,
}

#[test_case(Fault { lines: &[], says: "line 1: a trace starts with declare" }; "empty")]
#[test_case(Fault { lines: &[DECLARE, "{", END], says: "line 2: EOF" }; "truncated line")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":1,"event":{"explode":{}}}"#, END], says: "line 2: unknown variant `explode`" }; "unknown event")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":-1,"event":"end"}"#], says: "line 2: invalid value: integer `-1`" }; "negative time")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":5,"event":"store-down"}"#, r#"{"at-ms":4,"event":"end"}"#], says: "line 3: at-ms 4 is before 5" }; "time goes back")]
#[test_case(Fault { lines: &[END], says: "line 1: declare is the first line" }; "no declarations")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":1,"event":"store-down"}"#], says: "line 2: end is the last line" }; "no end")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":1,"event":{"cancel":{"job":"a"}}}"#, END], says: "line 2: job \"a\" is not known" }; "unknown job")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":1,"event":{"down":{"worker":"a-1"}}}"#, END], says: "line 2: worker \"a-1\" is not known" }; "unknown worker")]
#[test_case(Fault { lines: &[DECLARE, r#"{"at-ms":1,"event":{"load":{"profile":"a","rate":1.0}}}"#, END], says: "line 2: profile \"a\" is not declared" }; "unknown profile")]
fn faults_name_their_line(fault: Fault) {
    let text = fault.lines.join("\n");
    let error = Trace::parse("faulty", &text).expect_err("the trace has a fault");
    assert!(error.to_string().contains(fault.says), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let error = run(Path::new("no-such-trace.jsonl"), &Options::default());
    let error = error.expect_err("there is no such file");
    assert!(error.to_string().contains("no-such-trace.jsonl"), "{error}");
}

#[test]
fn options_must_leave_something_to_do() {
    let trace = Trace::parse("short", &[DECLARE, END].join("\n")).expect("it is whole");
    let options = Options {
        seeds: Vec::new(),
        ..Options::default()
    };
    assert!(matches!(
        run_trace(&trace, &options),
        Err(ReplayError::Nothing)
    ));
}

#[test_case(Deployment::Bureau, "bureau"; "bureau")]
#[test_case(Deployment::Kilele, "kilele"; "kilele")]
fn committed_traces_are_those_that_the_generator_makes(deployment: Deployment, name: &str) {
    let path = fixture(&format!("{name}.jsonl"));
    let committed = std::fs::read_to_string(&path).expect("the trace is committed");
    assert!(
        generate(deployment, 1).to_text() == committed,
        "make {name} again"
    );
    let trace = Trace::load(&path).expect("the trace is whole");
    assert_eq!(trace.to_text(), committed);
}
