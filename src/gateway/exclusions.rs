//! Endpoints that one request is not sent to.

use std::collections::HashMap;

use crate::directory::EndpointId;
use crate::ids::Moment;

/// Endpoints that a request avoids, and until when.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::directory::EndpointId;
/// use bitternlead::gateway::exclusions::Exclusions;
///
/// let (full, tried) = (EndpointId::new("full"), EndpointId::new("tried"));
/// let mut exclusions = Exclusions::default();
/// exclusions.exclude_until(Duration::from_secs(2), &full);
/// exclusions.exclude(&tried);
/// assert!(exclusions.contains(Duration::from_secs(1), &full));
/// assert!(!exclusions.contains(Duration::from_secs(2), &full));
/// assert!(exclusions.contains(Duration::from_secs(90), &tried));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Exclusions {
    until: HashMap<EndpointId, Moment>,
}

impl Exclusions {
    /// Excludes an endpoint for the rest of the request.
    pub fn exclude(&mut self, id: &EndpointId) {
        self.exclude_until(Moment::MAX, id);
    }

    /// Excludes an endpoint until a time; an exclusion is never shortened.
    pub fn exclude_until(&mut self, until: Moment, id: &EndpointId) {
        let known = self.until.entry(id.clone()).or_default();
        *known = until.max(*known);
    }

    /// Whether the request avoids an endpoint now.
    pub fn contains(&self, now: Moment, id: &EndpointId) -> bool {
        self.until.get(id).is_some_and(|until| now < *until)
    }
}
