//! Tests of verbenahitch by feature.

mod dispatch;
mod entry;
mod event;
mod gateway;
mod interference;
mod membership;
mod placement;
mod replay;
mod scheduler;
mod session;
mod settings;
mod standin;
