//! Interference on a worker: observation of its tails, relief, and the load that
//! placement takes into account.

use super::headroom::{Exposure, ImageKey, Reading};
use super::interference::{self, Action, Filler, ServingTask};
use super::polls::SERVING_PERCENT;
use super::worker::{Run, Worker, WorkerKey};
use super::{Dispatcher, Entry, Kind, Millis, Monotonic, Phase, RunKey, place};

/// Time that a reported tail covers, with the delay of the report, in milliseconds.
const TAIL_WINDOW_MS: Millis = 600;

/// Minimum time between two observations of a worker, in milliseconds.
const OBSERVE_PAUSE_MS: Millis = 300;

/// Time that a standing task takes from its start until its tail is that of its usual
/// operation, in milliseconds.
const WARM_UP_MS: Millis = 1_500;

/// Filler that has ended on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct PastFiller {
    image: ImageKey,
    share: f64,
    from: Monotonic,
    until: Monotonic,
}

impl PastFiller {
    /// Creates the record of a filler that ends now.
    pub fn new(run: &Run, capacity_milli: u64, now: Monotonic) -> Self {
        Self {
            image: run.image,
            share: paced_share(run, capacity_milli),
            from: run.started_at,
            until: now,
        }
    }
}

/// Share of a worker's CPU that a filler uses at its confirmed pace.
fn paced_share(run: &Run, capacity_milli: u64) -> f64 {
    place::share_of(run.filler_milli, capacity_milli) * f64::from(run.pace) / 100.0
}

/// Adds a share to that of the same image.
fn add_exposure(exposures: &mut Vec<Exposure>, image: ImageKey, share: f64) {
    match exposures.iter_mut().find(|(known, _)| *known == image) {
        Some((_, sum)) => *sum += share,
        None => exposures.push((image, share)),
    }
}

/// Part of the time covered by a tail that is reported now, in which something lasted
/// that began at `from` and ended at `until`.
fn covered_part(from: Monotonic, until: Monotonic, now: Monotonic) -> f64 {
    let begin = now.since(from).min(TAIL_WINDOW_MS);
    let end = now.since(until).min(TAIL_WINDOW_MS);
    #[expect(clippy::cast_precision_loss, reason = "below a second")]
    let part = begin.saturating_sub(end) as f64 / TAIL_WINDOW_MS as f64;
    part
}

impl Dispatcher {
    /// Learns from the tails on a worker, and moves or throttles the fillers that slow its
    /// standing tasks.
    pub(super) fn mitigate(&mut self, key: WorkerKey, now: Monotonic) {
        let exposures = self.exposures(key, now);
        self.observe_tails(key, &exposures, now);
        let (serving, fillers) = self.colocated_tasks(key, &exposures);
        if fillers.is_empty() {
            return;
        }
        let state = &mut self.workers[key].mitigation;
        let actions = interference::relieve(&self.headroom, state, &serving, &fillers, now);
        let headrooms = serving.iter().map(|task| task.headroom);
        let worst = headrooms.fold(f64::INFINITY, f64::min);
        for action in actions {
            let (run, percent) = match action {
                Action::Move(run) => (run, None),
                Action::Pace(run, percent) => (run, Some(percent)),
            };
            let state = &mut self.runs[run];
            Entry::new(Kind::Throttled)
                .with_text("task", state.task)
                .with("worker", &self.workers[key].info.name)
                .with("percent", percent)
                .with("headroom", worst)
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

    /// Shares of the fillers of each image while the tails now reported were measured.
    fn exposures(&mut self, key: WorkerKey, now: Monotonic) -> Vec<Exposure> {
        let Worker {
            past_fillers,
            info,
            runs,
            ..
        } = &mut self.workers[key];
        past_fillers.retain(|past| now.since(past.until) < TAIL_WINDOW_MS);
        let mut exposures = Vec::new();
        for past in past_fillers {
            let part = covered_part(past.from, past.until, now);
            add_exposure(&mut exposures, past.image, past.share * part);
        }
        for run in runs.iter().map(|run| &self.runs[*run]) {
            if run.filler_milli > 0 && run.phase == Phase::Live {
                let part = covered_part(run.started_at, now, now);
                let share = paced_share(run, info.capacity.cpu_milli);
                add_exposure(&mut exposures, run.image, share * part);
            }
        }
        exposures
    }

    /// Corrects the model by the tails of a worker's standing tasks.
    fn observe_tails(&mut self, key: WorkerKey, exposures: &[Exposure], now: Monotonic) {
        let worker = &mut self.workers[key];
        if now.since(worker.observed_at) < OBSERVE_PAUSE_MS {
            return;
        }
        worker.observed_at = now;
        let mut readings: Vec<(RunKey, Reading)> = Vec::new();
        for &run_key in &worker.runs {
            let run = &self.runs[run_key];
            if let Some(headroom) = headroom_of(run)
                && now.since(run.started_at) >= WARM_UP_MS
            {
                let reading = Reading {
                    image: run.image,
                    headroom,
                    level: run.level,
                };
                readings.push((run_key, reading));
            }
        }
        readings.sort_by_key(|(_, reading)| reading.image);
        for group in readings.chunk_by_mut(|a, b| a.1.image == b.1.image) {
            let mut own: Vec<Reading> = group.iter().map(|(_, reading)| *reading).collect();
            self.headroom.observe(&mut own, exposures, now);
            for ((run, _), reading) in group.iter().zip(own) {
                self.runs[*run].level = reading.level;
                self.runs[*run].level_known = true;
            }
        }
    }

    /// Standing tasks with a target, and fillers, that are running on a worker. The
    /// headrooms are those expected with the present fillers: the reported ones may
    /// still show fillers that have ended.
    fn colocated_tasks(
        &self,
        key: WorkerKey,
        exposures: &[Exposure],
    ) -> (Vec<ServingTask>, Vec<Filler>) {
        let mut fillers = Vec::new();
        let mut present: Vec<Exposure> = Vec::new();
        let capacity = self.workers[key].info.capacity.cpu_milli;
        let runs = &self.workers[key].runs;
        let live = |run: &Run| !run.stop_wanted && run.phase == Phase::Live;
        for &run_key in runs {
            let run = &self.runs[run_key];
            if run.filler_milli == 0 || !live(run) {
                continue;
            }
            let share = place::share_of(run.filler_milli, capacity);
            add_exposure(
                &mut present,
                run.image,
                share * f64::from(run.wanted_pace) / 100.0,
            );
            fillers.push(Filler {
                key: run_key,
                image: run.image,
                share,
                pace: run.wanted_pace,
                progress: run.progress,
                checkpoints: self.spec_of(run.task).is_some_and(|spec| spec.checkpoints),
                is_owed: run.is_owed,
            });
        }
        let mut serving = Vec::new();
        let model = &self.headroom;
        for run in runs.iter().map(|run| &self.runs[*run]) {
            if run.target_ms == 0 || !live(run) {
                continue;
            }
            let loss = model.loss(&present, run.image);
            let headroom = match headroom_of(run) {
                Some(headroom) => headroom + model.loss(exposures, run.image) - loss,
                // Not serving yet: relief comes before its callers do.
                None => model.floor(run.image) - loss,
            };
            serving.push(ServingTask {
                image: run.image,
                headroom,
            });
        }
        (serving, fillers)
    }

    /// Load of a worker for placement.
    pub(super) fn load(&self, key: WorkerKey) -> place::Load {
        let mut load = place::Load::default();
        let worker = &self.workers[key];
        let capacity = worker.info.capacity.cpu_milli;
        for run in worker.runs.iter().map(|run| &self.runs[*run]) {
            if run.filler_milli > 0 {
                let share = place::share_of(run.filler_milli, capacity);
                add_exposure(&mut load.fillers, run.image, share);
            } else if run.target_ms > 0 {
                load.add_tail(run.image, run.level_known.then_some(run.level));
            }
        }
        for tail in &mut load.tails {
            tail.loss = self.headroom.loss(&load.fillers, tail.image);
        }
        load
    }
}

/// Headroom of a serving task, its latency target divided by its tail latency; none
/// without a target.
fn headroom_of(run: &Run) -> Option<f64> {
    if run.target_ms == 0 || run.progress != SERVING_PERCENT || run.phase != Phase::Live {
        return None;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 ms"
    )]
    let headroom = run.target_ms as f64 / run.tail_ms.max(1) as f64;
    Some(headroom)
}
