//! Six machines with a disk, of which two may be lost at the same time. Two of them lose power for some
//! seconds, among them the one whose replica is the spare of the five that vote. Before they are back,
//! the final fault strikes: right after a desired state was acknowledged, two other machines lose their
//! disks. All are back within seconds.

use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{Bounds, Deployment};
use crate::record::line;
use crate::{operator, Unusable, Verdict};

const BOUNDS: Bounds = Bounds {
    machines: 2,
    contact_ms: 4000,
    ack_ms: 5000,
    catch_up_s: 6,
    drain_ms: 2500,
    grace_s: 8,
    config_apply_ms: 2500,
    recover_s: 15,
};

const MACHINES: usize = 6;
/// Time from the loss of power of two machines to the final fault.
const FIRST_LOSS_TIME: Duration = Duration::from_secs(4);
/// Time for which the machines that lose their disks are down.
const DOWN_TIME: Duration = Duration::from_millis(800);
const READ_TIME: Duration = Duration::from_secs(15);

pub fn run(trouble: bool) -> Result<Verdict, Unusable> {
    let mut nodes = Deployment::new(MACHINES, BOUNDS)?;
    for at in 0..MACHINES {
        nodes.start(at, "control", true)?;
    }
    let all: Vec<_> = (0..MACHINES).map(|at| nodes.control(at)).collect();
    operator::put(&all, &operator::document(3, "/orders/"), Duration::from_secs(20))?;
    // Time for the sixth replica to join.
    sleep(Duration::from_secs(4));

    let numbered: Vec<_> = (0..MACHINES).map(|at| (at, nodes.control(at))).collect();
    let leader = operator::find_leader(&numbered, Duration::from_secs(5))?;
    let is_founder = |at: &usize| nodes.log_contains(*at, "control", "E308");
    let spare = (0..MACHINES).find(|at| !is_founder(at)).ok_or("all six replicas vote")?;
    let followers: Vec<usize> =
        (0..MACHINES).filter(|at| ![leader, spare].contains(at)).collect();
    let dark = [spare, followers[0]];
    let wiped = [leader, followers[1]];
    let name = |at: usize| nodes.machines[at].name.clone();
    line(&format!("{} leads; {} is the spare", name(leader), name(spare)));

    if trouble {
        for at in dark {
            nodes.kill(at);
        }
    }
    sleep(FIRST_LOSS_TIME);
    let there: Vec<_> =
        (0..MACHINES).filter(|at| !dark.contains(at)).map(|at| nodes.control(at)).collect();
    operator::put(&there, &operator::document(7, "/orders/v2/"), Duration::from_secs(5))?;
    if trouble {
        for at in wiped {
            nodes.kill(at);
        }
        for at in wiped {
            nodes.wipe(at)?;
        }
        sleep(DOWN_TIME);
        for at in wiped.into_iter().chain(dark) {
            nodes.start(at, "control", false)?;
        }
    }
    line("all machines are back; RecoverS begins");
    sleep(Duration::from_secs(BOUNDS.recover_s));
    let read = operator::read(&all, READ_TIME);
    if read.is_err() {
        let _ = operator::put(&all, &operator::document(9, "/orders/v3/"), READ_TIME);
        for at in 0..MACHINES {
            nodes.quote_log(at, "control", &["E300", "E301", "E307"]);
        }
        return Ok(Verdict::Broken);
    }
    match read.ok().and_then(|text| operator::version_of(&text)) {
        Some(version) if version >= 7 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}
