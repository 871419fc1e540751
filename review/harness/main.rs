//! Test cases of the review that cannot be played as a day of the bench.
//!
//! `harness CASE RECORD TROUBLE` starts the project's own programs on loopback addresses, brings one
//! disruption about unless `TROUBLE` is 0, and judges what clients and servers saw. It exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run.

mod departure;
mod forged;
mod http;
mod record;
mod server;
mod stale;
mod stuck;
mod system;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path, trouble] = args.as_slice() else {
        eprintln!("usage: harness CASE RECORD TROUBLE");
        exit(2);
    };
    let trouble = trouble != "0";
    let record = Record::create(path);
    record.note(&format!("case {name}, disruption: {trouble}"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        system::end_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let run = || match name.as_str() {
        "stuck" => stuck::run(&record, trouble),
        "departure" => departure::run(&record, trouble),
        "forged" => forged::run(&record, trouble),
        "stale" => stale::run(&record, trouble),
        _ => panic!("no such case"),
    };
    let verdict = catch_unwind(AssertUnwindSafe(run));
    system::end_all();
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Err(_) => ("the case could not run", 2),
    };
    record.note(text);
    println!("{name}: {text}");
    exit(code);
}
