//! Log events of the daemons, counted as they come.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Value;
use snafu::ResultExt;

use super::error::{DemoError, WriteSnafu};
use super::operator::wall_ms;

/// Target of the daemons' events.
const TARGET: &str = "event";

/// What the daemons logged so far.
#[derive(Debug, Default)]
pub(super) struct Events {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    counts: BTreeMap<String, u64>,
    pressure: BTreeMap<(String, String), f64>,
    file: Option<File>,
}

impl Events {
    /// Takes the place of the process's logger; one that is set already stays.
    pub(super) fn install() -> &'static Self {
        static EVENTS: OnceLock<Events> = OnceLock::new();
        let events = EVENTS.get_or_init(Self::default);
        if log::set_logger(events).is_ok() {
            log::set_max_level(LevelFilter::Info);
        }
        events
    }

    /// Appends every event to a new file as well.
    pub(super) fn write_to(&self, path: &Path) -> Result<(), DemoError> {
        let file = File::create(path).context(WriteSnafu { path })?;
        self.seen().file = Some(file);
        Ok(())
    }

    /// Number of events by name.
    pub(super) fn counts(&self) -> BTreeMap<String, u64> {
        self.seen().counts.clone()
    }

    /// Largest slowdown of one profile by another, the strongest first.
    pub(super) fn pressure(&self) -> Vec<(String, String, f64)> {
        let seen = self.seen();
        let pairs = seen.pressure.iter();
        let pairs =
            pairs.map(|((source, victim), slowdown)| (source.clone(), victim.clone(), *slowdown));
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort_by(|one, other| other.2.total_cmp(&one.2));
        pairs
    }

    fn note(&self, event: &Value) {
        let text = |key: &str| event.get(key).and_then(Value::as_str).map(str::to_owned);
        let Some(name) = text("name") else {
            return;
        };
        let mut seen = self.seen();
        if let Some(file) = &mut seen.file
            && let Err(error) = writeln!(file, r#"{{"time":{},"entry":{event}}}"#, wall_ms())
        {
            eprintln!("the log cannot be written: {error}");
            seen.file = None;
        }
        if name == "pressure" {
            let pair = text("source").zip(text("victim"));
            let percent = event.get("slowdown-percent").and_then(Value::as_f64);
            let slowdown = percent.map(|percent| percent / 100.0);
            if let Some((pair, slowdown)) = pair.zip(slowdown) {
                let largest = seen.pressure.entry(pair).or_insert(slowdown);
                *largest = largest.max(slowdown);
            }
        }
        *seen.counts.entry(name).or_default() += 1;
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Log for Events {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == TARGET
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if let Ok(event) = serde_json::from_str(&record.args().to_string()) {
            self.note(&event);
        }
    }

    fn flush(&self) {}
}
