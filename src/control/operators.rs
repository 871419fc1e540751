//! HTTP API of a control replica for operators.
//!
//! Every replica answers the status and the request to form a cluster. All else is answered by the
//! leader alone; another replica refuses it and names the leader if it can.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::core::{Answer, CoreView, Input};
use super::reports::{BurnLine, OrderLine, StatusReport};
use super::zone_drains;
use crate::config::{self, ConfigFile, fleet_config};
use crate::http::{json, parse_json, read_body};
use crate::wire::{Change, Command, ConfigRecord, Outcome, PlaceOrder, command};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 160 * 1024 * 1024;

/// How long a request body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Request to replace the configuration by an inventory and rules.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Idempotency key of the operation, 1 to 128 bytes; a repeated request gets the first reply.
    pub operation: String,
    /// Configuration version that the files are based on. Another version in force is a conflict;
    /// 0 stands for the version in force.
    pub base: u64,
    /// Inventory file, checked together with the rules.
    pub inventory: ConfigFile,
    /// Rules file, checked together with the inventory.
    pub rules: ConfigFile,
    /// Author of the change; committed with it.
    pub author: String,
}

/// Request to drain a host, an endpoint or an availability zone, or to end its drain.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Idempotency key of the operation, 1 to 128 bytes; a repeated request gets the first reply.
    pub operation: String,
    /// Name of a host or endpoint of the inventory; empty if `zone` is given.
    #[serde(default)]
    pub target: String,
    /// Name of an availability zone of the inventory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether to end the drain instead of starting it.
    pub undo: bool,
}

/// Request to place an order, which the agent of an endpoint carries out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Idempotency key of the operation, 1 to 128 bytes; a repeated request gets the first reply.
    pub operation: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Kind of the order, such as `load-model`; it supersedes an open order of the same kind.
    pub kind: String,
    /// Argument of the order, such as the name of a model.
    pub argument: String,
}

/// Request to remove a replica from the cluster.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RemoveRequest {
    /// Id of the replica in hexadecimal.
    pub replica: String,
}

/// Reply to a request for a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// `ok`, `conflict` or `rejected`.
    pub result: String,
    /// Configuration version or order number that the change produced; after a conflict, the
    /// version in force.
    pub number: u64,
    /// Why the change was not made and what to do; empty after success.
    pub detail: String,
}

/// Body of a response with an error status.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Message for the operator.
    pub error: String,
    /// Errors found in the inventory and rules, each with its place in the file.
    pub findings: Vec<String>,
    /// Operators' address of the leader, if this replica does not lead and knows it.
    pub leader: Option<String>,
}

/// State that the route handlers share.
#[derive(Clone)]
struct OperatorApi {
    core: Sender<Input>,
    token: Option<Arc<str>>,
}

/// Builds the routes; every request has to carry `token` as its bearer token, if there is one.
pub fn build_router(core: Sender<Input>, token: Option<String>) -> Router {
    let api = OperatorApi { core, token: token.map(Arc::from) };
    let route = |f: fn(OperatorApi, Request) -> HandlerFuture| {
        let api = api.clone();
        move |req: Request| {
            let api = api.clone();
            async move {
                if !api.is_authorized(&req) {
                    return Ok(error_response(StatusCode::UNAUTHORIZED, "wrong operator token"));
                }
                viz::Result::Ok(f(api, req).await.unwrap_or_else(|r| r))
            }
        }
    };
    Router::new()
        .get("/v1/status", route(|api, _| Box::pin(api.status())))
        .get("/v1/config", route(|api, _| Box::pin(api.config())))
        .get("/v1/orders", route(|api, _| Box::pin(api.orders())))
        .get("/v1/burn", route(|api, _| Box::pin(api.burn())))
        .post("/v1/config", route(|api, r| Box::pin(api.apply(r))))
        .post("/v1/drain", route(|api, r| Box::pin(api.drain(r))))
        .post("/v1/orders", route(|api, r| Box::pin(api.order(r))))
        .post("/v1/init", route(|api, _| Box::pin(api.init())))
        .post("/v1/replicas/remove", route(|api, r| Box::pin(api.remove(r))))
}

/// A response, or an error response, which are sent alike.
type HandlerResult = Result<Response, Response>;
type HandlerFuture = std::pin::Pin<Box<dyn Future<Output = HandlerResult> + Send>>;

fn error_response(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorReply { error: error.to_owned(), ..ErrorReply::default() })
}

/// Reads the body of a request as JSON.
async fn read_json<T: serde::de::DeserializeOwned>(mut req: Request) -> Result<T, Response> {
    let body = read_body(&mut req, MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .map_err(|e| error_response(e.status(), &e.to_string()))?;
    parse_json(&body).map_err(|e| error_response(StatusCode::BAD_REQUEST, &e))
}

impl OperatorApi {
    fn is_authorized(&self, req: &Request) -> bool {
        let Some(token) = &self.token else { return true };
        let header: Option<String> = req.header("authorization");
        header.is_some_and(|h| h.strip_prefix("Bearer ") == Some(token))
    }

    /// Reads the state if a quorum has just confirmed this replica as the leader.
    async fn read_confirmed<T: Send + 'static>(
        &self,
        f: impl FnOnce(&CoreView<'_>) -> T + Send + 'static,
    ) -> Result<T, Response> {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |view: CoreView<'_>| {
            let answer = match view.may_read {
                true => Ok(f(&view)),
                false => Err(leader_operators_address(&view)),
            };
            let _ = tx.send(answer);
        });
        let _ = self.core.send(Input::Read(read));
        match rx.await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(leader)) => Err(not_leader(leader)),
            Err(_) => Err(not_leader(None)),
        }
    }

    /// Answers that this replica does not lead, with the leader if it knows one.
    async fn name_leader(&self) -> Response {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |view: CoreView<'_>| {
            let _ = tx.send(leader_operators_address(&view));
        });
        let _ = self.core.send(Input::Read(read));
        not_leader(rx.await.ok().flatten())
    }

    async fn status(self) -> HandlerResult {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |view: CoreView<'_>| {
            let _ = tx.send(StatusReport::build(&view));
        });
        let _ = self.core.send(Input::Read(read));
        let report = rx.await.map_err(|_| not_leader(None))?;
        Ok(json(StatusCode::OK, &report))
    }

    async fn config(self) -> HandlerResult {
        let current = self.read_confirmed(|view| view.state.config.changes_since(0)).await?;
        let records: BTreeMap<String, serde_json::Value> = current
            .records
            .into_iter()
            .filter_map(|r| {
                let value = serde_json::from_str(r.value.as_deref()?).unwrap_or_default();
                Some((r.key, value))
            })
            .collect();
        let body = serde_json::json!({ "version": current.version, "records": records });
        Ok(json(StatusCode::OK, &body))
    }

    async fn orders(self) -> HandlerResult {
        let orders = self.read_confirmed(|view| view.state.orders.all()).await?;
        let lines: Vec<OrderLine> = orders.into_iter().map(OrderLine::from).collect();
        Ok(json(StatusCode::OK, &lines))
    }

    async fn burn(self) -> HandlerResult {
        let counts = self.read_confirmed(|view| view.state.burn.export()).await?;
        let lines: Vec<BurnLine> = counts.into_iter().map(BurnLine::from).collect();
        Ok(json(StatusCode::OK, &lines))
    }

    async fn apply(self, req: Request) -> HandlerResult {
        let input: ApplyRequest = read_json(req).await?;
        let (servers, rules) =
            match config::read_inventory_and_rules(&input.inventory, &input.rules) {
                Ok(both) => both,
                Err(findings) => {
                    let list = findings.list().iter().map(|f| format!("{}: {}", f.place, f.text));
                    let error = "inventory and rules were refused; nothing changed".to_owned();
                    let reply = ErrorReply { error, findings: list.collect(), leader: None };
                    return Err(json(StatusCode::UNPROCESSABLE_ENTITY, &reply));
                }
            };
        let records = fleet_config::to_records(&servers, &rules);
        let base = input.base;
        let (changes, current_version) = self
            .read_confirmed(move |view| {
                let current = view.state.config.changes_since(0);
                (fleet_config::diff_records(&current.records, &records), current.version)
            })
            .await?;
        let base = if base == 0 { current_version } else { base };
        let change = Change { base, records: changes, author: input.author };
        self.propose(input.operation, command::Kind::Change(change)).await
    }

    async fn drain(self, req: Request) -> HandlerResult {
        let input: DrainRequest = read_json(req).await?;
        if let Some(zone) = &input.zone {
            if !input.target.is_empty() {
                let text = "target and zone exclude each other; drain one after the other";
                return Err(error_response(StatusCode::BAD_REQUEST, text));
            }
            let zone = zone.clone();
            return self.drain_zone(input.operation, zone, !input.undo).await;
        }
        let target = input.target.clone();
        let exists = self.read_confirmed(move |view| target_exists(view, &target)).await?;
        if !exists {
            let text = "no host or endpoint of this name; see the inventory";
            return Err(error_response(StatusCode::NOT_FOUND, text));
        }
        let value = (!input.undo).then(|| "true".to_owned());
        let key = format!("drain/{}", input.target);
        let records = vec![ConfigRecord { key, version: 0, value }];
        let change = Change { base: 0, records, author: String::new() };
        self.propose(input.operation, command::Kind::Change(change)).await
    }

    async fn drain_zone(self, operation: String, zone: String, drained: bool) -> HandlerResult {
        let known = self.read_confirmed(known_zones).await?;
        if !known.contains(&zone) {
            let known: Vec<String> = known.into_iter().collect();
            let text =
                format!("no availability zone of this name; known are: {}", known.join(", "));
            return Err(error_response(StatusCode::NOT_FOUND, &text));
        }
        let change = zone_drains::build_change(&zone, drained);
        self.propose(operation, command::Kind::Change(change)).await
    }

    async fn order(self, req: Request) -> HandlerResult {
        let OrderRequest { operation, endpoint, kind, argument } = read_json(req).await?;
        let order = PlaceOrder { endpoint, kind, argument };
        self.propose(operation, command::Kind::PlaceOrder(order)).await
    }

    /// Commits a command under the idempotency key of an operator's request.
    async fn propose(self, operation: String, kind: command::Kind) -> HandlerResult {
        if operation.is_empty() || operation.len() > 128 {
            let text = "operation has to be a text of 1 to 128 bytes";
            return Err(error_response(StatusCode::BAD_REQUEST, text));
        }
        let (tx, rx) = oneshot::channel();
        let operation = format!("operator/{operation}");
        let command = Command { wall_ms: 0, operation, kind: Some(kind) };
        let _ = self.core.send(Input::Propose(command, tx));
        match rx.await {
            Ok(Answer::Done(outcome)) => Ok(change_reply(outcome)),
            _ => Err(self.name_leader().await),
        }
    }

    async fn init(self) -> HandlerResult {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(Input::Bootstrap(tx));
        match rx.await {
            Ok(true) => Ok(change_reply(Outcome { result: "ok".into(), ..Outcome::default() })),
            _ => Err(error_response(
                StatusCode::CONFLICT,
                "this replica belongs to a cluster already",
            )),
        }
    }

    async fn remove(self, req: Request) -> HandlerResult {
        let input: RemoveRequest = read_json(req).await?;
        let Ok(id) = u64::from_str_radix(&input.replica, 16) else {
            return Err(error_response(
                StatusCode::BAD_REQUEST,
                "replica is no hexadecimal identity",
            ));
        };
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(Input::Remove(id, tx));
        match rx.await {
            Ok(Answer::Done(true)) => {
                Ok(change_reply(Outcome { result: "ok".into(), ..Outcome::default() }))
            }
            Ok(Answer::Done(false)) => {
                let text = "another member change is under way or it is the last voter; try again";
                Err(error_response(StatusCode::CONFLICT, text))
            }
            _ => Err(self.name_leader().await),
        }
    }
}

/// Availability zones of the inventory and of the replicas, and those that were ever drained.
fn known_zones(view: &CoreView<'_>) -> BTreeSet<String> {
    let of_servers = read_fleet(view).servers.into_values().map(|s| s.zone.to_string());
    let of_replicas = view.raft.replicas().iter().map(|r| r.zone.clone());
    let recorded = zone_drains::recorded_zones(&view.state.config);
    let all = of_servers.chain(of_replicas).chain(recorded);
    all.filter(|zone| !zone.is_empty() && !zone.contains('/')).collect()
}

fn read_fleet(view: &CoreView<'_>) -> config::FleetConfig {
    let current = view.state.config.changes_since(0);
    let mut fleet = config::FleetConfig::default();
    fleet.apply(current.version, true, &current.records);
    fleet
}

/// Whether the configuration has a host or endpoint of this name, or drains one.
fn target_exists(view: &CoreView<'_>, target: &str) -> bool {
    let fleet = read_fleet(view);
    fleet.servers.values().any(|s| s.name == target || s.host == target)
        || fleet.draining.contains(target)
}

/// Replies 200 to a change that was made, and 409 to any other outcome.
fn change_reply(outcome: Outcome) -> Response {
    let status = match outcome.result.as_str() {
        "ok" => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    let Outcome { result, number, detail, .. } = outcome;
    json(status, &ChangeReply { result, number, detail })
}

/// Returns the operators' address of the leader, if one is known.
fn leader_operators_address(view: &CoreView<'_>) -> Option<String> {
    let leader = view.raft.leader()?;
    view.raft.replicas().iter().find(|r| r.id == leader).map(|r| r.operators.clone())
}

/// Answers 421 with the operators' address of the leader.
fn not_leader(leader: Option<String>) -> Response {
    let error = "this replica does not lead or has no quorum; ask the leader".to_owned();
    let reply = ErrorReply { error, findings: Vec::new(), leader };
    json(StatusCode::MISDIRECTED_REQUEST, &reply)
}
