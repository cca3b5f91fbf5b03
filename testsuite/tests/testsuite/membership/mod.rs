//! Peers, relay of declarations, permits and ownership.

mod network;
mod peers;
