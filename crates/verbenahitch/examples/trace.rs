//! Writes the generated trace of a deployment's day, in compressed time, to standard output:
//! `cargo run --example trace -- bureau 1`.

use std::process::ExitCode;

use verbenahitch::replay::{Deployment, generate};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let deployment = match arguments.next().as_deref() {
        Some("bureau") => Deployment::Bureau,
        Some("kilele") => Deployment::Kilele,
        _ => return usage(),
    };
    let Some(seed) = arguments.next().and_then(|seed| seed.parse().ok()) else {
        return usage();
    };
    print!("{}", generate(deployment, seed).to_text());
    ExitCode::SUCCESS
}

fn usage() -> ExitCode {
    eprintln!("usage: trace bureau|kilele SEED");
    ExitCode::from(2)
}
