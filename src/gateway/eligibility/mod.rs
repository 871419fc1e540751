//! Says which endpoints a request may be sent to, and from when on.
//!
//! Announcements, answers of endpoints, the outcome of sends and reports of other entries come in;
//! the list of ready endpoints and an [`Eligibility`] for each of them go out.

pub mod cold;
pub mod endpoint_limits;
pub mod endpoints;
pub mod entry_view;
pub mod health;
pub mod pooled_evidence;
pub mod regions;
pub mod zone_drains;

use endpoints::Endpoint;
use regions::RegionSet;

use crate::ids::Moment;

/// What a rule needs to know of a send, besides the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendContext {
    /// Time of the question.
    pub now: Moment,
    /// Number of entries that send to the same endpoints, this one included.
    pub entries: usize,
    /// Regions that the request allows.
    pub allowed_regions: RegionSet,
}

/// Whether an endpoint may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It may be sent to now.
    Allowed,
    /// It may not be sent to before this time.
    Until(Moment),
    /// It may not be sent to until something changes.
    Never,
}

/// A reason for which endpoints may not be sent to.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::eligibility::endpoints::Endpoint;
/// use bitternlead::gateway::eligibility::health::Health;
/// use bitternlead::gateway::eligibility::{Eligibility, EligibilityRule, SendContext};
/// use parking_lot::Mutex;
///
/// let endpoint = Endpoint {
///     id: "engine-1".into(), addr: "127.0.0.1:8080".parse().unwrap(), zone: "zone-1".into(), slots: 4,
/// };
/// let health = Mutex::new(Health::default());
/// let cx = SendContext { now: Duration::from_secs(5), entries: 1, ..SendContext::default() };
/// assert_eq!(health.check(&cx, &endpoint), Eligibility::Allowed);
/// health.lock().record_unreachable(cx.now, &endpoint.id);
/// assert!(matches!(health.check(&cx, &endpoint), Eligibility::Until(_)));
/// ```
pub trait EligibilityRule: Send + Sync {
    /// Says whether `endpoint` may be sent to.
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility;

    /// Whether the rule also covers probes, which open a connection and send no request.
    fn covers_probes(&self) -> bool {
        true
    }
}
