//! Tasks that no worker could ever run are refused with the reason.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::placement::{Choice, Placer, WorkerState};

use super::fixture::{Tasks, batch, declarations};

struct Case {
    need: Resources,
    reason: Option<&'static str>,
}

#[test_case(Case { need: Resources::new(16, 1), reason: None }; "fits one worker")]
#[test_case(Case { need: Resources::new(33, 1), reason: Some("33000 millicores are needed, there are 32000 on the largest worker") }; "processors")]
#[test_case(Case { need: Resources::new(1, 70_000), reason: Some("70000 MiB of memory are needed, there are 65536 on the largest worker") }; "memory")]
#[test_case(Case { need: Resources { accelerators: 1, ..Resources::new(1, 1) }, reason: Some("1 accelerators are needed, there are 0 on the largest worker") }; "accelerators")]
#[test_case(Case { need: Resources::new(20, 50_000), reason: Some("no single worker has all of") }; "no worker has both")]
#[test_case(Case { need: Resources::new(30, 1), reason: Some("30000 millicores are needed, there are 24000 in the whole quota of team \"night\"") }; "quota")]
fn infeasible(case: Case) {
    let mut placer = Placer::new(1);
    placer.add_worker(Resources::new(16, 65_536), "a", WorkerState::Closed);
    placer.add_worker(Resources::new(32, 32_768), "a", WorkerState::Open);
    let mut profile = batch();
    profile.resources = case.need;
    if case.need.millicores == 30_000 {
        let declared = declarations("night", Resources::new(24, 1 << 20), &[]);
        placer.set_declarations(Arc::new(declared), 1.0);
    }
    let request = Tasks::default().request("work", &profile);
    match (placer.choose(&request, Monotonic(0)), case.reason) {
        (Choice::Infeasible(found), Some(reason)) => assert!(found.contains(reason), "{found}"),
        (Choice::Infeasible(found), None) => panic!("{found}"),
        (other, reason) => assert_eq!(reason, None, "{other:?}"),
    }
}

#[test]
fn without_any_worker_a_task_waits() {
    let request = Tasks::default().request("work", &batch());
    let choice = Placer::new(1).choose(&request, Monotonic(0));
    assert!(matches!(choice, Choice::Wait(_)));
}
