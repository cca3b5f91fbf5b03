//! HTTP listeners that are not on the gateway's request path, and the metrics exporter.

mod exporter;
mod listener;

pub use exporter::{Exporter, install_recorder};
pub use listener::{Limits, ListenError, Listener};
