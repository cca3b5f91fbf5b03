//! Subcommand that sends load to gateways.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use snafu::ResultExt;
use verbenahitch::domain::Millis;
use verbenahitch::settings::load_declarations;

use super::{CommandError, DeclarationsSnafu};
use crate::load::{self, KindPlan, Plan};

/// Options of the `load` subcommand.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Address at which a gateway takes callers' requests; may be repeated.
    #[bpaf(argument("IP:PORT"), some("at least one address is needed"))]
    callers: Vec<SocketAddr>,
    /// Declarations file; all its request kinds are sent.
    #[bpaf(argument("FILE"))]
    declarations: PathBuf,
    /// Mean number of calls per second.
    #[bpaf(argument("N"), fallback(100.0))]
    rate: f64,
    /// Maximum number of calls in progress.
    #[bpaf(argument("N"), fallback(256))]
    concurrency: usize,
    /// Maximum number of calls.
    #[bpaf(argument("N"), fallback(100_000))]
    count: u64,
    /// Maximum duration of the load, in seconds.
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Timeout of a call, in milliseconds.
    #[bpaf(argument("MS"), fallback(10_000))]
    timeout_ms: Millis,
    /// Seed of the arrival times and the kinds.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Prints JSON instead of a table.
    json: bool,
}

pub(super) async fn run(options: Options) -> Result<ExitCode, CommandError> {
    let declarations = load_declarations(&options.declarations).context(DeclarationsSnafu)?;
    let plan = Plan {
        label: format!("load-{}", std::process::id()),
        callers: options.callers,
        kinds: KindPlan::all(&declarations),
        rate: options.rate,
        swing: 0.0,
        concurrency: options.concurrency,
        count: options.count,
        duration_ms: options.seconds.saturating_mul(1_000),
        timeout_ms: options.timeout_ms,
        seed: options.seed,
    };
    let report = load::run(&plan).await;
    if options.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.expect("a report serializes to JSON"));
    } else {
        print!("{report}");
    }
    // Fails if any answer was to another call or incomplete.
    let wrong = report.kinds.values().any(|kind| kind.wrong > 0);
    Ok(ExitCode::from(u8::from(wrong)))
}
