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

/// Latencies that are drawn per worker, request kind and tick; each represents an equal
/// number of requests.
const SAMPLES_PER_TICK: u64 = 6;
const REPORT_LAG_MS: Millis = 3_000;
/// Standard deviation of the logarithm of the noise on reported latencies.
const REPORT_NOISE: f64 = 0.15;
/// Utilization that the number of reserved workers is sized for.
const RESERVED_UTILIZATION: f64 = 0.8;

impl Driver<'_> {
    /// Fraction of the workers that the peak request load needs at `RESERVED_UTILIZATION`.
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
        needed.sum::<f64>() / RESERVED_UTILIZATION / workers.max(1) as f64
    }

    pub(super) fn add_workers(
        &mut self,
        zone: &str,
        count: usize,
        per_rack: usize,
        capacity: Resources,
    ) {
        let zone_index = self.zones.len();
        self.zones.push(zone.to_owned());
        let cell_seed = self.seed ^ (zone_index as u64 + 1);
        let mut added = Cell::new(self.policy, cell_seed);
        added
            .placer
            .set_declarations(Arc::clone(&self.declared), 1.0);
        self.cells.push(added);
        let reserved = (self.reserved_fraction * count as f64).ceil() as usize;
        for index in 0..count {
            self.workers.push(Worker {
                name: format!("{zone}-{index}"),
                rack: format!("{zone}-rack-{}", index / per_rack),
                cell: zone_index,
                key: WorkerKey::default(),
                capacity,
                up: false,
                bad: false,
                serves: self.policy != Policy::Reserved || index < reserved,
                consecutive_failures: 0,
                runs: Vec::new(),
                reports: std::collections::VecDeque::new(),
            });
            self.bring_up(self.workers.len() - 1);
        }
    }

    pub(super) fn bring_up(&mut self, index: usize) {
        let worker = &mut self.workers[index];
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
            self.commit_upstreams(index);
        }
    }

    /// Commits the resources of a worker's upstreams, one per request kind.
    fn commit_upstreams(&mut self, worker_index: usize) {
        let worker = &self.workers[worker_index];
        let upstream_jobs: Vec<JobKey> = self.kinds.iter().map(|(_, job)| *job).collect();
        for job in upstream_jobs {
            self.next_run += 1;
            let upstream = &self.jobs[job];
            let index = u32::try_from(worker_index).unwrap_or(u32::MAX);
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

    pub(super) fn take_down(&mut self, index: usize) {
        if !self.workers[index].up {
            return;
        }
        for run in self.workers[index].runs.clone() {
            self.lose_run(run);
        }
        let worker = &mut self.workers[index];
        worker.up = false;
        worker.reports.clear();
        let cell = &mut self.cells[worker.cell];
        cell.placer.remove_worker(worker.key);
        cell.chooser.order.retain(|key| *key != worker.key);
    }

    /// Answers the requests of one tick and queues the usage reports.
    pub(super) fn serve(&mut self) {
        let serving: Vec<usize> = (0..self.workers.len())
            .filter(|index| self.is_serving(*index))
            .collect();
        let utilization = self.utilization(serving.len());
        // The latencies are drawn from a generator that is seeded only by the replay's seed
        // and the time, so that policies are compared on the same requests.
        let stream = self.seed.wrapping_mul(1_000_003) ^ self.now.0;
        let mut rng = ChaCha8Rng::seed_from_u64(stream);
        for index in 0..self.workers.len() {
            if !self.workers[index].up {
                continue;
            }
            let mut latency = Vec::new();
            if serving.contains(&index) {
                for (kind, _) in self.kinds.clone() {
                    latency.push(self.answer_requests(
                        index,
                        &kind,
                        utilization,
                        serving.len(),
                        &mut rng,
                    ));
                }
            }
            let usage = self.usage(index, latency);
            let now = self.now;
            self.workers[index].reports.push_back((now, usage));
        }
    }

    fn is_serving(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        worker.up && worker.serves && self.cells[worker.cell].in_service
    }

    /// Fraction of its request capacity that each serving worker uses.
    fn utilization(&self, serving: usize) -> f64 {
        let utilizations = self
            .kinds
            .iter()
            .map(|(kind, _)| self.rate(kind) / kind.capacity / serving.max(1) as f64);
        utilizations.sum()
    }

    fn rate(&self, kind: &Kind) -> f64 {
        self.rates.get(&kind.profile).copied().unwrap_or(0.0)
    }

    fn answer_requests(
        &mut self,
        index: usize,
        kind: &Kind,
        utilization: f64,
        serving: usize,
        rng: &mut ChaCha8Rng,
    ) -> LatencyReport {
        let ratio = self.model.ratio(kind, utilization, &self.colocated(index));
        let per_tick = self.rate(kind) / serving.max(1) as f64 * TICK_MS as f64 / 1_000.0;
        let requests_per_sample = ((per_tick / SAMPLES_PER_TICK as f64).round() as u64).max(1);
        let profile = &self.declared.profiles[&kind.profile];
        let target_us = profile.target_ms as f64 * 1_000.0;
        let tally = self
            .tally
            .kinds
            .entry(kind.profile.clone())
            .or_insert_with(|| Answers::new(profile.worth));
        for _ in 0..SAMPLES_PER_TICK {
            let latency_us = Model::latency_us(kind, ratio, rng);
            tally.record(latency_us, target_us, requests_per_sample);
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
    fn colocated(&self, index: usize) -> Vec<Colocated<'_>> {
        let mut groups: Vec<Colocated<'_>> = Vec::new();
        for id in &self.workers[index].runs {
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

    fn usage(&self, index: usize, latency: Vec<LatencyReport>) -> Usage {
        let tasks = self.workers[index].runs.iter().map(|id| {
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
            let arrived = |reported_at: Monotonic| self.now.since(reported_at) >= REPORT_LAG_MS;
            while worker
                .reports
                .front()
                .is_some_and(|(reported_at, _)| arrived(*reported_at))
            {
                let Some((reported_at, mut usage)) = worker.reports.pop_front() else {
                    break;
                };
                usage.age_ms = self.now.since(reported_at);
                self.cells[worker.cell].observe(worker.key, &usage, self.now);
            }
        }
    }

    /// Counts workers whose runs and upstreams commit more than the capacity.
    pub(super) fn check_commitments(&mut self) {
        for index in 0..self.workers.len() {
            let committed = self.committed(index);
            if self.workers[index].up && !committed.fits(self.workers[index].capacity) {
                self.tally.overcommits += 1;
            }
        }
    }

    fn committed(&self, index: usize) -> Resources {
        let worker = &self.workers[index];
        let runs = worker.runs.iter().map(|id| self.runs[id].committed);
        let kinds = self.kinds.iter().filter(|_| worker.serves);
        let upstreams = kinds.map(|(_, job)| self.jobs[*job].profile.resources);
        runs.chain(upstreams)
            .fold(Resources::ZERO, |sum, next| sum + next)
    }
}
