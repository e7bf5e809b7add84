//! Where a request goes, and how long its answer may take.

use std::{sync::Arc, time::Duration};

use chestnut_book::{Rule, Target, Turns};
use chestnut_flow::GateId;
use chestnut_route::{Backend, Budget, Class, Ix, Prospect, Purse, PurseId, Route, Routes};
use chestnut_unit::{IndexVersion, ServiceName, ShardName, Snapshot, Time};

use crate::{
    callers::Longest,
    ground::{RuleState, State, gate},
};

/// Rules that have a class of calls of their own. More share the first one: a
/// class costs some 30 KB, and an entry has 256 MB for everything. Those of rules
/// that are gone are used again, or a day of 5,200 edits would use them up.
const CLASSES_MAX: usize = 64;

/// What a request needs of the tables to run.
pub(crate) struct Plan {
    pub(crate) routes: Arc<Routes>,
    pub(crate) gate: GateId,
    pub(crate) class: Class,
    /// Time from the request's arrival to when its answer must go out to come by
    /// the goal.
    pub(crate) ahead: Duration,
    pub(crate) prospect: Prospect,
}

/// Finds where a request of `rule` goes now, whose caller gives `left`.
pub(crate) fn plan(
    state: &mut State,
    rule: &Rule,
    left: Option<Duration>,
    draw: u64,
    now: Time,
) -> Plan {
    let class = class_of(state, rule);
    state.table.set_goal(class, rule.goal);
    let (ahead, prospect) = time_ahead(state, rule, class, left, now);
    let services = match &rule.target {
        Target::One(service) => vec![service.clone()],
        Target::Split(parts) => vec![turn(state, rule, parts, draw)],
        Target::Gather { shards, .. } => shards.clone(),
    };
    let routes = match state.extra.routes.get(&services) {
        Some(routes) => routes.clone(),
        None => {
            let routes = Arc::new(find_routes(state, &services));
            state.extra.routes.insert(services.clone(), routes.clone());
            routes
        }
    };
    let gate = match state.extra.gates.get(&services) {
        Some(gate) => *gate,
        None => {
            let id = state.add_gate(gate());
            state.extra.gates.insert(services, id);
            id
        }
    };
    Plan {
        routes,
        gate,
        class,
        ahead,
        prospect,
    }
}

/// How long the answer may take to come by the goal, and whether it can. One that
/// can't is given the goal's time once more: it is late in any case, and the
/// more of it is in the better.
fn time_ahead(
    state: &mut State,
    rule: &Rule,
    class: Class,
    left: Option<Duration>,
    now: Time,
) -> (Duration, Prospect) {
    let usual = state.table.profile(class).calls.median();
    let ground = &mut state.extra;
    let Some(kept) = ground.rules.get_mut(&rule.name) else {
        return (rule.goal, Prospect::InTime);
    };
    let away = ground
        .callers
        .away(&mut kept.longest, left, rule.timeout, now);
    let ahead = rule.goal.saturating_sub(away + ground.link_time(rule));
    match ahead > usual {
        true => (ahead, Prospect::InTime),
        false => (rule.goal, Prospect::Late),
    }
}

fn class_of(state: &mut State, rule: &Rule) -> Class {
    if let Some(known) = state.extra.rules.get(&rule.name) {
        return known.class;
    }
    let class = match state.extra.spare.pop() {
        Some(class) => {
            state.table.reset_class(class);
            class
        }
        None if state.table.classes() < CLASSES_MAX => state.table.add_class(),
        None => Class::default(),
    };
    let turns = Turns::default();
    let kept = RuleState {
        class,
        turns,
        longest: Longest::default(),
    };
    state.extra.rules.insert(rule.name.clone(), kept);
    class
}

fn turn(state: &mut State, rule: &Rule, parts: &[(ServiceName, u32)], draw: u64) -> ServiceName {
    let weights: Vec<u32> = parts.iter().map(|(_, weight)| *weight).collect();
    let kept = state.extra.rules.get_mut(&rule.name);
    let at = kept.and_then(|kept| kept.turns.next(&weights, draw));
    parts[at.unwrap_or(0)].0.clone()
}

fn find_routes(state: &mut State, services: &[ServiceName]) -> Routes {
    let shards = services
        .iter()
        .map(|service| Route {
            name: ShardName::new(service.as_str()).expect("the same characters are legal"),
            replicas: replicas(state, service),
            purse: purse_of(state, service),
        })
        .collect();
    Routes {
        snapshot: Snapshot {
            service: services[0].clone(),
            version: IndexVersion(0),
        },
        shards,
    }
}

fn replicas(state: &State, service: &ServiceName) -> Vec<Ix> {
    state
        .extra
        .leafs
        .of(service)
        .filter_map(|(id, _)| state.table.find(&Backend::Leaf(id.clone())))
        .collect()
}

fn purse_of(state: &mut State, service: &ServiceName) -> PurseId {
    if let Some(id) = state.extra.purses.get(service) {
        return *id;
    }
    let extra = state.extra.extra;
    let mut budget = Budget::empty(extra.share(), 1);
    budget.set_slack(state.extra.allotment.slack(&extra), extra.window);
    let id = state.table.add_purse(Purse::Joint(budget));
    state.extra.purses.insert(service.clone(), id);
    id
}
