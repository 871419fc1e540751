//! Handles the messages of the system's other processes on a control replica.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use tokio::sync::oneshot;

use super::core::{Answer, CoreView, Input};
use crate::raft::Departure;
use crate::wire::envelope::Body;
use crate::wire::server::{Conn, Handler};
use crate::wire::{
    DepartureState, Join, JoinReply, LeaveReply, NotLeader, Outcome, Propose, Read, Settle,
};

/// Passes messages to the core and sends its answers back.
pub struct ControlHandler {
    core: Sender<Input>,
}

impl ControlHandler {
    /// Builds a handler that sends its inputs to `core`.
    pub fn new(core: Sender<Input>) -> Self {
        Self { core }
    }

    /// Sends an input to the core and the core's answer to the caller. A core that has ended or
    /// dropped the input is answered for with `NotLeader`.
    fn call_core<T: Send + 'static>(
        &self,
        conn: &Conn,
        call: u64,
        input: impl FnOnce(oneshot::Sender<Answer<T>>) -> Input,
        into_body: impl Fn(T) -> Body + Send + 'static,
    ) {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(input(tx));
        let conn = conn.clone();
        tokio::spawn(async move {
            let body = match rx.await {
                Ok(Answer::Done(value)) => into_body(value),
                Ok(Answer::NotLeader(leader)) => not_leader(leader),
                Err(_) => not_leader(None),
            };
            conn.send(call, body).await;
        });
    }

    /// Adds a replica to the cluster, or with `ask_only` tells whether there is one.
    fn join(&self, conn: &Conn, call: u64, join: Join) {
        let ask_only = join.ask_only;
        let Some(replica) = join.replica.filter(|_| !ask_only) else {
            return self.report_cluster(conn, call);
        };
        let into_body = |accepted| {
            Body::JoinReply(JoinReply { accepted, holds_cluster: true, ..JoinReply::default() })
        };
        self.call_core(conn, call, |tx| Input::Join(replica, tx), into_body);
    }

    /// Answers whether this replica belongs to a cluster.
    fn report_cluster(&self, conn: &Conn, call: u64) {
        let into_body =
            |holds_cluster| Body::JoinReply(JoinReply { holds_cluster, ..JoinReply::default() });
        let read = |tx: oneshot::Sender<Answer<bool>>| {
            Input::Read(Box::new(move |view: CoreView<'_>| {
                let _ = tx.send(Answer::Done(!view.raft.replicas().is_empty()));
            }))
        };
        self.call_core(conn, call, read, into_body);
    }

    /// Answers the state of the claim of an idempotency key, if a quorum has just confirmed this
    /// leader.
    fn read_claim(&self, conn: &Conn, call: u64, read: Read) {
        let input = move |tx: oneshot::Sender<Answer<Outcome>>| {
            Input::Read(Box::new(move |view: CoreView<'_>| {
                let answer = match view.may_read {
                    true => Answer::Done(claim_outcome(&view, &read)),
                    false => Answer::NotLeader(None),
                };
                let _ = tx.send(answer);
            }))
        };
        self.call_core(conn, call, input, Body::Outcome);
    }
}

/// The result is `none` without a claim, `pending` until it is settled and `exists` afterwards.
fn claim_outcome(view: &CoreView<'_>, read: &Read) -> Outcome {
    let state = view.state.claims.get(&read.workspace, &read.key);
    let settled: Option<Settle> = state.and_then(|s| s.settled.clone());
    let result = match (state.is_some(), settled.is_some()) {
        (false, _) => "none",
        (true, false) => "pending",
        (true, true) => "exists",
    };
    let number = state.map_or(0, |s| s.number);
    Outcome { result: result.into(), number, settled, ..Outcome::default() }
}

fn leave_reply(departure: Departure) -> Body {
    let state = match departure {
        Departure::Pending => DepartureState::Pending,
        Departure::Done => DepartureState::Done,
        Departure::NoSuccessor => DepartureState::NoSuccessor,
    };
    Body::LeaveReply(LeaveReply { state: state.into() })
}

fn not_leader(leader: Option<String>) -> Body {
    Body::NotLeader(NotLeader { leader: leader.unwrap_or_default() })
}

impl Handler for ControlHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Peer(msg) => {
                let _ = self.core.send(Input::Peer(msg));
            }
            Body::Sync(sync) => {
                let input = |tx| Input::Sync(Box::new(sync), tx);
                self.call_core(conn, call, input, Body::SyncReply);
            }
            Body::Propose(Propose { command: Some(command) }) => {
                self.call_core(conn, call, |tx| Input::Propose(command, tx), Body::Outcome);
            }
            Body::Join(join) => self.join(conn, call, join),
            Body::Leave(leave) => {
                self.call_core(conn, call, |tx| Input::Leave(leave.id, tx), leave_reply);
            }
            Body::Read(read) => self.read_claim(conn, call, read),
            _ => {
                let conn = conn.clone();
                tokio::spawn(async move {
                    conn.refuse(call, "a control replica does not take this message").await;
                });
            }
        }
    }

    fn on_closed(&self, _conn: &Conn) {}
}

/// Builds a [`ControlHandler`] in the shared form that the wire server takes.
pub fn build_handler(core: Sender<Input>) -> Arc<dyn Handler> {
    Arc::new(ControlHandler::new(core))
}
