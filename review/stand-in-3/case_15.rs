//! A server that left is used again after all processes of control were killed.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::departure::Deployment;
use crate::record::Record;
use crate::system::{CONTACT, DRAIN};

/// Time between the acknowledgement and the kill.
const KILL_DELAY: Duration = Duration::from_millis(100);

/// Time for which the processes of control are down.
const DOWN: Duration = Duration::from_millis(600);

/// Time after the start of control at which the last announcement of the server arrives, which it
/// sent before it left.
const LATE: Duration = Duration::from_millis(1000);

/// Time after the start of control at which clients of the third entry begin to send.
const CLIENTS_AFTER: Duration = Duration::from_millis(4500);

/// Runs the case; `trouble` says whether control is killed.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> ExitCode {
    let Some(mut deployment) = Deployment::start(folder, record) else {
        return ExitCode::from(2);
    };
    let (leaver, controls) = (Arc::clone(&deployment.leaver), deployment.controls.clone());
    leaver.begin_to_leave();
    let late = leaver.next_beat();
    record.say("i-0 sends its last announcement, whose way takes seconds");
    let Some(acked) = leaver.depart(&controls) else {
        record.say("the departure was not acknowledged");
        return ExitCode::from(2);
    };
    sleep(KILL_DELAY);
    if trouble {
        deployment.system.controls.iter_mut().for_each(|p| p.kill());
        record.say("all processes of control are killed");
    }
    sleep(DOWN);
    if trouble {
        deployment.system.controls.iter_mut().for_each(|p| p.start_again());
        record.say("they are started again");
    }
    let started = record.now();
    sleep(LATE);
    let acknowledged = leaver.send_beat(controls[1], &late);
    record.say(&format!("the last announcement of i-0 arrives: acknowledged {acknowledged}"));
    sleep((started + CLIENTS_AFTER).saturating_sub(record.now()));
    deployment.add_clients();
    let in_touch = if trouble { started + CONTACT } else { Duration::ZERO };
    match deployment.is_broken(acked, in_touch.max(acked + DRAIN)) {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
