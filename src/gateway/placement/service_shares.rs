//! Which workspaces, lengths and prompt parts were served less often than others lately.

use std::collections::HashMap;

use smol_str::SmolStr;

use super::queue_order::QueuedRequest;
use crate::ids::Moment;

/// Time in which the weight of past requests falls to 1/e, in seconds. One entry gets only some of
/// the longest prompts in a minute.
const TIME_CONSTANT_S: f64 = 60.0;

/// Requests below which nothing is concluded about a group.
const MIN_REQUESTS: f64 = 2.0;

/// Fraction of the served share of all requests of its priority below which a group is behind. Served
/// half as often is the bound for the longest prompts.
const BEHIND_SHARE: f64 = 0.75;

/// Maximum number of groups that are remembered; the ones with the least weight are dropped.
const MAX_GROUPS: usize = 512;

/// Requests that are compared with all of their priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Group {
    All(u32),
    Workspace(u32, SmolStr),
    Length(u32, u32),
    PromptPart(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    ended: f64,
    served: f64,
    counted_at: Moment,
}

impl Counts {
    fn weight(&self, now: Moment) -> f64 {
        (-now.saturating_sub(self.counted_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn add(&mut self, now: Moment, served: bool) {
        let weight = self.weight(now);
        self.ended = self.ended * weight + 1.0;
        self.served = self.served * weight + f64::from(u8::from(served));
        self.counted_at = now;
    }

    fn share(&self) -> f64 {
        self.served / self.ended.max(f64::MIN_POSITIVE)
    }
}

/// Served and refused requests of the last minute, by group.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    groups: HashMap<Group, Counts>,
}

impl ServiceShares {
    /// Records that a request was placed or refused.
    pub fn record(&mut self, now: Moment, req: &QueuedRequest, served: bool) {
        for group in groups_of(req).chain([Group::All(req.priority)]) {
            self.groups.entry(group).or_default().add(now, served);
        }
        if self.groups.len() > MAX_GROUPS {
            self.drop_lightest(now);
        }
    }

    /// Whether the workspace, the length or a prompt part of a request was served less often than its
    /// priority as a whole.
    pub fn is_behind(&self, now: Moment, req: &QueuedRequest) -> bool {
        let Some(all) = self.groups.get(&Group::All(req.priority)) else { return false };
        let limit = all.share() * BEHIND_SHARE;
        let is_behind = |group: Group| {
            let counts = self.groups.get(&group);
            counts.is_some_and(|c| c.ended * c.weight(now) >= MIN_REQUESTS && c.share() < limit)
        };
        groups_of(req).any(is_behind)
    }

    fn drop_lightest(&mut self, now: Moment) {
        let mut weights: Vec<f64> = self.groups.values().map(|c| c.ended * c.weight(now)).collect();
        weights.sort_by(f64::total_cmp);
        let limit = weights[weights.len() / 4];
        self.groups
            .retain(|group, c| matches!(group, Group::All(_)) || c.ended * c.weight(now) > limit);
    }
}

fn groups_of(req: &QueuedRequest) -> impl Iterator<Item = Group> {
    let workspace = Group::Workspace(req.priority, req.workspace.clone());
    let length = Group::Length(req.priority, req.length_class());
    [workspace, length].into_iter().chain(req.prompt_parts.iter().copied().map(Group::PromptPart))
}
