//! Link to one other process, which reconnects after a failure.

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

/// Maximum delay between two attempts to connect, in milliseconds.
const MAX_BACKOFF_MS: Millis = 5_000;

/// Maximum size of one message, in words of eight bytes.
pub(super) const MESSAGE_LIMIT_WORDS: usize = 1 << 19;

/// Link to one address, with at most one connection.
pub(super) struct Link {
    address: SocketAddr,
    source: IpAddr,
    connection: RefCell<Option<Rc<Connection>>>,
    failures: Cell<u32>,
    not_before: Cell<Monotonic>,
}

/// One established connection; dropping it closes it.
pub(super) struct Connection {
    node: node::Client,
    last_answer: Cell<Monotonic>,
    transport: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.transport.abort();
    }
}

impl Connection {
    /// Client for the interface of the other process.
    pub(super) fn node(&self) -> &node::Client {
        &self.node
    }
}

impl Link {
    /// Creates a link to `address` without connecting; connections are made from `source`.
    pub(super) fn new(address: SocketAddr, source: IpAddr) -> Self {
        Self {
            address,
            source,
            connection: RefCell::new(None),
            failures: Cell::new(0),
            not_before: Cell::new(Monotonic::default()),
        }
    }

    /// Whether the link is not connected and must not connect yet.
    pub(super) fn is_backing_off(&self, now: Monotonic) -> bool {
        self.connection.borrow().is_none() && now < self.not_before.get()
    }

    /// Open connection that has answered at or after `since`, or a new one.
    pub(super) async fn open(
        &self,
        token: &str,
        since: Monotonic,
        now: Monotonic,
        timeout: Duration,
    ) -> Result<Rc<Connection>, CallError> {
        let open = self.connection.borrow().clone();
        if let Some(connection) = open.filter(|connection| connection.last_answer.get() >= since) {
            return Ok(connection);
        }
        let dialled =
            tokio::time::timeout(timeout, dial(self.source, self.address, token, now)).await;
        let connection = match dialled {
            Ok(Ok(connection)) => Rc::new(connection),
            Ok(Err(error)) => return Err(self.not_sent(error.to_string())),
            Err(_) => return Err(self.not_sent("no answer to the login".to_owned())),
        };
        self.connection.replace(Some(Rc::clone(&connection)));
        Ok(connection)
    }

    /// Records an answer over `connection`, which resets the backoff.
    pub(super) fn answered(&self, connection: &Connection, now: Monotonic) {
        connection.last_answer.set(now);
        self.failures.set(0);
    }

    /// Closes `connection`.
    pub(super) fn close(&self, connection: &Rc<Connection>) {
        let mut held = self.connection.borrow_mut();
        if held
            .as_ref()
            .is_some_and(|held| Rc::ptr_eq(held, connection))
        {
            *held = None;
        }
        connection.transport.abort();
    }

    /// Delays the next attempt to connect, with a delay that grows with consecutive failures.
    pub(super) fn back_off(&self, now: Monotonic, base_ms: Millis, rng: &mut impl Rng) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let max_ms = base_ms
            .saturating_mul(1 << failures.min(6))
            .clamp(1, MAX_BACKOFF_MS);
        let wait_ms = rng.random_range(max_ms / 2..=max_ms);
        self.not_before.set(now + wait_ms);
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
) -> capnp::Result<Connection> {
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
    Ok(Connection {
        node,
        last_answer: Cell::new(now),
        transport: transport.keep(),
    })
}

/// Connects from `source`, so that peers see each process under one address.
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

/// Aborts a task unless its handle is kept, so that a failed login leaves no connection.
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
