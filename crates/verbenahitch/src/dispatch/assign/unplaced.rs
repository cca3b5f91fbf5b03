//! Steps that found no place in a pass, and the later ones that therefore find none either.
//!
//! Rooms shrink during a pass; the memory that fillers leave may shrink with them, which the next pass
//! sees. A step has no place if a step that failed before it asked for
//! no more of all that kept it from a worker: a label if workers lacked it, CPU if workers had too
//! little, and so on. What kept it from no worker is not compared, so that one entry stands for as
//! many steps as possible, and a step is never skipped for what only others ask for.

use super::{MisfitCounts, Waiting};
use crate::dispatch::Amount;
use crate::dispatch::StepSpec;
use crate::domain::Millis;

/// What a step without a place asked for, as far as it kept it from workers.
#[derive(Debug)]
struct Unplaced {
    /// Index of its pool.
    pool: usize,
    /// Whether it fills; the other steps are kept from workers for other reasons.
    filler: bool,
    /// Whether workers were held for overdue steps.
    held: bool,
    /// Whether what standing tasks are expected to need was a reason, which binds no step that is
    /// owed a run.
    is_expected: bool,
    label: Option<String>,
    amount: Amount,
    /// Image and estimated duration, which decide what a filler takes from standing tasks.
    effect: Option<(String, Millis)>,
}

impl Unplaced {
    fn covers(&self, step: &Waiting, spec: &StepSpec) -> bool {
        self.pool == step.pool
            && self.filler == spec.filler
            && !(self.held && step.rank.overdue)
            && !(self.is_expected && step.owed)
            && self.amount.fits(spec.amount)
            && self.label.as_ref().is_none_or(|label| *label == spec.label)
            && self.effect.as_ref().is_none_or(|(image, estimate_ms)| {
                *image == spec.image && *estimate_ms <= spec.estimate_ms
            })
    }
}

/// Steps that found no place in a pass.
#[derive(Debug, Default)]
pub(super) struct UnplacedSteps(Vec<Unplaced>);

impl UnplacedSteps {
    /// Whether a step finds no place, as one before it found none.
    pub fn cover(&self, step: &Waiting, spec: &StepSpec) -> bool {
        self.0.iter().any(|tried| tried.covers(step, spec))
    }

    /// Records that a step found no place, with the reasons by worker. The spread of a step says
    /// nothing of others.
    pub fn add(&mut self, step: &Waiting, spec: &StepSpec, misfits: MisfitCounts) {
        if misfits.spread > 0 {
            return;
        }
        let wants = |is_reason: bool, amount: u64| if is_reason { amount } else { 0 };
        let lacks_cpu = misfits.cpu + misfits.busy + misfits.harm > 0;
        self.0.push(Unplaced {
            pool: step.pool,
            filler: spec.filler,
            held: misfits.held > 0,
            is_expected: misfits.has_expected(),
            label: (misfits.label > 0).then(|| spec.label.clone()),
            amount: Amount {
                cpu_milli: wants(lacks_cpu, spec.amount.cpu_milli),
                memory_mb: wants(misfits.memory > 0, spec.amount.memory_mb),
                gpus: wants(misfits.cpu > 0, spec.amount.gpus),
            },
            effect: (misfits.harm > 0).then(|| (spec.image.clone(), spec.estimate_ms)),
        });
    }
}
