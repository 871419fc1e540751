//! Client with which entries and agents call the leader of control.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{Command, Outcome, Propose, Read};

/// Delay between two attempts to reach the leader.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one attempt.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// No leader answered in time; a command may still have been committed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of control answered within {} ms", timeout.as_millis()))]
pub struct NoLeader {
    /// Timeout that the caller had set.
    pub timeout: Duration,
}

/// Client that finds the leader among the control replicas and keeps a link to it.
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    cfg: LinkConfig,
    cx: CancellationToken,
    connection: Mutex<Connection>,
}

#[derive(Default)]
struct Connection {
    next: usize,
    leader_hint: Option<SocketAddr>,
    link: Option<Link>,
}

impl ControlClient {
    /// Creates a client for the control replicas at `addresses`; it stops when `cx` is cancelled.
    pub fn new(addresses: Vec<SocketAddr>, cfg: LinkConfig, cx: CancellationToken) -> Self {
        Self { addresses, cfg, cx, connection: Mutex::default() }
    }

    /// Calls the leader and retries, at another replica if needed, until `timeout` has passed.
    ///
    /// # Errors
    /// Fails if no leader answered in time or the client was cancelled.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body, NoLeader> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(answer) = self.call_before(&body, deadline).await {
                return Ok(answer);
            }
            if Instant::now() + RETRY_DELAY >= deadline || self.cx.is_cancelled() {
                return Err(NoLeader { timeout });
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call_before(&self, body: &Body, deadline: Instant) -> Option<Body> {
        let remaining = deadline.saturating_duration_since(Instant::now()).min(CALL_TIMEOUT);
        self.call_once(body.clone(), remaining).await
    }

    /// Calls the replica that is most likely the leader, once. Returns `None` if it could not be
    /// reached, did not answer within `timeout` or is not the leader.
    pub async fn call_once(&self, body: Body, timeout: Duration) -> Option<Body> {
        let link = self.link().await?;
        match link.request(body, timeout).await {
            Ok(Body::NotLeader(n)) => {
                self.disconnect(n.leader.parse().ok());
                None
            }
            Ok(answer) => Some(answer),
            Err(_) => {
                link.close();
                self.disconnect(None);
                None
            }
        }
    }

    async fn link(&self) -> Option<Link> {
        let addr = {
            let mut connection = self.connection.lock();
            if let Some(link) = connection.link.as_ref().filter(|l| !l.is_closed()) {
                return Some(link.clone());
            }
            let next = self.addresses.get(connection.next % self.addresses.len().max(1)).copied();
            connection.next = connection.next.wrapping_add(1);
            connection.leader_hint.take().or(next)?
        };
        let link = Link::connect(addr, &self.cfg, &self.cx).await.ok()?;
        self.connection.lock().link = Some(link.clone());
        Some(link)
    }

    fn disconnect(&self, leader_hint: Option<SocketAddr>) {
        let mut connection = self.connection.lock();
        if let Some(link) = connection.link.take() {
            link.close();
        }
        connection.leader_hint = leader_hint;
    }

    /// Commits a command to the replicated log and returns its outcome.
    ///
    /// The command may be sent several times, so it has to be idempotent: by its operation
    /// identity or by its kind.
    ///
    /// # Errors
    /// Fails if no leader answered in time; the command may still have been committed.
    pub async fn commit(&self, command: Command, timeout: Duration) -> Result<Outcome, NoLeader> {
        let body = Body::Propose(Propose { command: Some(command) });
        match self.call(body, timeout).await? {
            Body::Outcome(outcome) => Ok(outcome),
            _ => Err(NoLeader { timeout }),
        }
    }

    /// Reads the claim of an idempotency key from a leader that a quorum has confirmed.
    ///
    /// # Errors
    /// Fails if no leader answered in time.
    pub async fn read_claim(
        &self,
        workspace: &str,
        key: &str,
        timeout: Duration,
    ) -> Result<Outcome, NoLeader> {
        let read = Read { what: "claim".into(), workspace: workspace.into(), key: key.into() };
        match self.call(Body::Read(read), timeout).await? {
            Body::Outcome(outcome) => Ok(outcome),
            _ => Err(NoLeader { timeout }),
        }
    }
}
