//! Numbered log events and the loggers of the process; `docs/EVENTS.md` lists the events.

use std::fmt;

use slog::{Drain, Level, Logger, o};

/// Log lines that are buffered for standard output; further lines are dropped and counted, so
/// that a slow reader doesn't block the process.
const OUTPUT_QUEUE_LINES: usize = 1024;

/// Format of the log on standard error, set with `--log-form`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// One line of text per event, for reading in a terminal.
    Terminal,
    /// One JSON object per line.
    Json,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A log event; its number is the variant's discriminant.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $text] $name = $number,)*
        }

        impl Event {
            /// All events, in the order of their declaration.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Message of the event, without its fields.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    ProcessStarted = 100, Info, "process started";
    ProcessDraining = 101, Info, "draining after a signal";
    ProcessStopped = 102, Info, "process stopped";
    Panicked = 104, Error, "panic in this process";
    TaskRestarted = 105, Error, "task panicked, started again";
    TaskLost = 106, Critical, "task panicked, this process ends";
    DrainCutShort = 103, Warning, "drain ended with work left";
    FrameRefused = 202, Warning, "frame refused";
    LeaderElected = 300, Info, "this replica leads";
    LeaderLost = 301, Warning, "this replica no longer leads";
    LogTailTruncated = 302, Warning, "torn tail of the log cut";
    StoreRefused = 303, Error, "data folder refused";
    SyncFailed = 304, Critical, "write or sync of the data folder failed";
    SnapshotTaken = 305, Info, "snapshot taken";
    SnapshotRestored = 306, Info, "snapshot of the leader restored";
    MembersChanged = 307, Info, "replicas of control changed";
    EntriesSentAgain = 310, Info, "log entries or snapshot lost on their way, sent again";
    VoteSettled = 311, Info, "vote passed on or kept before the end of this replica";
    VoteVoid = 312, Info, "disk of a replica lost: another one is at its address, its vote counts no more";
    ClusterFormed = 308, Info, "cluster formed";
    StoreRewritten = 309, Info, "data folder written anew after a failed write";
    ConfigAccepted = 400, Info, "configuration change accepted";
    ConfigRefused = 401, Warning, "configuration change refused";
    ConfigApplied = 402, Info, "configuration in force on this node";
    LeaseLost = 403, Warning, "configuration lease lost, taking no new work";
    LeaseGained = 404, Info, "configuration lease gained";
    ConfigUnreadable = 405, Error, "configuration record not understood";
    ConfigAwaited = 406, Info, "request waited for the first configuration";
    DocumentFetched = 407, Info, "configuration document fetched";
    DocumentFetchFailed = 408, Warning, "fetch of a configuration document failed";
    ZoneDrainOrdered = 409, Info, "drain of an availability zone or its end committed";
    ZoneDrainRefused = 410, Warning, "drain of an unknown availability zone refused";
    ZoneDrainApplied = 411, Info, "drain of an availability zone in force or ended on this node";
    RegionsUnknown = 412, Warning, "configuration document names regions without a known zone";
    EndpointJoined = 500, Info, "endpoint joined";
    EndpointLeaving = 501, Info, "endpoint leaving";
    EndpointLost = 502, Warning, "endpoint lost";
    EndpointUnfit = 503, Warning, "endpoint unfit";
    EndpointStateChanged = 504, Info, "announced endpoint changed its standing";
    EndpointsRestored = 505, Info, "endpoints of the last run restored";
    EndpointFileUnusable = 506, Warning, "file of known endpoints not read or written";
    AnnouncementRuledOut = 507, Info, "announcement contradicts what is known of its endpoint, not used";
    EndpointRevived = 508, Warning, "endpoint went on announcing itself, used again";
    ServiceUnknown = 509, Info, "announcement of a service that no document names, held";
    OrderPlaced = 510, Info, "order placed";
    OrderDone = 511, Info, "order done";
    OrderRefused = 512, Warning, "order refused by the fencing gate";
    OrphanCancelled = 520, Warning, "engine held a request unknown to the ledger, cancelled";
    ReleaseOverdue = 521, Warning, "engine has not confirmed a release in time";
    RequestRefused = 600, Info, "request refused";
    RequestFailed = 601, Warning, "request failed";
    AttemptRetried = 602, Info, "attempt retried";
    OutcomeUnknown = 603, Warning, "booking ended with unknown outcome";
    SettleDelayed = 604, Warning, "outcome of a booking not recorded yet";
    RequestDone = 605, Info, "request answered";
    RequestRejected = 606, Info, "request rejected";
    StreamDone = 607, Info, "stream ended";
    StreamBroken = 608, Warning, "stream broke off";
    MemoryReserved = 609, Info, "memory reserved at several engines";
    RequestPlaced = 613, Info, "request placed";
    PlacementRefused = 615, Info, "request not placed on the engines";
    ControlReachable = 610, Info, "control replica heard";
    ControlUnreachable = 611, Warning, "control replica lost";
    LimitNamed = 616, Info, "endpoint names a limit";
    LimitLifted = 617, Info, "endpoint names no limit any more";
    LoadReportMissed = 614, Info, "load report of another entry missed";
    SettingsReloaded = 612, Info, "settings read anew";
    EndpointCrashed = 618, Warning, "endpoint crashed under requests";
    RequestQuarantined = 619, Warning, "poison request found, such requests are refused";
    SuspicionCleared = 643, Info, "request answered, crashes do not speak against it any more";
    CrashesUndecided = 645, Info, "crashes judged, too few for a verdict";
    SuspectSent = 644, Info, "request under suspicion sent";
    QuarantineLifted = 623, Info, "request answered, such requests are not refused any more";
    QuarantineEnded = 624, Info, "time of a quarantine passed, the next crash renews it";
    QuarantineFileUnusable = 625, Warning, "file of poison requests not read or written";
    EndpointSaidItLeaves = 626, Info, "endpoint said in an answer that it leaves";
    EndpointMisdirected = 628, Info, "another endpoint answers at the address of this one";
    EndpointNamedTime = 627, Info, "endpoint wants no requests for a time";
    MemoryRefused = 640, Warning, "no memory for the body of a request";
    CallerNotReading = 641, Warning, "caller read nothing, disconnected";
    EndpointAvoided = 642, Info, "endpoint avoided for a time, several entries saw it refuse";
    RequestQueued = 650, Info, "request waits for an engine";
    RequestLeftQueue = 651, Info, "request left the queue for an engine";
    DocumentAccepted = 620, Info, "configuration document accepted";
    DocumentRefused = 621, Warning, "configuration document refused";
    AnnouncementRefused = 622, Warning, "announcement refused";
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", *self as u32)
    }
}

/// Logs a numbered event with its fields, for example
/// `event!(log, EndpointLost, "endpoint" => name)`.
#[macro_export]
macro_rules! event {
    ($log:expr, $name:ident $(, $key:literal => $value:expr)* $(,)?) => {{
        let event = $crate::events::Event::$name;
        let code = format!("E{}", event as u32);
        match event.level() {
            slog::Level::Critical => slog::crit!($log, "{}", event.text();
                "event" => code $(, $key => $value)*),
            slog::Level::Error => slog::error!($log, "{}", event.text();
                "event" => code $(, $key => $value)*),
            slog::Level::Warning => slog::warn!($log, "{}", event.text();
                "event" => code $(, $key => $value)*),
            slog::Level::Info => slog::info!($log, "{}", event.text();
                "event" => code $(, $key => $value)*),
            _ => slog::debug!($log, "{}", event.text();
                "event" => code $(, $key => $value)*),
        }
    }};
}

/// Builds the logger of a process that writes to standard error.
///
/// Lines below `level` are dropped; the others carry `role` and `node`. The guard flushes the
/// logger when it is dropped.
pub fn build_logger(
    form: LogForm,
    level: Level,
    role: &'static str,
    node: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match form {
        LogForm::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let format = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(format).build_with_guard()
        }
        LogForm::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(json).build_with_guard()
        }
    };
    let drain = slog::LevelFilter::new(drain, level).fuse();
    let log = Logger::root(drain, o!("role" => role, "node" => node.to_owned()));
    (log, guard)
}

/// Builds the logger of a process that writes JSON lines to standard output.
///
/// Lines pass through a bounded queue; those that don't fit are dropped and counted. The guard
/// flushes the logger when it is dropped.
pub fn build_output_logger(role: &'static str, node: &str) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let (drain, guard) =
        slog_async::Async::new(json).chan_size(OUTPUT_QUEUE_LINES).build_with_guard();
    let log = Logger::root(drain.fuse(), o!("role" => role, "node" => node.to_owned()));
    (log, guard)
}

/// Returns a logger that discards all lines.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
