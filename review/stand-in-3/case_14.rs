//! A server that left is used again, since its health check is false and its last announcement late.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::departure::Deployment;
use crate::record::Record;
use crate::system::DRAIN;

/// Time after the departure at which the last announcement of the server arrives, which it sent
/// before it left.
const LATE: Duration = Duration::from_millis(2500);

/// Time after that at which clients of the third entry begin to send.
const CLIENTS_AFTER: Duration = Duration::from_millis(500);

/// Time for which the health check is false.
const LYING: Duration = Duration::from_millis(6500);

/// Runs the case; `trouble` says whether the health check of the server is false.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let Some(mut deployment) = Deployment::start(folder, record) else {
        return ExitCode::from(2);
    };
    let (leaver, controls) = (Arc::clone(&deployment.leaver), deployment.controls.clone());
    let lying_from = record.now();
    if trouble {
        leaver.set_lying(true);
        record.say("the health check of i-0 passes from now on, whatever its state is");
    }
    leaver.begin_to_leave();
    let late = leaver.next_beat();
    record.say("i-0 sends its last announcement, whose way takes seconds");
    let Some(acked) = leaver.depart(&controls) else {
        record.say("the departure was not acknowledged");
        return ExitCode::from(2);
    };
    sleep(LATE);
    let acknowledged = leaver.send_beat(controls[1], &late);
    record.say(&format!("the last announcement of i-0 arrives: acknowledged {acknowledged}"));
    sleep(CLIENTS_AFTER);
    deployment.add_clients();
    sleep((lying_from + LYING).saturating_sub(record.now()));
    leaver.set_lying(false);
    match deployment.is_broken(acked, acked + DRAIN) {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
