//! Entry hosts: decisions without I/O.

mod accounts;
mod routes;
mod succession;
