//! HTTP listeners of the daemons that are not on the request path.

mod exporter;
mod listener;

pub use exporter::{Exporter, install};
pub use listener::{Limits, ListenError, Listener};
