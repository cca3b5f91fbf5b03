//! Stand-ins for the platform, the workers and the upstreams, for tests and the demo.
//!
//! Each stand-in speaks the published protocol that the adapters of
//! `verbenahitch` expect, runs inside the calling process on a configurable
//! port, and provides its addresses, its [`fault`] controls and its [`history`].
//! [`platform`] starts several of them, in process or as a separate process.

pub mod command;
pub mod crowd;
pub mod demo;
pub mod fault;
pub mod history;
pub mod hosts;
pub mod load;
pub mod measure;
pub mod platform;
pub mod server;
pub mod store;
pub mod worker;
