//! Trace format: one JSON object per line, in order of time.

use std::path::Path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{InvalidSnafu, ParseSnafu, ReadSnafu, ReplayError};
use crate::collections::HashSet;
use crate::config::Declarations;
use crate::domain::{Class, Millis, Resources};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// Time since the start in milliseconds.
    pub at_ms: Millis,
    /// Event at that time.
    pub event: Event,
}

/// Event in a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// Operators' declarations; the first line.
    Declare(Declarations),
    /// Workers of one zone, named `<zone>-<number>` from zero.
    Workers {
        /// Availability zone.
        zone: String,
        /// Number of workers.
        count: usize,
        /// Workers in a rack.
        per_rack: usize,
        /// Size of each.
        capacity: Resources,
    },
    /// A kind of request that every worker's upstream answers.
    Kind(Kind),
    /// True interference and usage, which the decisions cannot read.
    Truth(Truth),
    /// Request rate of one kind over all workers, from this entry on.
    Load {
        /// Profile of the requests.
        profile: String,
        /// Requests a second.
        rate: f64,
    },
    /// A job arrives.
    Submit(Submit),
    /// A job is cancelled.
    Cancel {
        /// Its name.
        job: String,
    },
    /// Multiplies the interference that tasks of a profile cause, from this entry on.
    Noise {
        /// Profile of the tasks.
        profile: String,
        /// Factor relative to the true interference; 1.0 is no noise.
        factor: f64,
    },
    /// A worker fails, and all its runs end.
    Down {
        /// Its name.
        worker: String,
    },
    /// A failed worker is back, without any runs.
    Up {
        /// Its name.
        worker: String,
    },
    /// Every run on a worker fails, from this entry on.
    Bad {
        /// Its name.
        worker: String,
    },
    /// A bad worker is repaired.
    Good {
        /// Its name.
        worker: String,
    },
    /// An availability zone is taken out of service.
    ZoneOut {
        /// Its name.
        zone: String,
    },
    /// An availability zone is brought back.
    ZoneIn {
        /// Its name.
        zone: String,
    },
    /// The store stops answering: jobs are neither accepted nor cancelled.
    StoreDown,
    /// The store answers again, and callers repeat their deferred requests.
    StoreUp,
    /// The trace ends; the last line.
    End,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Kind {
    /// Profile of the requests; its resources are the upstream's on each worker.
    pub profile: String,
    /// Median baseline latency without load, in microseconds.
    pub alone_us: f64,
    /// Standard deviation of the logarithm of the latency.
    pub sigma: f64,
    /// Requests a second that one worker can answer.
    pub capacity: f64,
}

/// True interference between profiles and true usage of tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Truth {
    /// Slowdown by pair; a pair that is not named does not interfere.
    pub pairs: Vec<Pair>,
    /// True usage of the batch profiles.
    pub works: Vec<Work>,
}

/// True slowdown of a pair of profiles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pair {
    /// Profile that is slowed.
    pub victim: String,
    /// Profile that slows it.
    pub source: String,
    /// Fraction of the baseline latency that one task adds at half load.
    pub slope: f64,
}

/// True usage of a task of a batch profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Work {
    /// Profile.
    pub profile: String,
    /// Thousandths of a core that a task uses if it gets them.
    pub millicores: u64,
    /// Memory that a task uses if it gets it, in mebibytes.
    pub memory_mib: u64,
}

/// A job that arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Submit {
    /// Name of the job.
    pub job: String,
    /// Profile of its tasks.
    pub profile: String,
    /// Number of tasks.
    pub tasks: u32,
    /// True run time of a task that gets all that it can use, in milliseconds.
    pub run_ms: Millis,
}

/// A trace in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Name for reports.
    pub name: String,
    /// Entries in order of time.
    pub entries: Vec<Entry>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// When it cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, ReplayError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let name = path
            .file_stem()
            .map_or("trace".into(), |name| name.to_string_lossy());
        Self::parse(&name, &text)
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// When a line is invalid.
    pub fn parse(name: &str, text: &str) -> Result<Self, ReplayError> {
        let mut entries = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let entry = serde_json::from_str(line).context(ParseSnafu { line: at + 1 })?;
            entries.push(entry);
        }
        let trace = Self {
            name: name.to_owned(),
            entries,
        };
        trace.check()?;
        Ok(trace)
    }

    /// The trace as text.
    pub fn to_text(&self) -> String {
        let lines = self.entries.iter().map(|entry| {
            let line = serde_json::to_string(entry).expect("entries have a JSON form");
            line + "\n"
        });
        lines.collect()
    }

    /// Declarations at the start.
    pub fn declarations(&self) -> Declarations {
        match self.entries.first().map(|entry| &entry.event) {
            Some(Event::Declare(declared)) => declared.clone(),
            _ => Declarations::default(),
        }
    }

    fn check(&self) -> Result<(), ReplayError> {
        let declared = self.declarations();
        let mut seen = SeenNames::default();
        let mut before = 0;
        for (at, entry) in self.entries.iter().enumerate() {
            let first = at == 0;
            let last = at + 1 == self.entries.len();
            let order = check_order(entry, before, first, last);
            let fault = order.or_else(|| seen.fault(&entry.event, &declared));
            if let Some(reason) = fault {
                return InvalidSnafu {
                    line: at + 1,
                    reason,
                }
                .fail();
            }
            before = entry.at_ms;
        }
        if self.entries.is_empty() {
            let reason = "a trace starts with declare";
            return InvalidSnafu {
                line: 1_usize,
                reason,
            }
            .fail();
        }
        Ok(())
    }
}

fn check_order(entry: &Entry, before: Millis, first: bool, last: bool) -> Option<String> {
    if entry.at_ms < before {
        return Some(format!("at-ms {} is before {before}", entry.at_ms));
    }
    if first != matches!(entry.event, Event::Declare(_)) {
        return Some("declare is the first line and must not occur again".to_owned());
    }
    if last != matches!(entry.event, Event::End) {
        return Some("end is the last line and must not occur before".to_owned());
    }
    None
}

/// Names that earlier lines have defined.
#[derive(Default)]
struct SeenNames {
    zones: HashSet<String>,
    workers: HashSet<String>,
    jobs: HashSet<String>,
}

impl SeenNames {
    fn fault(&mut self, event: &Event, declared: &Declarations) -> Option<String> {
        let check_profile = |name: &str, class: Class| match declared.profiles.get(name) {
            Some(profile) if profile.class == class => None,
            Some(_) => Some(format!(
                "profile {name:?}: requests need class latency-critical, jobs need batch"
            )),
            None => Some(format!("profile {name:?} is not declared")),
        };
        let negative = |name: &str, amount: f64| {
            let valid = amount.is_finite() && amount >= 0.0;
            (!valid).then(|| format!("{name} is {amount}, allowed are 0.0 and above"))
        };
        match event {
            Event::Declare(declared) => declared
                .faults()
                .first()
                .map(|fault| format!("{}: {}", fault.path, fault.reason)),
            Event::Workers {
                zone,
                count,
                per_rack,
                ..
            } => {
                self.zones.insert(zone.clone());
                self.workers
                    .extend((0..*count).map(|at| format!("{zone}-{at}")));
                (*per_rack == 0).then(|| "per-rack is 0, allowed are 1 and above".to_owned())
            }
            Event::Kind(kind) => check_profile(&kind.profile, Class::LatencyCritical)
                .or_else(|| negative("alone-us", kind.alone_us))
                .or_else(|| negative("sigma", kind.sigma))
                .or_else(|| negative("capacity", kind.capacity)),
            Event::Truth(truth) => truth
                .pairs
                .iter()
                .find_map(|pair| negative("slope", pair.slope)),
            Event::Load {
                profile: name,
                rate,
            } => check_profile(name, Class::LatencyCritical).or_else(|| negative("rate", *rate)),
            Event::Submit(submit) => {
                if !self.jobs.insert(submit.job.clone()) {
                    return Some(format!("job {:?} was submitted before", submit.job));
                }
                check_profile(&submit.profile, Class::Batch)
            }
            Event::Cancel { job } => unknown(&self.jobs, "job", job),
            Event::Noise {
                profile: name,
                factor,
            } => check_profile(name, Class::Batch).or_else(|| negative("factor", *factor)),
            Event::Down { worker }
            | Event::Up { worker }
            | Event::Bad { worker }
            | Event::Good { worker } => unknown(&self.workers, "worker", worker),
            Event::ZoneOut { zone } | Event::ZoneIn { zone } => unknown(&self.zones, "zone", zone),
            Event::StoreDown | Event::StoreUp | Event::End => None,
        }
    }
}

fn unknown(names: &HashSet<String>, what: &str, name: &str) -> Option<String> {
    (!names.contains(name)).then(|| format!("{what} {name:?} is not known"))
}
