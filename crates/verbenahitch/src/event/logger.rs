//! Structured logging with `fern`: one JSON object per line.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::queue::{self, LogGuard};

/// Lowest level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Nothing.
    Off,
    /// Errors.
    Error,
    /// Also conditions that an operator should check.
    Warn,
    /// Also every decision.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Why the log could not be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The file cannot be opened.
    #[snafu(display("cannot open log file {}: {source}", path.display()))]
    Open {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The thread that writes the log cannot be started.
    #[snafu(display("cannot start the log thread: {source}"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
    /// The process has a logger already.
    #[snafu(display("a logger is already installed"))]
    AlreadyInstalled {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Writes log lines at `level` and above to `file`, or to standard error.
///
/// # Errors
///
/// When the file cannot be opened, or a logger is already installed.
pub fn start_logging(process: &str, level: Level, file: Option<&Path>) -> Result<(), LogError> {
    let dispatch = json_dispatch(process, level);
    let dispatch = match file {
        Some(path) => dispatch.chain(fern::log_file(path).context(OpenSnafu { path })?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context(AlreadyInstalledSnafu)
}

/// Writes log lines at `level` and above, of this crate and of `module`, to standard
/// output without blocking on a slow reader; dropping the guard writes the queued
/// lines.
///
/// # Errors
///
/// When the log thread cannot be started, or a logger is already installed.
pub fn start_queued_logging(
    process: &str,
    level: Level,
    module: &'static str,
) -> Result<LogGuard, LogError> {
    let (writer, guard) = queue::start(std::io::stdout()).context(ThreadSnafu)?;
    let writer: Box<dyn std::io::Write + Send> = Box::new(writer);
    let dispatch = json_dispatch(process, level)
        .level_for(module, level.into())
        .chain(fern::Output::writer(writer, "\n"));
    dispatch.apply().context(AlreadyInstalledSnafu)?;
    Ok(guard)
}

/// Formats each record as one JSON object per line.
fn json_dispatch(process: &str, level: Level) -> fern::Dispatch {
    let process = serde_json::Value::from(process).to_string();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        // Rocket logs a warning for each answer that a handler builds itself.
        .level_for("rocket", log::LevelFilter::Error)
        .level_for("event", level.into())
        .level_for("verbenahitch", level.into())
        .format(move |out, message, record| {
            let time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis());
            let level = record.level();
            if record.target() == "event" {
                out.finish(format_args!(
                    r#"{{"time":{time},"level":"{level}","process":{process},"entry":{message}}}"#
                ));
            } else {
                let text = serde_json::Value::from(message.to_string());
                out.finish(format_args!(
                    r#"{{"time":{time},"level":"{level}","process":{process},"text":{text}}}"#
                ));
            }
        })
}
