//! Images that the model knows, and the estimates of their pairs.
//!
//! Load pattern: callers name a new image with each build, for good. Both tables are bounded; the
//! entries that were used least recently go first.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use slotmap::{Key, SecondaryMap, SlotMap, new_key_type};

use super::{Estimate, ImageLevel};
use crate::collections::HashMap;

/// Largest number of images: more than tasks run on the largest fleet that the system is designed for.
pub const IMAGES_MAX: usize = 16_384;

/// Largest number of pairs of images.
pub const PAIRS_MAX: usize = 32_768;

/// Part of a full table that is dropped at once.
const DROPPED_DIVISOR: usize = 8;

/// Longest name of an image in bytes. A name with the digest of a build is shorter.
pub(in crate::dispatch) const NAME_MAX_BYTES: usize = 128;

/// Bytes of the digest that ends the short form of a longer name.
const DIGEST_BYTES: usize = 16;

new_key_type! {
    /// Key of an image in the model; the null key and one of a dropped image have no estimates.
    pub struct ImageKey;
}

/// Name of an image, or its beginning with a digest if it is too long.
pub(in crate::dispatch) fn short_name(name: &str) -> Option<String> {
    if name.len() <= NAME_MAX_BYTES {
        return None;
    }
    let digest = Sha256::digest(name.as_bytes());
    let hex: String = digest[..DIGEST_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let mut ends = (0..NAME_MAX_BYTES - hex.len()).rev();
    let end = ends.find(|end| name.is_char_boundary(*end)).unwrap_or(0);
    Some(format!("{}#{hex}", &name[..end]))
}

#[derive(Clone, Debug)]
struct Image {
    name: Arc<str>,
    /// Level of its tasks, if they have been observed without fillers.
    level: Option<ImageLevel>,
    /// Last use, by the number of uses before; zero if none of its tasks has run.
    used: u64,
}

/// Estimate of a pair with its last use.
#[derive(Clone, Copy, Debug)]
struct Pair {
    estimate: Estimate,
    used: u64,
}

/// Pressure of a filler's image on a standing task's.
#[derive(Clone, Copy, Debug)]
pub(super) struct PairRow<'a> {
    pub filler: &'a str,
    pub standing: &'a str,
    pub pressure: f64,
    used: u64,
}

/// Tables of images and pairs.
#[derive(Clone, Debug, Default)]
pub(super) struct Images {
    keys: HashMap<Arc<str>, ImageKey>,
    arena: SlotMap<ImageKey, Image>,
    /// Pairs, by the filler's image and then the standing task's.
    pairs: SecondaryMap<ImageKey, HashMap<ImageKey, Pair>>,
    pair_count: usize,
    /// Number of images with a level.
    level_count: u32,
    /// Number of uses so far.
    uses: u64,
}

impl Images {
    /// Key of an image of which a task waits. A new one is added while there is room.
    pub fn find(&mut self, name: &str) -> ImageKey {
        match self.keys.get(name) {
            Some(key) => *key,
            None if self.arena.len() < IMAGES_MAX => self.insert(name),
            None => ImageKey::null(),
        }
    }

    /// Key of an image of which a task runs; it is added if it is new.
    pub fn use_image(&mut self, name: &str) -> ImageKey {
        self.uses += 1;
        let key = match self.keys.get(name) {
            Some(key) => *key,
            None => {
                if self.arena.len() >= IMAGES_MAX {
                    self.drop_images();
                }
                self.insert(name)
            }
        };
        self.arena[key].used = self.uses;
        key
    }

    fn insert(&mut self, name: &str) -> ImageKey {
        let name: Arc<str> = Arc::from(name);
        let key = self.arena.insert(Image {
            name: Arc::clone(&name),
            level: None,
            used: 0,
        });
        self.keys.insert(name, key);
        key
    }

    /// Records the use of images, such as an observation of their tasks.
    pub fn touch(&mut self, keys: impl Iterator<Item = ImageKey>) {
        self.uses += 1;
        for key in keys {
            if let Some(image) = self.arena.get_mut(key) {
                image.used = self.uses;
            }
        }
    }

    /// Name of an image, empty if it is not known.
    pub fn name(&self, key: ImageKey) -> &str {
        self.arena.get(key).map_or("", |image| &image.name)
    }

    /// Level of a standing image, if its tasks have been observed without fillers.
    pub fn level(&self, key: ImageKey) -> Option<ImageLevel> {
        self.arena.get(key)?.level
    }

    /// Sets the level of a standing image.
    pub fn set_level(&mut self, key: ImageKey, level: ImageLevel) {
        if let Some(image) = self.arena.get_mut(key) {
            let was_known = image.level.replace(level).is_some();
            self.level_count += u32::from(!was_known);
        }
    }

    /// Estimate of a pair, if there is one.
    pub fn pair(&self, filler: ImageKey, standing: ImageKey) -> Option<Estimate> {
        let pair = self.pairs.get(filler)?.get(&standing)?;
        Some(pair.estimate)
    }

    /// Sets the estimate of a pair of known images, at the time of the last use of any.
    pub fn set_pair(&mut self, filler: ImageKey, standing: ImageKey, estimate: Estimate) {
        if !self.arena.contains_key(filler) || !self.arena.contains_key(standing) {
            return;
        }
        let used = self.uses;
        let Some(row) = self.pairs.entry(filler) else {
            return;
        };
        let row = row.or_default();
        if row.insert(standing, Pair { estimate, used }).is_none() {
            self.pair_count += 1;
        }
        if self.pair_count > PAIRS_MAX {
            self.drop_pairs();
        }
    }

    /// Estimates of a filler's image on the standing images with a level, and the number of these.
    pub fn row(&self, filler: ImageKey) -> (impl Iterator<Item = Estimate>, u32) {
        let row = self.pairs.get(filler).into_iter().flatten();
        let known = row.filter(|(standing, _)| self.level(**standing).is_some());
        (known.map(|(_, pair)| pair.estimate), self.level_count)
    }

    /// Up to `limit` pairs, those used last first.
    pub fn recent_pairs(&self, limit: usize) -> Vec<PairRow<'_>> {
        let rows = self.pairs.iter().flat_map(|(filler, row)| {
            let filler = self.name(filler);
            row.iter().map(move |(standing, pair)| PairRow {
                filler,
                standing: self.name(*standing),
                pressure: pair.estimate.value,
                used: pair.used,
            })
        });
        let mut rows: Vec<PairRow<'_>> = rows.collect();
        let order = |a: &PairRow<'_>, b: &PairRow<'_>| {
            let names = (a.filler, a.standing).cmp(&(b.filler, b.standing));
            b.used.cmp(&a.used).then(names)
        };
        if rows.len() > limit {
            rows.select_nth_unstable_by(limit, order);
            rows.truncate(limit);
        }
        rows.sort_unstable_by(order);
        rows
    }

    /// Drops the images that were used least recently, with their pairs.
    fn drop_images(&mut self) {
        let uses = self.arena.values().map(|image| image.used);
        let Some(limit) = oldest(uses.collect()) else {
            return;
        };
        let Self {
            keys,
            arena,
            pairs,
            pair_count,
            level_count,
            ..
        } = self;
        arena.retain(|_, image| {
            let is_kept = image.used > limit;
            if !is_kept {
                keys.remove(&image.name);
                *level_count -= u32::from(image.level.is_some());
            }
            is_kept
        });
        pairs.retain(|filler, row| {
            row.retain(|standing, _| arena.contains_key(*standing));
            arena.contains_key(filler) && !row.is_empty()
        });
        *pair_count = pairs.values().map(HashMap::len).sum();
    }

    /// Drops the pairs that were used least recently.
    fn drop_pairs(&mut self) {
        let uses = self.pairs.values().flat_map(|row| row.values());
        let Some(limit) = oldest(uses.map(|pair| pair.used).collect()) else {
            return;
        };
        self.pairs.retain(|_, row| {
            row.retain(|_, pair| pair.used > limit);
            !row.is_empty()
        });
        self.pair_count = self.pairs.values().map(HashMap::len).sum();
    }
}

/// Last use up to which entries are dropped.
fn oldest(mut uses: Vec<u64>) -> Option<u64> {
    let at = uses.len() / DROPPED_DIVISOR;
    if at >= uses.len() {
        return None;
    }
    Some(*uses.select_nth_unstable(at).1)
}
