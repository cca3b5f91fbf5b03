//! Jobs and queues for the tests.

use verbenahitch::dispatch::{Amount, JobSpec, Queue, StepSpec};
use verbenahitch::domain::Millis;

/// Time for which the users let a lasting task be away in a calm fleet, in milliseconds: 6 s, and
/// 3 s in which nothing of it runs.
pub const AWAY_MS: Millis = 9_000;

/// Target of the tail latency of a standing task, in milliseconds.
pub const TARGET_MS: Millis = 20;

pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        priority,
        attempts: 3,
        stretch: 2.0,
        target_ms: 500,
    }
}

pub fn step(count: u32, cores: u64, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        count,
        amount: Amount {
            cpu_milli: cores * 1_000,
            memory_mb: 100,
            gpus: 0,
        },
        estimate_ms,
        ..StepSpec::default()
    }
}

pub fn filler(count: u32, cores: u64, estimate_ms: Millis, image: &str) -> StepSpec {
    StepSpec {
        filler: true,
        checkpoints: true,
        image: image.to_owned(),
        ..step(count, cores, estimate_ms)
    }
}

pub fn standing(count: u32, cores: u64, image: &str) -> StepSpec {
    StepSpec {
        standing: true,
        image: image.to_owned(),
        target_ms: TARGET_MS,
        ..step(count, cores, 500)
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "input".into(),
        steps,
        repeat: None,
    }
}
