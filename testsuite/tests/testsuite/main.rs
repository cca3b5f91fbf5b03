//! Tests of verbenahitch by feature.

mod gateway;
mod interference;
mod membership;
mod placement;
mod scheduler;
mod session;
mod settings;
mod standin;
