//! Requests that may have crashed an endpoint, kept until that is known.
//!
//! A crash is noticed by a refused connection, which may come after the request itself was given up: its
//! caller left, it took too long, or another endpoint took over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Moment;
use crate::quarantine::{MAX_SUSPECTS, SuspectKey};

/// Time for which a request whose outcome at an endpoint is unknown is kept.
const RECENT_TIME: Duration = Duration::from_secs(2);

/// Maximum number of endpoints with such requests; further ones are not noted.
const MAX_ENDPOINTS: usize = 1024;

/// A request whose endpoint may have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspect {
    /// Id of the request.
    pub request: SmolStr,
    /// Ids of the prompt's parts, for the log.
    pub prompt_parts: String,
    /// Properties of the request that may have caused a crash.
    pub keys: Vec<SuspectKey>,
}

/// Requests that ended lately without an answer, by the key of their endpoint.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use bitternlead::gateway::crashes::recent_suspects::{RecentSuspects, Suspect};
///
/// let (mut recent, now) = (RecentSuspects::default(), Duration::from_secs(9));
/// recent.note(now, 7, Arc::new(Suspect::default()));
/// assert_eq!(recent.take(now, 7).len(), 1);
/// assert!(recent.take(now, 7).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct RecentSuspects {
    by_endpoint: HashMap<u64, Vec<(Moment, Arc<Suspect>)>>,
}

impl RecentSuspects {
    /// Notes that it is unknown what became of a request at an endpoint. The oldest are dropped.
    pub fn note(&mut self, now: Moment, endpoint: u64, suspect: Arc<Suspect>) {
        if !self.by_endpoint.contains_key(&endpoint) && self.by_endpoint.len() >= MAX_ENDPOINTS {
            self.expire(now);
            if self.by_endpoint.len() >= MAX_ENDPOINTS {
                return;
            }
        }
        let suspects = self.by_endpoint.entry(endpoint).or_default();
        suspects.retain(|(at, _)| is_recent(now, *at));
        if suspects.len() >= MAX_SUSPECTS {
            suspects.remove(0);
        }
        suspects.push((now, suspect));
    }

    /// Takes the requests that were noted lately for an endpoint which is known to have crashed.
    pub fn take(&mut self, now: Moment, endpoint: u64) -> Vec<Arc<Suspect>> {
        let noted = self.by_endpoint.remove(&endpoint).unwrap_or_default();
        noted.into_iter().filter(|(at, _)| is_recent(now, *at)).map(|(_, s)| s).collect()
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: Moment) {
        self.by_endpoint.retain(|_, suspects| suspects.iter().any(|(at, _)| is_recent(now, *at)));
    }
}

fn is_recent(now: Moment, at: Moment) -> bool {
    now.saturating_sub(at) < RECENT_TIME
}
