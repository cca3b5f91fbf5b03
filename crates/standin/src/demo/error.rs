//! Why a demo could not run.

use std::path::PathBuf;

use snafu::Snafu;
use verbenahitch::client::ClientError;
use verbenahitch::gateway::GatewayError;
use verbenahitch::scheduler::DaemonError;
use verbenahitch::settings::SettingsError;

use crate::platform::{PlatformError, PoolError};

/// Why a demo could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DemoError {
    /// A token or the log cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The example's declarations have faults.
    #[snafu(display("{source}"))]
    Declarations {
        /// Cause.
        source: SettingsError,
    },
    /// A fixture has a fault.
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
    /// The operators' interface refused a call or gave no answer.
    #[snafu(display("operators' interface: {source}"))]
    Operator {
        /// Cause.
        source: ClientError,
    },
    /// Something did not happen in time.
    #[snafu(display("not in time: {what}"))]
    Late {
        /// What was waited for.
        what: String,
    },
}
