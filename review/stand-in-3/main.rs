//! Scripts of the review: each one starts the system and plays clients, servers and the platform.

mod case_11;
mod case_12;
mod case_13;
mod case_14;
mod case_15;
mod departure;
mod http;
mod record;
mod removals;
mod server;
mod system;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record), Some(folder)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: script CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)).map(Arc::new) else {
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match case.as_str() {
        "11" => case_11::run(&folder, &record, trouble),
        "12" => case_12::run(&folder, &record, trouble),
        "13" => case_13::run(&folder, &record, trouble),
        "14" => case_14::run(&folder, &record, trouble),
        "15" => case_15::run(&folder, &record, trouble),
        _ => ExitCode::from(2),
    }
}
