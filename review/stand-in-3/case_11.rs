//! A host of control is removed for good after its successor has caught up, and another one loses its
//! disk: what was acknowledged can never be read again.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::http::call_once;
use crate::record::Record;
use crate::system::{CATCH_UP, RECOVER, System};

/// Time by which the successor has run for longer than `CatchUpS` when its predecessor is removed.
const SPARE_TIME: Duration = Duration::from_secs(2);

/// Time between the removal and the loss of the disk.
const LOSS_AFTER: Duration = Duration::from_secs(1);

/// Time for which the host that loses its disk is down.
const DOWN: Duration = Duration::from_millis(500);

/// Time for which the operator reads after `RecoverS`.
const READ_TIME: Duration = Duration::from_secs(15);

/// Host that is removed, and host that loses its disk.
const REMOVED: usize = 0;
const EMPTIED: usize = 1;

const VERSION: u64 = 7;

fn config(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[],"Backends":[{{"Name":"orders","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Runs the case; `trouble` says whether a disk is lost.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let mut system = System::start(folder, 3);
    if !system.put_config(&config(3), record) || !system.wait_ready() {
        record.say("the system did not start");
        return ExitCode::from(2);
    }
    record.say("version 3 is acknowledged");
    let successor = system.add_control();
    record.say(&format!("a fourth host starts with an empty disk: {}", system.control(successor)));
    sleep(CATCH_UP + SPARE_TIME);
    if !system.put_config(&config(VERSION), record) {
        record.say("version 7 was not acknowledged");
        return ExitCode::from(2);
    }
    record.say("version 7 is acknowledged");
    system.remove(REMOVED);
    record.say(&format!("{} is removed for good", system.control(REMOVED)));
    sleep(LOSS_AFTER);
    if trouble {
        system.lose_disk(EMPTIED, DOWN);
        record.say(&format!("{} has lost its disk and is back", system.control(EMPTIED)));
    }
    sleep(RECOVER);
    let is_read = read_back(&system, &[EMPTIED, 2, successor], record);
    let text = if is_read { "version 7 is read back" } else { "version 7 cannot be read back" };
    record.say(text);
    if is_read { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// Reads from each of these hosts in turn until one answers with the acknowledged version.
fn read_back(system: &System, hosts: &[usize], record: &Record) -> bool {
    let wanted = format!(r#""Version":{VERSION},"#);
    let until = record.now() + READ_TIME;
    while record.now() < until {
        for host in hosts {
            let addr = system.control(*host);
            let answer = call_once(addr, "GET", "/api/config", b"", Duration::from_secs(2));
            let (status, body) = answer.map_or((0, Vec::new()), |a| (a.status(), a.body));
            let body = String::from_utf8_lossy(&body).into_owned();
            record.note(&format!("operator reads from {addr}: {status} {}", body.trim_end()));
            if status == 200 && body.contains(&wanted) {
                return true;
            }
            sleep(Duration::from_millis(200));
        }
    }
    let body = config(VERSION + 1);
    for host in hosts {
        let addr = system.control(*host);
        let second = Duration::from_secs(1);
        let answer = call_once(addr, "PUT", "/api/config", body.as_bytes(), second);
        let status = answer.map_or(0, |a| a.status());
        record.say(&format!("operator sends version 8 to {addr}: {status}"));
    }
    false
}
