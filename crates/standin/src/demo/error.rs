//! Errors of the demo.

use std::path::PathBuf;

use snafu::Snafu;
use verbenahitch::client::ClientError;
use verbenahitch::gateway::GatewayError;
use verbenahitch::scheduler::DaemonError;
use verbenahitch::settings::SettingsError;

use crate::platform::{PlatformError, PoolError};

/// Error that ends a demo without a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DemoError {
    /// A token file or the log file cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The deployment's declarations, or the settings of an entry host, are invalid.
    #[snafu(display("{source}"))]
    Declarations {
        /// Cause.
        source: SettingsError,
    },
    /// A fixture is invalid.
    #[snafu(display("{source}"))]
    Fixture {
        /// Cause.
        source: PoolError,
    },
    /// The stand-ins did not start.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// A gateway did not start.
    #[snafu(display("gateway: {source}"))]
    Gateway {
        /// Cause.
        source: GatewayError,
    },
    /// A scheduler did not start.
    #[snafu(display("scheduler: {source}"))]
    Scheduler {
        /// Cause.
        source: DaemonError,
    },
    /// The operators' interface refused a call or did not answer.
    #[snafu(display("operators' interface: {source}"))]
    Operator {
        /// Cause.
        source: ClientError,
    },
    /// A condition was not met before the deadline.
    #[snafu(display("timed out waiting until {what}"))]
    Timeout {
        /// Condition.
        what: String,
    },
}
