//! Interference on a worker: observation of its tails, mitigation, and the load that
//! placement takes into account.

use super::interference::{Action, Filler, ImageId, ServingTask};
use super::polls::SERVING_PERCENT;
use super::worker::{Run, WorkerKey};
use super::{Dispatcher, Entry, Kind, Millis, Monotonic, Phase, place};

/// Time that a worker's tails cover, after which a new filler shows in them, in
/// milliseconds.
const OBSERVE_MS: Millis = 500;

impl Dispatcher {
    /// Moves or throttles the fillers that slow the standing tasks of a worker.
    pub(super) fn mitigate(&mut self, key: WorkerKey, now: Monotonic) {
        let (serving, fillers) = self.colocated_tasks(key, now);
        if fillers.is_empty() {
            return;
        }
        let worker = &mut self.workers[key];
        let is_settled =
            !worker.mitigation.is_settling(now) && fillers.iter().all(|filler| filler.is_settled);
        if is_settled && now.since(worker.observed_at) >= OBSERVE_MS {
            worker.observed_at = now;
            for task in &serving {
                self.interference.observe(*task, &fillers);
            }
        }
        let actions = self
            .interference
            .mitigate(&mut worker.mitigation, &serving, &fillers, now);
        for action in actions {
            let (run, percent) = match action {
                Action::Move(run) => (run, None),
                Action::Pace(run, percent) => (run, Some(percent)),
            };
            let worst = serving.iter().map(|task| task.ratio).fold(0.0, f64::max);
            let state = &mut self.runs[run];
            Entry::new(Kind::Throttled)
                .with_text("task", state.task)
                .with("worker", &self.workers[key].info.name)
                .with("percent", percent)
                .with("tail-to-target", worst)
                .emit();
            match percent {
                Some(percent) => {
                    state.wanted_pace = percent;
                    self.due_runs.insert(run);
                }
                None => self.restart_elsewhere(run),
            }
        }
    }

    /// Standing tasks with a target, and fillers, that are running on a worker.
    fn colocated_tasks(&self, key: WorkerKey, now: Monotonic) -> (Vec<ServingTask>, Vec<Filler>) {
        let (mut serving, mut fillers) = (Vec::new(), Vec::new());
        let capacity = self.workers[key].info.capacity.cpu_milli;
        for &run_key in &self.workers[key].runs {
            let run = &self.runs[run_key];
            let Some(spec) = self.spec_of(run.task) else {
                continue;
            };
            if run.stop_wanted || run.phase != Phase::Live {
                continue;
            }
            if spec.filler {
                fillers.push(Filler {
                    key: run_key,
                    image: run.image,
                    share: place::share_of(spec.amount.cpu_milli, capacity),
                    pace: run.wanted_pace,
                    progress: run.progress,
                    checkpoints: spec.checkpoints,
                    is_settled: now.since(run.started_at) >= OBSERVE_MS,
                });
            } else if let Some(ratio) = tail_ratio(run) {
                serving.push(ServingTask {
                    image: run.image,
                    ratio,
                });
            }
        }
        (serving, fillers)
    }

    /// Load of a worker for placement.
    pub(super) fn load(&self, key: WorkerKey, now: Monotonic) -> place::Load {
        let mut load = place::Load::default();
        let mut unobserved = Vec::new();
        let worker = &self.workers[key];
        let capacity = worker.info.capacity.cpu_milli;
        for run in worker.runs.iter().map(|run| &self.runs[*run]) {
            if run.standing {
                load.standing_milli += run.amount.cpu_milli;
            }
            if run.filler_milli > 0 {
                let share = place::share_of(run.filler_milli, capacity);
                load.fillers.push((run.image, share));
                if now.since(run.started_at) < OBSERVE_MS || run.phase != Phase::Live {
                    unobserved.push((run.image, share));
                }
            } else if run.target_ms > 0 {
                let baseline = self.interference.baseline(run.image);
                let expected = match tail_ratio(run) {
                    Some(ratio) => ratio.ln(),
                    None => baseline,
                };
                load.tails.push(place::Tail {
                    image: run.image,
                    log_growth: 0.0,
                    log_ratio: expected.max(baseline),
                });
            }
        }
        let model = &self.interference;
        let growth_of = |fillers: &[(ImageId, f64)], tail: ImageId| -> f64 {
            let each = fillers.iter();
            each.map(|(filler, share)| model.pressure(*filler, tail) * share)
                .sum()
        };
        for tail in &mut load.tails {
            tail.log_growth = growth_of(&load.fillers, tail.image);
            tail.log_ratio += growth_of(&unobserved, tail.image);
        }
        load
    }
}

/// Tail latency divided by target of a serving task, none without a target.
fn tail_ratio(run: &Run) -> Option<f64> {
    if run.target_ms == 0 || run.progress != SERVING_PERCENT || run.phase != Phase::Live {
        return None;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 ms"
    )]
    let ratio = run.tail_ms.max(1) as f64 / run.target_ms as f64;
    Some(ratio)
}
