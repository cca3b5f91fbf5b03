//! Feeds the decision logic of one shard and carries out its actions.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::commit::Writer;
use crate::adapter::Workers;
use crate::collections::HashMap;
use crate::domain::Monotonic;
use crate::event::{Entry, Kind};
use crate::port::{Clock, SyncError, SyncRequest};
use crate::scheduler::{Action, Answer, Batch, Input, Request, Shard, ShardStatus, SubmitError};

/// Longest time between two steps, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 100;

/// Longest time between the decision on a sync and its sending, in milliseconds.
///
/// A worker that has restarted meanwhile would not know an older call to refuse.
const SEND_LIMIT_MS: u64 = 500;

/// Least time between two publications of the status, in milliseconds.
const PUBLISH_MS: u64 = 200;

/// Longest time that a release waits for the store, in milliseconds.
const RELEASE_LIMIT_MS: u64 = 3_000;

/// Time after which a caller of a shard that is changing hands should return, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// What reaches the driver of a shard.
pub(super) enum Message {
    /// Input of the decision logic.
    Input(Input),
    /// A caller's question.
    Ask(Request, oneshot::Sender<Answer>),
    /// A job that stands in the inbox.
    Handed(Box<crate::domain::JobRecord>),
    /// Give the shard up: finish what is under way, then end.
    Release,
}

/// Why a driver ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// It was told to give the shard up, and acts no more.
    Released {
        /// Whether only this owner's leases are left on the shard.
        settled: bool,
    },
    /// Another process owns the shard.
    Superseded,
}

/// Work of a shard's commits, in order.
enum Commit {
    Batch(Batch),
    Handed(crate::domain::JobId),
}

/// Driver of one shard.
pub(super) struct Driver {
    shard: Shard,
    clock: Arc<dyn Clock>,
    workers: Workers,
    inputs: mpsc::UnboundedReceiver<Message>,
    sender: mpsc::UnboundedSender<Message>,
    commits: mpsc::UnboundedSender<Commit>,
    writer: JoinHandle<()>,
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
    asked: u64,
    syncs: tokio::task::JoinSet<()>,
    status: tokio::sync::watch::Sender<ShardStatus>,
    publish_due: Monotonic,
}

impl Driver {
    /// Creates the driver of `shard`, whose commits go through `writer`.
    pub(super) fn new(
        shard: Shard,
        clock: Arc<dyn Clock>,
        workers: Workers,
        writer: Writer,
        channel: (
            mpsc::UnboundedSender<Message>,
            mpsc::UnboundedReceiver<Message>,
        ),
        status: tokio::sync::watch::Sender<ShardStatus>,
    ) -> Self {
        let (sender, inputs) = channel;
        let (commits, batches) = mpsc::unbounded_channel();
        Self {
            shard,
            clock,
            workers,
            inputs,
            writer: tokio::spawn(write(writer, batches, sender.clone())),
            sender,
            commits,
            waiting: HashMap::default(),
            asked: 0,
            syncs: tokio::task::JoinSet::new(),
            status,
            publish_due: Monotonic::default(),
        }
    }

    /// Runs until the shard is given up or lost.
    pub(super) async fn run(mut self) -> Ended {
        let mut releasing = None;
        loop {
            let wake = self.shard.next_wake(self.clock.now());
            let pause = wake.since(self.clock.now()).clamp(1, LONGEST_PAUSE_MS);
            let message = tokio::select! {
                message = self.inputs.recv() => message,
                () = tokio::time::sleep(Duration::from_millis(pause)) => {
                    Some(Message::Input(Input::Tick))
                }
            };
            let ended = match message {
                Some(Message::Input(Input::Lost)) => Some(Ended::Superseded),
                Some(Message::Input(input)) => self.step(input),
                Some(Message::Ask(request, reply)) => self.ask(request, reply),
                Some(Message::Handed(record)) => self.adopt(*record),
                Some(Message::Release) | None => {
                    releasing = Some(self.clock.now());
                    self.step(Input::Release)
                }
            };
            if let Some(ended) = ended {
                return self.finish(ended).await;
            }
            if let Some(since) = releasing {
                let late = self.clock.now().since(since) > RELEASE_LIMIT_MS;
                if self.shard.is_released() || late {
                    let settled = self.shard.is_released() && self.shard.is_settled();
                    return self.finish(Ended::Released { settled }).await;
                }
            }
            self.publish();
        }
    }

    /// Publishes the shard's status, whose cost grows with the shard, now and then.
    fn publish(&mut self) {
        let now = self.clock.now();
        if now >= self.publish_due {
            self.publish_due = now + PUBLISH_MS;
            self.status.send_replace(self.shard.status());
        }
    }

    fn ask(&mut self, body: Request, reply: oneshot::Sender<Answer>) -> Option<Ended> {
        self.asked += 1;
        self.waiting.insert(self.asked, reply);
        self.step(Input::Asked {
            request: self.asked,
            body,
            wall_ms: self.clock.wall_ms(),
        })
    }

    fn adopt(&mut self, record: crate::domain::JobRecord) -> Option<Ended> {
        self.commits.send(Commit::Handed(record.id.clone())).ok();
        self.asked += 1;
        self.step(Input::Asked {
            request: self.asked,
            body: Request::Adopt(Box::new(record)),
            wall_ms: self.clock.wall_ms(),
        })
    }

    fn step(&mut self, input: Input) -> Option<Ended> {
        let mut ended = None;
        for action in self.shard.step(input, self.clock.now()) {
            match action {
                Action::Sync {
                    worker,
                    address,
                    request,
                } => self.sync(worker, address, request),
                Action::Commit(batch) => {
                    self.commits.send(Commit::Batch(batch)).ok();
                }
                Action::Answer { request, body } => {
                    if let Some(reply) = self.waiting.remove(&request) {
                        reply.send(body).ok();
                    }
                }
                Action::Log(entry) => entry.emit(),
                Action::StandDown => ended = Some(Ended::Superseded),
            }
        }
        ended
    }

    fn sync(&mut self, worker: String, address: String, request: SyncRequest) {
        let workers = self.workers.clone();
        let sender = self.sender.clone();
        let clock = Arc::clone(&self.clock);
        let sent = clock.now();
        while self.syncs.try_join_next().is_some() {}
        self.syncs.spawn(async move {
            let seq = request.seq;
            let answer = if clock.now().since(sent) > SEND_LIMIT_MS {
                let reason = "the process was paused before the call was sent".to_owned();
                Err(SyncError::Unreachable { reason })
            } else {
                workers.sync(&address, &request).await
            };
            let outcome = if answer.is_ok() { "answered" } else { "failed" };
            counter!("verbenahitch_syncs_total", "outcome" => outcome).increment(1);
            let input = match answer {
                Ok(reply) => Input::Synced {
                    worker,
                    seq,
                    sent,
                    reply,
                },
                Err(error) => Input::SyncFailed { worker, seq, error },
            };
            sender.send(Message::Input(input)).ok();
        });
    }

    /// Waits for all that is under way, so that nothing of this owner acts later.
    async fn finish(mut self, ended: Ended) -> Ended {
        let now = self.clock.now();
        for action in self.shard.step(Input::Lost, now) {
            if let (Action::Log(entry), Ended::Superseded) = (action, ended) {
                entry.emit();
            }
        }
        while self.syncs.join_next().await.is_some() {}
        drop(self.commits);
        self.writer.await.ok();
        for (_, reply) in self.waiting.drain() {
            let reason = "the shard changes hands".to_owned();
            let unclear = SubmitError::Unclear { reason };
            reply.send(Answer::Refused(unclear)).ok();
        }
        ended
    }
}

/// Answer for a shard that this process does not own.
pub(super) fn not_owner(shard: &str) -> Answer {
    Answer::Refused(SubmitError::Unavailable {
        reason: format!("this process does not own shard {shard}"),
        retry_ms: RETRY_MS,
    })
}

async fn write(
    mut writer: Writer,
    mut commits: mpsc::UnboundedReceiver<Commit>,
    sender: mpsc::UnboundedSender<Message>,
) {
    while let Some(commit) = commits.recv().await {
        match commit {
            Commit::Handed(id) => writer.expect_handed(id),
            Commit::Batch(batch) => {
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

/// Entry that says how the ownership of a shard changed.
pub(super) fn ownership(kind: Kind, shard: &str, epoch: u64) -> Entry {
    Entry::new(kind).with("shard", shard).with("epoch", epoch)
}
