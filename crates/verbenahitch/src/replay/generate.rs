//! Generates a trace of a compressed day for each deployment.
//!
//! One second of the trace represents one minute of the day. The seed shifts the
//! submissions and noise periods by some seconds and varies the run times; the
//! same seed gives the same trace.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::{BatchPlan, Deployment, Plan};
use super::trace::{Entry, Event, Submit, Trace};

const DAY_S: u64 = 1_440;
const LOAD_STEP_S: u64 = 20;
const NIGHT_LOAD: f64 = 0.15;
const NOON_LOAD: f64 = 0.6;

/// Trace of a compressed day.
pub fn generate(deployment: Deployment, seed: u64) -> Trace {
    let plan = deployment.plan();
    let mut day = Day {
        rng: ChaCha8Rng::seed_from_u64(seed),
        entries: Vec::new(),
        jobs: 0,
    };
    day.set_up(&plan);
    day.load(&plan);
    day.submissions(&plan);
    day.disturbances(&plan);
    day.entries.sort_by_key(|entry| entry.at_ms);
    day.push(DAY_S, Event::End);
    Trace {
        name: plan.name.to_owned(),
        entries: day.entries,
    }
}

struct Day {
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    jobs: u32,
}

impl Day {
    fn push(&mut self, at_s: u64, event: Event) {
        let at_ms = at_s * 1_000;
        self.entries.push(Entry { at_ms, event });
    }

    fn set_up(&mut self, plan: &Plan) {
        self.push(0, Event::Declare(plan.declarations()));
        for kind in &plan.kinds {
            self.push(0, Event::Kind(kind.kind()));
        }
        self.push(0, Event::Truth(plan.truth()));
        for (zone, count) in plan.zones {
            let event = Event::Workers {
                zone: (*zone).to_owned(),
                count: *count,
                per_rack: plan.per_rack,
                capacity: plan.capacity,
            };
            self.push(0, event);
        }
    }

    /// Request load over the day: low at night, highest at noon.
    fn load(&mut self, plan: &Plan) {
        let workers: usize = plan.zones.iter().map(|(_, count)| count).sum();
        for at_s in (0..DAY_S).step_by(usize::try_from(LOAD_STEP_S).unwrap_or(1)) {
            let phase = std::f64::consts::TAU * at_s as f64 / DAY_S as f64;
            let fraction = (1.0 - phase.cos()) / 2.0;
            let load = NIGHT_LOAD + (NOON_LOAD - NIGHT_LOAD) * fraction;
            // The first kind makes up two thirds of the load.
            for (kind, share) in plan.kinds.iter().zip([2.0 / 3.0, 1.0 / 3.0]) {
                let rate = load * share * kind.capacity * workers as f64;
                let event = Event::Load {
                    profile: kind.profile.to_owned(),
                    rate: rate.round(),
                };
                self.push(at_s, event);
            }
        }
    }

    fn submissions(&mut self, plan: &Plan) {
        let [nightly, noisy, light, filler, urgent, oversized] = &plan.batches;
        for _ in 0..12 {
            let at_s = self.rng.random_range(0..40);
            self.submit(at_s, nightly, 40);
        }
        for at_s in (60..1_380).step_by(30) {
            let at_s = at_s + self.rng.random_range(0..10);
            self.submit(at_s, noisy, 20);
        }
        for at_s in (30..1_380).step_by(60) {
            let at_s = at_s + self.rng.random_range(0..10);
            self.submit(at_s, light, 40);
        }
        for at_s in [200, 460, 720] {
            self.submit(at_s, filler, 700);
        }
        for at_s in (420..1_200).step_by(130) {
            let at_s = at_s + self.rng.random_range(0..20);
            self.submit(at_s, urgent, 12);
        }
        self.submit(300, oversized, 4);
    }

    fn submit(&mut self, at_s: u64, plan: &BatchPlan, tasks: u32) -> String {
        self.jobs += 1;
        let job = format!("{}-{}", plan.profile, self.jobs);
        let run_factor = self.rng.random_range(0.8..1.2);
        let submit = Submit {
            job: job.clone(),
            profile: plan.profile.to_owned(),
            tasks,
            run_ms: (plan.run_s as f64 * 1_000.0 * run_factor) as u64,
        };
        self.push(at_s, Event::Submit(submit));
        job
    }

    /// Noise periods, worker failures, cancellations, a zone taken out of service
    /// and brought back, and a store outage.
    fn disturbances(&mut self, plan: &Plan) {
        let [_, noisy, _, filler, ..] = &plan.batches;
        for at_s in [380, 560, 740, 860, 1_000] {
            let at_s = at_s + self.rng.random_range(0..15);
            self.noise(at_s, noisy.profile, 3.0);
            self.noise(at_s + 60, noisy.profile, 1.0);
        }
        let (zone, _) = plan.zones[0];
        let (last, _) = plan.zones[plan.zones.len() - 1];
        let worker = |at: usize| format!("{zone}-{at}");
        self.push(400, Event::Bad { worker: worker(4) });
        self.push(700, Event::Good { worker: worker(4) });
        for at in [1, 7] {
            let at_s = 250 + 300 * at as u64 / 4;
            self.push(at_s, Event::Down { worker: worker(at) });
            self.push(at_s + 90, Event::Up { worker: worker(at) });
        }
        let cancelled: Vec<String> = (0..10).map(|_| self.submit(800, filler, 40)).collect();
        for job in cancelled {
            self.push(815, Event::Cancel { job });
        }
        self.push(
            900,
            Event::ZoneOut {
                zone: last.to_owned(),
            },
        );
        self.push(
            1_080,
            Event::ZoneIn {
                zone: last.to_owned(),
            },
        );
        self.push(1_150, Event::StoreDown);
        self.push(1_200, Event::StoreUp);
    }

    fn noise(&mut self, at_s: u64, profile: &str, factor: f64) {
        let profile = profile.to_owned();
        self.push(at_s, Event::Noise { profile, factor });
    }
}
