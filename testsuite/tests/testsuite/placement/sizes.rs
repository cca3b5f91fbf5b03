//! Predicted sizes follow observed usage.

use test_case::test_case;
use verbenahitch::domain::{Monotonic, Resources};
use verbenahitch::placement::Placer;
use verbenahitch::port::{TaskUsage, Usage};

use super::fixture::{Tasks, batch, workers};

struct Case {
    millicores: u64,
    memory_mib: u64,
    reports: u64,
    size: Resources,
}

#[test_case(Case { millicores: 200, memory_mib: 200, reports: 30, size: Resources { millicores: 200, memory_mib: 256, accelerators: 0 } }; "usage of a fifth")]
#[test_case(Case { millicores: 5_000, memory_mib: 5_120, reports: 30, size: Resources { millicores: 6_300, memory_mib: 6_400, accelerators: 0 } }; "usage of five times")]
#[test_case(Case { millicores: 200, memory_mib: 200, reports: 3, size: Resources::new(1, 1_024) }; "too few reports")]
fn predicted(case: Case) {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let all = workers(&mut placer, 1, Resources::new(16, 65_536));
    let run = tasks.put(&mut placer, all[0], "work", &batch());
    for second in 4..4 + case.reports {
        let task = TaskUsage {
            run: run.run,
            millicores: case.millicores,
            memory_mib: case.memory_mib,
        };
        let usage = Usage {
            age_ms: 500,
            tasks: vec![task],
            latency: Vec::new(),
        };
        placer.observe(all[0], &usage, Monotonic(1_000 * second));
    }
    assert_eq!(placer.predicted_size("work", &batch()), case.size);
    assert_eq!(placer.free(all[0]), Resources::new(15, 64_512));
}

#[test]
fn a_size_grows_only_until_the_runs_leave_something_unused() {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let worker = workers(&mut placer, 1, Resources::new(16, 65_536))[0];
    let mut second = 0;
    let mut sizes = Vec::new();
    for _ in 0..12 {
        let request = tasks.request("work", &batch());
        let mut run = tasks.resident(&request, Monotonic(1_000 * second));
        run.resources = placer.predicted_size("work", &batch());
        let used = run.resources.millicores.min(2_000);
        placer.commit(worker, run.clone()).expect("the task fits");
        for _ in 0..30 {
            second += 1;
            let task = TaskUsage {
                run: run.run,
                millicores: used,
                memory_mib: 500,
            };
            let usage = Usage {
                age_ms: 0,
                tasks: vec![task],
                latency: Vec::new(),
            };
            placer.observe(worker, &usage, Monotonic(1_000 * second));
        }
        placer.release(worker, run.task);
        sizes.push(run.resources.millicores);
    }
    assert!(sizes.iter().all(|size| *size <= 2_500), "{sizes:?}");
    assert_eq!(sizes[8..], [2_000; 4], "{sizes:?}");
}
