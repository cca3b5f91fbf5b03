//! List of workers, and the lag of its changes.

use std::sync::Arc;

use test_case::test_case;
use verbenahitch::adapter::HostList;
use verbenahitch::domain::Resources;
use verbenahitch::port::{HostRecord, HostState, ManualClock};
use verbenahitch_standin::hosts::{Hosts, Settings};

const LAG_MS: u64 = 5_000;

fn record() -> HostRecord {
    HostRecord {
        name: "a-w00".to_owned(),
        zone: "a".to_owned(),
        rack: "a-r0".to_owned(),
        control: "127.0.0.1:4000".to_owned(),
        upstream: "127.0.0.1:5000".to_owned(),
        slots: 8,
        capacity: Resources::new(16, 60 << 10),
        state: HostState::Live,
    }
}

#[test_case(HostState::Leaving; "leaving")]
#[test_case(HostState::Dead; "dead")]
#[tokio::test]
async fn a_state_change_is_listed_after_the_lag(state: HostState) {
    let clock = Arc::new(ManualClock::default());
    let settings = Settings {
        lag_ms: LAG_MS,
        ..Settings::default()
    };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let shared = Arc::clone(&clock);
    let hosts = Hosts::with_clock(any_port, &[], settings, shared)
        .await
        .unwrap();
    let client = HostList::new(&hosts.address().to_string(), "worker", 5_000);
    hosts.show(record());
    assert_eq!(client.read().await.unwrap(), [record()]);
    hosts.set_state("a-w00", state);
    clock.advance(LAG_MS - 1);
    assert_eq!(client.read().await.unwrap(), [record()]);
    clock.advance(1);
    let changed = HostRecord { state, ..record() };
    assert_eq!(client.read().await.unwrap(), [changed]);
}

#[tokio::test]
async fn a_list_for_another_service_is_empty() {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let hosts = Hosts::start(any_port, Settings::default()).await.unwrap();
    hosts.show(record());
    let client = HostList::new(&hosts.address().to_string(), "other", 5_000);
    assert_eq!(client.read().await.unwrap(), []);
}
