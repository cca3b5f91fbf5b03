//! Tests of the event log.

mod trace;
