//! Counters of the daemons' log events.

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

/// Log target of the daemons' events.
const TARGET: &str = "event";

/// Events that the daemons have logged so far.
#[derive(Debug, Default)]
pub(super) struct Events {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    counts: BTreeMap<String, u64>,
    pressure: BTreeMap<(String, String), f64>,
    file: Option<File>,
}

impl Events {
    /// Installs itself as the process's logger, unless one is already set.
    pub(super) fn install() -> &'static Self {
        static EVENTS: OnceLock<Events> = OnceLock::new();
        let events = EVENTS.get_or_init(Self::default);
        if log::set_logger(events).is_ok() {
            log::set_max_level(LevelFilter::Info);
        }
        events
    }

    /// Creates the file and also writes every following event to it.
    pub(super) fn write_to(&self, path: &Path) -> Result<(), DemoError> {
        let file = File::create(path).context(WriteSnafu { path })?;
        self.state().file = Some(file);
        Ok(())
    }

    /// Number of events by name.
    pub(super) fn counts(&self) -> BTreeMap<String, u64> {
        self.state().counts.clone()
    }

    /// Source, victim and largest slowdown of each pair of profiles, in descending order.
    pub(super) fn pressure(&self) -> Vec<(String, String, f64)> {
        let state = self.state();
        let pairs = state.pressure.iter();
        let pairs =
            pairs.map(|((source, victim), slowdown)| (source.clone(), victim.clone(), *slowdown));
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort_by(|a, b| b.2.total_cmp(&a.2));
        pairs
    }

    fn record(&self, event: &Value) {
        let text = |key: &str| event.get(key).and_then(Value::as_str).map(str::to_owned);
        let Some(name) = text("name") else {
            return;
        };
        let mut state = self.state();
        if let Some(file) = &mut state.file
            && let Err(error) = writeln!(file, r#"{{"time":{},"entry":{event}}}"#, wall_ms())
        {
            eprintln!("cannot write to the log file; events are no longer written: {error}");
            state.file = None;
        }
        if name == "pressure" {
            let pair = text("source").zip(text("victim"));
            let percent = event.get("slowdown-percent").and_then(Value::as_f64);
            let slowdown = percent.map(|percent| percent / 100.0);
            if let Some((pair, slowdown)) = pair.zip(slowdown) {
                let largest = state.pressure.entry(pair).or_insert(slowdown);
                *largest = largest.max(slowdown);
            }
        }
        *state.counts.entry(name).or_default() += 1;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
            self.record(&event);
        }
    }

    fn flush(&self) {}
}
