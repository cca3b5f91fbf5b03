//! Workers of a replay, the requests that they answer and what they report.

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::cell::{Cell, Policy};
use super::driver::{Driver, TICK_MS};
use super::fleet::Worker;
use super::model::{Colocated, Model, normal};
use super::tally::Answers;
use super::trace::{Event, Kind};
use crate::collections::HashMap;
use crate::domain::{JobKey, Millis, Monotonic, Resources, TaskKey, WorkerKey};
use crate::placement::{Resident, WorkerState};
use crate::port::{LatencyReport, TaskUsage, Usage};

/// Latencies that are drawn per worker, kind and tick; each represents an equal
/// number of requests.
const SAMPLES_PER_TICK: u64 = 6;
const REPORT_LAG_MS: Millis = 3_000;
/// Standard deviation of the logarithm of the noise on reported latencies.
const REPORT_NOISE: f64 = 0.15;
/// Load that the number of reserved workers is sized for.
const RESERVED_LOAD: f64 = 0.8;

impl Driver<'_> {
    /// Fraction of the workers that the peak request load needs.
    pub(super) fn peak_fraction(&self) -> f64 {
        let mut peaks: HashMap<&str, f64> = HashMap::default();
        let mut workers = 0;
        for entry in &self.trace.entries {
            match &entry.event {
                Event::Load { profile, rate } => {
                    let peak = peaks.entry(profile).or_default();
                    *peak = peak.max(*rate);
                }
                Event::Workers { count, .. } => workers += count,
                _ => {}
            }
        }
        let needed = self.kinds.iter().map(|(kind, _)| {
            let peak = peaks.get(kind.profile.as_str()).copied().unwrap_or(0.0);
            peak / kind.capacity
        });
        needed.sum::<f64>() / RESERVED_LOAD / workers.max(1) as f64
    }

    pub(super) fn add_workers(
        &mut self,
        zone: &str,
        count: usize,
        per_rack: usize,
        capacity: Resources,
    ) {
        let cell = self.zones.len();
        self.zones.push(zone.to_owned());
        let cell_seed = self.seed ^ (cell as u64 + 1);
        let mut added = Cell::new(self.policy, cell_seed);
        added
            .placer
            .set_declarations(Arc::clone(&self.declared), 1.0);
        self.cells.push(added);
        let reserved = (self.reserved_fraction * count as f64).ceil() as usize;
        for at in 0..count {
            self.workers.push(Worker {
                name: format!("{zone}-{at}"),
                rack: format!("{zone}-rack-{}", at / per_rack),
                cell,
                key: WorkerKey::default(),
                capacity,
                up: false,
                bad: false,
                serves: self.policy != Policy::Reserved || at < reserved,
                consecutive_failures: 0,
                runs: Vec::new(),
                reports: std::collections::VecDeque::new(),
            });
            self.bring_up(self.workers.len() - 1);
        }
    }

    pub(super) fn bring_up(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        if worker.up {
            return;
        }
        worker.up = true;
        worker.consecutive_failures = 0;
        let cell = &mut self.cells[worker.cell];
        worker.key = cell
            .placer
            .add_worker(worker.capacity, &worker.rack, WorkerState::Open);
        cell.chooser.order.push(worker.key);
        if worker.serves && self.policy == Policy::Reserved {
            cell.chooser.reserved.insert(worker.key);
        }
        if worker.serves {
            self.commit_upstreams(at);
        }
    }

    /// Commits the resources of a worker's upstreams.
    fn commit_upstreams(&mut self, at: usize) {
        let worker = &self.workers[at];
        let upstream_jobs: Vec<JobKey> = self.kinds.iter().map(|(_, job)| *job).collect();
        for job in upstream_jobs {
            self.next_run += 1;
            let upstream = &self.jobs[job];
            let index = u32::try_from(at).unwrap_or(u32::MAX);
            let resident = Resident {
                task: TaskKey { job, index },
                run: self.next_run,
                name: Arc::clone(&upstream.profile_name),
                profile: Arc::clone(&upstream.profile),
                resources: upstream.profile.resources,
                since: self.now,
            };
            let placer = &mut self.cells[worker.cell].placer;
            // An upstream that does not fit is not committed here;
            // `check_commitments` counts the worker as overcommitted then.
            let _ = placer.commit(worker.key, resident);
        }
    }

    pub(super) fn take_down(&mut self, at: usize) {
        if !self.workers[at].up {
            return;
        }
        for run in self.workers[at].runs.clone() {
            self.lose_run(run);
        }
        let worker = &mut self.workers[at];
        worker.up = false;
        worker.reports.clear();
        let cell = &mut self.cells[worker.cell];
        cell.placer.remove_worker(worker.key);
        cell.chooser.order.retain(|key| *key != worker.key);
    }

    /// Answers the requests of one tick and queues the usage reports.
    pub(super) fn serve(&mut self) {
        let serving: Vec<usize> = (0..self.workers.len())
            .filter(|at| self.is_serving(*at))
            .collect();
        let load = self.load(serving.len());
        // The draws depend only on the seed and the time, so that policies are
        // compared on the same requests.
        let stream = self.seed.wrapping_mul(1_000_003) ^ self.now.0;
        let mut rng = ChaCha8Rng::seed_from_u64(stream);
        for at in 0..self.workers.len() {
            if !self.workers[at].up {
                continue;
            }
            let mut latency = Vec::new();
            if serving.contains(&at) {
                for (kind, _) in self.kinds.clone() {
                    latency.push(self.answer(at, &kind, load, serving.len(), &mut rng));
                }
            }
            let usage = self.usage(at, latency);
            let now = self.now;
            self.workers[at].reports.push_back((now, usage));
        }
    }

    fn is_serving(&self, at: usize) -> bool {
        let worker = &self.workers[at];
        worker.up && worker.serves && self.cells[worker.cell].in_service
    }

    /// Fraction of its request capacity that each serving worker uses.
    fn load(&self, serving: usize) -> f64 {
        let loads = self
            .kinds
            .iter()
            .map(|(kind, _)| self.rate(kind) / kind.capacity / serving.max(1) as f64);
        loads.sum()
    }

    fn rate(&self, kind: &Kind) -> f64 {
        self.rates.get(&kind.profile).copied().unwrap_or(0.0)
    }

    fn answer(
        &mut self,
        at: usize,
        kind: &Kind,
        load: f64,
        serving: usize,
        rng: &mut ChaCha8Rng,
    ) -> LatencyReport {
        let ratio = self.model.ratio(kind, load, &self.colocated(at));
        let per_tick = self.rate(kind) / serving.max(1) as f64 * TICK_MS as f64 / 1_000.0;
        let weight = ((per_tick / SAMPLES_PER_TICK as f64).round() as u64).max(1);
        let profile = &self.declared.profiles[&kind.profile];
        let target_us = profile.target_ms as f64 * 1_000.0;
        let answers = self
            .tally
            .kinds
            .entry(kind.profile.clone())
            .or_insert_with(|| Answers::new(profile.worth));
        for _ in 0..SAMPLES_PER_TICK {
            let latency_us = Model::latency_us(kind, ratio, rng);
            answers.record(latency_us, target_us, weight);
        }
        let (p50, p99) = Model::percentiles(kind, ratio);
        let noise = (REPORT_NOISE * normal(&mut self.rng)).exp();
        LatencyReport {
            profile: kind.profile.clone(),
            count: per_tick.round() as u64,
            p50_us: (p50 * noise) as u64,
            p99_us: (p99 * noise) as u64,
        }
    }

    /// Batch tasks on a worker, by profile.
    fn colocated(&self, at: usize) -> Vec<Colocated<'_>> {
        let mut groups: Vec<Colocated<'_>> = Vec::new();
        for id in &self.workers[at].runs {
            let run = &self.runs[id];
            match groups
                .iter_mut()
                .find(|group| *group.profile == *run.profile_name)
            {
                Some(group) => group.share += run.cpu_share,
                None => groups.push(Colocated {
                    profile: &run.profile_name,
                    share: run.cpu_share,
                }),
            }
        }
        groups
    }

    fn usage(&self, at: usize, latency: Vec<LatencyReport>) -> Usage {
        let tasks = self.workers[at].runs.iter().map(|id| {
            let run = &self.runs[id];
            let (millicores, memory_mib) = self.model.usage(
                &run.profile_name,
                &run.profile,
                run.committed,
                run.cpu_share,
            );
            TaskUsage {
                run: *id,
                millicores,
                memory_mib,
            }
        });
        Usage {
            age_ms: 0,
            tasks: tasks.collect(),
            latency,
        }
    }

    /// Delivers the reports whose lag has passed.
    pub(super) fn deliver_reports(&mut self) {
        for worker in &mut self.workers {
            let arrived = |at: Monotonic| self.now.since(at) >= REPORT_LAG_MS;
            while worker.reports.front().is_some_and(|(at, _)| arrived(*at)) {
                let Some((at, mut usage)) = worker.reports.pop_front() else {
                    break;
                };
                usage.age_ms = self.now.since(at);
                self.cells[worker.cell].observe(worker.key, &usage, self.now);
            }
        }
    }

    /// Counts workers whose runs and upstreams commit more than the capacity.
    pub(super) fn check_commitments(&mut self) {
        for at in 0..self.workers.len() {
            let committed = self.committed(at);
            if self.workers[at].up && !committed.fits(self.workers[at].capacity) {
                self.tally.overcommits += 1;
            }
        }
    }

    fn committed(&self, at: usize) -> Resources {
        let worker = &self.workers[at];
        let runs = worker.runs.iter().map(|id| self.runs[id].committed);
        let kinds = self.kinds.iter().filter(|_| worker.serves);
        let upstreams = kinds.map(|(_, job)| self.jobs[*job].profile.resources);
        runs.chain(upstreams)
            .fold(Resources::ZERO, |sum, next| sum + next)
    }
}
