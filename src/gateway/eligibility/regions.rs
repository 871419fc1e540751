//! Regions that a request allows, by its route and its workspace, and the regions of zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use smol_str::SmolStr;

use super::endpoints::Endpoint;
use super::{Eligibility, EligibilityRule, SendContext};
use crate::ids::{RegionName, ZoneName};

/// Regions to which a request may be sent.
///
/// ```
/// use bitternlead::gateway::eligibility::regions::RegionSet;
///
/// let of_route = RegionSet::only(["east".into(), "west".into()]);
/// let of_workspace = RegionSet::only(["west".into(), "south".into()]);
/// let both = of_route.and(&of_workspace);
/// assert!(both.allows(Some("west")) && !both.allows(Some("east")) && !both.allows(None));
/// assert!(RegionSet::default().allows(None));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionSet(Option<Arc<BTreeSet<RegionName>>>);

impl RegionSet {
    /// Allows only these regions; an empty list allows all.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        if regions.is_empty() { Self(None) } else { Self(Some(Arc::new(regions))) }
    }

    /// Allows what both allow, which may be nothing.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(a), Some(b)) => Self(Some(Arc::new(a.intersection(b).cloned().collect()))),
        }
    }

    /// Whether a region is allowed; `None` stands for one that is not known, which is allowed only
    /// if all are.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.contains(region))
    }

    /// Whether some region is not allowed.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }
}

/// Region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<ZoneName, RegionName>);

impl Regions {
    /// Builds the rule from a table from zone to region.
    pub fn new(of_zones: BTreeMap<ZoneName, RegionName>) -> Self {
        Self(of_zones)
    }

    /// Region of a zone; `None` if the zone is not in the table.
    pub fn of_zone(&self, zone: &str) -> Option<&str> {
        self.0.get(zone).map(SmolStr::as_str)
    }

    /// Whether the endpoint's zone lies in an allowed region.
    pub fn allow(&self, allowed: &RegionSet, endpoint: &Endpoint) -> bool {
        allowed.allows(self.of_zone(&endpoint.zone))
    }

    /// Names of all regions.
    pub fn names(&self) -> BTreeSet<RegionName> {
        self.0.values().cloned().collect()
    }
}

impl EligibilityRule for Regions {
    fn check(&self, cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        if self.allow(&cx.allowed_regions, endpoint) {
            Eligibility::Allowed
        } else {
            Eligibility::Never
        }
    }
}
