//! Two machines of the core are replaced as planned, one shortly after the other. Both successors have
//! been there for more than `CatchUpS` when the first of the old machines gets SIGTERM. Nothing is lost
//! beside the two machines that leave.

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

/// Pause between the two: `gap_s` of the site's machines that are stopped in turn.
const GAP: Duration = Duration::from_millis(1300);
const READ_TIME: Duration = Duration::from_secs(15);

pub fn run(trouble: bool) -> Result<Verdict, Unusable> {
    let mut nodes = Deployment::new(3, BOUNDS)?;
    for at in 0..3 {
        nodes.start(at, "control", true)?;
    }
    let first: Vec<_> = (0..3).map(|at| nodes.control(at)).collect();
    operator::put(&first, &operator::document(3, "/orders/"), Duration::from_secs(20))?;
    sleep(Duration::from_secs(2));

    let numbered = [0, 1, 2].map(|at| (at, nodes.control(at)));
    let leader = operator::find_leader(&numbered, Duration::from_secs(5))?;
    line(&format!("{} leads", nodes.machines[leader].name));
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    let old = if trouble { followers.to_vec() } else { followers[..1].to_vec() };
    let mut there = vec![leader];
    for at in &followers {
        let successor = nodes.add_machine(*at % 3)?;
        nodes.start(successor, "control", false)?;
        there.push(successor);
    }
    sleep(Duration::from_secs(BOUNDS.catch_up_s + 2));
    let all: Vec<_> = there.iter().map(|at| nodes.control(*at)).collect();
    operator::put(&all, &operator::document(7, "/orders/v2/"), Duration::from_secs(5))?;

    for (number, at) in old.into_iter().enumerate() {
        if number > 0 {
            sleep(GAP);
        }
        nodes.stop(at);
        nodes.wipe(at)?;
    }
    line("the old machines are gone; RecoverS begins");
    sleep(Duration::from_secs(BOUNDS.recover_s));
    let read = operator::read(&all, READ_TIME);
    if read.is_err() {
        let _ = operator::put(&all, &operator::document(9, "/orders/v3/"), READ_TIME);
        for at in there {
            nodes.quote_log(at, "control", &["E300", "E301", "E307"]);
        }
        return Ok(Verdict::Broken);
    }
    match read.ok().and_then(|text| operator::version_of(&text)) {
        Some(version) if version >= 7 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}
