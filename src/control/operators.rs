//! The operators' HTTP interface of a control replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::core::{Answer, CoreView, Input};
use super::reports::{BurnLine, OrderLine, StatusReport};
use crate::config::{self, NamedText, fleet_config};
use crate::http::{json, parse_json, read_body};
use crate::wire::{Change, Command, ConfigRecord, Outcome, PlaceOrder, command};

/// Largest body of an operator's request in bytes.
const MAX_BODY: usize = 160 * 1024 * 1024;

/// Longest time for an operator's body.
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// A change of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identity of the operation; a resend gets the first answer.
    pub operation: String,
    /// Version that the change was made from; 0 for any.
    pub base: u64,
    /// Inventory.
    pub inventory: NamedText,
    /// Rules.
    pub rules: NamedText,
    /// Who asks.
    pub author: String,
}

/// A host or endpoint to drain or to take back.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Identity of the operation.
    pub operation: String,
    /// Name of the host or endpoint.
    pub target: String,
    /// Take it back instead.
    pub undo: bool,
}

/// An order to an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Identity of the operation.
    pub operation: String,
    /// Endpoint.
    pub endpoint: String,
    /// Kind, like load-model.
    pub kind: String,
    /// Argument, like a model.
    pub argument: String,
}

/// A replica to remove.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RemoveRequest {
    /// Its identity in hexadecimal.
    pub replica: String,
}

/// Answer to an operator's change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// ok, conflict or rejected.
    pub result: String,
    /// Version or number that came of it, or the winner's.
    pub number: u64,
    /// What to do.
    pub detail: String,
}

/// An error for an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What was wrong.
    pub error: String,
    /// Findings with their places.
    pub findings: Vec<String>,
    /// Operators' address of the leader, when this replica does not lead.
    pub leader: Option<String>,
}

#[derive(Clone)]
struct Desk {
    core: Sender<Input>,
    token: Option<Arc<str>>,
}

/// Builds the routes; `token` is the bearer token that changes need, if any.
pub fn build_router(core: Sender<Input>, token: Option<String>) -> Router {
    let desk = Desk { core, token: token.map(Arc::from) };
    let route = |f: fn(Desk, Request) -> Reply| {
        let desk = desk.clone();
        move |req: Request| {
            let desk = desk.clone();
            async move {
                if !desk.allows(&req) {
                    return Ok(refuse(StatusCode::UNAUTHORIZED, "wrong operator token"));
                }
                viz::Result::Ok(f(desk, req).await.unwrap_or_else(|r| r))
            }
        }
    };
    Router::new()
        .get("/v1/status", route(|d, _| Box::pin(d.status())))
        .get("/v1/config", route(|d, _| Box::pin(d.config())))
        .get("/v1/orders", route(|d, _| Box::pin(d.orders())))
        .get("/v1/burn", route(|d, _| Box::pin(d.burn())))
        .post("/v1/config", route(|d, r| Box::pin(d.apply(r))))
        .post("/v1/drain", route(|d, r| Box::pin(d.drain(r))))
        .post("/v1/orders", route(|d, r| Box::pin(d.order(r))))
        .post("/v1/init", route(|d, _| Box::pin(d.init())))
        .post("/v1/replicas/remove", route(|d, r| Box::pin(d.remove(r))))
}

type Handled = Result<Response, Response>;
type Reply = std::pin::Pin<Box<dyn Future<Output = Handled> + Send>>;

fn refuse(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorReply { error: error.to_owned(), ..ErrorReply::default() })
}

async fn read<T: serde::de::DeserializeOwned>(mut req: Request) -> Result<T, Response> {
    let body = read_body(&mut req, MAX_BODY, BODY_LIMIT)
        .await
        .map_err(|e| refuse(e.status(), &e.to_string()))?;
    parse_json(&body).map_err(|e| refuse(StatusCode::BAD_REQUEST, &e))
}

impl Desk {
    fn allows(&self, req: &Request) -> bool {
        let Some(token) = &self.token else { return true };
        let given: Option<String> = req.header("authorization");
        given.is_some_and(|g| g.strip_prefix("Bearer ") == Some(token))
    }

    /// Reads the state of a leader that a quorum has just confirmed.
    async fn confirmed<T: Send + 'static>(
        &self,
        f: impl FnOnce(&CoreView<'_>) -> T + Send + 'static,
    ) -> Result<T, Response> {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |view: CoreView<'_>| {
            let answer = match view.may_read {
                true => Ok(f(&view)),
                false => Err(leader_operators(&view)),
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

    async fn status(self) -> Handled {
        let (tx, rx) = oneshot::channel();
        let read = Box::new(move |view: CoreView<'_>| {
            let _ = tx.send(StatusReport::build(&view));
        });
        let _ = self.core.send(Input::Read(read));
        let report = rx.await.map_err(|_| not_leader(None))?;
        Ok(json(StatusCode::OK, &report))
    }

    async fn config(self) -> Handled {
        let news = self.confirmed(|view| view.state.config.changes_since(0)).await?;
        let records: BTreeMap<String, serde_json::Value> = news
            .records
            .into_iter()
            .filter_map(|r| {
                let value = serde_json::from_str(r.value.as_deref()?).unwrap_or_default();
                Some((r.key, value))
            })
            .collect();
        let body = serde_json::json!({ "version": news.version, "records": records });
        Ok(json(StatusCode::OK, &body))
    }

    async fn orders(self) -> Handled {
        let orders = self.confirmed(|view| view.state.orders.all()).await?;
        let lines: Vec<OrderLine> = orders.into_iter().map(OrderLine::from).collect();
        Ok(json(StatusCode::OK, &lines))
    }

    async fn burn(self) -> Handled {
        let counts = self.confirmed(|view| view.state.burn.export()).await?;
        let lines: Vec<BurnLine> = counts.into_iter().map(BurnLine::from).collect();
        Ok(json(StatusCode::OK, &lines))
    }

    async fn apply(self, req: Request) -> Handled {
        let wanted: ApplyRequest = read(req).await?;
        let (servers, rules) = match config::read_both(&wanted.inventory, &wanted.rules) {
            Ok(both) => both,
            Err(findings) => {
                let list = findings.list().iter().map(|f| format!("{}: {}", f.place, f.text));
                let error = "inventory and rules were refused; nothing changed".to_owned();
                let reply = ErrorReply { error, findings: list.collect(), leader: None };
                return Err(json(StatusCode::UNPROCESSABLE_ENTITY, &reply));
            }
        };
        let records = fleet_config::to_records(&servers, &rules);
        let base = wanted.base;
        let (changes, seen) = self
            .confirmed(move |view| {
                let current = view.state.config.changes_since(0);
                (fleet_config::diff_records(&current.records, &records), current.version)
            })
            .await?;
        let base = if base == 0 { seen } else { base };
        let change = Change { base, records: changes, author: wanted.author };
        self.change(wanted.operation, command::Kind::Change(change)).await
    }

    async fn drain(self, req: Request) -> Handled {
        let wanted: DrainRequest = read(req).await?;
        let target = wanted.target.clone();
        let known = self.confirmed(move |view| is_known(view, &target)).await?;
        if !known {
            let text = "no host or endpoint of this name; see the inventory";
            return Err(refuse(StatusCode::NOT_FOUND, text));
        }
        let value = (!wanted.undo).then(|| "true".to_owned());
        let key = format!("drain/{}", wanted.target);
        let records = vec![ConfigRecord { key, version: 0, value }];
        let change = Change { base: 0, records, author: String::new() };
        self.change(wanted.operation, command::Kind::Change(change)).await
    }

    async fn order(self, req: Request) -> Handled {
        let OrderRequest { operation, endpoint, kind, argument } = read(req).await?;
        let order = PlaceOrder { endpoint, kind, argument };
        self.change(operation, command::Kind::PlaceOrder(order)).await
    }

    async fn change(self, operation: String, kind: command::Kind) -> Handled {
        if operation.is_empty() || operation.len() > 128 {
            let text = "operation has to be a text of 1 to 128 bytes";
            return Err(refuse(StatusCode::BAD_REQUEST, text));
        }
        let (tx, rx) = oneshot::channel();
        let operation = format!("operator/{operation}");
        let command = Command { wall_ms: 0, operation, kind: Some(kind) };
        let _ = self.core.send(Input::Propose(command, tx));
        match rx.await {
            Ok(Answer::Done(outcome)) => Ok(change_reply(outcome)),
            _ => Err(not_leader(None)),
        }
    }

    async fn init(self) -> Handled {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(Input::Bootstrap(tx));
        match rx.await {
            Ok(true) => Ok(change_reply(Outcome { result: "ok".into(), ..Outcome::default() })),
            _ => Err(refuse(StatusCode::CONFLICT, "this replica belongs to a cluster already")),
        }
    }

    async fn remove(self, req: Request) -> Handled {
        let wanted: RemoveRequest = read(req).await?;
        let Ok(id) = u64::from_str_radix(&wanted.replica, 16) else {
            return Err(refuse(StatusCode::BAD_REQUEST, "replica is no hexadecimal identity"));
        };
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(Input::Remove(id, tx));
        match rx.await {
            Ok(Answer::Done(true)) => {
                Ok(change_reply(Outcome { result: "ok".into(), ..Outcome::default() }))
            }
            Ok(Answer::Done(false)) => {
                let text = "another member change is under way or it is the last voter; try again";
                Err(refuse(StatusCode::CONFLICT, text))
            }
            _ => Err(not_leader(None)),
        }
    }
}

fn is_known(view: &CoreView<'_>, target: &str) -> bool {
    let news = view.state.config.changes_since(0);
    let mut fleet = config::FleetConfig::default();
    fleet.apply(news.version, true, &news.records);
    fleet.servers.values().any(|s| s.name == target || s.host == target)
        || fleet.draining.contains(target)
}

fn change_reply(outcome: Outcome) -> Response {
    let status = match outcome.result.as_str() {
        "ok" => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    let Outcome { result, number, detail, .. } = outcome;
    json(status, &ChangeReply { result, number, detail })
}

fn leader_operators(view: &CoreView<'_>) -> Option<String> {
    let leader = view.raft.leader()?;
    view.raft.replicas().iter().find(|r| r.id == leader).map(|r| r.operators.clone())
}

fn not_leader(leader: Option<String>) -> Response {
    let error = "this replica does not lead or has no quorum; ask the leader".to_owned();
    let reply = ErrorReply { error, findings: Vec::new(), leader };
    json(StatusCode::MISDIRECTED_REQUEST, &reply)
}
