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
    /// File of settings
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
    /// Runs the daemon until it is told to stop.
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
                Exit::Refused
            }
        }
    }
}

fn run(settings: Settings, role: Role) -> Result<(), String> {
    let threads = match role {
        Role::Gateway => settings.gateway.threads,
        Role::Scheduler => settings.scheduler.threads,
    };
    // More threads than work wake each other in vain.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(in_words)?;
    runtime.block_on(async move {
        let (stop, stopping) = watch::channel(false);
        let mut terminate = signal(SignalKind::terminate()).map_err(in_words)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(in_words)?;
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            stop.send_replace(true);
        });
        match role {
            Role::Gateway => gateway::run(settings, stopping).await.map_err(in_words),
            Role::Scheduler => scheduler::run(settings, stopping).await.map_err(in_words),
        }
    })
}

fn in_words(error: impl Display) -> String {
    error.to_string()
}
