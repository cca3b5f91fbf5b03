//! Event loop of one shard: passes inputs to its decision logic and executes the actions.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::commit::Writer;
use crate::adapter::WorkerClient;
use crate::collections::HashMap;
use crate::domain::Monotonic;
use crate::event::{Entry, Kind};
use crate::port::{Clock, SyncError, SyncRequest};
use crate::scheduler::{Action, Answer, Batch, Input, Request, Shard, ShardStatus, SubmitError};

/// Maximum wait for a message before a tick, in milliseconds.
const MAX_PAUSE_MS: u64 = 100;

/// Longest time between the decision on a sync and its sending, in milliseconds.
///
/// A worker that has restarted in between cannot recognise an older call as outdated and would
/// accept it.
const MAX_SEND_DELAY_MS: u64 = 500;

/// Least time between two publications of the status, in milliseconds.
const PUBLISH_MS: u64 = 200;

/// Longest time that a release waits for the store and the workers, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 3_000;

/// Retry delay for callers of a shard that this process does not own, for example while the
/// shard changes owner, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Message to the driver of a shard.
pub(super) enum Message {
    /// Input of the decision logic.
    Input(Input),
    /// A request and the channel for its answer.
    Ask(Request, oneshot::Sender<Answer>),
    /// A job that was handed over and is in the inbox.
    HandedOver(Box<crate::domain::JobRecord>),
    /// Release the shard: complete the calls in progress, then exit.
    Release,
}

/// Why a driver exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exit {
    /// It was told to release the shard and has no calls in progress.
    Released {
        /// Whether all leases of earlier owners have lapsed or are known.
        recovered: bool,
    },
    /// Another process owns the shard.
    Superseded,
}

/// Command to the task that runs a shard's commits, executed in order.
enum WriterCommand {
    Batch(Batch),
    /// The job's record is in the inbox; its first write deletes it there.
    ExpectInInbox(crate::domain::JobId),
}

/// Event loop of one shard.
pub(super) struct ShardDriver {
    shard: Shard,
    clock: Arc<dyn Clock>,
    workers: WorkerClient,
    messages: mpsc::UnboundedReceiver<Message>,
    sender: mpsc::UnboundedSender<Message>,
    commits: mpsc::UnboundedSender<WriterCommand>,
    commit_task: JoinHandle<()>,
    replies: HashMap<u64, oneshot::Sender<Answer>>,
    last_request: u64,
    syncs: tokio::task::JoinSet<()>,
    status: tokio::sync::watch::Sender<ShardStatus>,
    publish_due: Monotonic,
}

impl ShardDriver {
    /// Creates the driver of `shard`, whose commits go through `writer`.
    pub(super) fn new(
        shard: Shard,
        clock: Arc<dyn Clock>,
        workers: WorkerClient,
        writer: Writer,
        channel: (
            mpsc::UnboundedSender<Message>,
            mpsc::UnboundedReceiver<Message>,
        ),
        status: tokio::sync::watch::Sender<ShardStatus>,
    ) -> Self {
        let (sender, messages) = channel;
        let (commits, queued) = mpsc::unbounded_channel();
        Self {
            shard,
            clock,
            workers,
            messages,
            commit_task: tokio::spawn(run_commits(writer, queued, sender.clone())),
            sender,
            commits,
            replies: HashMap::default(),
            last_request: 0,
            syncs: tokio::task::JoinSet::new(),
            status,
            publish_due: Monotonic::default(),
        }
    }

    /// Runs until the shard is released or lost.
    pub(super) async fn run(mut self) -> Exit {
        let mut releasing = None;
        loop {
            let wake = self.shard.next_wake(self.clock.now());
            let pause = wake.since(self.clock.now()).clamp(1, MAX_PAUSE_MS);
            let message = tokio::select! {
                message = self.messages.recv() => message,
                () = tokio::time::sleep(Duration::from_millis(pause)) => {
                    Some(Message::Input(Input::Tick))
                }
            };
            let exit = match message {
                Some(Message::Input(Input::Lost)) => Some(Exit::Superseded),
                Some(Message::Input(input)) => self.step(input),
                Some(Message::Ask(request, reply)) => self.ask(request, reply),
                Some(Message::HandedOver(record)) => self.adopt(*record),
                Some(Message::Release) | None => {
                    releasing = Some(self.clock.now());
                    self.step(Input::Release)
                }
            };
            if let Some(exit) = exit {
                return self.finish(exit).await;
            }
            if let Some(since) = releasing {
                let timed_out = self.clock.now().since(since) > RELEASE_TIMEOUT_MS;
                if self.shard.is_released() || timed_out {
                    let recovered = self.shard.is_released() && self.shard.is_recovered();
                    return self.finish(Exit::Released { recovered }).await;
                }
            }
            self.publish();
        }
    }

    /// Publishes the shard's status, at limited frequency because the cost grows with the shard.
    fn publish(&mut self) {
        let now = self.clock.now();
        if now >= self.publish_due {
            self.publish_due = now + PUBLISH_MS;
            self.status.send_replace(self.shard.status());
        }
    }

    fn ask(&mut self, body: Request, reply: oneshot::Sender<Answer>) -> Option<Exit> {
        self.last_request += 1;
        self.replies.insert(self.last_request, reply);
        self.step(Input::Requested {
            request: self.last_request,
            body,
            wall_ms: self.clock.wall_ms(),
        })
    }

    fn adopt(&mut self, record: crate::domain::JobRecord) -> Option<Exit> {
        self.commits
            .send(WriterCommand::ExpectInInbox(record.id.clone()))
            .ok();
        self.last_request += 1;
        self.step(Input::Requested {
            request: self.last_request,
            body: Request::Adopt(Box::new(record)),
            wall_ms: self.clock.wall_ms(),
        })
    }

    fn step(&mut self, input: Input) -> Option<Exit> {
        let mut exit = None;
        for action in self.shard.step(input, self.clock.now()) {
            match action {
                Action::Sync {
                    worker,
                    address,
                    request,
                } => self.sync(worker, address, request),
                Action::Commit(batch) => {
                    self.commits.send(WriterCommand::Batch(batch)).ok();
                }
                Action::Answer { request, body } => {
                    if let Some(reply) = self.replies.remove(&request) {
                        reply.send(body).ok();
                    }
                }
                Action::Log(entry) => entry.emit(),
                Action::Superseded => exit = Some(Exit::Superseded),
            }
        }
        exit
    }

    fn sync(&mut self, worker: String, address: String, request: SyncRequest) {
        let workers = self.workers.clone();
        let sender = self.sender.clone();
        let clock = Arc::clone(&self.clock);
        let decided_at = clock.now();
        while self.syncs.try_join_next().is_some() {}
        self.syncs.spawn(async move {
            let seq = request.seq;
            let answer = if clock.now().since(decided_at) > MAX_SEND_DELAY_MS {
                let reason = "the process was paused between the decision and the call".to_owned();
                Err(SyncError::Unreachable { reason })
            } else {
                workers.sync(&address, &request).await
            };
            let outcome = if answer.is_ok() { "answered" } else { "failed" };
            counter!("verbenahitch_syncs_total", "outcome" => outcome).increment(1);
            let input = match answer {
                Ok(reply) => Input::Synced { worker, seq, reply },
                Err(error) => Input::SyncFailed { worker, seq, error },
            };
            sender.send(Message::Input(input)).ok();
        });
    }

    /// Waits for all calls in progress, so that no call of this owner takes effect after the exit.
    async fn finish(mut self, exit: Exit) -> Exit {
        let now = self.clock.now();
        for action in self.shard.step(Input::Lost, now) {
            if let (Action::Log(entry), Exit::Superseded) = (action, exit) {
                entry.emit();
            }
        }
        while self.syncs.join_next().await.is_some() {}
        drop(self.commits);
        self.commit_task.await.ok();
        for (_, reply) in self.replies.drain() {
            let reason = "the shard changes hands".to_owned();
            let unclear = SubmitError::Unclear { reason };
            reply.send(Answer::Refused(unclear)).ok();
        }
        exit
    }
}

/// Answer for a shard that this process does not own.
pub(super) fn not_owner(shard: &str) -> Answer {
    Answer::Refused(SubmitError::Unavailable {
        reason: format!("this process does not own shard {shard}"),
        retry_ms: RETRY_MS,
    })
}

async fn run_commits(
    mut writer: Writer,
    mut commits: mpsc::UnboundedReceiver<WriterCommand>,
    sender: mpsc::UnboundedSender<Message>,
) {
    while let Some(commit) = commits.recv().await {
        match commit {
            WriterCommand::ExpectInInbox(id) => writer.expect_in_inbox(id),
            WriterCommand::Batch(batch) => {
                let result = writer.commit(&batch).await;
                let outcome = if result.is_ok() { "stored" } else { "failed" };
                counter!("verbenahitch_commits_total", "outcome" => outcome).increment(1);
                let batch = batch.number;
                let input = Input::Committed { batch, result };
                sender.send(Message::Input(input)).ok();
            }
        }
    }
}

/// Log entry about a change of a shard's ownership.
pub(super) fn ownership_event(kind: Kind, shard: &str, epoch: u64) -> Entry {
    Entry::new(kind).with("shard", shard).with("epoch", epoch)
}
