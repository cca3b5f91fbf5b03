//! Choice of a worker for a task.
//!
//! Load pattern: standing tasks hold most of the committed processors but use
//! less than half of them; fillers live on the rest and slow the standing tasks
//! beside them, some images far more than others. A filler therefore goes where
//! most is idle and where it presses least; other work goes where fillers and
//! latency targets are few.
//!
//! Inputs: commitments, exact by the dispatcher's own orders; health and pace,
//! as old as the last look, at most a second or so.

use super::job::{Amount, StepSpec};
use super::press;
use super::worker::Worker;

/// Share of its committed processors that a standing task uses: a little under
/// half on the average, and some for the peaks of its load.
const STANDING_USE: f64 = 0.5;

/// Share of a filler's request that must be idle for it to start there.
const FILLER_FIT: f64 = 0.9;

/// Cost of a rack that is not that of the data, in parts of a worker.
const REMOTE_COST: f64 = 10.0;

/// Cost of each task of the same step that is there already, in parts of a worker.
const CROWD_COST: f64 = 0.05;

/// Cost of the worker on which the task failed before.
pub(super) const AVOID_COST: f64 = 20.0;

/// Cost of a pair that is surely harmful, in parts of a worker.
const HARM_COST: f64 = 3.0;

/// What a choice looks at, for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Load {
    /// Processors of standing tasks in thousandths.
    pub standing: u64,
}

/// Processors in thousandths that are idle beside all that runs, negative if short.
pub(super) fn idle_milli(worker: &Worker, load: Load) -> f64 {
    let capacity = as_float(worker.info.capacity.cpu_milli);
    let standing = as_float(load.standing);
    let others = as_float(worker.committed.cpu_milli) - standing;
    capacity - standing * STANDING_USE - others - as_float(worker.filling)
}

/// Cost of one more task of `step` on `worker`, none if it cannot go there.
pub(super) fn cost(
    worker: &Worker,
    load: Load,
    step: &StepSpec,
    same_step: u32,
    harm: f64,
) -> Option<f64> {
    let info = &worker.info;
    if !step.label.is_empty() && !info.labels.contains(&step.label) {
        return None;
    }
    if step.spread > 0 && same_step >= step.spread {
        return None;
    }
    let amount = committed(step);
    if !amount.fits(info.capacity.less(worker.committed)) {
        return None;
    }
    let capacity = as_float(info.capacity.cpu_milli.max(1));
    let remote = !step.rack.is_empty() && step.rack != worker.rack();
    let distance = if remote { REMOTE_COST } else { 0.0 };
    if step.filler {
        if harm >= press::HARMFUL {
            return None;
        }
        let idle = idle_milli(worker, load);
        let request = as_float(step.amount.cpu_milli);
        if idle < request * FILLER_FIT {
            return None;
        }
        return Some(distance + harm * HARM_COST - idle / capacity);
    }
    let used = as_float(worker.committed.cpu_milli) / capacity;
    let crowd = f64::from(same_step) * CROWD_COST;
    Some(distance + used + crowd + harm * HARM_COST)
}

/// What a task of `step` takes of a worker's capacity.
pub(super) fn committed(step: &StepSpec) -> Amount {
    let cpu_milli = if step.filler {
        0
    } else {
        step.amount.cpu_milli
    };
    Amount {
        cpu_milli,
        ..step.amount
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "thousandths of cores are far below 2^52"
)]
fn as_float(milli: u64) -> f64 {
    milli as f64
}
