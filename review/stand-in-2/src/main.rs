//! Driver of the scripted cases. `driver CASE RECORD` starts the processes of a small deployment on
//! loopback addresses, plays the case and writes what happened to the file RECORD.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod deployment;
mod http;
mod operator;
mod record;
mod server;

mod case_clock_and_drain;
mod case_planned_replacement;
mod case_spare_replica;
mod case_two_replacements;

use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type Unusable = String;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: driver CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record::open(path);
    record::line(&format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "planned-replacement" => case_planned_replacement::run(trouble),
        "spare-replica" => case_spare_replica::run(trouble),
        "two-replacements" => case_two_replacements::run(trouble),
        "clock-and-drain" => case_clock_and_drain::run(trouble),
        _ => Err(format!("no such case: {case}")),
    };
    let code = match result {
        Ok(Verdict::Held) => {
            record::line("result: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record::line("result: the rule was broken");
            1
        }
        Err(reason) => {
            record::line(&format!("result: the case could not run: {reason}"));
            2
        }
    };
    exit(code);
}
