//! Translations between the ports and the published protocols.

mod hosts;
mod http;
mod store;
mod worker;

pub use hosts::HostList;
pub(crate) use http::describe;
pub use http::{CallError, Http};
pub use store::{Store, Watched};
pub use worker::Workers;
