//! Cap'n Proto calls between entry hosts and the owner.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use super::keys::{self, JobEntry};
use super::owner::OwnerEvent;
use crate::dispatch::{Amount, Digest, JobId, JobState, PoolLimit, QueueForecast};
use crate::domain::Millis;
use crate::owner_capnp::{State, digest, owner};
use crate::peer::network;

/// Timeout of a call, including the connection setup, in milliseconds. A busy owner
/// answers within tens of milliseconds.
const CALL_TIMEOUT_MS: Millis = 350;

/// A digest with its origin, as an owner passes it on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SentDigest {
    pub digest: Digest,
    /// Fencing token of the owner.
    pub fence: u64,
    pub age_ms: Millis,
}

#[derive(Debug, Default)]
struct InboxState {
    sender: RefCell<Option<mpsc::UnboundedSender<OwnerEvent>>>,
    /// Newest digest of the loop, with its fencing token and its time.
    digest: RefCell<Option<(Digest, u64, Instant)>>,
}

/// Channel to the owner's loop in this process, if this host is the owner; clones share
/// it.
#[derive(Clone, Debug, Default)]
pub(super) struct Inbox(Rc<InboxState>);

impl Inbox {
    /// Connects the inbox to a loop, or disconnects it.
    pub fn set(&self, sender: Option<mpsc::UnboundedSender<OwnerEvent>>) {
        self.0.sender.replace(sender);
        self.0.digest.replace(None);
    }

    /// Sets the newest digest of the loop.
    pub fn publish(&self, digest: Digest, fence: u64) {
        self.0.digest.replace(Some((digest, fence, Instant::now())));
    }

    /// Newest digest of the loop; `None` if there is no loop or it has made none.
    pub fn digest(&self) -> Option<SentDigest> {
        let held = self.0.digest.borrow();
        let (digest, fence, made_at) = held.as_ref()?;
        Some(SentDigest {
            digest: digest.clone(),
            fence: *fence,
            age_ms: u64::try_from(made_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Sends an event to the loop; false if there is none.
    pub fn send(&self, event: OwnerEvent) -> bool {
        let sender = self.0.sender.borrow();
        sender
            .as_ref()
            .is_some_and(|sender| sender.send(event).is_ok())
    }

    /// Sends a query to the loop; `None` if there is no loop or it ends before it answers.
    pub async fn query<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> OwnerEvent,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        if !self.send(event(sender)) {
            return None;
        }
        answer.await.ok()
    }
}

/// A call to the owner failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the owner cannot be asked: {cause}"))]
pub(super) struct LinkError {
    cause: String,
}

fn link_error(cause: impl ToString) -> LinkError {
    LinkError {
        cause: cause.to_string(),
    }
}

/// An established connection; closed on drop.
struct Session {
    address: SocketAddr,
    client: owner::Client,
    transport: AbortHandle,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.transport.abort();
    }
}

/// Connection to the current owner.
#[derive(Default)]
pub(super) struct Link {
    session: RefCell<Option<Rc<Session>>>,
}

impl Link {
    /// Notifies the owner of a job, with the entry that the store holds; returns its newest
    /// digest.
    pub async fn notify_submitted(
        &self,
        address: SocketAddr,
        id: JobId,
        entry: &[u8],
    ) -> Result<Option<SentDigest>, LinkError> {
        self.call(address, async |client: owner::Client| {
            let mut request = client.submitted_request();
            request.get().set_job(id.to_string());
            request.get().set_record(entry);
            let response = request.send().promise.await?;
            let results = response.get()?;
            if !results.has_digest() {
                return Ok(None);
            }
            decode_digest(results.get_digest()?).map(Some)
        })
        .await
    }

    /// Notifies the owner of a cancel.
    pub async fn notify_cancelled(&self, address: SocketAddr, id: JobId) -> Result<(), LinkError> {
        self.call(address, async |client: owner::Client| {
            let mut request = client.cancelled_request();
            request.get().set_job(id.to_string());
            request.send().promise.await.map(|_| ())
        })
        .await
    }

    /// State of a job, `None` if the owner does not know it, and the owner's newest digest.
    pub async fn state(
        &self,
        address: SocketAddr,
        id: JobId,
    ) -> Result<(Option<JobState>, Option<SentDigest>), LinkError> {
        self.call(address, async |client: owner::Client| {
            let mut request = client.state_request();
            request.get().set_job(id.to_string());
            let response = request.send().promise.await?;
            let results = response.get()?;
            let digest = if results.has_digest() {
                Some(decode_digest(results.get_digest()?)?)
            } else {
                None
            };
            Ok((decode(results.get_state()?), digest))
        })
        .await
    }

    /// Number of jobs in a queue of which no task has started.
    pub async fn waiting(&self, address: SocketAddr, queue: &str) -> Result<usize, LinkError> {
        self.call(address, async |client: owner::Client| {
            let mut request = client.waiting_request();
            request.get().set_queue(queue);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_count() as usize)
        })
        .await
    }

    /// Calls the owner; closes the connection after an error or timeout.
    async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFn(owner::Client) -> capnp::Result<T>,
    ) -> Result<T, LinkError> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let attempt = async {
            let session = self.open(address).await?;
            call(session.client.clone()).await.map_err(link_error)
        };
        let result = match tokio::time::timeout(timeout, attempt).await {
            Ok(result) => result,
            Err(_) => Err(link_error("the call timed out")),
        };
        if result.is_err() {
            self.session.replace(None);
        }
        result
    }

    async fn open(&self, address: SocketAddr) -> Result<Rc<Session>, LinkError> {
        let held = self.session.borrow().clone();
        if let Some(session) = held.filter(|session| session.address == address) {
            return Ok(session);
        }
        let stream = TcpStream::connect(address).await.map_err(link_error)?;
        stream.set_nodelay(true).map_err(link_error)?;
        let mut rpc = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: owner::Client = rpc.bootstrap(Side::Server);
        let transport = tokio::task::spawn_local(async move {
            if let Err(error) = rpc.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let session = Rc::new(Session {
            address,
            client,
            transport: transport.abort_handle(),
        });
        self.session.replace(Some(Rc::clone(&session)));
        Ok(session)
    }
}

/// Serves calls of other hosts until it is dropped.
pub(super) async fn serve(listener: TcpListener, inbox: Inbox) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a connection from another host could not be accepted: {error}");
                super::watcher::back_off().await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection from {peer} closed, TCP_NODELAY could not be set: {error}");
            continue;
        }
        let client: owner::Client = capnp_rpc::new_client(OwnerServer {
            inbox: inbox.clone(),
        });
        let rpc = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(client.client));
        tokio::task::spawn_local(async move {
            if let Err(error) = rpc.await {
                log::debug!("connection from {peer} ended: {error}");
            }
        });
    }
}

struct OwnerServer {
    inbox: Inbox,
}

/// Error for a call that only the owner can serve.
fn not_owner() -> capnp::Error {
    capnp::Error::disconnected("this process does not own the dispatching".to_owned())
}

impl OwnerServer {
    fn send(&self, event: OwnerEvent) -> capnp::Result<()> {
        if self.inbox.send(event) {
            Ok(())
        } else {
            Err(not_owner())
        }
    }
}

fn parse(text: capnp::text::Reader<'_>) -> capnp::Result<JobId> {
    let text = text.to_str()?;
    text.parse()
        .map_err(|error: crate::dispatch::IdError| capnp::Error::failed(error.to_string()))
}

impl owner::Server for OwnerServer {
    async fn submitted(
        self: Rc<Self>,
        params: owner::SubmittedParams,
        mut results: owner::SubmittedResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let id = parse(params.get_job()?)?;
        let entry: JobEntry = serde_json::from_slice(params.get_record()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        match keys::check_job(entry).map_err(capnp::Error::failed)? {
            JobEntry::Open(record) => self.send(OwnerEvent::Submitted(id, Box::new(record)))?,
            JobEntry::Ended(_) => {
                return Err(capnp::Error::failed("the job has ended".to_owned()));
            }
        }
        if let Some(digest) = self.inbox.digest() {
            encode_digest(&digest, results.get().init_digest());
        }
        Ok(())
    }

    async fn cancelled(
        self: Rc<Self>,
        params: owner::CancelledParams,
        _: owner::CancelledResults,
    ) -> capnp::Result<()> {
        let id = parse(params.get()?.get_job()?)?;
        self.send(OwnerEvent::Cancelled(id))
    }

    async fn state(
        self: Rc<Self>,
        params: owner::StateParams,
        mut results: owner::StateResults,
    ) -> capnp::Result<()> {
        let id = parse(params.get()?.get_job()?)?;
        let state = self
            .inbox
            .query(|answer| OwnerEvent::State(id, answer))
            .await;
        let mut results = results.get();
        results.set_state(encode(state.ok_or_else(not_owner)?));
        if let Some(digest) = self.inbox.digest() {
            encode_digest(&digest, results.init_digest());
        }
        Ok(())
    }

    async fn waiting(
        self: Rc<Self>,
        params: owner::WaitingParams,
        mut results: owner::WaitingResults,
    ) -> capnp::Result<()> {
        let queue = params.get()?.get_queue()?.to_string()?;
        let count = self
            .inbox
            .query(|answer| OwnerEvent::Waiting(queue, answer))
            .await
            .ok_or_else(not_owner)?;
        results
            .get()
            .set_count(u32::try_from(count).unwrap_or(u32::MAX));
        Ok(())
    }
}

fn encode(state: Option<JobState>) -> State {
    match state {
        None => State::Unknown,
        Some(JobState::Queued) => State::Queued,
        Some(JobState::Running) => State::Running,
        Some(JobState::Completed) => State::Completed,
        Some(JobState::Failed) => State::Failed,
        Some(JobState::Cancelled) => State::Cancelled,
    }
}

fn decode(state: State) -> Option<JobState> {
    match state {
        State::Unknown => None,
        State::Queued => Some(JobState::Queued),
        State::Running => Some(JobState::Running),
        State::Completed => Some(JobState::Completed),
        State::Failed => Some(JobState::Failed),
        State::Cancelled => Some(JobState::Cancelled),
    }
}

/// Largest number of rows of a digest that are read.
const MAX_ROWS: u32 = 64;

fn encode_digest(sent: &SentDigest, mut to: digest::Builder<'_>) {
    to.set_fence(sent.fence);
    to.set_age_ms(sent.age_ms);
    let (queues, pools) = (&sent.digest.queues, &sent.digest.pools);
    let mut rows = to.reborrow().init_queues(queues.len() as u32);
    for (at, queue) in (0..).zip(queues) {
        let mut row = rows.reborrow().get(at);
        row.set_queue(&queue.queue);
        row.set_wait_ms(queue.wait_ms);
        row.set_error_ms(queue.error_ms);
        row.set_rate_milli(queue.rate_milli);
        row.set_ratio_milli(queue.ratio_milli);
    }
    let mut rows = to.init_pools(pools.len() as u32);
    for (at, pool) in (0..).zip(pools) {
        let mut row = rows.reborrow().get(at);
        row.set_pool(&pool.pool);
        row.set_cpu_milli(pool.largest.cpu_milli);
        row.set_memory_mb(pool.largest.memory_mb);
        row.set_gpus(pool.largest.gpus);
    }
}

fn decode_digest(from: digest::Reader<'_>) -> capnp::Result<SentDigest> {
    let (queues, pools) = (from.get_queues()?, from.get_pools()?);
    let queues = (0..queues.len().min(MAX_ROWS)).map(|at| {
        let row = queues.get(at);
        Ok(QueueForecast {
            queue: row.get_queue()?.to_string()?,
            wait_ms: row.get_wait_ms(),
            error_ms: row.get_error_ms(),
            rate_milli: row.get_rate_milli(),
            ratio_milli: row.get_ratio_milli(),
        })
    });
    let pools = (0..pools.len().min(MAX_ROWS)).map(|at| {
        let row = pools.get(at);
        Ok(PoolLimit {
            pool: row.get_pool()?.to_string()?,
            largest: Amount {
                cpu_milli: row.get_cpu_milli(),
                memory_mb: row.get_memory_mb(),
                gpus: row.get_gpus(),
            },
        })
    });
    Ok(SentDigest {
        digest: Digest {
            queues: queues.collect::<capnp::Result<_>>()?,
            pools: pools.collect::<capnp::Result<_>>()?,
        },
        fence: from.get_fence(),
        age_ms: from.get_age_ms(),
    })
}
