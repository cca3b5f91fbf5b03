//! Messages between gateways and schedulers over `capnp-rpc`.
//!
//! A [`Node`] runs on a thread of its own, because `capnp-rpc` is
//! single-threaded. The rest of the process uses its [`Handle`], whose reading
//! methods take no lock and never wait for the node.
//!
//! Each heartbeat greets a bounded number of processes, so that the cost per
//! process hardly grows with their number; answers relay what is known of other
//! processes. Every call has a timeout. A connection on which a call fails or
//! times out is closed, since an open connection can stop answering while new
//! ones work.

mod error;
mod handle;
mod link;
mod local;
mod node;
mod server;
mod shared;
mod wire;

pub use crate::membership::{Member, OwnedShard, Role, StoreReport};
pub use error::PeerError;
pub use handle::Handle;
pub(crate) use link::network;
pub use node::{Identity, IncomingRequest, Node};
pub use shared::StoreReports;
