//! Fixture that describes the workers of a deployment.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use verbenahitch::domain::Resources;

use crate::worker::{Pressure, ServiceTime, Settings};

/// Identical workers, spread evenly over availability zones and racks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pool {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Total number of workers in all availability zones.
    pub workers: usize,
    /// Number of workers in a rack.
    pub rack_size: usize,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Requests that each upstream serves at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum factor between the declared and the actual run time.
    #[serde(default = "default_spread")]
    pub run_spread: f64,
    /// Service times by the first segment of the request path.
    #[serde(default)]
    pub service: BTreeMap<String, ServiceTime>,
    /// Profiles by the first segment of the request path.
    #[serde(default)]
    pub profiles: BTreeMap<String, String>,
    /// Interference that runs cause to requests and other runs.
    #[serde(default)]
    pub pressure: Pressure,
}

/// Why a fixture cannot be loaded.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not a valid fixture.
    #[snafu(display("{}: {reason}", path.display()))]
    Invalid {
        /// File.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

fn default_slots() -> u32 {
    8
}

fn default_spread() -> f64 {
    1.0
}

impl Pool {
    /// Reads a pool from a file of JSON with comments.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or does not describe a pool.
    pub fn load(path: &Path) -> Result<Self, PoolError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        parse_fixture(path, &text)
    }

    /// Settings of every worker; `seed` seeds their random draws.
    pub fn settings(&self, seed: u64) -> Vec<Settings> {
        let zones = self.zones.len().max(1);
        let worker = |number: usize| {
            let zone = self.zones.get(number % zones).cloned().unwrap_or_default();
            self.worker_settings(&zone, number / zones, seed)
        };
        (0..self.workers).map(worker).collect()
    }

    fn worker_settings(&self, zone: &str, number: usize, seed: u64) -> Settings {
        let rack = number / self.rack_size.max(1);
        let name = format!("{zone}-w{number:02}");
        Settings {
            seed: seed ^ hash(&name),
            name,
            zone: zone.to_owned(),
            rack: format!("{zone}-r{rack}"),
            capacity: self.capacity,
            slots: self.slots,
            run_spread: self.run_spread,
            service: self.service.clone(),
            profiles: self.profiles.clone(),
            pressure: self.pressure.clone(),
            ..Settings::default()
        }
    }
}

/// Parses a fixture of JSON with comments; an error names `path` as its source.
///
/// # Errors
///
/// When the text is not a valid fixture of type `T`.
pub fn parse_fixture<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, PoolError> {
    parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| PoolError::Invalid {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn hash(name: &str) -> u64 {
    use std::hash::Hasher as _;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
