//! The operator commands: each reads its input, calls control and prints the result.

use std::path::PathBuf;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::burn;
use crate::cli::{
    ApplyOptions, BurnOptions, CheckOptions, DrainOptions, InitOptions, LossesOptions,
    OrderOptions, RemoveOptions, StatusOptions, TraceOptions,
};
use crate::clock::wall_ms;
use crate::config::{self, ConfigFile};
use crate::control::operators::{
    ApplyRequest, ChangeReply, DrainRequest, OrderRequest, RemoveRequest,
};
use crate::control::reports::{BurnLine, OrderLine, StatusReport};
use crate::exit_codes::ExitCode;
use crate::losses::LossTable;
use crate::operator::{OperatorClient, OperatorError};
use crate::trace::{Timeline, TraceLine};

/// Timeout of `--wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which `--wait` polls the status.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Largest inventory or rules file that is accepted, in bytes.
const MAX_FILE_BYTES: u64 = config::toml_file::MAX_FILE_BYTES as u64;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// An input file or option is invalid.
    Input(String),
    /// Control could not be reached or rejected the call.
    Operator(OperatorError),
}

impl CommandError {
    /// Exit code of a process that ends with this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Input(_) | Self::Operator(OperatorError::NoAddress) => ExitCode::BadInput,
            Self::Operator(_) => ExitCode::Failure,
        }
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Input(text) => write!(f, "{text}"),
            Self::Operator(e) => write!(f, "{e}"),
        }
    }
}

impl From<OperatorError> for CommandError {
    fn from(e: OperatorError) -> Self {
        Self::Operator(e)
    }
}

type CommandResult = Result<ExitCode, CommandError>;

fn read_file(path: &str) -> Result<ConfigFile, CommandError> {
    let input_error = |text: String| CommandError::Input(format!("{path}: {text}"));
    let len = std::fs::metadata(path).map_err(|e| input_error(e.to_string()))?.len();
    if len > MAX_FILE_BYTES {
        return Err(input_error(format!("larger than {MAX_FILE_BYTES} bytes")));
    }
    let data = std::fs::read(path).map_err(|e| input_error(e.to_string()))?;
    let text = String::from_utf8(data).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        input_error(format!("not a text file: invalid UTF-8 at byte {at}"))
    })?;
    Ok(ConfigFile { path: path.to_owned(), text })
}

fn operation_id_or_random(given: Option<String>) -> String {
    given.unwrap_or_else(|| format!("{:x}-{:016x}", wall_ms(), rand::random::<u64>()))
}

async fn get<T: DeserializeOwned>(client: &OperatorClient, path: &str) -> Result<T, OperatorError> {
    client.call("GET", path, &json!({}), "").await
}

/// Reads the status from the confirmed leader, or from any replica if the leader cannot be reached.
/// A replica that does not lead names the leader, but knows neither nodes nor endpoints.
async fn read_status(client: &OperatorClient) -> Result<StatusReport, OperatorError> {
    let status: StatusReport = get(client, "/v1/status").await?;
    let leader = status.replicas.iter().find(|r| r.leader).map(|r| r.operators.clone());
    let (false, Some(leader)) = (status.confirmed, leader) else { return Ok(status) };
    let at_leader = get::<StatusReport>(&client.with_address(leader), "/v1/status").await;
    Ok(at_leader.unwrap_or(status))
}

fn print_change(reply: &ChangeReply, what: &str) -> ExitCode {
    match reply.result.as_str() {
        "ok" => {
            println!("accepted: {what} {}", reply.number);
            ExitCode::Success
        }
        _ => {
            eprintln!("bitternlead: {}: {}", reply.result, reply.detail);
            ExitCode::Failure
        }
    }
}

/// Validates an inventory and rules without applying them.
///
/// # Errors
/// Fails if a file cannot be read or is invalid; the error lists all findings.
pub fn check(options: CheckOptions) -> CommandResult {
    let inventory = read_file(&options.inventory)?;
    let rules = read_file(&options.rules)?;
    let (servers, rules) = config::read_inventory_and_rules(&inventory, &rules)
        .map_err(|f| CommandError::Input(f.to_string().trim_end().to_owned()))?;
    println!(
        "valid: {} servers, {} workspaces, {} models, {} services, {} schedules",
        servers.len(),
        rules.workspaces.len(),
        rules.models.len(),
        rules.services.len(),
        rules.schedules.len()
    );
    Ok(ExitCode::Success)
}

/// Prints the timeline of one request from the logs of several processes.
///
/// # Errors
/// Fails if no log file is given or one cannot be read.
pub fn trace(options: TraceOptions) -> CommandResult {
    let files: Vec<PathBuf> = options.files.iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(CommandError::Input("no log file given; add at least one".into()));
    }
    let margin = Duration::from_millis(options.margin_ms);
    let timeline = Timeline::read(&options.request, &files, margin)
        .map_err(|e| CommandError::Input(e.to_string()))?;
    for line in &timeline.lines {
        println!("{line}");
    }
    if timeline.unparsed > 0 {
        eprintln!("bitternlead: {} lines could not be read", timeline.unparsed);
    }
    if timeline.lines.is_empty() {
        eprintln!("bitternlead: no line is about request {}", options.request);
        return Ok(ExitCode::Failure);
    }
    Ok(ExitCode::Success)
}

/// Prints why streams were late or lost.
///
/// # Errors
/// Fails if no file is named or one cannot be read.
pub fn losses(options: LossesOptions) -> CommandResult {
    if options.files.is_empty() {
        return Err(CommandError::Input("no log file given; add at least one".into()));
    }
    let mut table = LossTable::default();
    for path in &options.files {
        let text = std::fs::read_to_string(path)
            .map_err(|e| CommandError::Input(format!("{path}: {e}; name a readable log file")))?;
        text.lines().filter_map(TraceLine::parse).for_each(|line| table.add_line(&line));
    }
    print!("{table}");
    Ok(ExitCode::Success)
}

/// Forms a cluster of one control replica.
///
/// # Errors
/// Fails if control cannot be reached or rejects the call.
pub async fn init(options: InitOptions) -> CommandResult {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let _: ChangeReply = client.call("POST", "/v1/init", &json!({}), "").await?;
    println!("cluster formed");
    Ok(ExitCode::Success)
}

/// Applies an inventory and rules, and with `--wait` waits until every node has them.
///
/// # Errors
/// Fails if a file cannot be read, or control cannot be reached or rejects the change.
pub async fn apply(options: ApplyOptions) -> CommandResult {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let request = ApplyRequest {
        operation: operation_id_or_random(options.operation),
        base: options.base,
        inventory: read_file(&options.inventory)?,
        rules: read_file(&options.rules)?,
        author: String::new(),
    };
    let reply: ChangeReply =
        client.call("POST", "/v1/config", &request, &request.operation).await?;
    let code = print_change(&reply, "version");
    if code == ExitCode::Success && options.wait {
        return wait_until_applied(&client, reply.number).await;
    }
    Ok(code)
}

async fn wait_until_applied(client: &OperatorClient, version: u64) -> CommandResult {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let status = read_status(client).await?;
        let behind = |v: &u64| *v < version;
        let applied = status.zones.values().all(|z| !z.versions.keys().any(behind));
        if status.confirmed && applied {
            println!("applied on all nodes after {} ms", started.elapsed().as_millis());
            return Ok(ExitCode::Success);
        }
        sleep(WAIT_POLL_INTERVAL).await;
    }
    eprintln!("bitternlead: not yet applied on all nodes; see `bitternlead status`");
    Ok(ExitCode::Failure)
}

/// Prints the status of the cluster, from the confirmed leader if it can be reached.
///
/// # Errors
/// Fails if no control replica answers.
pub async fn status(options: StatusOptions) -> CommandResult {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let status = read_status(&client).await?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
    } else {
        print_status(&status);
    }
    Ok(ExitCode::Success)
}

fn print_status(status: &StatusReport) {
    let confirmed = if status.confirmed { "confirmed by a quorum" } else { "not confirmed" };
    println!(
        "replica {} ({confirmed}), term {}, log {}, configuration {}",
        status.replica, status.term, status.applied, status.config_version
    );
    println!("\nreplicas");
    for r in &status.replicas {
        let role = match (r.leader, r.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        println!("  {}  {:<8} {:<22} operators {}", r.id, role, r.address, r.operators);
    }
    println!("\nnodes by availability zone");
    for (zone, line) in &status.zones {
        let versions: Vec<String> =
            line.versions.iter().map(|(v, n)| format!("{n} at version {v}")).collect();
        println!("  {zone:<16} {} nodes: {}", line.nodes, versions.join(", "));
    }
    if !status.drained_zones.is_empty() {
        println!("\ndrained availability zones: {}", status.drained_zones.join(", "));
    }
    println!("\nendpoints");
    for e in &status.endpoints {
        let state = if e.leaving { "leaving" } else { "serving" };
        println!(
            "  {:<20} {:<8} zone {:<12} running {:<4} waiting {:<4} memory {:<9} {}",
            e.name,
            state,
            e.zone,
            e.running,
            e.queued,
            e.kv_reserved,
            e.models.join(" ")
        );
    }
}

/// Drains a host, an endpoint or an availability zone or undoes that, and with `--wait` waits until
/// it is idle.
///
/// # Errors
/// Fails if control cannot be reached or rejects the change.
pub async fn drain(options: DrainOptions) -> CommandResult {
    if options.target.is_some() == options.zone.is_some() {
        let text = "name a host or endpoint, or an availability zone with --zone";
        return Err(CommandError::Input(text.into()));
    }
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let target = options.target.unwrap_or_default();
    let request = DrainRequest {
        operation: operation_id_or_random(options.operation),
        target: target.clone(),
        zone: options.zone.clone(),
        undo: options.undo,
    };
    let reply: ChangeReply = client.call("POST", "/v1/drain", &request, &request.operation).await?;
    let code = print_change(&reply, "version");
    if code != ExitCode::Success || !options.wait || options.undo {
        return Ok(code);
    }
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let status = read_status(&client).await?;
        let has_requests = |e: &crate::control::reports::EndpointLine| {
            let is_named = e.name == target || options.zone.as_ref() == Some(&e.zone);
            (is_named || e.leaving) && e.running + e.queued > 0
        };
        let mut listed = status.endpoints.iter();
        let is_draining = match &options.zone {
            Some(zone) => listed.all(|e| e.leaving || e.zone != *zone),
            None => listed.any(|e| e.leaving),
        };
        if status.confirmed && is_draining && !status.endpoints.iter().any(has_requests) {
            println!("drained after {} ms", started.elapsed().as_millis());
            return Ok(ExitCode::Success);
        }
        sleep(WAIT_POLL_INTERVAL).await;
    }
    eprintln!("bitternlead: requests are still in flight; see `bitternlead status`");
    Ok(ExitCode::Failure)
}

/// Sends an order to an endpoint, or lists the orders if none is given.
///
/// # Errors
/// Fails if the order is malformed, or control cannot be reached or rejects it.
pub async fn order(options: OrderOptions) -> CommandResult {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    if options.order.is_empty() {
        let orders: Vec<OrderLine> = get(&client, "/v1/orders").await?;
        for o in orders {
            let OrderLine { number, endpoint, kind, argument, state } = o;
            println!("{number:>8} {endpoint:<20} {kind:<12} {argument:<20} {state}");
        }
        return Ok(ExitCode::Success);
    }
    let (endpoint, kind, argument) = match options.order.as_slice() {
        [endpoint, kind] => (endpoint.clone(), kind.clone(), String::new()),
        [endpoint, kind, argument] => (endpoint.clone(), kind.clone(), argument.clone()),
        _ => {
            let text = "an order needs an endpoint, a kind (such as load-model) and an argument";
            return Err(CommandError::Input(text.into()));
        }
    };
    let operation = operation_id_or_random(options.operation);
    let request = OrderRequest { operation, endpoint, kind, argument };
    let reply: ChangeReply =
        client.call("POST", "/v1/orders", &request, &request.operation).await?;
    Ok(print_change(&reply, "order"))
}

/// Prints the error-budget burn rates.
///
/// # Errors
/// Fails if an option is invalid or no control replica answers.
pub async fn burn(options: BurnOptions) -> CommandResult {
    if !(50.0..100.0).contains(&options.objective) {
        let text = format!("--objective: {} is not between 50 and 100", options.objective);
        return Err(CommandError::Input(text));
    }
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let lines: Vec<BurnLine> = get(&client, "/v1/burn").await?;
    let rows = burn::build_rows(&lines, wall_ms() / 60_000, options.objective);
    match options.form.as_str() {
        "table" => print!("{}", burn::render_table(&rows, options.objective)),
        "json" => println!("{}", serde_json::to_string_pretty(&rows).unwrap_or_default()),
        "html" => print!("{}", burn::render_html(&rows, options.objective)),
        other => {
            let text = format!("--form: {other:?} is not one of table, json, html");
            return Err(CommandError::Input(text));
        }
    }
    Ok(ExitCode::Success)
}

/// Removes a control replica from the cluster for good.
///
/// # Errors
/// Fails if control cannot be reached or rejects the removal.
pub async fn remove(options: RemoveOptions) -> CommandResult {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let request = RemoveRequest { replica: options.replica };
    let _: ChangeReply = client.call("POST", "/v1/replicas/remove", &request, "").await?;
    println!("replica removed");
    Ok(ExitCode::Success)
}
