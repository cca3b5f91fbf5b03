//! Peers, relay of declarations, permits, shard ownership and the operators' interface.

mod gateway;
mod network;
mod operators;
mod ownership;
mod peers;
mod permits;
mod relay;
mod table;
