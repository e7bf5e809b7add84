//! The plan of a request: the leafs it may go to and the time its answer may take.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use chestnut_book::{RoundRobin, Rule, Target};
use chestnut_flow::QueueId;
use chestnut_route::{
    Backend, BoundedWait, Budget, BudgetId, Class, ExtraBudget, Ix, OwnerId, QueueConfig,
    QueueRank, ReturnKind, Route, Routes, Timeliness,
};
use chestnut_unit::{IndexVersion, OrgName, ServiceName, ShardName, Snapshot, Time, Urgency};

use crate::{
    callers::{Arrival, MaxRemaining},
    settings::{OverloadSettings, QueueOrder},
    state::{RuleState, State, admission_queue},
};

/// Classes of calls, one per rule; further rules share the first one. The limit bounds memory.
/// Classes of removed rules are reused, or edits would use them all up. A class costs some 60
/// KB.
const MAX_CLASSES: usize = 64;
/// Weight of every owner's share of the capacity.
const OWNER_WEIGHT: f64 = 1.0;

/// What a request needs from the shared tables to run: its routes, admission queue and call
/// class, and the time its answer may take.
pub(crate) struct Plan {
    /// The replicas of each shard.
    pub(crate) routes: Arc<Routes>,
    /// The admission queue that the request has to pass.
    pub(crate) queue: QueueId,
    /// The class of calls whose statistics the request uses.
    pub(crate) class: Class,
    /// Time from the request's arrival to when its answer must be sent to meet the latency
    /// objective.
    pub(crate) send_by: Duration,
    /// Whether the answer can still meet the objective.
    pub(crate) timeliness: Timeliness,
    /// Whether the caller returns after a refusal.
    pub(crate) returning: bool,
    /// Whether the request is ranked as returning: false if returning callers exceed their
    /// share of the service rate.
    pub(crate) ranked_returning: bool,
}

/// Time in which a request's answer must be sent, as [`Plan`] gives it.
struct AnswerTime {
    send_by: Duration,
    timeliness: Timeliness,
    returning: Option<ReturnKind>,
}

/// Plans a request of `rule` that arrives at `now` and whose caller waits for `remaining`;
/// `draw` is a random number that starts a weighted split. Creates the class, routes, budget
/// and queue on first use, advances the split, and records the caller's time.
pub(crate) fn plan(
    state: &mut State,
    rule: &Rule,
    remaining: Option<Duration>,
    draw: u64,
    now: Time,
) -> Plan {
    let class = class_of(state, rule);
    state.table.set_objective(class, rule.objective);
    let AnswerTime {
        send_by,
        timeliness,
        returning,
    } = answer_time(state, rule, class, remaining, now);
    let services = match &rule.target {
        Target::One(service) => vec![service.clone()],
        Target::Split(parts) => vec![pick_service(state, rule, parts, draw)],
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
    let queue = match state.extra.queues.get(&services) {
        Some(queue) => *queue,
        None => {
            let id = state.add_queue(admission_queue());
            state.extra.queues.insert(services, id);
            id
        }
    };
    let ranked_returning =
        returning.is_some_and(|kind| state.extra.turns.admit_return(queue, kind, now));
    Plan {
        routes,
        queue,
        class,
        send_by,
        timeliness,
        returning: returning.is_some(),
        ranked_returning,
    }
}

/// Returns the time from `now` that the answer may take to meet the objective, and whether it
/// can: that time must exceed the median of the class. Records the caller's time.
///
/// An answer that can't gets the whole objective from now: it is late in any case, and
/// more complete with more time.
fn answer_time(
    state: &mut State,
    rule: &Rule,
    class: Class,
    remaining: Option<Duration>,
    now: Time,
) -> AnswerTime {
    let median = state.table.profile(class).calls.median();
    let relay_state = &mut state.extra;
    let detection = relay_state.return_detection();
    let Some(kept) = relay_state.rules.get_mut(&rule.name) else {
        return AnswerTime {
            send_by: rule.objective,
            timeliness: Timeliness::InTime,
            returning: None,
        };
    };
    let max = &mut kept.max_remaining;
    let delays = &mut relay_state.caller_delays;
    let arrival = delays.arrive(max, remaining, rule.timeout, detection, now);
    let overhead = delays.overhead(arrival) + relay_state.transmission_delay(rule);
    let send_by = wanted_within(rule, remaining, arrival).saturating_sub(overhead);
    let returning = arrival.returning;
    let (send_by, timeliness) = match send_by > median {
        true => (send_by, Timeliness::InTime),
        false => (rule.objective, Timeliness::Late),
    };
    AnswerTime {
        send_by,
        timeliness,
        returning,
    }
}

/// Returns the time within which the caller wants its answer: the objective. A returning caller
/// may have less than that left, after which it is gone.
fn wanted_within(rule: &Rule, remaining: Option<Duration>, arrival: Arrival) -> Duration {
    match (arrival.returning, remaining) {
        (Some(_), Some(remaining)) => rule.objective.min(remaining),
        _ => rule.objective,
    }
}

/// Returns how a request of `rule` waits for capacity: ranked among the waiting ones where that
/// is enabled. `organisation` owns the request, else the rule does.
pub(crate) fn queue_config(
    overload: OverloadSettings,
    rule: &Rule,
    organisation: Option<&OrgName>,
    urgency: Urgency,
    returning: bool,
) -> QueueConfig {
    if !overload.enabled {
        return QueueConfig::Polling;
    }
    if overload.order == QueueOrder::Arrival {
        return QueueConfig::Bounded(BoundedWait {
            max_wait: overload.max_wait,
            returning,
        });
    }
    QueueConfig::Ordered(QueueRank {
        urgency,
        owner: owner(rule, organisation),
        weight: OWNER_WEIGHT,
        returning,
        max_wait: overload.max_wait,
    })
}

/// Returns the owner of a request: a hash of the organisation's name or else of the rule's. The
/// variants of [`Option`] hash differently, so an organisation and a rule of the same name are
/// different owners.
fn owner(rule: &Rule, organisation: Option<&OrgName>) -> OwnerId {
    let mut hasher = DefaultHasher::new();
    organisation.map(OrgName::as_str).hash(&mut hasher);
    if organisation.is_none() {
        rule.name.hash(&mut hasher);
    }
    OwnerId(hasher.finish())
}

/// Returns the class of a rule, allocating it on first use. Beyond [`MAX_CLASSES`] rules share
/// the default class.
fn class_of(state: &mut State, rule: &Rule) -> Class {
    if let Some(known) = state.extra.rules.get(&rule.name) {
        return known.class;
    }
    let class = match state.extra.free_classes.pop() {
        Some(class) => {
            state.table.reset_class(class);
            class
        }
        None if state.table.classes() < MAX_CLASSES => state.table.add_class(),
        None => Class::default(),
    };
    let round_robin = RoundRobin::default();
    let kept = RuleState {
        class,
        round_robin,
        max_remaining: MaxRemaining::default(),
    };
    state.extra.rules.insert(rule.name.clone(), kept);
    class
}

/// Picks the next service of a weighted split and advances the rule's round robin; the first
/// service if all weights are 0. `draw` gives a new round robin its start.
fn pick_service(
    state: &mut State,
    rule: &Rule,
    parts: &[(ServiceName, u32)],
    draw: u64,
) -> ServiceName {
    let weights: Vec<u32> = parts.iter().map(|(_, weight)| *weight).collect();
    let kept = state.extra.rules.get_mut(&rule.name);
    let at = kept.and_then(|kept| kept.round_robin.next(&weights, draw));
    parts[at.unwrap_or(0)].0.clone()
}

/// Builds the routes to the replicas of `services`, one shard each, with their budgets.
fn find_routes(state: &mut State, services: &[ServiceName]) -> Routes {
    let shards = services
        .iter()
        .map(|service| Route {
            name: ShardName::new(service.as_str()).expect("the same characters are legal"),
            replicas: replicas(state, service),
            budget: budget_of(state, service),
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

/// Returns the indexes in the routing table of all known leafs of a service, including
/// draining and missing ones.
fn replicas(state: &State, service: &ServiceName) -> Vec<Ix> {
    state
        .extra
        .leafs
        .of_service(service)
        .filter_map(|(id, _)| state.table.find(&Backend::Leaf(id.clone())))
        .collect()
}

/// Returns the extra-call budget of a service; creates an empty one, with the ratio and this
/// entry's slack, on first use.
fn budget_of(state: &mut State, service: &ServiceName) -> BudgetId {
    if let Some(id) = state.extra.budgets.get(service) {
        return *id;
    }
    let extra = state.extra.extra;
    let mut budget = Budget::empty(extra.ratio(), 1);
    budget.set_quota(state.extra.quota.slack(&extra), extra.window);
    let id = state.table.add_budget(ExtraBudget::Joint(budget));
    state.extra.budgets.insert(service.clone(), id);
    id
}
