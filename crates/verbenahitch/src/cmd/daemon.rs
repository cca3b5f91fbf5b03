//! `verbenahitch gateway` and `verbenahitch scheduler`: the daemons.

use std::fmt::Display;
use std::path::PathBuf;

use bpaf::Bpaf;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use verbenahitch::event::start_logging;
use verbenahitch::settings::{self, Settings};
use verbenahitch::{gateway, scheduler};

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Settings file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Which daemon to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The gateway.
    Gateway,
    /// The scheduler.
    Scheduler,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
        }
    }
}

impl Args {
    /// Runs the daemon until SIGTERM or SIGINT.
    pub fn execute(self, role: Role) -> Exit {
        let settings = match settings::load(&self.file) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{error}");
                return Exit::Usage;
            }
        };
        let process = format!("{}/{}", settings.name, role.name());
        let log = &settings.log;
        if let Err(error) = start_logging(&process, log.level, log.file.as_deref()) {
            eprintln!("error: {error}");
            return Exit::Usage;
        }
        match run(settings, role) {
            Ok(()) => Exit::Success,
            Err(error) => {
                eprintln!("error: {error}");
                Exit::Failed
            }
        }
    }
}

fn run(settings: Settings, role: Role) -> Result<(), String> {
    let threads = match role {
        Role::Gateway => settings.gateway.threads,
        Role::Scheduler => settings.scheduler.threads,
    };
    // Threads beyond what the load needs only cost wake-ups.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(error_text)?;
    runtime.block_on(async move {
        let (stop, stopping) = watch::channel(false);
        let mut terminate = signal(SignalKind::terminate()).map_err(error_text)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(error_text)?;
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            stop.send_replace(true);
        });
        match role {
            Role::Gateway => gateway::run(settings, stopping).await.map_err(error_text),
            Role::Scheduler => scheduler::run(settings, stopping).await.map_err(error_text),
        }
    })
}

fn error_text(error: impl Display) -> String {
    error.to_string()
}
