//! The query against a naive ledger of what may be merged.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use chestnut_route::{
    Action, Backend, CallId, Context, Failure, PurseId, Query, QueryConfig, Refusal, Route, Routes,
    Table, TableConfig,
};
use chestnut_unit::{IndexVersion, LeafId, ServiceName, ShardName, Share, Snapshot, Time};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const SHARDS: usize = 4;
const REPLICAS: usize = 3;

/// What happens next to some call of the query.
#[derive(Clone, Debug)]
enum Step {
    /// It answers the shards of a mask, from the pinned version or another.
    Answer {
        call: usize,
        mask: u8,
        stray: bool,
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
            .prop_map(|(call, mask, stray)| Step::Answer { call, mask, stray }),
        2 => (0usize..12, 0u8..6).prop_map(|(call, how)| Step::Fail { call, how }),
        2 => (0u16..40).prop_map(Step::Pass),
    ]
}

fn failure(how: u8) -> Failure {
    match how {
        0 => Failure::NotSent,
        1 => Failure::Lost,
        2 => Failure::Cut,
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
        purse: PurseId::default(),
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

/// What the naive version knows: which calls are live and what they asked,
/// and which shards have answered.
#[derive(Default)]
struct Naive {
    asked: BTreeMap<CallId, Vec<usize>>,
    live: BTreeMap<CallId, bool>,
    merged: [bool; SHARDS],
    ran: bool,
    open: usize,
}

impl Naive {
    fn take(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Call { call, shards, .. } => {
                    for shard in &shards {
                        assert!(!self.merged[*shard], "a call for a shard that is done");
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

    /// Whatever the calls do, the query merges exactly what the ledger does:
    /// the pinned version's parts, of live calls, for shards they asked.
    #[test]
    fn coverage_is_what_was_merged(steps in prop::collection::vec(step(), 0..60), seed: u64) {
        let mut table = Table::new(TableConfig::default());
        let routes = routes(&mut table);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut out = Vec::new();
        let mut now = Time::from_millis(100);
        let config = QueryConfig::new(Time::from_millis(400), Share::WHOLE);
        let mut naive = Naive::default();
        let mut cx = Context { table: &mut table, now, rng: &mut rng, out: &mut out };
        let mut query: Query<usize> = Query::start(routes.clone(), None, config, &mut cx);
        naive.take(cx.out);
        for step in steps {
            cx.now = now;
            let over = query.end().is_some();
            match step {
                Step::Answer { call, mask, stray } => {
                    let id = CallId(call as u32);
                    let parts = (0..SHARDS).filter(|s| mask >> s & 1 == 1).map(|s| (s, s));
                    let version = IndexVersion(if stray { 8 } else { 7 });
                    query.answer(id, version, parts.collect(), &mut cx);
                    if naive.end(id) && !over {
                        naive.ran = true;
                        for shard in naive.asked[&id].clone() {
                            naive.merged[shard] |= !stray && mask >> shard & 1 == 1;
                        }
                    }
                }
                Step::Fail { call, how } => {
                    let id = CallId(call as u32);
                    query.fail(id, failure(how), &mut cx);
                    if naive.end(id) {
                        naive.ran |= matches!(failure(how), Failure::Lost | Failure::Cut);
                    }
                }
                Step::Pass(ms) => {
                    now = now + Duration::from_millis(ms.into());
                    cx.now = now;
                    query.tick(&mut cx);
                }
            }
            naive.take(cx.out);
            let coverage = query.coverage();
            prop_assert_eq!(coverage.answered, naive.merged.iter().filter(|m| **m).count());
            prop_assert_eq!(coverage.is_complete(), naive.merged.iter().all(|m| *m));
            if query.not_run().is_some() {
                prop_assert!(!naive.ran && naive.open == 0, "not run without proof");
            }
            if query.end().is_some() {
                prop_assert_eq!(naive.open, 0, "calls under way after the end");
            }
        }
        prop_assert!(query.calls() <= SHARDS * REPLICAS * 2);
    }
}
