//! A machine of the core is replaced as planned: its successor has been there for more than
//! `CatchUpS` when the old one gets SIGTERM and leaves for good. A second later another machine of the
//! core loses its disk, the one loss that `FaultTolerance` allows.

use std::thread::sleep;
use std::time::Duration;

use crate::deployment::{Bounds, Deployment};
use crate::record::line;
use crate::{operator, Unusable, Verdict};

const BOUNDS: Bounds = Bounds {
    machines: 1,
    contact_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 8,
    config_apply_ms: 2000,
    recover_s: 12,
};

/// Time between the end of the old machine and the loss of a disk.
const LOSS_DELAY: Duration = Duration::from_secs(1);
/// Time for which the machine that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Time for which the desired state is read back; the pages ask for `ContactMs` at least.
const READ_TIME: Duration = Duration::from_secs(15);

pub fn run(trouble: bool) -> Result<Verdict, Unusable> {
    let mut nodes = Deployment::new(3, BOUNDS)?;
    for at in 0..3 {
        nodes.start(at, "control", true)?;
    }
    let first: Vec<_> = (0..3).map(|at| nodes.control(at)).collect();
    operator::put(&first, &operator::document(3, "/orders/"), Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));

    let leader = operator::find_leader(&[0, 1, 2].map(|at| (at, nodes.control(at))), Duration::from_secs(5))?;
    let old = leader;
    let (lost, kept) = ((old + 1) % 3, (old + 2) % 3);
    line(&format!("{} leads", nodes.machines[leader].name));
    let successor = nodes.add_machine(old % 3)?;
    line(&format!(
        "{} is to be replaced by {}",
        nodes.machines[old].name, nodes.machines[successor].name
    ));
    nodes.start(successor, "control", false)?;
    sleep(Duration::from_secs(BOUNDS.catch_up_s + 2));
    let all: Vec<_> = [lost, kept, successor].map(|at| nodes.control(at)).to_vec();
    operator::put(&all, &operator::document(7, "/orders/v2/"), Duration::from_secs(5))?;

    nodes.stop(old);
    nodes.wipe(old)?;
    if trouble {
        sleep(LOSS_DELAY);
        nodes.kill(lost);
        nodes.wipe(lost)?;
        sleep(DOWN_TIME);
        nodes.start(lost, "control", false)?;
    }
    line("all machines are back; RecoverS begins");
    sleep(Duration::from_secs(BOUNDS.recover_s));
    let read = operator::read(&all, READ_TIME);
    for at in [lost, kept, successor] {
        if nodes.has_ended(at) {
            line(&format!("{}: a process has ended by itself", nodes.machines[at].name));
        }
    }
    if read.is_err() {
        let _ = operator::put(&all, &operator::document(9, "/orders/v3/"), READ_TIME);
        nodes.quote_log(kept, "control", &["E300", "E301", "E307"]);
        return Ok(Verdict::Broken);
    }
    match read.ok().and_then(|text| operator::version_of(&text)) {
        Some(version) if version >= 7 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}
