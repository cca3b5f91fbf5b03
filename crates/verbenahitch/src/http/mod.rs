//! HTTP listeners within limits of memory, descriptors and time, and the metrics exporter.
//!
//! Clients may send slowly, stop in the middle of a request, or leave answers unread. Each
//! listener has a pool of its own, which counts its connections and what they hold in
//! memory. Under pressure the pool closes the connections that wait for their client, the oldest
//! first, and the host goes on serving the others. Requests that have arrived whole are never
//! cut off.

mod body;
mod connection;
mod dispatch;
mod exporter;
mod limits;
mod listener;
mod pool;
mod stream;

pub use body::{Body, BodyError, Buffer};
pub use exporter::{Exporter, install_recorder};
pub use limits::Limits;
pub use listener::{ListenError, Listener};
