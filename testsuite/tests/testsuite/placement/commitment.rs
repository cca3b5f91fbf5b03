//! No worker is committed beyond its capacity.

use proptest::prelude::*;
use test_case::test_case;
use verbenahitch::domain::{Monotonic, Profile, Resources, WorkerKey};
use verbenahitch::placement::{Choice, Placer, Resident, WorkerState};

use super::fixture::{Tasks, batch, placed, service, workers};

struct FitCase {
    need: Resources,
    room: Resources,
    fits: bool,
}

#[test_case(FitCase { need: Resources::new(2, 100), room: Resources::new(2, 100), fits: true }; "exact")]
#[test_case(FitCase { need: Resources::new(2, 100), room: Resources::new(1, 200), fits: false }; "processors short")]
#[test_case(FitCase { need: Resources::new(2, 100), room: Resources::new(4, 99), fits: false }; "memory short")]
fn fits_needs_every_resource(case: FitCase) {
    assert_eq!(case.need.fits(case.room), case.fits);
    assert_eq!(case.room.checked_sub(case.need).is_some(), case.fits);
}

#[derive(Clone, Debug)]
enum Step {
    Place {
        cores: u64,
        gib: u64,
        accelerators: u64,
        urgent: bool,
        service: bool,
    },
    Force {
        worker: usize,
        cores: u64,
    },
    End(usize),
    Resize {
        worker: usize,
        cores: u64,
    },
    State {
        worker: usize,
        state: WorkerState,
    },
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        Just(WorkerState::Open),
        Just(WorkerState::Closed),
        Just(WorkerState::Quarantined)
    ];
    prop_oneof![
        10 => (1..9u64, 1..20u64, 0..2u64, any::<bool>(), any::<bool>()).prop_map(
            |(cores, gib, accelerators, urgent, service)| Step::Place {
                cores, gib, accelerators, urgent, service
            }
        ),
        2 => (0..8usize, 1..9u64).prop_map(|(worker, cores)| Step::Force { worker, cores }),
        5 => (0..200usize).prop_map(Step::End),
        1 => (0..8usize, 4..17u64).prop_map(|(worker, cores)| Step::Resize { worker, cores }),
        2 => (0..8usize, state).prop_map(|(worker, state)| Step::State { worker, state }),
        1 => (0..8usize).prop_map(Step::Remove),
    ]
}

/// Reference model of the workers, updated independently of the placer.
#[derive(Default)]
struct Model {
    runs: Vec<(WorkerKey, Resident)>,
    shrunk: Vec<WorkerKey>,
    states: Vec<(WorkerKey, WorkerState)>,
}

impl Model {
    fn committed(&self, worker: WorkerKey) -> Resources {
        let runs = self.runs.iter().filter(|(on, _)| *on == worker);
        runs.fold(Resources::ZERO, |sum, (_, run)| sum + run.resources)
    }

    fn check(&self, placer: &Placer) {
        for (worker, _) in &self.states {
            let committed = self.committed(*worker);
            let size = placer.capacity(*worker);
            assert!(committed.fits(size) || self.shrunk.contains(worker));
            assert_eq!(placer.free(*worker), size.saturating_sub(committed));
        }
    }
}

fn profile_of(
    cores: u64,
    gib: u64,
    accelerators: u64,
    urgent: bool,
    latency_critical: bool,
) -> Profile {
    let mut profile = if latency_critical { service() } else { batch() };
    profile.resources = Resources {
        accelerators,
        ..Resources::new(cores, gib * 1_024)
    };
    profile.urgent = urgent;
    profile
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: prop::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_steps_commits_a_worker_beyond_its_size(steps in prop::collection::vec(step(), 1..200)) {
        let mut placer = Placer::new(7);
        let mut tasks = Tasks::default();
        let mut model = Model::default();
        let size = Resources { accelerators: 1, ..Resources::new(16, 61_440) };
        for worker in workers(&mut placer, 8, size) {
            model.states.push((worker, WorkerState::Open));
        }
        for (at, step) in steps.into_iter().enumerate() {
            let now = Monotonic(1_000 * u64::try_from(at).expect("the index fits into u64"));
            apply(step, now, &mut placer, &mut tasks, &mut model);
            model.check(&placer);
        }
    }
}

fn apply(step: Step, now: Monotonic, placer: &mut Placer, tasks: &mut Tasks, model: &mut Model) {
    match step {
        Step::Place {
            cores,
            gib,
            accelerators,
            urgent,
            service,
        } => {
            let profile = profile_of(cores, gib, accelerators, urgent, service);
            let request = tasks.request("work", &profile);
            match placer.choose(&request, now) {
                Choice::Place { worker, .. } => {
                    let state = model.states.iter().find(|(key, _)| *key == worker);
                    assert!(state.is_some_and(|(_, state)| *state != WorkerState::Closed));
                    let resident = tasks.resident(&request, now);
                    placer
                        .commit(worker, resident.clone())
                        .expect("the chosen worker has room");
                    model.runs.push((worker, resident));
                }
                Choice::Evict { worker, evicted } => {
                    placer.record_evictions(&request, worker, &evicted, now);
                    for task in evicted {
                        assert!(placer.release(worker, task));
                        model.runs.retain(|(_, run)| run.task != task);
                    }
                    assert_eq!(placed(&placer.choose(&request, now)), Some(worker));
                }
                Choice::Wait(_) | Choice::Infeasible(_) => {}
            }
        }
        Step::Force { worker, cores } => {
            let request = tasks.request("work", &profile_of(cores, 1, 0, false, false));
            let resident = tasks.resident(&request, now);
            let Some((worker, _)) = model.states.get(worker) else {
                return;
            };
            let fits = resident.resources.fits(placer.free(*worker));
            assert_eq!(placer.commit(*worker, resident.clone()).is_ok(), fits);
            if fits {
                model.runs.push((*worker, resident));
            }
        }
        Step::End(at) if at < model.runs.len() => {
            let (worker, run) = model.runs.swap_remove(at);
            assert!(placer.release(worker, run.task));
            assert!(!placer.release(worker, run.task));
        }
        Step::End(_) => {}
        Step::Resize { worker, cores } => {
            let Some((worker, _)) = model.states.get(worker) else {
                return;
            };
            placer.resize(*worker, Resources::new(cores, 61_440));
            model.shrunk.push(*worker);
        }
        Step::State { worker, state } => {
            let Some((worker, current)) = model.states.get_mut(worker) else {
                return;
            };
            placer.set_state(*worker, state);
            *current = state;
        }
        Step::Remove(at) if at < model.states.len() => {
            let (worker, _) = model.states.swap_remove(at);
            placer.remove_worker(worker);
            model.runs.retain(|(on, _)| *on != worker);
        }
        Step::Remove(_) => {}
    }
}

#[test]
fn a_shrunk_worker_has_free_room_only_below_its_new_size() {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let worker = placer.add_worker(Resources::new(4, 8_192), "rack", WorkerState::Open);
    let runs: Vec<Resident> = (0..4)
        .map(|_| tasks.put(&mut placer, worker, "work", &batch()))
        .collect();
    placer.resize(worker, Resources::new(2, 8_192));
    assert!(placer.release(worker, runs[0].task));
    assert_eq!(placer.free(worker).millicores, 0);
    let request = tasks.request("work", &batch());
    assert_eq!(placed(&placer.choose(&request, Monotonic(0))), None);
}

#[test]
fn a_run_committed_twice_counts_once() {
    let mut placer = Placer::new(1);
    let mut tasks = Tasks::default();
    let worker = placer.add_worker(Resources::new(1, 1_024), "rack", WorkerState::Open);
    let run = tasks.put(&mut placer, worker, "work", &batch());
    assert!(placer.commit(worker, run.clone()).is_ok());
    assert!(placer.release(worker, run.task));
    assert_eq!(placer.free(worker), Resources::new(1, 1_024));
}
