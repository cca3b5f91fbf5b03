//! Peers, relay of declarations, permits and ownership.

mod gateway;
mod network;
mod operators;
mod peers;
