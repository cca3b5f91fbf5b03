//! Entry hosts: decisions without I/O, and refusals over a fake store.

mod accounts;
mod admission;
mod cancel_orders;
mod cancels;
mod refusals;
mod routes;
mod sizes;
mod succession;
mod unreadable;
mod untaken;
mod world;
