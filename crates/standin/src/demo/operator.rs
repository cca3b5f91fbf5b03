//! Operator calls of the demo: applies the declarations, takes an availability
//! zone out and brings it back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use verbenahitch::client::{Client, ClientError, ZoneOrder};
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use super::error::DemoError;
use super::report::ZoneReport;
use crate::history::Outage;

/// Interval between checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: Millis = 50;

/// Longest time for which a refused order is repeated, in milliseconds.
const ORDER_TIMEOUT_MS: Millis = 10_000;

/// HTTP status of a call that may be repeated.
const UNAVAILABLE: u16 = 503;

/// Applies the first declarations; retries until the schedulers are up.
pub(super) async fn apply_declarations(
    client: &Client,
    declarations: &Declarations,
    deadline: Instant,
) -> Result<(), DemoError> {
    loop {
        match client.apply(declarations, 0).await {
            Ok(_) => return Ok(()),
            Err(source) if Instant::now() > deadline => {
                return Err(DemoError::Operator { source });
            }
            Err(_) => pause().await,
        }
    }
}

/// Waits until every shard of `declarations` has an owner.
pub(super) async fn wait_for_owners(
    client: &Client,
    declarations: &Declarations,
    deadline: Instant,
) -> Result<(), DemoError> {
    let shards = declarations.shards().count();
    let owned = async || {
        let status = client.status().await.unwrap_or_default();
        let owned = status.get("shards").and_then(Value::as_array);
        owned.map_or(0, Vec::len) >= shards
    };
    wait_until("every shard has an owner", deadline, owned).await
}

/// An order that the gateway accepted.
struct Accepted {
    answer: Value,
    /// Wall-clock time at which it was sent.
    sent_ms: Millis,
    took_ms: Millis,
}

/// Orders the state of a zone; repeats the order while the gateway answers that it may be
/// repeated, as when the store is slow.
async fn order_zone(client: &Client, zone: &str, order: ZoneOrder) -> Result<Accepted, DemoError> {
    let deadline = Instant::now() + Duration::from_millis(ORDER_TIMEOUT_MS);
    loop {
        let sent_ms = wall_ms();
        let sent = Instant::now();
        match client.order_zone(zone, order).await {
            Ok(answer) => {
                return Ok(Accepted {
                    answer,
                    sent_ms,
                    took_ms: millis(sent.elapsed()),
                });
            }
            Err(ClientError::Refused {
                status: UNAVAILABLE,
                reason,
                ..
            }) if sent < deadline => log::info!("the order is repeated: {reason}"),
            Err(source) => return Err(DemoError::Operator { source }),
        }
        pause().await;
    }
}

/// Takes `zone` out at `out` and brings it back at `back`.
pub(super) async fn run_outage(
    client: &Client,
    zone: &str,
    out: Instant,
    back: Instant,
) -> Result<(ZoneReport, Outage), DemoError> {
    tokio::time::sleep_until(out.into()).await;
    let taken = order_zone(client, zone, ZoneOrder::Out).await?;
    tokio::time::sleep_until(back.into()).await;
    let until = wall_ms();
    let returned = order_zone(client, zone, ZoneOrder::In).await?;
    let count = |key: &str| {
        taken
            .answer
            .get(key)
            .and_then(Value::as_array)
            .map_or(0, Vec::len)
    };
    let report = ZoneReport {
        zone: zone.to_owned(),
        confirmed: count("in-force"),
        not_confirmed: count("not-confirmed"),
        out_ms: taken.took_ms,
        in_ms: returned.took_ms,
    };
    let outage = Outage {
        zone: zone.to_owned(),
        from: taken.sent_ms,
        until: Some(until),
    };
    Ok((report, outage))
}

/// Waits until `condition` holds.
pub(super) async fn wait_until(
    what: &str,
    deadline: Instant,
    condition: impl AsyncFn() -> bool,
) -> Result<(), DemoError> {
    while !condition().await {
        if Instant::now() > deadline {
            let what = what.to_owned();
            return Err(DemoError::Timeout { what });
        }
        pause().await;
    }
    Ok(())
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
}

fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(super) fn wall_ms() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, millis)
}
