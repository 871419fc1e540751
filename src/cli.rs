//! The command line: every command and option, with the help texts that `--help` prints.

use argh::FromArgs;

/// Serves model prompts of very different lengths.
#[derive(FromArgs, Debug, PartialEq)]
pub struct Cli {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands: server roles first, then operator commands.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand)]
pub enum Command {
    /// Accepts callers' requests and routes them to endpoints.
    Entry(EntryOptions),
    /// Admits requests to the endpoints of a host and reports on them.
    Agent(AgentOptions),
    /// Replicates configuration, membership, orders and idempotency claims.
    Control(ControlOptions),
    /// Runs a role with the settings file of the users' platform.
    Platform(PlatformOptions),
    /// Forms a cluster.
    Init(InitOptions),
    /// Counts why streams were late or lost.
    Losses(LossesOptions),
    /// Validates an inventory and rules.
    Check(CheckOptions),
    /// Validates configuration documents of the users' platform.
    Config(ConfigOptions),
    /// Applies an inventory and rules.
    Apply(ApplyOptions),
    /// Shows the status of the cluster.
    Status(StatusOptions),
    /// Drains a host, an endpoint or an availability zone.
    Drain(DrainOptions),
    /// Sends an order to an endpoint or lists the orders.
    Order(OrderOptions),
    /// Reports error-budget burn rates.
    Burn(BurnOptions),
    /// Removes a control replica.
    Remove(RemoveOptions),
    /// Shows the timeline of a request.
    Trace(TraceOptions),
}

/// Run a role from the settings file of the users' platform.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// role to run
    #[argh(subcommand)]
    pub role: PlatformRole,
}

/// The roles that can run on the users' platform.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand)]
pub enum PlatformRole {
    /// Accepts callers' requests and routes them to endpoints.
    Entry(PlatformEntryOptions),
    /// Serves configuration and collects endpoint announcements.
    Control(PlatformControlOptions),
}

/// Run an entry.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "entry")]
pub struct PlatformEntryOptions {
    /// switch off the mechanism with this name, for a measurement or while it misbehaves; may be
    /// repeated
    #[argh(option)]
    pub without: Vec<String>,
}

/// Run a control replica; it forms, joins and repairs its cluster automatically.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "control")]
pub struct PlatformControlOptions {}

/// Declares the options of a role and adds those of every role. Each flag is kept as text and
/// parsed later together with the environment, so that all findings are reported at once.
macro_rules! role_options {
    (
        $(#[$($meta:tt)*])*
        $name:ident, $command:literal { $( $(#[$($field_meta:tt)*])* $field:ident ),* $(,)? }
    ) => {
        role_options! { @with_shared
            $(#[$($meta)*])*
            $name, $command {
                $( $(#[$($field_meta)*])* $field, )*
                /// listen address for probes and metrics, IP:PORT (127.0.0.1, any free port)
                admin_listen,
                /// timeout of the drain after a signal in milliseconds (120000)
                drain_limit_ms,
                /// maximum size of a frame between processes in bytes (4194304)
                max_frame,
                /// log format: terminal or json (terminal)
                log_form,
                /// minimum log level: error, warning, info, debug (info)
                log_level,
            }
        }
    };
    (@with_shared
        $(#[$($meta:tt)*])*
        $name:ident, $command:literal { $( $(#[$($field_meta:tt)*])* $field:ident, )* }
    ) => {
        $(#[$($meta)*])*
        #[derive(FromArgs, Debug, PartialEq, Default)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $( $(#[$($field_meta)*])* #[argh(option)] pub $field: Option<String>, )*
        }

        impl $name {
            /// Returns the name and value of every flag; the value is `None` if it was not given.
            pub fn into_flags(self) -> Vec<(&'static str, Option<String>)> {
                vec![$( (stringify!($field), self.$field) ),*]
            }

            /// Names of all flags, in snake case.
            pub const FLAG_NAMES: &'static [&'static str] = &[$( stringify!($field) ),*];
        }
    };
}

role_options! {
    /// Run an entry, which serves callers over HTTP. Each flag can also be set as BITTERNLEAD_FLAG.
    EntryOptions, "entry" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// listen address for callers, IP:PORT (127.0.0.1:8080)
        listen,
        /// addresses of the control replicas, IP:PORT,...
        control,
        /// routing policy: predicted, round-robin, least-requests, random-two
        routing,
        /// maximum size of a request body in bytes (16777216)
        max_body,
        /// timeout for reading a request body in milliseconds (30000)
        body_limit_ms,
        /// seed of the random number generator (random)
        seed,
    }
}

role_options! {
    /// Run an agent next to its endpoints. Each flag can also be set as BITTERNLEAD_FLAG.
    AgentOptions, "agent" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// listen address for entries, IP:PORT (127.0.0.1, any free port)
        listen,
        /// address at which entries connect, IP:PORT (the listen address)
        advertise,
        /// addresses of the control replicas, IP:PORT,...
        control,
        /// endpoints of this agent, NAME=IP:PORT,...
        endpoints,
        /// maximum number of queued attempts per endpoint (512)
        max_waiting,
        /// maximum number of running attempts per endpoint (256)
        max_running,
    }
}

role_options! {
    /// Run a control replica. Each flag can also be set as BITTERNLEAD_FLAG.
    ControlOptions, "control" {
        /// name of this node
        node,
        /// availability zone of this node
        zone,
        /// listen address for nodes and other replicas, IP:PORT (127.0.0.1:7400)
        listen,
        /// address at which nodes and replicas connect, IP:PORT (the listen address)
        advertise,
        /// listen address for operator commands, IP:PORT (127.0.0.1:7401)
        operators_listen,
        /// data folder
        data,
        /// addresses of replicas whose cluster to join, IP:PORT,...
        join,
        /// bearer token that operator commands must send (none)
        operator_token,
        /// duration of the nodes' configuration lease in milliseconds (3000)
        lease_ms,
        /// minimum time without a heartbeat before an election in milliseconds (800)
        election_ms,
        /// interval between heartbeats in milliseconds (150)
        heartbeat_ms,
        /// time a new leader collects reports before it sends out members in milliseconds (2500)
        settle_ms,
        /// number of log entries between snapshots (20000)
        snapshot_entries,
    }
}

/// Declares the options of an operator command and adds those that reach control.
macro_rules! operator_options {
    ($(#[$($meta:tt)*])* $name:ident, $command:literal { $($fields:tt)* }) => {
        $(#[$($meta)*])*
        #[derive(FromArgs, Debug, PartialEq)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $($fields)*
            /// operator addresses of the control replicas, IP:PORT,... (BITTERNLEAD_OPERATORS)
            #[argh(option)]
            pub operators: Option<String>,
            /// bearer token for control (BITTERNLEAD_OPERATOR_TOKEN)
            #[argh(option)]
            pub operator_token: Option<String>,
        }
    };
}

operator_options! {
    /// Form a cluster from one uninitialized replica; further replicas join it.
    InitOptions, "init" {}
}

operator_options! {
    /// Apply an inventory and rules; all nodes use them within seconds.
    ApplyOptions, "apply" {
        /// inventory file, .toml or .csv
        #[argh(option)]
        pub inventory: String,
        /// rules file, .toml
        #[argh(option)]
        pub rules: String,
        /// expected current version; the change is rejected if it differs (any)
        #[argh(option, default = "0")]
        pub base: u64,
        /// idempotency key of the operation, for a safe retry (random)
        #[argh(option)]
        pub operation: Option<String>,
        /// wait until every node has applied the change
        #[argh(switch)]
        pub wait: bool,
    }
}

operator_options! {
    /// Show control replicas, nodes by zone and version, and endpoints.
    StatusOptions, "status" {
        /// print JSON
        #[argh(switch)]
        pub json: bool,
    }
}

operator_options! {
    /// Drain a host, an endpoint or an availability zone, or undo its drain.
    DrainOptions, "drain" {
        /// name of the host or endpoint
        #[argh(positional)]
        pub target: Option<String>,
        /// availability zone to drain instead of a host or endpoint
        #[argh(option)]
        pub zone: Option<String>,
        /// undo the drain
        #[argh(switch)]
        pub undo: bool,
        /// idempotency key of the operation, for a safe retry (random)
        #[argh(option)]
        pub operation: Option<String>,
        /// wait until no request runs or waits there
        #[argh(switch)]
        pub wait: bool,
    }
}

operator_options! {
    /// Send an order to an endpoint, or list the orders if none is given.
    OrderOptions, "order" {
        /// endpoint, kind (such as load-model) and argument (such as a model)
        #[argh(positional)]
        pub order: Vec<String>,
        /// idempotency key of the operation, for a safe retry (random)
        #[argh(option)]
        pub operation: Option<String>,
    }
}

operator_options! {
    /// Report error-budget burn rates by workspace and prompt length.
    BurnOptions, "burn" {
        /// percentage of requests that must meet the latency objective (95)
        #[argh(option, default = "95.0")]
        pub objective: f64,
        /// output format: table, json or html (table)
        #[argh(option, default = "\"table\".into()")]
        pub form: String,
    }
}

operator_options! {
    /// Remove a control replica permanently, by its id in the status.
    RemoveOptions, "remove" {
        /// id of the replica in hexadecimal
        #[argh(positional)]
        pub replica: String,
    }
}

/// Show the log lines of several processes about one request in chronological order.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "trace")]
pub struct TraceOptions {
    /// id of the request
    #[argh(positional)]
    pub request: String,
    /// log files of the processes
    #[argh(positional)]
    pub files: Vec<String>,
    /// milliseconds before the request from which node events are also shown (1000)
    #[argh(option, default = "1000")]
    pub margin_ms: u64,
}

/// Count why streams were late or lost, by prompt class, from the logs of entries.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "losses")]
pub struct LossesOptions {
    /// log files of entries
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Validate an inventory and rules without applying them.
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

/// Work on configuration documents of the users' platform.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand, name = "config")]
pub struct ConfigOptions {
    /// what to do with the document
    #[argh(subcommand)]
    pub action: ConfigAction,
}

/// What can be done with a configuration document.
#[derive(FromArgs, Debug, PartialEq)]
#[argh(subcommand)]
pub enum ConfigAction {
    /// Validates a document without sending it.
    Check(ConfigCheckOptions),
}

/// Validate a configuration document without sending it, and show what it would change.
#[derive(FromArgs, Debug, PartialEq, Default)]
#[argh(subcommand, name = "check")]
pub struct ConfigCheckOptions {
    /// the document, a JSON file
    #[argh(positional)]
    pub file: String,
    /// file with the document in force, to show the differences from it
    #[argh(option)]
    pub against: Option<String>,
    /// addresses of control, HOST:PORT,..., to show the differences from the document in force there
    #[argh(option)]
    pub in_force: Option<String>,
    /// region of every availability zone, ZONE=REGION,..., to find regions that no zone has
    #[argh(option)]
    pub zones: Option<String>,
    /// count warnings as errors
    #[argh(switch)]
    pub strict: bool,
}
