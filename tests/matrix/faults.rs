//! Injects the faults of a cell and repairs the system afterwards.

use std::time::Duration;

use crate::cells::{ANY_MOMENT, Cell, Fault, Target};
use crate::testenv::{Process, TestEnv};

/// Time for which a process is suspended or cut off: longer than leases and silence timeouts.
const OUTAGE: Duration = Duration::from_millis(4500);

/// Time after the start of the operation at which a fault without a step is injected.
const FAULT_DELAY: Duration = Duration::from_millis(120);

/// A process in which a fault is injected, by role and position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetProcess {
    Entry(usize),
    Agent(usize),
    Control(usize),
    StandIn(usize),
}

pub fn targets(env: &TestEnv, target: Target) -> Vec<TargetProcess> {
    let leader = env.leader().unwrap_or(0);
    match target {
        Target::Entry => vec![TargetProcess::Entry(0)],
        Target::Agents => (0..env.agents.len()).map(TargetProcess::Agent).collect(),
        Target::Leader => vec![TargetProcess::Control(leader)],
        Target::Follower => vec![TargetProcess::Control((leader + 1) % env.controls.len())],
        Target::StandIn => vec![TargetProcess::StandIn(0)],
    }
}

pub fn process(env: &TestEnv, target: TargetProcess) -> &Process {
    match target {
        TargetProcess::Entry(at) => &env.entries[at],
        TargetProcess::Agent(at) => &env.agents[at],
        TargetProcess::Control(at) => &env.controls[at],
        TargetProcess::StandIn(at) => &env.stand_ins[at],
    }
}

fn process_mut(env: &mut TestEnv, target: TargetProcess) -> &mut Process {
    match target {
        TargetProcess::Entry(at) => &mut env.entries[at],
        TargetProcess::Agent(at) => &mut env.agents[at],
        TargetProcess::Control(at) => &mut env.controls[at],
        TargetProcess::StandIn(at) => &mut env.stand_ins[at],
    }
}

/// Configures the fail point of a fault at a step, before the operation starts.
pub fn configure_fail_point(env: &TestEnv, cell: &Cell, targets: &[TargetProcess]) {
    if cell.step == ANY_MOMENT {
        return;
    }
    let actions = match cell.fault {
        Fault::Kill => "1*return(exit)",
        Fault::Freeze => "1*sleep(1500)",
        Fault::Delay if cell.step == "wire.send" => "20*sleep(40)",
        Fault::Delay if cell.step == "peer.send" => "20*sleep(40)",
        Fault::Delay => "2*sleep(400)",
        Fault::LoseMessage if cell.step == "entry.frame" => "1*off->1*return(drop)",
        Fault::LoseMessage => "2*off->3*return(drop)",
        Fault::DuplicateMessage => "40*return(twice)",
        Fault::ShortWrite => "1*return(short)",
        Fault::FailedSync => "1*return(error)",
        Fault::CutOutgoing | Fault::CutIncoming | Fault::CutBoth | Fault::LostDisk => return,
    };
    for target in targets {
        env.set_fault(process(env, *target), cell.step, actions);
    }
}

fn set_partition(env: &TestEnv, target: TargetProcess, fault: Fault, action: &str) {
    let out = ["wire.send", "peer.send"];
    let steps: &[&str] = match fault {
        Fault::CutOutgoing => &out,
        Fault::CutIncoming => &["wire.receive"],
        _ => &["wire.send", "peer.send", "wire.receive"],
    };
    for step in steps {
        // A process that the second fault has killed cannot be reached and needs no partition.
        let _ = env.try_set_fault(process(env, target), step, action);
    }
}

/// Injects the faults that need no fail point while the operation runs.
pub fn inject(env: &TestEnv, cell: &Cell, targets: &[TargetProcess]) {
    match (cell.step, cell.fault) {
        (ANY_MOMENT, Fault::Kill | Fault::LostDisk) => {
            std::thread::sleep(FAULT_DELAY);
            targets.iter().for_each(|t| process(env, *t).signal(nix::sys::signal::Signal::SIGKILL));
        }
        (step, Fault::Freeze) => {
            let delay = if step == ANY_MOMENT { FAULT_DELAY } else { FAULT_DELAY * 4 };
            std::thread::sleep(delay);
            targets.iter().for_each(|t| process(env, *t).suspend());
            std::thread::sleep(OUTAGE);
            targets.iter().for_each(|t| process(env, *t).resume());
        }
        (ANY_MOMENT, fault @ (Fault::CutOutgoing | Fault::CutIncoming | Fault::CutBoth)) => {
            std::thread::sleep(FAULT_DELAY);
            targets.iter().for_each(|t| set_partition(env, *t, fault, "return(drop)"));
            std::thread::sleep(OUTAGE);
            targets.iter().for_each(|t| set_partition(env, *t, fault, "off"));
        }
        _ => {}
    }
}

/// Clears all faults and restarts the processes that have exited.
pub fn repair(env: &mut TestEnv, cell: &Cell, targets: &[TargetProcess]) {
    for target in targets {
        process(env, *target).resume();
        if let (TargetProcess::Control(at), Fault::LostDisk) = (*target, cell.fault) {
            lose_disk(env, at);
        }
        let killed = cell.step == ANY_MOMENT && matches!(cell.fault, Fault::Kill | Fault::LostDisk);
        if killed {
            process_mut(env, *target).wait_exit();
        }
        let is_stand_in = matches!(target, TargetProcess::StandIn(_));
        if !killed && (is_stand_in || clear_fail_points(env, cell, *target)) {
            continue;
        }
        process_mut(env, *target).restart();
    }
}

/// Clears the fail points of a process; returns false if the process has exited.
fn clear_fail_points(env: &TestEnv, cell: &Cell, target: TargetProcess) -> bool {
    let steps = [cell.step, "wire.send", "wire.receive", "peer.send"];
    let mut steps = steps.into_iter().filter(|s| *s != ANY_MOMENT);
    steps.all(|step| env.try_set_fault(process(env, target), step, "off"))
}

fn lose_disk(env: &mut TestEnv, at: usize) {
    env.controls[at].kill();
    std::fs::remove_dir_all(env.path(&format!("control-{at}"))).unwrap();
    let others = (0..env.controls.len()).filter(|o| *o != at);
    let addresses: Vec<String> =
        others.map(|o| env.controls[o].address("control").to_string()).collect();
    env.controls[at].set_flag("--join", &addresses.join(","));
}
