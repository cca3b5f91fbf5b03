//! Replays of the traces of both deployments, compared with their expected outcomes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::OnceLock;

use serde::Deserialize;
use test_case::test_case;
use verbenahitch::replay::{Options, Policy, PolicyReport, Report, run};

/// Expected outcome of a trace, stated before it was first replayed.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Outcome {
    /// Largest ratio of the p99 latency to that without batch.
    p99_ratio: BTreeMap<String, f64>,
    /// Minimum batch throughput, in percent of first fit's.
    throughput_percent: f64,
    /// Minimum of the tasks that finish by their deadline, in percent.
    timely_percent: BTreeMap<String, f64>,
    /// Longest wait of an urgent task.
    urgent_wait_s: f64,
    /// Tasks that no worker could ever run.
    refused_tasks: f64,
    overcommits: f64,
}

pub fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("fixtures/traces")
        .join(name)
}

fn outcome(name: &str) -> Outcome {
    let text = std::fs::read_to_string(fixture(&format!("{name}.outcome.json")));
    serde_json::from_str(&text.expect("the outcome is committed"))
        .expect("the outcome has all fields")
}

/// Replay of a trace, run once for all tests of this process.
fn replayed(name: &str) -> &'static Report {
    static BUREAU: OnceLock<Report> = OnceLock::new();
    static KILELE: OnceLock<Report> = OnceLock::new();
    let cell = match name {
        "bureau" => &BUREAU,
        _ => &KILELE,
    };
    cell.get_or_init(|| {
        let trace = fixture(&format!("{name}.jsonl"));
        run(&trace, &Options::default()).expect("the trace is valid")
    })
}

fn policy_report(report: &Report, policy: Policy) -> &PolicyReport {
    report.policy(policy).expect("every policy was replayed")
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn the_report_is_the_same_every_time(name: &str) {
    insta::assert_snapshot!(format!("{name}-table"), replayed(name).to_string());
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn latency_with_batch_stays_near_the_baseline_latency(name: &str) {
    let report = replayed(name);
    for (kind, most) in outcome(name).p99_ratio {
        let p99 = |policy| policy_report(report, policy).kinds[&kind].p99_ms.mean;
        let ratio = p99(Policy::Aware) / p99(Policy::Alone);
        assert!(ratio <= most, "{kind}: {ratio}");
    }
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn batch_throughput_stays_near_that_of_first_fit(name: &str) {
    let report = replayed(name);
    let throughput = |policy| policy_report(report, policy).throughput.mean;
    let percent = 100.0 * throughput(Policy::Aware) / throughput(Policy::FirstFit);
    assert!(percent >= outcome(name).throughput_percent, "{percent}");
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn tasks_finish_by_their_deadline(name: &str) {
    let aware = policy_report(replayed(name), Policy::Aware);
    for (profile, least) in outcome(name).timely_percent {
        let timely = aware.batches[&profile].least;
        assert!(timely >= least, "{profile}: {timely}");
    }
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn urgent_tasks_start_in_time(name: &str) {
    let waited = policy_report(replayed(name), Policy::Aware)
        .urgent_wait_s
        .most;
    assert!(waited <= outcome(name).urgent_wait_s, "{waited}");
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn no_worker_is_committed_beyond_its_capacity(name: &str) {
    for policy in &replayed(name).policies {
        assert_eq!(policy.overcommits.most, outcome(name).overcommits);
    }
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn only_tasks_that_fit_no_worker_are_refused(name: &str) {
    let refused = policy_report(replayed(name), Policy::Aware).refused;
    assert_eq!(
        (refused.least, refused.most),
        (4.0, outcome(name).refused_tasks)
    );
}

#[test_case("bureau"; "bureau")]
#[test_case("kilele"; "kilele")]
fn baseline_policies_have_a_higher_p99(name: &str) {
    let report = replayed(name);
    let mut stated = outcome(name).p99_ratio;
    let (kind, _) = stated.pop_last().expect("kinds are stated");
    let p99 = |policy| policy_report(report, policy).kinds[&kind].p99_ms.mean;
    assert!(p99(Policy::Aware) < p99(Policy::FirstFit));
    assert!(p99(Policy::Aware) < p99(Policy::Reserved));
}
