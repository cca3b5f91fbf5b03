//! Peers, relay of declarations, permits and ownership.

mod gateway;
mod network;
mod operators;
mod ownership;
mod peers;
mod permits;
mod relay;
mod table;
