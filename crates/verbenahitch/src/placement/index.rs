//! Index of open workers by free CPU.
//!
//! Workers are grouped in buckets of half a core. A search starts at the workers
//! that fit most tightly, and an update moves a worker between two buckets in
//! constant time.

use crate::domain::{Resources, WorkerKey};

const BUCKET_MILLICORES: u64 = 500;
const BUCKETS: usize = 256;

/// Position of a worker in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    bucket: usize,
    offset: usize,
}

/// Open workers by free CPU.
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
    pub(super) fn insert(&mut self, worker: WorkerKey, room: Resources) -> Position {
        let bucket = bucket_of(room);
        let offset = self.buckets[bucket].len();
        self.buckets[bucket].push(worker);
        self.occupied[bucket / 64] |= 1 << (bucket % 64);
        Position { bucket, offset }
    }

    /// Removes the worker at `position`; returns the worker that took its place, if any.
    pub(super) fn remove(&mut self, position: Position) -> Option<WorkerKey> {
        let bucket = &mut self.buckets[position.bucket];
        bucket.swap_remove(position.offset);
        if bucket.is_empty() {
            self.occupied[position.bucket / 64] &= !(1 << (position.bucket % 64));
        }
        self.buckets[position.bucket].get(position.offset).copied()
    }

    /// Whether `position` is in the right bucket for a worker with `room`.
    pub(super) fn is_current(position: Position, room: Resources) -> bool {
        position.bucket == bucket_of(room)
    }

    /// Workers that may have enough CPU for `need`, the tightest bucket first.
    ///
    /// Each bucket starts at an offset given by `random`, so that equal workers are
    /// chosen equally often.
    pub(super) fn ascending(
        &self,
        need: Resources,
        random: u64,
    ) -> impl Iterator<Item = WorkerKey> {
        self.occupied_from(bucket_of(need)).flat_map(move |bucket| {
            let split = rotation_start(random, bucket.len());
            bucket[split..].iter().chain(&bucket[..split]).copied()
        })
    }

    /// Workers that may have enough CPU for `need`, for access by position.
    pub(super) fn candidates(&self, need: Resources) -> Candidates<'_> {
        let mut candidates = Candidates {
            buckets: [&[]; BUCKETS],
            count: 0,
            workers: 0,
        };
        for bucket in self.occupied_from(bucket_of(need)) {
            candidates.buckets[candidates.count] = bucket;
            candidates.count += 1;
            candidates.workers += bucket.len();
        }
        candidates
    }

    fn occupied_from(&self, first: usize) -> impl Iterator<Item = &[WorkerKey]> {
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

/// Workers in the buckets that may have enough CPU for a task.
pub(super) struct Candidates<'a> {
    buckets: [&'a [WorkerKey]; BUCKETS],
    count: usize,
    workers: usize,
}

impl Candidates<'_> {
    /// Number of workers.
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

/// Offset below `len` at which a rotated iteration starts.
pub(super) fn rotation_start(random: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(random.checked_rem(len).unwrap_or(0)).unwrap_or(0)
}

fn bucket_of(room: Resources) -> usize {
    let bucket = usize::try_from(room.millicores / BUCKET_MILLICORES).unwrap_or(BUCKETS);
    bucket.min(BUCKETS - 1)
}
