//! Entry hosts: decisions without I/O.

mod succession;
