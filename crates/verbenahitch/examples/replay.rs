//! Replays a trace and prints the report with decisions a second:
//! `cargo run --release --example replay -- TRACE`.

use std::path::PathBuf;
use std::process::ExitCode;

use verbenahitch::replay::{Options, run};

fn main() -> ExitCode {
    let Some(trace) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("usage: replay TRACE");
        return ExitCode::from(2);
    };
    let options = Options {
        timing: true,
        ..Options::default()
    };
    match run(&trace, &options) {
        Ok(report) => {
            print!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
