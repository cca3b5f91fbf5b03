//! Index of open workers by free processors.
//!
//! Workers lie in buckets of half a core, so that a search starts at the
//! workers that fit most tightly and a change moves one worker between two
//! buckets in constant time.

use crate::domain::{Resources, WorkerKey};

const BUCKET_MILLICORES: u64 = 500;
const BUCKETS: usize = 256;

/// Position of a worker in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Slot {
    bucket: usize,
    offset: usize,
}

/// Open workers by free processors.
#[derive(Debug)]
pub(super) struct Index {
    buckets: Vec<Vec<WorkerKey>>,
    occupied: [u64; BUCKETS / 64],
}

impl Default for Index {
    fn default() -> Self {
        Self {
            buckets: vec![Vec::new(); BUCKETS],
            occupied: [0; BUCKETS / 64],
        }
    }
}

impl Index {
    /// Adds a worker with `room`.
    pub(super) fn insert(&mut self, worker: WorkerKey, room: Resources) -> Slot {
        let bucket = bucket_of(room);
        let offset = self.buckets[bucket].len();
        self.buckets[bucket].push(worker);
        self.occupied[bucket / 64] |= 1 << (bucket % 64);
        Slot { bucket, offset }
    }

    /// Removes the worker at `slot`; returns the worker that now lies there, if any.
    pub(super) fn remove(&mut self, slot: Slot) -> Option<WorkerKey> {
        let bucket = &mut self.buckets[slot.bucket];
        bucket.swap_remove(slot.offset);
        if bucket.is_empty() {
            self.occupied[slot.bucket / 64] &= !(1 << (slot.bucket % 64));
        }
        self.buckets[slot.bucket].get(slot.offset).copied()
    }

    /// Whether a worker with `room` may stay at `slot`.
    pub(super) fn is_current(slot: Slot, room: Resources) -> bool {
        slot.bucket == bucket_of(room)
    }

    /// Workers that may have the processors for `need`, the tightest bucket first.
    ///
    /// `turn` rotates each bucket, so that equals are taken in turn.
    pub(super) fn upwards(&self, need: Resources, turn: u64) -> impl Iterator<Item = WorkerKey> {
        self.from(bucket_of(need)).flat_map(move |bucket| {
            let split = rotate(turn, bucket.len());
            bucket[split..].iter().chain(&bucket[..split]).copied()
        })
    }

    /// Buckets that may have the processors for `need`.
    pub(super) fn roomy(&self, need: Resources) -> Roomy<'_> {
        let mut roomy = Roomy {
            buckets: [&[]; BUCKETS],
            count: 0,
            workers: 0,
        };
        for bucket in self.from(bucket_of(need)) {
            roomy.buckets[roomy.count] = bucket;
            roomy.count += 1;
            roomy.workers += bucket.len();
        }
        roomy
    }

    fn from(&self, first: usize) -> impl Iterator<Item = &[WorkerKey]> {
        let words = self.occupied.iter().enumerate().skip(first / 64);
        words.flat_map(move |(word, &bits)| {
            let mut bits = if word == first / 64 {
                bits & (u64::MAX << (first % 64))
            } else {
                bits
            };
            std::iter::from_fn(move || {
                let bit = usize::try_from(bits.trailing_zeros()).ok()?;
                if bits == 0 {
                    return None;
                }
                bits &= bits - 1;
                Some(self.buckets[word * 64 + bit].as_slice())
            })
        })
    }
}

/// Buckets with enough processors for some need.
pub(super) struct Roomy<'a> {
    buckets: [&'a [WorkerKey]; BUCKETS],
    count: usize,
    workers: usize,
}

impl Roomy<'_> {
    /// Number of workers in them.
    pub(super) fn len(&self) -> usize {
        self.workers
    }

    /// Worker at a position below [`Self::len`].
    pub(super) fn get(&self, mut at: usize) -> Option<WorkerKey> {
        for bucket in &self.buckets[..self.count] {
            if let Some(worker) = bucket.get(at) {
                return Some(*worker);
            }
            at -= bucket.len();
        }
        None
    }
}

/// Start of a rotation of `len` items.
pub(super) fn rotate(turn: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(turn.checked_rem(len).unwrap_or(0)).unwrap_or(0)
}

fn bucket_of(room: Resources) -> usize {
    let bucket = usize::try_from(room.millicores / BUCKET_MILLICORES).unwrap_or(BUCKETS);
    bucket.min(BUCKETS - 1)
}
