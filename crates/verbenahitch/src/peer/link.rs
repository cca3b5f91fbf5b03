//! Connection to one other process, made anew when it fails.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use rand::Rng;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::error::CallError;
use crate::domain::{Millis, Monotonic};
use crate::peer_capnp::{login, node};

/// Longest wait between two attempts to connect, in milliseconds.
const MAX_BACKOFF_MS: Millis = 5_000;

/// Most words of one message, eight bytes each.
pub(super) const MESSAGE_LIMIT_WORDS: usize = 1 << 19;

/// Connection to one address.
pub(super) struct Link {
    address: SocketAddr,
    source: IpAddr,
    session: RefCell<Option<Rc<Session>>>,
    failures: Cell<u32>,
    not_before: Cell<Monotonic>,
}

/// One established connection; dropping it closes it.
pub(super) struct Session {
    node: node::Client,
    progress: Cell<Monotonic>,
    transport: AbortHandle,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.transport.abort();
    }
}

impl Session {
    /// The other process.
    pub(super) fn node(&self) -> &node::Client {
        &self.node
    }
}

impl Link {
    /// Creates a link to `address` without connecting; connections will leave from `source`.
    pub(super) fn new(address: SocketAddr, source: IpAddr) -> Self {
        Self {
            address,
            source,
            session: RefCell::new(None),
            failures: Cell::new(0),
            not_before: Cell::new(Monotonic::default()),
        }
    }

    /// Whether an attempt to connect must wait longer.
    pub(super) fn is_backing_off(&self, now: Monotonic) -> bool {
        self.session.borrow().is_none() && now < self.not_before.get()
    }

    /// Open connection whose last answer came after `since`, or a new one.
    pub(super) async fn open(
        &self,
        token: &str,
        since: Monotonic,
        now: Monotonic,
        limit: Duration,
    ) -> Result<Rc<Session>, CallError> {
        let open = self.session.borrow().clone();
        if let Some(session) = open.filter(|session| session.progress.get() >= since) {
            return Ok(session);
        }
        let dialled =
            tokio::time::timeout(limit, dial(self.source, self.address, token, now)).await;
        let session = match dialled {
            Ok(Ok(session)) => Rc::new(session),
            Ok(Err(error)) => return Err(self.not_sent(error.to_string())),
            Err(_) => return Err(self.not_sent("no answer to the login".to_owned())),
        };
        self.session.replace(Some(Rc::clone(&session)));
        Ok(session)
    }

    /// Notes an answer over `session`.
    pub(super) fn answered(&self, session: &Session, now: Monotonic) {
        session.progress.set(now);
        self.failures.set(0);
    }

    /// Gives `session` up.
    pub(super) fn retire(&self, session: &Rc<Session>) {
        let mut held = self.session.borrow_mut();
        if held.as_ref().is_some_and(|held| Rc::ptr_eq(held, session)) {
            *held = None;
        }
        session.transport.abort();
    }

    /// Puts the next attempt to connect off, longer with each failure in a row.
    pub(super) fn back_off(&self, now: Monotonic, base_ms: Millis, rng: &mut impl Rng) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let longest = base_ms
            .saturating_mul(1 << failures.min(6))
            .clamp(1, MAX_BACKOFF_MS);
        let wait = rng.random_range(longest / 2..=longest);
        self.not_before.set(now + wait);
    }

    fn not_sent(&self, reason: String) -> CallError {
        let reason = format!("{}: {reason}", self.address);
        CallError::NotSent { reason }
    }
}

async fn dial(
    source: IpAddr,
    address: SocketAddr,
    token: &str,
    now: Monotonic,
) -> capnp::Result<Session> {
    let stream = connect(source, address).await?;
    stream.set_nodelay(true)?;
    let mut rpc = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let login: login::Client = rpc.bootstrap(Side::Server);
    let transport = tokio::task::spawn_local(async move {
        if let Err(error) = rpc.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    let transport = AbortOnDrop(Some(transport.abort_handle()));
    let mut request = login.login_request();
    request.get().set_token(token);
    let response = request.send().promise.await?;
    let node = response.get()?.get_node()?;
    Ok(Session {
        node,
        progress: Cell::new(now),
        transport: transport.keep(),
    })
}

/// Connects from `source`, so that others see each process under one address.
async fn connect(source: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == address.is_ipv4() && !source.is_unspecified() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// One side of a connection between two processes.
pub(crate) fn network(
    stream: TcpStream,
    side: Side,
) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static> {
    let (read, write) = futures::AsyncReadExt::split(stream.compat());
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_LIMIT_WORDS));
    twoparty::VatNetwork::new(read, write, side, options)
}

/// Ends a task whose handle was not kept, so that a failed login leaves no connection.
struct AbortOnDrop(Option<AbortHandle>);

impl AbortOnDrop {
    fn keep(mut self) -> AbortHandle {
        self.0.take().expect("the handle is taken once")
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(handle) = &self.0 {
            handle.abort();
        }
    }
}
