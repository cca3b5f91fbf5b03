//! Operator calls of the demo: applies the declarations, takes an availability
//! zone out and brings it back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use snafu::ResultExt;
use verbenahitch::client::{Client, ZoneOrder};
use verbenahitch::config::Declarations;
use verbenahitch::domain::Millis;

use super::error::{DemoError, OperatorSnafu};
use super::report::ZoneReport;
use crate::history::Outage;

/// Interval between checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: Millis = 50;

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

/// Takes `zone` out at `out` and brings it back at `back`.
pub(super) async fn run_outage(
    client: &Client,
    zone: &str,
    out: Instant,
    back: Instant,
) -> Result<(ZoneReport, Outage), DemoError> {
    tokio::time::sleep_until(out.into()).await;
    let from = wall_ms();
    let sent = Instant::now();
    let answer = client.order_zone(zone, ZoneOrder::Out).await;
    let answer = answer.context(OperatorSnafu)?;
    let out_ms = millis(sent.elapsed());
    tokio::time::sleep_until(back.into()).await;
    let until = wall_ms();
    let sent = Instant::now();
    let returned = client.order_zone(zone, ZoneOrder::In).await;
    returned.context(OperatorSnafu)?;
    let count = |key: &str| {
        answer
            .get(key)
            .and_then(Value::as_array)
            .map_or(0, Vec::len)
    };
    let report = ZoneReport {
        zone: zone.to_owned(),
        confirmed: count("in-force"),
        not_confirmed: count("not-confirmed"),
        out_ms,
        in_ms: millis(sent.elapsed()),
    };
    let outage = Outage {
        zone: zone.to_owned(),
        from,
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
