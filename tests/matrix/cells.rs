//! The cells of the matrix: which fault is injected at which step of which operation.

use std::fmt;

/// Operation during which the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Request,
    Booking,
    Change,
    Drain,
    Order,
}

/// Processes in which a fault can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Entry,
    Agents,
    Leader,
    Follower,
    StandIn,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process exits at the step.
    Kill,
    /// The process is suspended for longer than any lease, then resumes.
    Freeze,
    /// The step is delayed.
    Delay,
    /// The message of the step is lost.
    LoseMessage,
    /// The message of the step is sent twice.
    DuplicateMessage,
    /// Only a part of the bytes is written.
    ShortWrite,
    /// The sync returns an error.
    FailedSync,
    /// All outgoing messages of the process are lost for a while.
    CutOutgoing,
    /// All incoming messages of the process are lost for a while.
    CutIncoming,
    /// All messages from and to the process are lost for a while.
    CutBoth,
    /// The process is killed and its data folder deleted.
    LostDisk,
}

/// One fault at one step, with an optional second fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    pub target: Target,
    pub step: &'static str,
    pub fault: Fault,
    pub second: Option<Box<Cell>>,
}

impl Cell {
    pub fn with(self, second: Self) -> Self {
        Self { second: Some(Box::new(second)), ..self }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} of {:?}", self.fault, self.step, self.target)?;
        match &self.second {
            Some(second) => write!(f, " and {second}"),
            None => Ok(()),
        }
    }
}

/// Step of faults that are injected at a time that is independent of the operation's progress.
pub const ANY_MOMENT: &str = "any moment";

const STEP_FAULTS: [Fault; 3] = [Fault::Kill, Fault::Freeze, Fault::Delay];

const PROCESS_FAULTS: [Fault; 6] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutOutgoing,
    Fault::CutIncoming,
    Fault::CutBoth,
    Fault::LostDisk,
];

const LOG_STEPS: [&str; 5] =
    ["store.write", "store.sync", "store.synced", "control.apply", "control.answer"];

fn steps(operation: Operation) -> Vec<(Target, &'static str)> {
    let log = || LOG_STEPS.map(|step| (Target::Leader, step));
    let mut list = match operation {
        Operation::Request => vec![
            (Target::Entry, "entry.dispatch"),
            (Target::Entry, "entry.dispatched"),
            (Target::Entry, "entry.frame"),
            (Target::Agents, "agent.dispatch"),
            (Target::Agents, "agent.admitted"),
            (Target::Agents, "agent.engine.send"),
            (Target::Agents, "agent.send"),
        ],
        Operation::Booking => vec![
            (Target::Entry, "entry.claim"),
            (Target::Entry, "entry.claimed"),
            (Target::Entry, "entry.dispatch"),
            (Target::Entry, "entry.dispatched"),
            (Target::Entry, "entry.frame"),
            (Target::Agents, "agent.dispatch"),
            (Target::Agents, "agent.admitted"),
            (Target::Agents, "agent.service.send"),
            (Target::Agents, "agent.service.answered"),
            (Target::Agents, "agent.settle"),
            (Target::Agents, "agent.settled"),
            (Target::Agents, "agent.send"),
        ],
        Operation::Order => vec![(Target::Agents, "agent.order")],
        Operation::Change | Operation::Drain => Vec::new(),
    };
    if operation != Operation::Request {
        list.extend(log());
        list.push((Target::Follower, "store.synced"));
    }
    list
}

/// Checks that a fault is possible at a step and returns the reason if it is not.
fn applies(
    operation: Operation,
    target: Target,
    step: &str,
    fault: Fault,
) -> Result<(), &'static str> {
    let control = matches!(target, Target::Leader | Target::Follower);
    match fault {
        Fault::ShortWrite if step != "store.write" => Err("only writes can be short"),
        Fault::FailedSync if step != "store.sync" => Err("only syncs can fail"),
        Fault::LoseMessage | Fault::DuplicateMessage
            if step == "entry.frame" && fault == Fault::LoseMessage =>
        {
            Ok(())
        }
        Fault::LoseMessage | Fault::DuplicateMessage
            if !matches!(step, "peer.send" | "wire.send") =>
        {
            Err("no message is sent at this step")
        }
        Fault::LostDisk if !control => Err("only control has a disk"),
        Fault::CutOutgoing | Fault::CutIncoming | Fault::CutBoth if target == Target::StandIn => {
            Err("endpoints are cut off by killing or freezing them")
        }
        _ if operation == Operation::Request && control && step != ANY_MOMENT => {
            Err("a request takes no step through control")
        }
        _ => Ok(()),
    }
}

/// Returns all cells with one fault, and the reasons for the combinations that are not applicable.
pub fn single_cells(operation: Operation) -> (Vec<Cell>, Vec<&'static str>) {
    let mut wanted = Vec::new();
    let step_faults = STEP_FAULTS.into_iter();
    let step_faults: Vec<Fault> =
        step_faults.chain([Fault::LoseMessage, Fault::ShortWrite, Fault::FailedSync]).collect();
    for (target, step) in steps(operation) {
        wanted.extend(step_faults.iter().map(|fault| (target, step, *fault)));
    }
    let targets =
        [Target::Entry, Target::Agents, Target::Leader, Target::Follower, Target::StandIn];
    for target in targets {
        wanted.extend(PROCESS_FAULTS.map(|fault| (target, ANY_MOMENT, fault)));
    }
    for target in [Target::Entry, Target::Agents, Target::Leader] {
        for fault in [Fault::LoseMessage, Fault::DuplicateMessage, Fault::Delay] {
            wanted.push((target, "wire.send", fault));
        }
    }
    for fault in [Fault::LoseMessage, Fault::DuplicateMessage, Fault::Delay] {
        wanted.push((Target::Leader, "peer.send", fault));
    }
    let mut cells = Vec::new();
    let mut skipped = Vec::new();
    for (target, step, fault) in wanted {
        match applies(operation, target, step, fault) {
            Ok(()) => cells.push(Cell { target, step, fault, second: None }),
            Err(reason) => skipped.push(reason),
        }
    }
    (cells, skipped)
}
