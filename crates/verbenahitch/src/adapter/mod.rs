//! Clients of the platform's services: translate between the types of
//! [`crate::port`] and the published protocols.

mod hosts;
mod http;
mod store;
mod worker;

pub use hosts::HostList;
pub(crate) use http::error_chain;
pub use http::{CallError, HttpClient};
pub use store::{Snapshot, Store};
pub use worker::WorkerClient;
