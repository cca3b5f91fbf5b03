//! Stand-ins and scenarios of the review's scripts, as one program without dependencies.
//!
//! `drill SCENARIO RECORD`, run in the repository's root; `TROUBLE=0` leaves the disruption out.
//! It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod http;
mod json;
mod store;
mod worker;
mod world;

mod ended_jobs;
mod gang;
mod given_up;
mod images;
mod large_job;
mod late_start;
mod next_life;

use std::path::Path;
use std::process::ExitCode;

pub const BROKEN: u8 = 1;
pub const HELD: u8 = 0;
pub const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = words.as_slice() else {
        eprintln!("drill SCENARIO RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let scenario: fn(&Path, bool) -> u8 = match scenario.as_str() {
        "ended-jobs" => ended_jobs::run,
        "gang" => gang::run,
        "given-up" => given_up::run,
        "images" => images::run,
        "large-job" => large_job::run,
        "next-life" => next_life::run,
        "late-start" => late_start::run,
        other => {
            eprintln!("no scenario {other}");
            return ExitCode::from(NOT_RUN);
        }
    };
    // A port that is taken, or a program that is not built, is no result.
    let code = std::panic::catch_unwind(|| scenario(Path::new(record), has_trouble));
    ExitCode::from(code.unwrap_or(NOT_RUN))
}
