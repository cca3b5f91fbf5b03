//! Format of a trace: one JSON object a line, in the order of time.

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
    /// What happens.
    pub event: Event,
}

/// What happens in a trace.
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
    /// What truly slows what; hidden from the decisions.
    Truth(Truth),
    /// Requests a second of one kind over all workers, from now on.
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
    /// Tasks of a profile press `factor` times as much as usual, from now on.
    Noise {
        /// Profile of the tasks.
        profile: String,
        /// Factor.
        factor: f64,
    },
    /// A worker dies with all it runs.
    Down {
        /// Its name.
        worker: String,
    },
    /// A worker is back, empty.
    Up {
        /// Its name.
        worker: String,
    },
    /// A worker fails whatever starts on it.
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
    /// The store stops answering: nothing is accepted or cancelled.
    StoreDown,
    /// The store answers again: callers repeat what was not accepted.
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
    /// Median latency alone without load, in microseconds.
    pub alone_us: f64,
    /// Standard deviation of the logarithm of the latency.
    pub sigma: f64,
    /// Requests a second that one worker can answer.
    pub capacity: f64,
}

/// What truly slows what, and what tasks truly use.
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
    /// Part of the latency alone that one task adds at half load.
    pub slope: f64,
}

/// True usage of a task of a batch profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Work {
    /// Profile.
    pub profile: String,
    /// Thousandths of a core that a task would use.
    pub millicores: u64,
    /// Memory that a task would use, in mebibytes.
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
    /// True run time of a task with all that it would use, in milliseconds.
    pub run_ms: Millis,
}

/// A trace in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Name for reports.
    pub name: String,
    /// Entries in the order of time.
    pub entries: Vec<Entry>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// When it cannot be read or has a fault.
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
    /// When a line has a fault.
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
        let mut known = Known::default();
        let mut before = 0;
        for (at, entry) in self.entries.iter().enumerate() {
            let first = at == 0;
            let last = at + 1 == self.entries.len();
            let order = check_order(entry, before, first, last);
            let fault = order.or_else(|| known.fault(&entry.event, &declared));
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
        return Some("declare is the first line and only that".to_owned());
    }
    if last != matches!(entry.event, Event::End) {
        return Some("end is the last line and only that".to_owned());
    }
    None
}

/// Names that earlier lines brought.
#[derive(Default)]
struct Known {
    zones: HashSet<String>,
    workers: HashSet<String>,
    jobs: HashSet<String>,
}

impl Known {
    fn fault(&mut self, event: &Event, declared: &Declarations) -> Option<String> {
        let profile = |name: &str, class: Class| match declared.profiles.get(name) {
            Some(profile) if profile.class == class => None,
            Some(_) => Some(format!("profile {name:?} is of the other class")),
            None => Some(format!("profile {name:?} is not declared")),
        };
        let positive = |name: &str, amount: f64| {
            let fine = amount.is_finite() && amount >= 0.0;
            (!fine).then(|| format!("{name} is {amount}, allowed are 0.0 and above"))
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
            Event::Kind(kind) => profile(&kind.profile, Class::LatencyCritical)
                .or_else(|| positive("alone-us", kind.alone_us))
                .or_else(|| positive("sigma", kind.sigma))
                .or_else(|| positive("capacity", kind.capacity)),
            Event::Truth(truth) => truth
                .pairs
                .iter()
                .find_map(|pair| positive("slope", pair.slope)),
            Event::Load {
                profile: name,
                rate,
            } => profile(name, Class::LatencyCritical).or_else(|| positive("rate", *rate)),
            Event::Submit(submit) => {
                if !self.jobs.insert(submit.job.clone()) {
                    return Some(format!("job {:?} was submitted before", submit.job));
                }
                profile(&submit.profile, Class::Batch)
            }
            Event::Cancel { job } => unknown(&self.jobs, "job", job),
            Event::Noise {
                profile: name,
                factor,
            } => profile(name, Class::Batch).or_else(|| positive("factor", *factor)),
            Event::Down { worker }
            | Event::Up { worker }
            | Event::Bad { worker }
            | Event::Good { worker } => unknown(&self.workers, "worker", worker),
            Event::ZoneOut { zone } | Event::ZoneIn { zone } => unknown(&self.zones, "zone", zone),
            Event::StoreDown | Event::StoreUp | Event::End => None,
        }
    }
}

fn unknown(known: &HashSet<String>, what: &str, name: &str) -> Option<String> {
    (!known.contains(name)).then(|| format!("{what} {name:?} is not known"))
}
