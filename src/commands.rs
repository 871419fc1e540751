//! The operators' commands.

use std::path::PathBuf;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::burn;
use crate::cli::{
    ApplyOptions, BurnOptions, CheckOptions, DrainOptions, InitOptions, OrderOptions,
    RemoveOptions, StatusOptions, TraceOptions,
};
use crate::clock::wall_ms;
use crate::config::{self, NamedText};
use crate::control::operators::{
    ApplyRequest, ChangeReply, DrainRequest, OrderRequest, RemoveRequest,
};
use crate::control::reports::{BurnLine, OrderLine, StatusReport};
use crate::exit_codes::ExitCode;
use crate::operator::{OperatorClient, OperatorError};
use crate::trace::Timeline;

/// Time that `--wait` waits.
const WAIT_LIMIT: Duration = Duration::from_secs(120);

/// Pause between two looks while waiting.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// Largest file that is read, in bytes.
const MAX_FILE: u64 = config::toml_file::MAX_FILE as u64;

/// How a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// Input files were refused.
    Input(String),
    /// Control was not reached or refused.
    Operator(OperatorError),
}

impl CommandError {
    /// Exit code of the process.
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

type Done = Result<ExitCode, CommandError>;

fn read_file(path: &str) -> Result<NamedText, CommandError> {
    let refuse = |text: String| CommandError::Input(format!("{path}: {text}"));
    let len = std::fs::metadata(path).map_err(|e| refuse(e.to_string()))?.len();
    if len > MAX_FILE {
        return Err(refuse(format!("larger than {MAX_FILE} bytes")));
    }
    let data = std::fs::read(path).map_err(|e| refuse(e.to_string()))?;
    let text = String::from_utf8(data).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        refuse(format!("not a text file: byte {at} is no UTF-8"))
    })?;
    Ok(NamedText { path: path.to_owned(), text })
}

fn new_operation(given: Option<String>) -> String {
    given.unwrap_or_else(|| format!("{:x}-{:016x}", wall_ms(), rand::random::<u64>()))
}

async fn get<T: DeserializeOwned>(client: &OperatorClient, path: &str) -> Result<T, OperatorError> {
    client.call("GET", path, &json!({}), "").await
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

/// Tries an inventory and rules.
pub fn check(options: CheckOptions) -> Done {
    let inventory = read_file(&options.inventory)?;
    let rules = read_file(&options.rules)?;
    let (servers, rules) = config::read_both(&inventory, &rules)
        .map_err(|f| CommandError::Input(f.to_string().trim_end().to_owned()))?;
    println!(
        "well formed: {} servers, {} workspaces, {} models, {} services, {} schedules",
        servers.len(),
        rules.workspaces.len(),
        rules.models.len(),
        rules.services.len(),
        rules.schedules.len()
    );
    Ok(ExitCode::Success)
}

/// Shows what logs tell of one request.
pub fn trace(options: TraceOptions) -> Done {
    let files: Vec<PathBuf> = options.files.iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(CommandError::Input("no log file is named; add at least one".into()));
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

/// Forms a cluster.
pub async fn init(options: InitOptions) -> Done {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let _: ChangeReply = client.call("POST", "/v1/init", &json!({}), "").await?;
    println!("cluster formed");
    Ok(ExitCode::Success)
}

/// Applies an inventory and rules.
pub async fn apply(options: ApplyOptions) -> Done {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let request = ApplyRequest {
        operation: new_operation(options.operation),
        base: options.base,
        inventory: read_file(&options.inventory)?,
        rules: read_file(&options.rules)?,
        author: String::new(),
    };
    let reply: ChangeReply =
        client.call("POST", "/v1/config", &request, &request.operation).await?;
    let code = print_change(&reply, "version");
    if code == ExitCode::Success && options.wait {
        return wait_in_force(&client, reply.number).await;
    }
    Ok(code)
}

async fn wait_in_force(client: &OperatorClient, version: u64) -> Done {
    let started = Instant::now();
    while started.elapsed() < WAIT_LIMIT {
        let status: StatusReport = get(client, "/v1/status").await?;
        let behind = |v: &u64| *v < version;
        let all = status.zones.values().all(|z| !z.versions.keys().any(behind));
        if status.confirmed && all {
            println!("in force everywhere after {} ms", started.elapsed().as_millis());
            return Ok(ExitCode::Success);
        }
        sleep(WAIT_PAUSE).await;
    }
    eprintln!("bitternlead: not in force everywhere yet; see status");
    Ok(ExitCode::Failure)
}

/// Shows the cluster.
pub async fn status(options: StatusOptions) -> Done {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let mut status: StatusReport = get(&client, "/v1/status").await?;
    let leader = status.replicas.iter().find(|r| r.leader).map(|r| r.operators.clone());
    if let (false, Some(leader)) = (status.confirmed, leader)
        && let Ok(at_leader) = OperatorClient::new(Some(leader), None)
        && let Ok(confirmed) = get::<StatusReport>(&at_leader, "/v1/status").await
    {
        status = confirmed;
    }
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

/// Drains a host or endpoint.
pub async fn drain(options: DrainOptions) -> Done {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let request = DrainRequest {
        operation: new_operation(options.operation),
        target: options.target.clone(),
        undo: options.undo,
    };
    let reply: ChangeReply = client.call("POST", "/v1/drain", &request, &request.operation).await?;
    let code = print_change(&reply, "version");
    if code != ExitCode::Success || !options.wait || options.undo {
        return Ok(code);
    }
    let started = Instant::now();
    while started.elapsed() < WAIT_LIMIT {
        let status: StatusReport = get(&client, "/v1/status").await?;
        let busy = |e: &crate::control::reports::EndpointLine| {
            (e.name == options.target || e.leaving) && e.running + e.queued > 0
        };
        let known = status.endpoints.iter().any(|e| e.leaving);
        if known && !status.endpoints.iter().any(busy) {
            println!("nothing runs there after {} ms", started.elapsed().as_millis());
            return Ok(ExitCode::Success);
        }
        sleep(WAIT_PAUSE).await;
    }
    eprintln!("bitternlead: work is still under way there; see status");
    Ok(ExitCode::Failure)
}

/// Places an order or lists orders.
pub async fn order(options: OrderOptions) -> Done {
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
            let text = "an order is an endpoint, a kind (like load-model) and an argument";
            return Err(CommandError::Input(text.into()));
        }
    };
    let operation = new_operation(options.operation);
    let request = OrderRequest { operation, endpoint, kind, argument };
    let reply: ChangeReply =
        client.call("POST", "/v1/orders", &request, &request.operation).await?;
    Ok(print_change(&reply, "order"))
}

/// Reports service-level burn.
pub async fn burn(options: BurnOptions) -> Done {
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
            let text = format!("--form: {other:?} is none of table, json, html");
            return Err(CommandError::Input(text));
        }
    }
    Ok(ExitCode::Success)
}

/// Removes a control replica.
pub async fn remove(options: RemoveOptions) -> Done {
    let client = OperatorClient::new(options.operators, options.operator_token)?;
    let request = RemoveRequest { replica: options.replica };
    let _: ChangeReply = client.call("POST", "/v1/replicas/remove", &request, "").await?;
    println!("replica removed");
    Ok(ExitCode::Success)
}
