//! Deployments for which a day is generated: workers, request kinds and batch profiles.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::trace::{Kind, Pair, Truth, Work};
use crate::config::{Declarations, Team, Zone, ZoneState};
use crate::domain::{Class, Eviction, Millis, Profile, Resources};

const TEAM: &str = "house";

/// Deployment for which a day is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Four zones, 50 workers of 16 cores: price pushes beside promotional recalculations.
    Bureau,
    /// Three zones, 65 workers of 32 cores: pass quotes beside season settlements.
    Kilele,
}

/// Parameters of one deployment's day.
pub(super) struct Plan {
    pub(super) name: &'static str,
    pub(super) zones: &'static [(&'static str, usize)],
    pub(super) per_rack: usize,
    pub(super) capacity: Resources,
    pub(super) kinds: [KindPlan; 2],
    /// Profiles in this order: nightly, noisy, light, filler, urgent, oversized.
    pub(super) batches: [BatchPlan; 6],
}

pub(super) struct KindPlan {
    pub(super) profile: &'static str,
    pub(super) resources: Resources,
    pub(super) worth: u32,
    pub(super) target_ms: Millis,
    pub(super) max_slowdown: f64,
    pub(super) alone_us: f64,
    pub(super) capacity: f64,
}

pub(super) struct BatchPlan {
    pub(super) profile: &'static str,
    pub(super) declared: Resources,
    /// True demand of a task: millicores and mebibytes.
    pub(super) used: (u64, u64),
    pub(super) worth: u32,
    pub(super) run_s: u64,
    pub(super) deadline_s: u64,
    /// Declared pressure, which need not match `slopes`.
    pub(super) pressure: f64,
    /// True slope for the first and the second kind, as in [`Pair::slope`].
    pub(super) slopes: (f64, f64),
    pub(super) urgent: bool,
}

const fn sized(millicores: u64, memory_mib: u64) -> Resources {
    Resources {
        millicores,
        memory_mib,
        accelerators: 0,
    }
}

impl Deployment {
    pub(super) const fn plan(self) -> Plan {
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

impl Plan {
    pub(super) fn declarations(&self) -> Declarations {
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
            // More accelerators than any worker has, so that a task which needs them is
            // refused because no worker fits it, not because of the quota.
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

    pub(super) fn truth(&self) -> Truth {
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
    pub(super) fn kind(&self) -> Kind {
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
