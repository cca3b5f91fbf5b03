//! Stand-ins and scenarios of review 3. Built with the standard library alone.
//!
//! `standin SCENARIO FOLDER`, in the repository's root; the record goes to `FOLDER/record.txt`.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod host;
mod http;
mod json;
mod record;
mod scenarios;
mod store;
mod worker;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let (Ok(root), folder) = (std::env::current_dir(), PathBuf::from(folder)) else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note(format!("scenario {scenario}, disruption: {has_trouble}"));
    match scenarios::run(scenario, &root, &record, has_trouble) {
        Ok(None) => {
            record.note("the rule held");
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            record.note(format!("the rule was broken: {broken}"));
            println!("broken: {broken}");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.note(format!("the case could not run: {cause}"));
            println!("could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
