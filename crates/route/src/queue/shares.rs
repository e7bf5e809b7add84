//! Start-time fair queueing among owners.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_unit::Urgency;

use super::{
    ShapeId,
    rank::{Cost, Level, Tag},
};
use crate::OwnerId;

/// Maximum number of owners kept.
const OWNERS_MAX: usize = 10_000;

/// An owner among those of the same urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FlowKey {
    pub(super) urgency: Urgency,
    pub(super) owner: OwnerId,
}

/// The virtual time of one owner and where its queries wait.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Start tag of its next query.
    tag: Tag,
    /// Number of its waiting queries, by shape and level.
    waiting: BTreeMap<(ShapeId, Level), u32>,
}

/// Virtual times of the owners. An owner's tag advances by the cost of each of its queries that
/// starts; the owner with the lowest tag goes first.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    flows: BTreeMap<FlowKey, Flow>,
    clocks: BTreeMap<Urgency, Tag>,
}

impl Shares {
    /// Returns the start tag of an owner's next query. An owner without waiting queries gets no
    /// credit for the past: its tag is at least `base`, the lowest tag of those that wait, or
    /// the highest that has started.
    pub(super) fn tag(&self, key: FlowKey, base: Option<Tag>) -> Tag {
        let clock = || self.clocks.get(&key.urgency).copied().unwrap_or_default();
        match self.flows.get(&key) {
            Some(flow) if !flow.waiting.is_empty() => flow.tag,
            flow => {
                let own = flow.map(|flow| flow.tag).unwrap_or_default();
                own.max(base.unwrap_or_else(clock))
            }
        }
    }

    /// Adds the cost of a query that starts at `tag`; returns the owner's next tag.
    pub(super) fn charge(&mut self, key: FlowKey, tag: Tag, cost: Cost) -> Tag {
        let clock = self.clocks.entry(key.urgency).or_default();
        *clock = (*clock).max(tag);
        let next = tag.after(cost, 1);
        self.set_tag(key, next);
        next
    }

    /// Sets the tag of an owner, and drops idle owners if there are too many.
    pub(super) fn set_tag(&mut self, key: FlowKey, tag: Tag) {
        self.flows.entry(key).or_default().tag = tag;
        if self.flows.len() > OWNERS_MAX {
            self.drop_idle(key);
        }
    }

    /// Records that a query of the owner waits.
    pub(super) fn enter(&mut self, key: FlowKey, spot: (ShapeId, Level)) {
        let flow = self.flows.entry(key).or_default();
        *flow.waiting.entry(spot).or_default() += 1;
    }

    /// Records that a query of the owner no longer waits.
    pub(super) fn exit(&mut self, key: FlowKey, spot: (ShapeId, Level)) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if let Some(count) = flow.waiting.get_mut(&spot) {
            *count -= 1;
            if *count == 0 {
                flow.waiting.remove(&spot);
            }
        }
    }

    /// Returns where queries of the owner wait.
    pub(super) fn spots(&self, key: FlowKey) -> BTreeSet<(ShapeId, Level)> {
        let flow = self.flows.get(&key);
        flow.into_iter()
            .flat_map(|flow| flow.waiting.keys().copied())
            .collect()
    }

    /// Returns the number of owners kept.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Drops idle owners whose tag has been passed; if these are few, all idle ones but `kept`.
    /// Either way thousands of new owners must arrive before the next call.
    fn drop_idle(&mut self, kept: FlowKey) {
        let clocks = &self.clocks;
        self.flows.retain(|key, flow| {
            let clock = clocks.get(&key.urgency).copied().unwrap_or_default();
            *key == kept || !flow.waiting.is_empty() || flow.tag > clock
        });
        if self.flows.len() > OWNERS_MAX / 2 {
            self.flows
                .retain(|key, flow| *key == kept || !flow.waiting.is_empty());
        }
    }
}
