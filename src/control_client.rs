//! Calls of entries and agents to the leader of control.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{Command, Outcome, Propose, Read};

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for one answer of a leader.
const CALL_LIMIT: Duration = Duration::from_millis(2500);

/// Control gave no answer in time; a command may have been committed all the same.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of control answered within {} ms", limit.as_millis()))]
pub struct NoLeader {
    /// Time that was given.
    pub limit: Duration,
}

/// Finds the leader and calls it.
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    cfg: LinkConfig,
    cx: CancellationToken,
    current: Mutex<Current>,
}

#[derive(Default)]
struct Current {
    next: usize,
    hint: Option<SocketAddr>,
    link: Option<Link>,
}

impl ControlClient {
    /// Builds a client for replicas at these addresses.
    pub fn new(addresses: Vec<SocketAddr>, cfg: LinkConfig, cx: CancellationToken) -> Self {
        Self { addresses, cfg, cx, current: Mutex::default() }
    }

    /// Calls the leader, looking for it until the limit has passed.
    ///
    /// # Errors
    /// No leader answered in time.
    pub async fn call(&self, body: Body, limit: Duration) -> Result<Body, NoLeader> {
        let due = Instant::now() + limit;
        loop {
            if let Some(answer) = self.try_once(&body, due).await {
                return Ok(answer);
            }
            if Instant::now() + RETRY_PAUSE >= due || self.cx.is_cancelled() {
                return Err(NoLeader { limit });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_once(&self, body: &Body, due: Instant) -> Option<Body> {
        let left = due.saturating_duration_since(Instant::now()).min(CALL_LIMIT);
        self.ask_once(body.clone(), left).await
    }

    /// Calls the replica that probably leads, once; `None` without an answer of a leader.
    pub async fn ask_once(&self, body: Body, limit: Duration) -> Option<Body> {
        let link = self.link().await?;
        match link.request(body, limit).await {
            Ok(Body::NotLeader(n)) => {
                self.leave(n.leader.parse().ok());
                None
            }
            Ok(answer) => Some(answer),
            Err(_) => {
                link.close();
                self.leave(None);
                None
            }
        }
    }

    async fn link(&self) -> Option<Link> {
        let addr = {
            let mut current = self.current.lock();
            if let Some(link) = current.link.as_ref().filter(|l| !l.is_closed()) {
                return Some(link.clone());
            }
            let next = self.addresses.get(current.next % self.addresses.len().max(1)).copied();
            current.next = current.next.wrapping_add(1);
            current.hint.take().or(next)?
        };
        let link = Link::connect(addr, &self.cfg, &self.cx).await.ok()?;
        self.current.lock().link = Some(link.clone());
        Some(link)
    }

    fn leave(&self, hint: Option<SocketAddr>) {
        let mut current = self.current.lock();
        if let Some(link) = current.link.take() {
            link.close();
        }
        current.hint = hint;
    }

    /// Commits a command and returns its answer.
    ///
    /// The command has to be safe to send again: by its operation or by its kind.
    ///
    /// # Errors
    /// No leader answered in time; the command may have been committed.
    pub async fn commit(&self, command: Command, limit: Duration) -> Result<Outcome, NoLeader> {
        let body = Body::Propose(Propose { command: Some(command) });
        match self.call(body, limit).await? {
            Body::Outcome(outcome) => Ok(outcome),
            _ => Err(NoLeader { limit }),
        }
    }

    /// Reads a claim from the confirmed leader.
    ///
    /// # Errors
    /// No leader answered in time.
    pub async fn read_claim(
        &self,
        workspace: &str,
        key: &str,
        limit: Duration,
    ) -> Result<Outcome, NoLeader> {
        let read = Read { what: "claim".into(), workspace: workspace.into(), key: key.into() };
        match self.call(Body::Read(read), limit).await? {
            Body::Outcome(outcome) => Ok(outcome),
            _ => Err(NoLeader { limit }),
        }
    }
}
