//! Tests of the log.

mod trace;
