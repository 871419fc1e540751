//! Cases of hosts of control that are removed for good without SIGTERM, after their successors have caught
//! up: what was acknowledged can never be read again.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::http::call_once;
use crate::record::Record;
use crate::system::{CATCH_UP, RECOVER, System};

/// Time by which a successor has run for longer than `CatchUpS` when its predecessor is removed.
const SPARE_TIME: Duration = Duration::from_secs(2);

/// Time for which the operator reads after `RecoverS`.
const READ_TIME: Duration = Duration::from_secs(15);

const VERSION: u64 = 7;

fn config(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[],"Backends":[{{"Name":"orders","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Three hosts with control, and successors of some of them that have caught up.
pub struct Removals {
    pub system: System,
    record: Arc<Record>,
}

impl Removals {
    /// Starts three hosts, then the successors, and lets version 7 be acknowledged once these count.
    pub fn start(folder: &Path, record: &Arc<Record>, successors: usize) -> Option<Self> {
        let mut system = System::start(folder, 3);
        if !system.put_config(&config(3), record) || !system.wait_ready() {
            record.say("the system did not start");
            return None;
        }
        record.say("version 3 is acknowledged");
        for _ in 0..successors {
            let host = system.add_control();
            record.say(&format!("a host starts with an empty disk: {}", system.control(host)));
        }
        sleep(CATCH_UP + SPARE_TIME);
        if !system.put_config(&config(VERSION), record) {
            record.say("version 7 was not acknowledged");
            return None;
        }
        record.say("version 7 is acknowledged");
        Some(Self { system, record: Arc::clone(record) })
    }

    /// Removes a host for good.
    pub fn remove(&mut self, host: usize) {
        self.system.remove(host);
        self.record.say(&format!("{} is removed for good", self.system.control(host)));
    }

    /// Waits for `RecoverS` and reads from these hosts.
    pub fn judge(&self, hosts: &[usize]) -> ExitCode {
        sleep(RECOVER);
        if self.is_read_back(hosts) {
            self.record.say("version 7 is read back");
            return ExitCode::SUCCESS;
        }
        self.record.say("version 7 cannot be read back");
        for host in hosts {
            let addr = self.system.control(*host);
            let (body, second) = (config(VERSION + 1), Duration::from_secs(1));
            let answer = call_once(addr, "PUT", "/api/config", body.as_bytes(), second);
            let status = answer.map_or(0, |a| a.status());
            self.record.say(&format!("operator sends version 8 to {addr}: {status}"));
        }
        ExitCode::from(1)
    }

    /// Reads from each of these hosts in turn until one answers with the acknowledged version.
    fn is_read_back(&self, hosts: &[usize]) -> bool {
        let wanted = format!(r#""Version":{VERSION},"#);
        let until = self.record.now() + READ_TIME;
        while self.record.now() < until {
            for host in hosts {
                let addr = self.system.control(*host);
                let answer = call_once(addr, "GET", "/api/config", b"", Duration::from_secs(2));
                let (status, body) = answer.map_or((0, Vec::new()), |a| (a.status(), a.body));
                let body = String::from_utf8_lossy(&body).into_owned();
                let text = format!("operator reads from {addr}: {status} {}", body.trim_end());
                self.record.note(&text);
                if status == 200 && body.contains(&wanted) {
                    return true;
                }
                sleep(Duration::from_millis(200));
            }
        }
        false
    }
}
