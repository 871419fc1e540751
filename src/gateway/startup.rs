//! Requests that reach an entry before its first configuration.
//!
//! After a restart of all processes an entry accepts connections a few hundred milliseconds before
//! control has elected a leader and sends the configuration. Callers whose streams were cut return
//! in that time, and many of them have no further attempt. They wait for the configuration instead
//! of being refused, if it is likely to come soon and leaves them time to be served.
//!
//! Once it is there, they are placed one after the other, the shortest prompts first: entries see
//! each other's sends only milliseconds later, and all of them have such a crowd.

use std::sync::Arc;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use tokio::time::{sleep, timeout};

use super::config::GatewayConfig;
use super::dialect::CallerHead;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::event;
use crate::ids::Moment;

/// Time after the start of the process in which a configuration is expected. An entry that has
/// none by then has lost contact with control.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Maximum wait for the configuration.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(900);

/// Fraction of the caller's time that it may wait for the configuration.
const CONFIG_WAIT_SHARE: f64 = 0.3;

/// Time between two requests that are placed after the wait, long enough for other entries to hear
/// of the first.
const RELEASE_INTERVAL: Duration = Duration::from_millis(8);

/// Maximum time between the first and the last request that are placed after the wait.
const MAX_RELEASE_TIME: Duration = Duration::from_millis(250);

/// Maximum number of requests that wait for the configuration; it bounds their memory.
const MAX_WAITING_REQUESTS: usize = 400;

/// Longest time that a request may wait for the first configuration; `None` if it is refused at
/// once.
///
/// `uptime` is the time since the process started, `remaining` the time until the caller's
/// deadline, and `waiting` the number of requests that already wait.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::startup::config_wait;
///
/// let (soon, late) = (Duration::from_millis(100), Duration::from_secs(60));
/// let remaining = Duration::from_secs(1);
/// assert_eq!(config_wait(soon, remaining, 0), Some(Duration::from_millis(300)));
/// assert_eq!(config_wait(late, remaining, 0), None, "control is unreachable");
/// ```
pub fn config_wait(uptime: Duration, remaining: Duration, waiting: usize) -> Option<Duration> {
    if uptime >= STARTUP_PERIOD || waiting >= MAX_WAITING_REQUESTS {
        return None;
    }
    Some(remaining.mul_f64(CONFIG_WAIT_SHARE).min(MAX_CONFIG_WAIT))
}

/// Delay between the arrival of the configuration and the placement of the request that is at
/// this position among those that waited.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::startup::release_delay;
///
/// assert_eq!(release_delay(0), Duration::ZERO);
/// assert_eq!(release_delay(3), Duration::from_millis(24));
/// assert_eq!(release_delay(10_000), Duration::from_millis(250));
/// ```
pub fn release_delay(position: usize) -> Duration {
    RELEASE_INTERVAL.saturating_mul(position as u32).min(MAX_RELEASE_TIME)
}

new_key_type! {
    struct WaitingKey;
}

/// Prompt lengths of the requests that wait for the first configuration, in tokens; 0 for requests
/// without a prompt.
#[derive(Default)]
pub struct WaitingRequests {
    prompts: SlotMap<WaitingKey, u64>,
}

impl WaitingRequests {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.prompts.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Number of waiting requests with a shorter prompt, or with one as long and an earlier key.
    fn position(&self, key: WaitingKey) -> usize {
        let own = (self.prompts.get(key).copied().unwrap_or_default(), key);
        self.prompts.iter().filter(|(other, prompt)| (**prompt, *other) < own).count()
    }
}

/// Returns the configuration in force, after a wait if the process has just started. The wait ends
/// when the caller leaves, because that drops the request.
pub async fn wait_for_config(
    gateway: &Arc<Gateway>,
    caller: &CallerHead,
    arrived: Moment,
) -> Option<Arc<GatewayConfig>> {
    if let Some(config) = gateway.config.load_full() {
        return Some(config);
    }
    let applied = gateway.config_applied.notified();
    tokio::pin!(applied);
    applied.as_mut().enable();
    if let Some(config) = gateway.config.load_full() {
        return Some(config);
    }
    if !gateway.cfg.policy.wait_for_config {
        return None;
    }
    let uptime = arrived.saturating_sub(gateway.started);
    let remaining = caller.timeout.unwrap_or(MAX_CONFIG_WAIT);
    let waiting = WaitingRequest::register(gateway, caller);
    let limit = config_wait(uptime, remaining, waiting.ahead)?;
    let _ = timeout(limit, applied).await;
    let config = gateway.config.load_full();
    let delay = match &config {
        Some(_) if caller.tokens.is_some() => release_delay(waiting.position()),
        _ => Duration::ZERO,
    };
    event!(gateway.log, ConfigAwaited, "request" => caller.id.as_str(),
        "limit_ms" => limit.as_millis() as u64, "uptime_ms" => uptime.as_millis() as u64,
        "ahead" => waiting.ahead, "arrived" => config.is_some(),
        "release_ms" => delay.as_millis() as u64,
        "ms" => boot_now().saturating_sub(arrived).as_millis() as u64);
    sleep(delay).await;
    config
}

/// A request that waits for the configuration, until it is dropped.
struct WaitingRequest {
    gateway: Arc<Gateway>,
    key: WaitingKey,
    /// Number of requests that waited before this one.
    ahead: usize,
}

impl WaitingRequest {
    fn register(gateway: &Arc<Gateway>, caller: &CallerHead) -> Self {
        let mut waiting = gateway.waiting_for_config.lock();
        let ahead = waiting.len();
        let key = waiting.prompts.insert(caller.tokens.map_or(0, |t| t.prompt));
        Self { gateway: Arc::clone(gateway), key, ahead }
    }

    /// Position among all waiting requests, the shortest prompt first.
    fn position(&self) -> usize {
        self.gateway.waiting_for_config.lock().position(self.key)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.gateway.waiting_for_config.lock().prompts.remove(self.key);
    }
}
