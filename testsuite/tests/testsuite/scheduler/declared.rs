//! Declarations and job specifications for the tests of a shard.

use std::collections::BTreeMap;

use verbenahitch::config::{Declarations, Zone, ZoneState};
use verbenahitch::domain::{Class, Eviction, JobSpec, Millis, Profile, Resources};

use super::world::ZONE;

fn profile(idempotent: bool, urgent: bool, cores: u64) -> Profile {
    Profile {
        class: Class::Batch,
        team: "market".to_owned(),
        resources: Resources::new(cores, 512),
        worth: if urgent { 100 } else { 10 },
        target_ms: 1_000,
        deadline_ms: 600_000,
        max_slowdown: 1.5,
        min_share: 0.25,
        eviction: Eviction {
            allowed: true,
            grace_ms: 300,
            hourly_budget: 100,
        },
        idempotent,
        urgent,
        pressure: 0.2,
    }
}

pub fn declarations(revision: u64, state: ZoneState) -> Declarations {
    let zone = |state| Zone {
        state,
        shards: 1,
        ramp_ms: 1_000,
    };
    Declarations {
        revision,
        profiles: BTreeMap::from([
            ("recalculation".to_owned(), profile(true, false, 1)),
            ("settlement".to_owned(), profile(false, false, 1)),
            ("urgent".to_owned(), profile(true, true, 2)),
            ("giant".to_owned(), profile(true, false, 100)),
        ]),
        zones: BTreeMap::from([
            (ZONE.to_owned(), zone(state)),
            ("west".to_owned(), zone(ZoneState::In)),
        ]),
        ..Declarations::default()
    }
}

pub fn spec(profile: &str, tasks: u32, run_ms: Millis) -> JobSpec {
    JobSpec {
        profile: profile.to_owned(),
        tasks,
        run_ms,
        payload: String::new(),
    }
}
