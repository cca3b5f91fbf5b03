//! Entry hosts: decisions without I/O, and refusals over a fake store.

mod admission;
mod refusals;
mod succession;
