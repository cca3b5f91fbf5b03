//! Generates the traces of a compressed day of each deployment.
//!
//! One second of the trace stands for a minute of the day. The seed moves the
//! submissions and waves a little; the same seed gives the same trace.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::trace::{Entry, Event, Kind, Pair, Submit, Trace, Truth, Work};
use crate::config::{Declarations, Team, Zone, ZoneState};
use crate::domain::{Class, Eviction, Millis, Profile, Resources};

const DAY_S: u64 = 1_440;
const LOAD_STEP_S: u64 = 20;
const NIGHT_LOAD: f64 = 0.15;
const NOON_LOAD: f64 = 0.6;
const TEAM: &str = "house";

/// A deployment whose day is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Four zones, 50 workers of 16 cores: price pushes over promotional recalculations.
    Bureau,
    /// Three zones, 65 workers of 32 cores: pass quotes over season settlements.
    Kilele,
}

/// What distinguishes one deployment's day.
struct Plan {
    name: &'static str,
    zones: &'static [(&'static str, usize)],
    per_rack: usize,
    capacity: Resources,
    kinds: [KindPlan; 2],
    /// Profiles: nightly, noisy, light, filler, urgent, oversized.
    batches: [BatchPlan; 6],
}

struct KindPlan {
    profile: &'static str,
    resources: Resources,
    worth: u32,
    target_ms: Millis,
    max_slowdown: f64,
    alone_us: f64,
    capacity: f64,
}

struct BatchPlan {
    profile: &'static str,
    declared: Resources,
    used: (u64, u64),
    worth: u32,
    run_s: u64,
    deadline_s: u64,
    /// Declared pressure, and true slowdown of the first and the second kind.
    pressure: f64,
    slopes: (f64, f64),
    urgent: bool,
}

const fn sized(millicores: u64, memory_mib: u64) -> Resources {
    Resources {
        millicores,
        memory_mib,
        accelerators: 0,
    }
}

impl Deployment {
    const fn plan(self) -> Plan {
        match self {
            Self::Bureau => BUREAU,
            Self::Kilele => KILELE,
        }
    }
}

const BUREAU: Plan = Plan {
    name: "bureau",
    zones: &[("east", 13), ("north", 13), ("south", 12), ("west", 12)],
    per_rack: 6,
    capacity: sized(16_000, 61_440),
    kinds: [
        KindPlan {
            profile: "price-push",
            resources: sized(5_000, 16_384),
            worth: 100,
            target_ms: 80,
            max_slowdown: 1.1,
            alone_us: 12_000.0,
            capacity: 400.0,
        },
        KindPlan {
            profile: "label-watch",
            resources: sized(2_000, 4_096),
            worth: 5,
            target_ms: 250,
            max_slowdown: 1.4,
            alone_us: 30_000.0,
            capacity: 800.0,
        },
    ],
    batches: [
        BatchPlan {
            profile: "promo-recalculation",
            declared: sized(2_000, 4_096),
            used: (1_800, 3_500),
            worth: 200,
            run_s: 40,
            deadline_s: 360,
            pressure: 0.1,
            slopes: (0.05, 0.03),
            urgent: false,
        },
        BatchPlan {
            profile: "stock-report",
            declared: sized(4_000, 8_192),
            used: (800, 1_640),
            worth: 5,
            run_s: 20,
            deadline_s: 240,
            pressure: 0.05,
            slopes: (0.15, 0.1),
            urgent: false,
        },
        BatchPlan {
            profile: "till-reconciliation",
            declared: sized(500, 1_024),
            used: (2_500, 4_096),
            worth: 20,
            run_s: 12,
            deadline_s: 240,
            pressure: 0.3,
            slopes: (0.005, 0.005),
            urgent: false,
        },
        BatchPlan {
            profile: "sales-analysis",
            declared: sized(2_000, 4_096),
            used: (2_000, 4_000),
            worth: 1,
            run_s: 60,
            deadline_s: 900,
            pressure: 0.05,
            slopes: (0.02, 0.02),
            urgent: false,
        },
        BatchPlan {
            profile: "price-correction",
            declared: sized(3_000, 4_096),
            used: (3_000, 4_000),
            worth: 300,
            run_s: 5,
            deadline_s: 30,
            pressure: 0.05,
            slopes: (0.03, 0.03),
            urgent: true,
        },
        BatchPlan {
            profile: "city-model",
            declared: sized(64_000, 8_192),
            used: (64_000, 8_192),
            worth: 10,
            run_s: 60,
            deadline_s: 1_200,
            pressure: 0.1,
            slopes: (0.1, 0.1),
            urgent: false,
        },
    ],
};

const KILELE: Plan = Plan {
    name: "kilele",
    zones: &[("nairobi-1", 22), ("nairobi-2", 22), ("nairobi-3", 21)],
    per_rack: 11,
    capacity: sized(32_000, 128_000),
    kinds: [
        KindPlan {
            profile: "pass-quote",
            resources: sized(12_000, 40_960),
            worth: 200,
            target_ms: 60,
            max_slowdown: 1.1,
            alone_us: 9_000.0,
            capacity: 500.0,
        },
        KindPlan {
            profile: "gate-sync",
            resources: sized(4_000, 8_192),
            worth: 20,
            target_ms: 400,
            max_slowdown: 1.5,
            alone_us: 50_000.0,
            capacity: 700.0,
        },
    ],
    batches: [
        BatchPlan {
            profile: "season-settlement",
            declared: sized(4_000, 8_192),
            used: (4_000, 6_000),
            worth: 400,
            run_s: 45,
            deadline_s: 360,
            pressure: 0.1,
            slopes: (0.04, 0.05),
            urgent: false,
        },
        BatchPlan {
            profile: "resort-statistics",
            declared: sized(5_000, 20_480),
            used: (1_000, 4_096),
            worth: 4,
            run_s: 25,
            deadline_s: 240,
            pressure: 0.05,
            slopes: (0.12, 0.02),
            urgent: false,
        },
        BatchPlan {
            profile: "pass-archive",
            declared: sized(800, 2_048),
            used: (4_000, 8_192),
            worth: 15,
            run_s: 12,
            deadline_s: 240,
            pressure: 0.25,
            slopes: (0.01, 0.01),
            urgent: false,
        },
        BatchPlan {
            profile: "demand-forecast",
            declared: sized(4_000, 8_192),
            used: (4_000, 8_000),
            worth: 1,
            run_s: 60,
            deadline_s: 900,
            pressure: 0.05,
            slopes: (0.02, 0.01),
            urgent: false,
        },
        BatchPlan {
            profile: "pass-revocation",
            declared: sized(6_000, 8_192),
            used: (6_000, 8_000),
            worth: 500,
            run_s: 5,
            deadline_s: 30,
            pressure: 0.05,
            slopes: (0.03, 0.03),
            urgent: true,
        },
        BatchPlan {
            profile: "image-training",
            declared: Resources {
                millicores: 8_000,
                memory_mib: 16_384,
                accelerators: 2,
            },
            used: (8_000, 16_384),
            worth: 10,
            run_s: 60,
            deadline_s: 1_200,
            pressure: 0.1,
            slopes: (0.1, 0.1),
            urgent: false,
        },
    ],
};

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
    day.batch(&plan);
    day.trouble(&plan);
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

    /// Requests follow the day: low at night, highest at noon.
    fn load(&mut self, plan: &Plan) {
        let workers: usize = plan.zones.iter().map(|(_, count)| count).sum();
        for at_s in (0..DAY_S).step_by(usize::try_from(LOAD_STEP_S).unwrap_or(1)) {
            let phase = std::f64::consts::TAU * at_s as f64 / DAY_S as f64;
            let part = (1.0 - phase.cos()) / 2.0;
            let load = NIGHT_LOAD + (NOON_LOAD - NIGHT_LOAD) * part;
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

    fn batch(&mut self, plan: &Plan) {
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
        let longer = self.rng.random_range(0.8..1.2);
        let submit = Submit {
            job: job.clone(),
            profile: plan.profile.to_owned(),
            tasks,
            run_ms: (plan.run_s as f64 * 1_000.0 * longer) as u64,
        };
        self.push(at_s, Event::Submit(submit));
        job
    }

    /// Waves of noise, failures, cancellations, a zone out and back, a store outage.
    fn trouble(&mut self, plan: &Plan) {
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
        let doomed: Vec<String> = (0..10).map(|_| self.submit(800, filler, 40)).collect();
        for job in doomed {
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

impl Plan {
    fn declarations(&self) -> Declarations {
        let mut profiles = BTreeMap::new();
        for kind in &self.kinds {
            profiles.insert(kind.profile.to_owned(), kind.declared());
        }
        for batch in &self.batches {
            profiles.insert(batch.profile.to_owned(), batch.declared());
        }
        let workers: usize = self.zones.iter().map(|(_, count)| count).sum();
        let quota = self.capacity.times(workers as u64);
        let team = Team {
            // Room for tasks that no worker has, so that the workers decide.
            quota: Resources {
                accelerators: 8,
                ..quota
            },
            token_digest: "0".repeat(64),
        };
        let zone = Zone {
            state: ZoneState::In,
            shards: 1,
            ramp_ms: 30_000,
        };
        Declarations {
            revision: 1,
            profiles,
            teams: BTreeMap::from([(TEAM.to_owned(), team)]),
            zones: self
                .zones
                .iter()
                .map(|(name, _)| ((*name).to_owned(), zone))
                .collect(),
            ..Declarations::default()
        }
    }

    fn truth(&self) -> Truth {
        let [first, second] = &self.kinds;
        let pair = |victim: &KindPlan, source: &BatchPlan, slope: f64| Pair {
            victim: victim.profile.to_owned(),
            source: source.profile.to_owned(),
            slope,
        };
        let pairs = self.batches.iter().flat_map(|batch| {
            [
                pair(first, batch, batch.slopes.0),
                pair(second, batch, batch.slopes.1),
            ]
        });
        let works = self.batches.iter().map(|batch| Work {
            profile: batch.profile.to_owned(),
            millicores: batch.used.0,
            memory_mib: batch.used.1,
        });
        Truth {
            pairs: pairs.collect(),
            works: works.collect(),
        }
    }
}

impl KindPlan {
    fn kind(&self) -> Kind {
        Kind {
            profile: self.profile.to_owned(),
            alone_us: self.alone_us,
            sigma: 0.35,
            capacity: self.capacity,
        }
    }

    fn declared(&self) -> Profile {
        Profile {
            class: Class::LatencyCritical,
            team: TEAM.to_owned(),
            resources: self.resources,
            worth: self.worth,
            target_ms: self.target_ms,
            deadline_ms: 4 * self.target_ms,
            max_slowdown: self.max_slowdown,
            min_share: 1.0,
            eviction: Eviction {
                allowed: false,
                ..Eviction::default()
            },
            idempotent: true,
            urgent: false,
            pressure: 0.0,
        }
    }
}

impl BatchPlan {
    fn declared(&self) -> Profile {
        Profile {
            class: Class::Batch,
            team: TEAM.to_owned(),
            resources: self.declared,
            worth: self.worth,
            target_ms: 1_000 * self.run_s,
            deadline_ms: 1_000 * self.deadline_s,
            max_slowdown: 4.0,
            min_share: 0.25,
            eviction: Eviction::default(),
            idempotent: true,
            urgent: self.urgent,
            pressure: self.pressure,
        }
    }
}
