//! A scheduler for colocated latency-critical and batch work.
//!
//! Operators declare [`domain::Profile`]s; each service and job runs under one. Two
//! daemons run on every entry host:
//!
//! * the [`gateway`] admits callers' requests and routes them to upstreams;
//! * the [`scheduler`] owns shards of workers and runs batch tasks on them.
//!
//! Both read their addresses and availability zone from [`settings`], follow
//! the operators' [`config`], and exchange their state over [`peer`]. Durable
//! state is kept in the platform's key-value service, which [`adapter::Store`]
//! calls.
//!
//! On the users' platform one process per host does both: [`entry`] accepts jobs of
//! dependent steps, and one elected owner runs [`dispatch`] for all workers.
//!
//! The decision logic ([`dispatch`], [`scheduler`], [`placement`], [`interference`], and the
//! routing in [`gateway`]) does no I/O and reads no clock, so that tests and
//! recorded traces run the same code as the daemons.

pub mod adapter;
pub mod client;
pub mod collections;
pub mod config;
pub mod dispatch;
pub mod domain;
pub mod entry;
pub mod event;
pub mod gateway;
mod generated;
pub mod http;
pub mod interference;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod port;
pub mod replay;
pub mod scheduler;
pub mod settings;

use generated::{owner_capnp, peer_capnp};
