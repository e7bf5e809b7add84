//! Queries that need the same capacity.
//!
//! If the first of them can't start, none of the others can, so only the first is checked.

use std::collections::{BTreeMap, BTreeSet};

use chestnut_unit::Time;

use super::{
    WaiterId,
    demand::Demand,
    meter::Meter,
    rank::{Cost, Level, Place, Rank, Standing, Tag},
};
use crate::{BudgetId, Ix, OwnerId};

/// The queries of one shape and level, by owner.
#[derive(Clone, Debug, Default)]
struct Group {
    order: BTreeSet<(Tag, OwnerId)>,
    flows: BTreeMap<OwnerId, OwnerQueries>,
}

/// The queries of one owner in a group.
#[derive(Clone, Debug)]
struct OwnerQueries {
    places: BTreeSet<Place>,
    tag: Tag,
    /// Cost of one query, that of the latest.
    cost: Cost,
}

/// The waiting queries of one shape.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) demand: Demand,
    /// Shards that lacked capacity when last checked, as positions in the demand.
    pub(super) lacking: BTreeSet<usize>,
    /// The query that has a timer for the end of a cooldown, and when it ends.
    pub(super) armed: Option<(WaiterId, Time)>,
    pub(super) meter: Meter,
    groups: BTreeMap<Level, Group>,
    len: usize,
}

impl Shape {
    /// Creates a shape without queries.
    pub(super) fn new(demand: Demand) -> Self {
        Self {
            demand,
            lacking: BTreeSet::new(),
            armed: None,
            meter: Meter::default(),
            groups: BTreeMap::new(),
            len: 0,
        }
    }

    /// Returns whether no query waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a query of an owner whose start tag is `tag`.
    pub(super) fn insert(
        &mut self,
        level: Level,
        tag: Tag,
        owner: OwnerId,
        place: Place,
        cost: Cost,
    ) {
        let group = self.groups.entry(level).or_default();
        let queries = group.flows.entry(owner).or_insert_with(|| {
            group.order.insert((tag, owner));
            OwnerQueries {
                places: BTreeSet::new(),
                tag,
                cost,
            }
        });
        queries.cost = cost;
        self.len += usize::from(queries.places.insert(place));
    }

    /// Removes a query.
    pub(super) fn remove(&mut self, level: Level, owner: OwnerId, place: &Place) {
        let Some(group) = self.groups.get_mut(&level) else {
            return;
        };
        let Some(queries) = group.flows.get_mut(&owner) else {
            return;
        };
        self.len -= usize::from(queries.places.remove(place));
        if queries.places.is_empty() {
            group.order.remove(&(queries.tag, owner));
            group.flows.remove(&owner);
        }
        if group.flows.is_empty() {
            self.groups.remove(&level);
        }
    }

    /// Sets the tag of an owner at one level.
    pub(super) fn set_tag(&mut self, level: Level, owner: OwnerId, tag: Tag) {
        let Some(group) = self.groups.get_mut(&level) else {
            return;
        };
        if let Some(queries) = group.flows.get_mut(&owner) {
            group.order.remove(&(queries.tag, owner));
            queries.tag = tag;
            group.order.insert((tag, owner));
        }
    }

    /// Returns the rank of the first query.
    pub(super) fn head(&self) -> Option<Rank> {
        let (level, group) = self.groups.first_key_value()?;
        let (tag, owner) = *group.order.first()?;
        let place = *group.flows.get(&owner)?.places.first()?;
        Some(Rank {
            level: *level,
            tag,
            owner,
            place,
        })
    }

    /// Returns the lowest tag at a level.
    pub(super) fn first_tag(&self, level: Level) -> Option<Tag> {
        let (tag, _) = self.groups.get(&level)?.order.first()?;
        Some(*tag)
    }

    /// Returns the rank of the last query, with the tag at which it would start. Takes time in
    /// proportion to the owners at its level.
    pub(super) fn last(&self) -> Option<Rank> {
        let (level, group) = self.groups.last_key_value()?;
        let last = |(owner, queries): (&OwnerId, &OwnerQueries)| {
            let before = queries.places.len() as u64 - 1;
            Some(Rank {
                level: *level,
                tag: queries.tag.after(queries.cost, before),
                owner: *owner,
                place: *queries.places.last()?,
            })
        };
        group.flows.iter().filter_map(last).max()
    }

    /// Returns the number of queries without calls at the levels before `level`. Takes time in
    /// proportion to their owners.
    pub(super) fn ahead_of_level(&self, level: Level) -> u64 {
        let groups = self.groups.range(..level);
        let groups = groups.filter(|(level, _)| level.standing != Standing::Optional);
        let flows = groups.flat_map(|(_, group)| group.flows.values());
        flows.map(|queries| queries.places.len() as u64).sum()
    }

    /// Returns the number of queries at the level of one of `rank` and `cost` that go before it.
    /// Takes time in proportion to the owners at its level.
    pub(super) fn ahead_at_level(&self, rank: &Rank, cost: Cost) -> u64 {
        let Some(group) = self.groups.get(&rank.level) else {
            return 0;
        };
        let own = group.flows.get(&rank.owner);
        let own = own.map_or(0, |own| own.places.range(..rank.place).count()) as u64;
        let start = rank.tag.after(cost, own);
        let others = group.order.range(..(start, rank.owner));
        let others = others.filter(|(_, owner)| *owner != rank.owner);
        let others = others.filter_map(|(_, owner)| group.flows.get(owner));
        let starts_before = |queries: &OwnerQueries| {
            let turns = (start.0 - queries.tag.0) / queries.cost.0.max(1) + 1;
            turns.min(queries.places.len() as u64)
        };
        own + others.map(starts_before).sum::<u64>()
    }

    /// Returns whether a shard of `service` lacks capacity.
    pub(super) fn lacks(&self, service: BudgetId) -> bool {
        let mut lacking = self.lacking.iter();
        lacking.any(|position| self.demand.service(*position) == service)
    }

    /// Returns the positions without capacity of shards that `ix` holds.
    pub(super) fn lacking_at(&self, ix: Ix) -> Vec<usize> {
        let lacking = self.lacking.iter().copied();
        lacking
            .filter(|position| self.demand.replicas(*position).contains(&ix))
            .collect()
    }

    /// Returns whether enough shards had capacity when last checked.
    pub(super) fn may_start(&self) -> bool {
        self.demand.shards.len() - self.lacking.len() >= self.demand.needed
    }
}
