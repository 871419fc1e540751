//! The command line: every command and option with its help.

use argh::FromArgs;

/// Serves model prompts of very different lengths.
#[derive(FromArgs, Debug, PartialEq)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand)]
pub enum Command {
    /// Callers' side.
    Entry(EntryOptions),
    /// Endpoints' side.
    Agent(AgentOptions),
    /// Configuration, membership, orders and bookings.
    Control(ControlOptions),
    /// The users' platform.
    Platform(PlatformOptions),
    /// Forms a cluster.
    Init(InitOptions),
    /// Tries inventory and rules.
    Check(CheckOptions),
    /// Applies inventory and rules.
    Apply(ApplyOptions),
    /// Shows the cluster.
    Status(StatusOptions),
    /// Drains a host or endpoint.
    Drain(DrainOptions),
    /// Orders an endpoint.
    Order(OrderOptions),
    /// Reports service-level burn.
    Burn(BurnOptions),
    /// Removes a control replica.
    Remove(RemoveOptions),
    /// Shows what happened to a request.
    Trace(TraceOptions),
}

/// Run a role from the settings file of the users' platform.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// role
    #[argh(subcommand)]
    pub role: PlatformRole,
}

/// Roles on the platform.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand)]
pub enum PlatformRole {
    /// Callers' side.
    Entry(PlatformEntryOptions),
    /// Configuration and announcements.
    Control(PlatformControlOptions),
}

/// Run an entry.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "entry")]
pub struct PlatformEntryOptions {}

/// Run a control replica; it founds, joins and repairs its cluster by itself.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "control")]
pub struct PlatformControlOptions {}

/// Declares the options of a role: each a flag whose text is checked later, together with
/// the environment.
macro_rules! role_options {
    (
        $(#[$($meta:tt)*])*
        $name:ident, $command:literal { $( $(#[$($field_meta:tt)*])* $field:ident ),* $(,)? }
    ) => {
        $(#[$($meta)*])*
        #[derive(FromArgs, Debug, PartialEq, Default)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $( $(#[$($field_meta)*])* #[argh(option)] pub $field: Option<String>, )*
        }

        impl $name {
            /// Names and values of all flags.
            pub fn into_flags(self) -> Vec<(&'static str, Option<String>)> {
                vec![$( (stringify!($field), self.$field) ),*]
            }

            /// Names of all flags.
            pub const NAMES: &'static [&'static str] = &[$( stringify!($field) ),*];
        }
    };
}

role_options! {
    /// Run an entry: callers' HTTP, routing, retries. Each flag may be given as BITTERNLEAD_FLAG.
    EntryOptions, "entry" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// address for callers, IP:PORT (127.0.0.1:8080)
        listen,
        /// addresses of control, IP:PORT,...
        control,
        /// how endpoints are chosen: predicted, round-robin, least-requests, random-two
        routing,
        /// largest body of a caller in bytes (16777216)
        max_body,
        /// longest time for a caller's body in milliseconds (30000)
        body_limit_ms,
        /// seed of random choices (random)
        seed,
        /// address of probes and metrics, IP:PORT (127.0.0.1, any port)
        admin_listen,
        /// longest drain after a signal in milliseconds (120000)
        drain_limit_ms,
        /// largest frame between processes in bytes (4194304)
        max_frame,
        /// form of the log: terminal or json (terminal)
        log_form,
        /// lowest level logged: error, warning, info, debug (info)
        log_level,
    }
}

role_options! {
    /// Run an agent beside endpoints. Each flag may be given as BITTERNLEAD_FLAG.
    AgentOptions, "agent" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// address for entries, IP:PORT (127.0.0.1, any port)
        listen,
        /// address that entries are told, IP:PORT (the bound one)
        advertise,
        /// addresses of control, IP:PORT,...
        control,
        /// endpoints, NAME=IP:PORT,...
        endpoints,
        /// attempts that may wait for one endpoint (512)
        max_waiting,
        /// attempts that may run on one endpoint at once (256)
        max_running,
        /// address of probes and metrics, IP:PORT (127.0.0.1, any port)
        admin_listen,
        /// longest drain after a signal in milliseconds (120000)
        drain_limit_ms,
        /// largest frame between processes in bytes (4194304)
        max_frame,
        /// form of the log: terminal or json (terminal)
        log_form,
        /// lowest level logged: error, warning, info, debug (info)
        log_level,
    }
}

role_options! {
    /// Run a control replica. Each flag may be given as BITTERNLEAD_FLAG.
    ControlOptions, "control" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// address for the system's own processes, IP:PORT (127.0.0.1:7400)
        listen,
        /// address that others are told, IP:PORT (the bound one)
        advertise,
        /// address for operators, IP:PORT (127.0.0.1:7401)
        operators_listen,
        /// data folder
        data,
        /// addresses of the other replicas, to join their cluster, IP:PORT,...
        join,
        /// bearer token that operators have to send (none)
        operator_token,
        /// lease of nodes on the configuration in milliseconds (3000)
        lease_ms,
        /// shortest silence of a leader before an election in milliseconds (800)
        election_ms,
        /// interval between heartbeats in milliseconds (150)
        heartbeat_ms,
        /// time that a new leader listens before it hands out members in milliseconds (2500)
        settle_ms,
        /// log entries after which a snapshot is taken (20000)
        snapshot_entries,
        /// address of probes and metrics, IP:PORT (127.0.0.1, any port)
        admin_listen,
        /// longest drain after a signal in milliseconds (120000)
        drain_limit_ms,
        /// largest frame between processes in bytes (4194304)
        max_frame,
        /// form of the log: terminal or json (terminal)
        log_form,
        /// lowest level logged: error, warning, info, debug (info)
        log_level,
    }
}

/// Declares the options of an operator's command, which all name control.
macro_rules! operator_options {
    ($(#[$($meta:tt)*])* $name:ident, $command:literal { $($fields:tt)* }) => {
        $(#[$($meta)*])*
        #[derive(FromArgs, Debug, PartialEq)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $($fields)*
            /// operators' addresses of control, IP:PORT,... (BITTERNLEAD_OPERATORS)
            #[argh(option)]
            pub operators: Option<String>,
            /// bearer token (BITTERNLEAD_OPERATOR_TOKEN)
            #[argh(option)]
            pub operator_token: Option<String>,
        }
    };
}

operator_options! {
    /// Form a cluster of one waiting replica; the others join it.
    InitOptions, "init" {}
}

operator_options! {
    /// Apply an inventory and rules; the change holds everywhere within seconds.
    ApplyOptions, "apply" {
        /// inventory file, .toml or .csv
        #[argh(option)]
        pub inventory: String,
        /// rules file, .toml
        #[argh(option)]
        pub rules: String,
        /// version that the change is based on; another in force refuses it (any)
        #[argh(option, default = "0")]
        pub base: u64,
        /// identity of the operation, to send it again safely (random)
        #[argh(option)]
        pub operation: Option<String>,
        /// wait until every node has the change in force
        #[argh(switch)]
        pub wait: bool,
    }
}

operator_options! {
    /// Show replicas, nodes by zone and version, and endpoints.
    StatusOptions, "status" {
        /// print JSON
        #[argh(switch)]
        pub json: bool,
    }
}

operator_options! {
    /// Drain a host or endpoint, or take it back.
    DrainOptions, "drain" {
        /// host or endpoint
        #[argh(positional)]
        pub target: String,
        /// take it back
        #[argh(switch)]
        pub undo: bool,
        /// identity of the operation, to send it again safely (random)
        #[argh(option)]
        pub operation: Option<String>,
        /// wait until nothing runs there any more
        #[argh(switch)]
        pub wait: bool,
    }
}

operator_options! {
    /// Place an order to an endpoint, or list orders when none is named.
    OrderOptions, "order" {
        /// endpoint, kind (like load-model) and argument (like a model)
        #[argh(positional)]
        pub order: Vec<String>,
        /// identity of the operation, to send it again safely (random)
        #[argh(option)]
        pub operation: Option<String>,
    }
}

operator_options! {
    /// Report service-level burn by workspace and prompt length.
    BurnOptions, "burn" {
        /// objective as the share of requests that has to meet it, in percent (95)
        #[argh(option, default = "95.0")]
        pub objective: f64,
        /// form: table, json or html (table)
        #[argh(option, default = "\"table\".into()")]
        pub form: String,
    }
}

operator_options! {
    /// Remove a control replica for good, by its identity in status.
    RemoveOptions, "remove" {
        /// identity of the replica in hexadecimal
        #[argh(positional)]
        pub replica: String,
    }
}

/// Show what the logs of several processes tell of one request, in the order of time.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "trace")]
pub struct TraceOptions {
    /// identity of the request, then log files
    #[argh(positional)]
    pub request: String,
    /// log files
    #[argh(positional)]
    pub files: Vec<String>,
    /// milliseconds before the request from which changes on the nodes are shown (1000)
    #[argh(option, default = "1000")]
    pub margin_ms: u64,
}

/// Try an inventory and rules without applying them.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "check")]
pub struct CheckOptions {
    /// inventory file, .toml or .csv
    #[argh(option)]
    pub inventory: String,
    /// rules file, .toml
    #[argh(option)]
    pub rules: String,
}
