//! Compact sets of task indices, for jobs of many thousand tasks.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use super::{Millis, TaskOutcome};

/// Set of task indices; a bitmap in memory, base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskSet {
    bits: Vec<u8>,
    len: u32,
}

impl TaskSet {
    /// Adds an index; returns whether it was absent.
    pub fn insert(&mut self, index: u32) -> bool {
        let (byte, mask) = bit_position(index);
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        let absent = self.bits[byte] & mask == 0;
        self.bits[byte] |= mask;
        self.len += u32::from(absent);
        absent
    }

    /// Removes an index; returns whether it was present.
    pub fn remove(&mut self, index: u32) -> bool {
        if !self.contains(index) {
            return false;
        }
        let (byte, mask) = bit_position(index);
        self.bits[byte] &= !mask;
        self.len -= 1;
        // Trailing zero bytes are dropped, so that equal sets compare equal.
        while self.bits.last() == Some(&0) {
            self.bits.pop();
        }
        true
    }

    /// Whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let (byte, mask) = bit_position(index);
        self.bits.get(byte).is_some_and(|bits| bits & mask != 0)
    }

    /// Number of indices.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes all indices.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        let end = u32::try_from(self.bits.len() * 8).unwrap_or(u32::MAX);
        (0..end).filter(|index| self.contains(*index))
    }
}

impl From<TaskSet> for String {
    fn from(set: TaskSet) -> Self {
        STANDARD_NO_PAD.encode(set.bits)
    }
}

impl TryFrom<String> for TaskSet {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bits = STANDARD_NO_PAD.decode(text)?;
        while bits.last() == Some(&0) {
            bits.pop();
        }
        let len = bits.iter().map(|byte| byte.count_ones()).sum();
        Ok(Self { bits, len })
    }
}

fn bit_position(index: u32) -> (usize, u8) {
    let byte = usize::try_from(index / 8).unwrap_or(usize::MAX);
    (byte, 1 << (index % 8))
}

/// Ended tasks by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EndedTasks {
    done: TaskSet,
    failed: TaskSet,
    cancelled: TaskSet,
    unknown: TaskSet,
}

impl EndedTasks {
    /// Outcome of a task, if it has ended.
    pub fn get(&self, index: u32) -> Option<TaskOutcome> {
        [
            TaskOutcome::Done,
            TaskOutcome::Failed,
            TaskOutcome::Cancelled,
            TaskOutcome::Unknown,
        ]
        .into_iter()
        .find(|outcome| self.set(*outcome).contains(index))
    }

    /// Records the outcome of a task, replacing an earlier one.
    pub fn insert(&mut self, index: u32, outcome: TaskOutcome) {
        if let Some(earlier) = self.get(index) {
            self.set_mut(earlier).remove(index);
        }
        self.set_mut(outcome).insert(index);
    }

    /// Number of ended tasks.
    pub fn len(&self) -> u32 {
        self.done.len() + self.failed.len() + self.cancelled.len() + self.unknown.len()
    }

    /// Whether no task has ended.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of tasks that ended with `outcome`.
    pub fn count(&self, outcome: TaskOutcome) -> u32 {
        self.set(outcome).len()
    }

    fn set(&self, outcome: TaskOutcome) -> &TaskSet {
        match outcome {
            TaskOutcome::Done => &self.done,
            TaskOutcome::Failed => &self.failed,
            TaskOutcome::Cancelled => &self.cancelled,
            TaskOutcome::Unknown => &self.unknown,
        }
    }

    fn set_mut(&mut self, outcome: TaskOutcome) -> &mut TaskSet {
        match outcome {
            TaskOutcome::Done => &mut self.done,
            TaskOutcome::Failed => &mut self.failed,
            TaskOutcome::Cancelled => &mut self.cancelled,
            TaskOutcome::Unknown => &mut self.unknown,
        }
    }
}

/// Progress from which an unfinished task resumes, and the run that reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checkpoint {
    /// Latest run whose end is stored; zero if none ended in this shard.
    pub run: u64,
    /// Progress in milliseconds of work.
    pub progress_ms: Millis,
}
