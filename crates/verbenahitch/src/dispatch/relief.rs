//! What runs beside what on a worker, and what is done about it.

use super::looks::AT_WORK;
use super::press::{Act, Filler, ImageId, Serving};
use super::worker::{Run, WorkerKey};
use super::{Dispatcher, Entry, Kind, Millis, Monotonic, Phase, place};

/// Time in which a tail or a new filler shows in a worker's figures, in milliseconds.
const OBSERVE_MS: Millis = 500;

impl Dispatcher {
    /// Relieves the standing tasks of a worker from the fillers beside them.
    pub(super) fn relieve(&mut self, key: WorkerKey, now: Monotonic) {
        let (serving, fillers) = self.neighbours(key, now);
        if fillers.is_empty() {
            return;
        }
        let worker = &mut self.workers[key];
        let is_settled =
            !worker.relief.is_settling(now) && fillers.iter().all(|filler| filler.is_settled);
        if is_settled && now.since(worker.observed) >= OBSERVE_MS {
            worker.observed = now;
            for task in &serving {
                self.presses.observe(*task, &fillers);
            }
        }
        let acts = self
            .presses
            .relieve(&mut worker.relief, &serving, &fillers, now);
        for act in acts {
            let (run, percent) = match act {
                Act::Move(run) => (run, None),
                Act::Pace(run, percent) => (run, Some(percent)),
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
                    self.due.insert(run);
                }
                None => self.restart_elsewhere(run),
            }
        }
    }

    /// Standing tasks with a target, and fillers, at work on a worker.
    fn neighbours(&self, key: WorkerKey, now: Monotonic) -> (Vec<Serving>, Vec<Filler>) {
        let (mut serving, mut fillers) = (Vec::new(), Vec::new());
        let capacity = self.workers[key].info.capacity.cpu_milli;
        for &run_key in &self.workers[key].runs {
            let run = &self.runs[run_key];
            let Some(spec) = self.spec_of(run.task) else {
                continue;
            };
            if run.stop || run.phase != Phase::Live {
                continue;
            }
            if spec.filler {
                fillers.push(Filler {
                    key: run_key,
                    image: run.image,
                    share: place::share_of(spec.amount.cpu_milli, capacity),
                    pace: run.wanted_pace,
                    percent: run.percent,
                    checkpoints: spec.checkpoints,
                    is_settled: now.since(run.started) >= OBSERVE_MS,
                });
            } else if let Some(ratio) = ratio_of(run) {
                serving.push(Serving {
                    image: run.image,
                    ratio,
                });
            }
        }
        (serving, fillers)
    }

    /// Load of a worker for the choice of a place.
    pub(super) fn load(&self, key: WorkerKey, now: Monotonic) -> place::Load {
        let mut load = place::Load::default();
        let mut unseen = Vec::new();
        let worker = &self.workers[key];
        let capacity = worker.info.capacity.cpu_milli;
        for run in worker.runs.iter().map(|run| &self.runs[*run]) {
            if run.standing {
                load.standing += run.amount.cpu_milli;
            }
            if run.filling > 0 {
                let share = place::share_of(run.filling, capacity);
                load.fillers.push((run.image, share));
                if now.since(run.started) < OBSERVE_MS || run.phase != Phase::Live {
                    unseen.push((run.image, share));
                }
            } else if run.target_ms > 0 {
                let base = self.presses.base(run.image);
                let expected = match ratio_of(run) {
                    Some(ratio) => ratio.ln(),
                    None => base,
                };
                load.tails.push(place::Tail {
                    image: run.image,
                    growth: 0.0,
                    expected: expected.max(base),
                });
            }
        }
        let presses = &self.presses;
        let sum = |fillers: &[(ImageId, f64)], tail: ImageId| -> f64 {
            let each = fillers.iter();
            each.map(|(filler, share)| presses.pressure(*filler, tail) * share)
                .sum()
        };
        for tail in &mut load.tails {
            tail.growth = sum(&load.fillers, tail.image);
            tail.expected += sum(&unseen, tail.image);
        }
        load
    }
}

/// Tail over target of a standing task at work, none without a target.
fn ratio_of(run: &Run) -> Option<f64> {
    if run.target_ms == 0 || run.percent != AT_WORK || run.phase != Phase::Live {
        return None;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 ms"
    )]
    let ratio = run.tail_ms.max(1) as f64 / run.target_ms as f64;
    Some(ratio)
}
