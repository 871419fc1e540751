//! Which fault is tried at which step of which operation.

use std::fmt;

/// What is under way when the fault comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Request,
    Booking,
    Change,
    Drain,
    Order,
}

/// Processes that a fault can hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Entry,
    Agents,
    Leader,
    Follower,
    StandIn,
}

/// Faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The process ends at the step.
    Kill,
    /// The process stands still for longer than any lease, then goes on.
    Freeze,
    /// The step takes long.
    Delay,
    /// The step's message is lost.
    Lose,
    /// The step's message comes twice.
    Twice,
    /// The write is cut short.
    ShortWrite,
    /// The sync reports an error.
    FailedSync,
    /// Nothing that the process sends arrives for a while.
    CutOut,
    /// Nothing that is sent to the process arrives for a while.
    CutIn,
    /// The process is cut off for a while.
    CutBoth,
    /// The process ends and its disk is lost.
    LostDisk,
}

/// One fault at one step, and maybe a second one.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    pub target: Target,
    pub step: &'static str,
    pub kind: Kind,
    pub second: Option<Box<Cell>>,
}

impl Cell {
    pub fn with(self, second: Self) -> Self {
        Self { second: Some(Box::new(second)), ..self }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} of {:?}", self.kind, self.step, self.target)?;
        match &self.second {
            Some(second) => write!(f, " and {second}"),
            None => Ok(()),
        }
    }
}

/// Step of faults that come at any moment.
pub const ANY: &str = "any moment";

const STEP_KINDS: [Kind; 3] = [Kind::Kill, Kind::Freeze, Kind::Delay];

const PROCESS_KINDS: [Kind; 6] =
    [Kind::Kill, Kind::Freeze, Kind::CutOut, Kind::CutIn, Kind::CutBoth, Kind::LostDisk];

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

/// Whether a fault makes sense at a step; the reason if not.
fn applies(
    operation: Operation,
    target: Target,
    step: &str,
    kind: Kind,
) -> Result<(), &'static str> {
    let control = matches!(target, Target::Leader | Target::Follower);
    match kind {
        Kind::ShortWrite if step != "store.write" => Err("only writes can be short"),
        Kind::FailedSync if step != "store.sync" => Err("only syncs can fail"),
        Kind::Lose | Kind::Twice if step == "entry.frame" && kind == Kind::Lose => Ok(()),
        Kind::Lose | Kind::Twice if !matches!(step, "peer.send" | "wire.send") => {
            Err("no message is sent at this step")
        }
        Kind::LostDisk if !control => Err("only control has a disk"),
        Kind::CutOut | Kind::CutIn | Kind::CutBoth if target == Target::StandIn => {
            Err("endpoints are cut off by killing or freezing them")
        }
        _ if operation == Operation::Request && control && step != ANY => {
            Err("a request takes no step through control")
        }
        _ => Ok(()),
    }
}

/// All cells with one fault, and the reasons of those that do not apply.
pub fn single_cells(operation: Operation) -> (Vec<Cell>, Vec<&'static str>) {
    let mut wanted = Vec::new();
    let step_kinds = STEP_KINDS.into_iter();
    let step_kinds: Vec<Kind> =
        step_kinds.chain([Kind::Lose, Kind::ShortWrite, Kind::FailedSync]).collect();
    for (target, step) in steps(operation) {
        wanted.extend(step_kinds.iter().map(|kind| (target, step, *kind)));
    }
    let targets =
        [Target::Entry, Target::Agents, Target::Leader, Target::Follower, Target::StandIn];
    for target in targets {
        wanted.extend(PROCESS_KINDS.map(|kind| (target, ANY, kind)));
    }
    for target in [Target::Entry, Target::Agents, Target::Leader] {
        for kind in [Kind::Lose, Kind::Twice, Kind::Delay] {
            wanted.push((target, "wire.send", kind));
        }
    }
    for kind in [Kind::Lose, Kind::Twice, Kind::Delay] {
        wanted.push((Target::Leader, "peer.send", kind));
    }
    let mut cells = Vec::new();
    let mut skipped = Vec::new();
    for (target, step, kind) in wanted {
        match applies(operation, target, step, kind) {
            Ok(()) => cells.push(Cell { target, step, kind, second: None }),
            Err(reason) => skipped.push(reason),
        }
    }
    (cells, skipped)
}
