//! Model test of a query against a plain record of what may be merged.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chestnut_route::{
    Action, Backend, BudgetId, CallId, Context, Failure, Query, QueryConfig, Refusal, Route,
    Routes, Table, TableConfig,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const SHARDS: usize = 4;
const REPLICAS: usize = 3;

/// An event for some call of the query.
#[derive(Clone, Debug)]
enum Step {
    /// The call answers the shards of a mask, for the pinned version or
    /// another.
    Answer {
        call: usize,
        mask: u8,
        other_version: bool,
    },
    Fail {
        call: usize,
        how: u8,
    },
    Pass(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..12, any::<u8>(), prop::bool::weighted(0.2))
            .prop_map(|(call, mask, other_version)| Step::Answer { call, mask, other_version }),
        2 => (0usize..12, 0u8..6).prop_map(|(call, how)| Step::Fail { call, how }),
        2 => (0u16..40).prop_map(Step::Pass),
    ]
}

fn failure(how: u8) -> Failure {
    match how {
        0 => Failure::NotSent,
        1 => Failure::Lost,
        2 => Failure::ConnectionSilent,
        3 => Failure::Refused(Refusal::Shed),
        4 => Failure::Refused(Refusal::Draining),
        _ => Failure::Refused(Refusal::NoSnapshot),
    }
}

fn routes(table: &mut Table) -> Arc<Routes> {
    let mut leaf = |n: usize| {
        let id = LeafId::new(format!("l{n}")).unwrap();
        table.add(Backend::Leaf(id), 5, Time::ZERO)
    };
    let shard = |s: usize, replicas| Route {
        name: ShardName::new(format!("s{s}")).unwrap(),
        replicas,
        budget: BudgetId::default(),
    };
    let shards = (0..SHARDS)
        .map(|s| shard(s, (0..REPLICAS).map(|r| leaf(s + r * SHARDS)).collect()))
        .collect();
    Arc::new(Routes {
        snapshot: Snapshot {
            service: ServiceName::new("ladder").unwrap(),
            version: IndexVersion(7),
        },
        shards,
    })
}

/// Reference model: the calls in flight, the shards they requested, and the
/// shards that have answered.
#[derive(Default)]
struct Model {
    asked: BTreeMap<CallId, Vec<usize>>,
    live: BTreeMap<CallId, bool>,
    merged: [bool; SHARDS],
    ran: bool,
    open: usize,
}

impl Model {
    fn take(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Call { call, shards, .. } => {
                    for shard in &shards {
                        assert!(!self.merged[*shard], "call for a shard already merged");
                    }
                    self.asked.insert(call, shards);
                    self.live.insert(call, true);
                    self.open += 1;
                }
                Action::Cancel(call) => {
                    assert_eq!(self.live.insert(call, false), Some(true));
                    self.ran = true;
                    self.open -= 1;
                }
            }
        }
    }

    fn end(&mut self, call: CallId) -> bool {
        let live = self.live.insert(call, false) == Some(true);
        self.open -= usize::from(live);
        live
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against merging parts of another version, of ended calls, or of
    /// shards that a call did not request.
    #[test]
    fn coverage_matches_the_merged_parts(steps in prop::collection::vec(step(), 0..60), seed: u64) {
        let mut table = Table::new(TableConfig::default());
        let routes = routes(&mut table);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut actions = Vec::new();
        let mut now = Time::from_millis(100);
        let config = QueryConfig::new(Time::from_millis(400), Share::FULL);
        let mut model = Model::default();
        let mut cx = Context { table: &mut table, now, rng: &mut rng, actions: &mut actions };
        let mut query: Query<usize> = Query::start(routes.clone(), None, config, &mut cx);
        model.take(cx.actions);
        for step in steps {
            cx.now = now;
            let over = query.end().is_some();
            match step {
                Step::Answer { call, mask, other_version } => {
                    let id = CallId(call as u32);
                    let parts = (0..SHARDS).filter(|s| mask >> s & 1 == 1).map(|s| (s, s));
                    let version = IndexVersion(if other_version { 8 } else { 7 });
                    query.answer(id, version, parts.collect(), &mut cx);
                    if model.end(id) && !over {
                        model.ran = true;
                        for shard in model.asked[&id].clone() {
                            model.merged[shard] |= !other_version && mask >> shard & 1 == 1;
                        }
                    }
                }
                Step::Fail { call, how } => {
                    let id = CallId(call as u32);
                    query.fail(id, failure(how), &mut cx);
                    if model.end(id) {
                        model.ran |=
                            matches!(failure(how), Failure::Lost | Failure::ConnectionSilent);
                    }
                }
                Step::Pass(ms) => {
                    now = now + Duration::from_millis(ms.into());
                    cx.now = now;
                    query.tick(&mut cx);
                }
            }
            model.take(cx.actions);
            let coverage = query.coverage();
            prop_assert_eq!(coverage.answered, model.merged.iter().filter(|m| **m).count());
            prop_assert_eq!(coverage.is_complete(), model.merged.iter().all(|m| *m));
            if query.not_run().is_some() {
                prop_assert!(!model.ran && model.open == 0, "reported as not run without proof");
            }
            if query.end().is_some() {
                prop_assert_eq!(model.open, 0, "calls in flight after the end");
            }
        }
        prop_assert!(query.calls() <= SHARDS * REPLICAS * 2);
    }
}
