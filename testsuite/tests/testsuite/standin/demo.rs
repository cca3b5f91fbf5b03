//! The demo of each deployment violates no guarantee and completes its batch jobs.

use std::process::Command;

use serde_json::Value;
use test_case::test_case;

struct Demo {
    deployment: &'static str,
    once: &'static str,
    cancelled: &'static str,
}

#[test_case(Demo { deployment: "chikugo", once: "discount-push", cancelled: "sales-archive" }; "chikugo")]
#[test_case(Demo { deployment: "kilele", once: "pass-charge", cancelled: "demand-forecast" }; "kilele")]
fn a_demo_violates_no_guarantee_and_completes_its_jobs(demo: Demo) {
    let output = Command::new(env!("CARGO_BIN_EXE_testsuite-standin"))
        .args(["demo", "--deployment", demo.deployment])
        .args(["--seconds", "6", "--seed", "7", "--json"])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&output.stdout).expect(&errors);
    assert_eq!(report["violations"], Value::Array(Vec::new()));
    assert!(output.status.success(), "{report:#}");
    let kinds = report["requests"]["kinds"].as_object().unwrap();
    assert_eq!(kinds.len(), 3);
    assert!(kinds.contains_key(demo.once));
    for (name, kind) in kinds {
        assert_eq!(
            (&kind["wrong"], &kind["broken"]),
            (&0.into(), &0.into()),
            "{name}"
        );
        assert!(kind["answered"].as_u64() > Some(0), "{name}");
    }
    for (profile, jobs) in report["jobs"].as_object().unwrap() {
        let ended = if profile == demo.cancelled {
            "cancelled"
        } else {
            "done"
        };
        assert_eq!(jobs["not-accepted"], 0, "{profile}");
        assert_eq!(jobs[ended], jobs["tasks"], "{profile}: {jobs}");
    }
    let zone = &report["zone"];
    assert_eq!(
        (&zone["confirmed"], &zone["not-confirmed"]),
        (&14.into(), &0.into())
    );
}
