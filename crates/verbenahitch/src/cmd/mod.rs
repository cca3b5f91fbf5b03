//! Subcommands, one per file: arguments and execution.

mod apply;
mod cancel;
mod check;
mod daemon;
mod diff;
mod digest;
mod explain;
mod job;
mod remote;
mod replay;
mod shard;
mod status;
mod submit;
mod trace;
mod zone;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Exit status of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The subcommand succeeded.
    Success,
    /// The system refused the call, or the subcommand failed.
    Failed,
    /// The arguments or a file are invalid.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Failed => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}

/// Schedules latency-critical and batch work on shared hosts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Check settings or declarations without starting anything
    #[bpaf(command)]
    Check(#[bpaf(external(check::args))] check::Args),
    /// Apply declarations on top of the revision they were made from
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::args))] apply::Args),
    /// Show how a declarations file differs from the declarations in force
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::args))] diff::Args),
    /// Take an availability zone out of service or bring it back
    #[bpaf(command)]
    Zone(#[bpaf(external(zone::args))] zone::Args),
    /// Show processes, shards and workers
    #[bpaf(command)]
    Status(#[bpaf(external(status::args))] status::Args),
    /// Show the workers of a shard and the interference between profiles
    #[bpaf(command)]
    Shard(#[bpaf(external(shard::args))] shard::Args),
    /// Explain why a task runs on its worker, or why it waits
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::args))] explain::Args),
    /// Submit a job; repeating it under the same key is safe
    #[bpaf(command)]
    Submit(#[bpaf(external(submit::args))] submit::Args),
    /// Show the state of a job
    #[bpaf(command)]
    Job(#[bpaf(external(job::args))] job::Args),
    /// Cancel a job
    #[bpaf(command)]
    Cancel(#[bpaf(external(cancel::args))] cancel::Args),
    /// Print the digest of a team's token, for the declarations
    #[bpaf(command)]
    Digest(#[bpaf(external(digest::args))] digest::Args),
    /// Replay a recorded trace with the scheduling decisions and with baseline policies
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::args))] replay::Args),
    /// Follow a job or task through the logs of several processes
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::args))] trace::Args),
    /// Run the gateway daemon
    #[bpaf(command)]
    Gateway(#[bpaf(external(daemon::args))] daemon::Args),
    /// Run the scheduler daemon
    #[bpaf(command)]
    Scheduler(#[bpaf(external(daemon::args))] daemon::Args),
}

impl Command {
    /// Runs the subcommand.
    pub fn execute(self) -> Exit {
        match self {
            Self::Check(args) => args.execute(),
            Self::Apply(args) => args.execute(),
            Self::Diff(args) => args.execute(),
            Self::Zone(args) => args.execute(),
            Self::Status(args) => args.execute(),
            Self::Shard(args) => args.execute(),
            Self::Explain(args) => args.execute(),
            Self::Submit(args) => args.execute(),
            Self::Job(args) => args.execute(),
            Self::Cancel(args) => args.execute(),
            Self::Digest(args) => args.execute(),
            Self::Replay(args) => args.execute(),
            Self::Trace(args) => args.execute(),
            Self::Gateway(args) => args.execute(daemon::Role::Gateway),
            Self::Scheduler(args) => args.execute(daemon::Role::Scheduler),
        }
    }
}
