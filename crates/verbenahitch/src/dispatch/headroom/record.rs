//! Learned pressures as the store keeps them for the next owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::images::PairRow;

/// Bytes of a row: two indexes of images, and a pressure with two decimals.
const ROW_BYTES: usize = "[16383,16383,30.00],".len();

/// Bytes of an empty record.
const EMPTY_BYTES: usize = r#"{"images":[],"rows":[]}"#.len();

/// Learned pressure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pressure(
    /// Image of the filler.
    pub String,
    /// Image of the standing task.
    pub String,
    /// Headroom that the filler would take if it used a whole worker.
    pub f64,
);

/// Record in the store of learned pressures. It names each image once, since names are long.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredPressures")]
pub struct PressureRecord {
    images: Vec<String>,
    /// Indexes of the filler's and the standing image, and the pressure.
    rows: Vec<(usize, usize, f64)>,
}

/// Forms of [`PressureRecord`] that the store may hold.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredPressures {
    Record {
        images: Vec<String>,
        rows: Vec<(usize, usize, f64)>,
    },
    /// Written by versions that name the images in each row.
    Rows(Vec<Pressure>),
}

impl From<StoredPressures> for PressureRecord {
    fn from(stored: StoredPressures) -> Self {
        match stored {
            StoredPressures::Record { images, rows } => Self { images, rows },
            StoredPressures::Rows(rows) => rows.into(),
        }
    }
}

impl From<Vec<Pressure>> for PressureRecord {
    fn from(rows: Vec<Pressure>) -> Self {
        let rows = rows.iter();
        Self::of(rows.map(|row| (row.0.as_str(), row.1.as_str(), row.2)))
    }
}

impl PressureRecord {
    /// Record of the first pairs that fit into `max_bytes`.
    pub(super) fn new(pairs: &[PairRow<'_>], max_bytes: usize) -> Self {
        let mut bytes = EMPTY_BYTES;
        let mut names: BTreeMap<&str, ()> = BTreeMap::new();
        let mut count = 0;
        for pair in pairs {
            bytes += ROW_BYTES;
            for name in [pair.filler, pair.standing] {
                if names.insert(name, ()).is_none() {
                    bytes += encoded_bytes(name);
                }
            }
            if bytes > max_bytes {
                break;
            }
            count += 1;
        }
        let kept = pairs.iter().take(count);
        Self::of(kept.map(|pair| {
            let rounded = (pair.pressure * 100.0).round() / 100.0;
            (pair.filler, pair.standing, rounded)
        }))
    }

    /// Record of these rows, in the order of the names, so that equal pressures give equal records.
    fn of<'a>(rows: impl Iterator<Item = (&'a str, &'a str, f64)> + Clone) -> Self {
        let mut indexes: BTreeMap<&str, usize> = BTreeMap::new();
        for (filler, standing, _) in rows.clone() {
            indexes.insert(filler, 0);
            indexes.insert(standing, 0);
        }
        for (at, index) in indexes.values_mut().enumerate() {
            *index = at;
        }
        let mut indexed: Vec<(usize, usize, f64)> = rows
            .map(|(filler, standing, value)| (indexes[filler], indexes[standing], value))
            .collect();
        indexed.sort_unstable_by_key(|row| (row.0, row.1));
        Self {
            images: indexes.into_keys().map(str::to_owned).collect(),
            rows: indexed,
        }
    }

    /// Pressures in the record.
    pub fn pressures(&self) -> impl Iterator<Item = (&str, &str, f64)> {
        let name = |index: usize| self.images.get(index).map(String::as_str);
        self.rows
            .iter()
            .filter_map(move |(filler, standing, value)| {
                Some((name(*filler)?, name(*standing)?, *value))
            })
    }
}

/// Bytes of a name in a list in JSON.
fn encoded_bytes(name: &str) -> usize {
    let escaped: usize = name
        .chars()
        .map(|each| match each {
            '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
            '\u{0}'..'\u{20}' => 6,
            _ => each.len_utf8(),
        })
        .sum();
    escaped + r#""","#.len()
}
