//! Peers, relay of declarations, permits and ownership.
