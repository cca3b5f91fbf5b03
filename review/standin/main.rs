//! Scenarios of the review. Each starts a small deployment, causes one disruption, and checks one
//! rule by what clients and workers saw. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the scenario could not run.

mod deployment;
mod json;
mod ledger;
mod scenarios;
mod store;
mod web;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a scenario found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

pub struct Setup {
    pub program: String,
    pub folder: PathBuf,
    pub record: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, program, folder, record] = args.as_slice() else {
        eprintln!("usage: standin SCENARIO PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        program: program.clone(),
        folder: PathBuf::from(folder),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    match scenarios::run(scenario, &setup) {
        Ok(Verdict::Held(text)) => {
            println!("the rule held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("the rule was broken: {text}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
