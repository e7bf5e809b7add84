//! Property test of replica choice against a simple model of the leafs.

use std::time::Duration;

use chestnut_route::{Backend, Choice, Failure, Ix, Refusal, Table, TableConfig, choose_replica};
use chestnut_unit::{IndexVersion, LeafId, Time};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const LEAFS: usize = 5;
const V1: IndexVersion = IndexVersion(1);

#[derive(Clone, Debug)]
enum Step {
    Send(usize),
    Answer(usize, u64),
    Drain(usize),
    Rejoin(usize),
    LackSnapshot(usize),
    Advance(u64),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let leaf = 0..LEAFS;
    prop_oneof![
        5 => leaf.clone().prop_map(Step::Send),
        4 => (leaf.clone(), 1u64..50).prop_map(|(l, ms)| Step::Answer(l, ms)),
        1 => leaf.clone().prop_map(Step::Drain),
        1 => leaf.clone().prop_map(Step::Rejoin),
        1 => leaf.prop_map(Step::LackSnapshot),
        1 => (1u64..700).prop_map(Step::Advance),
    ]
}

/// State of a leaf in the model.
#[derive(Clone, Copy, Default)]
struct Model {
    outstanding: u32,
    leaving: bool,
    lacks_until: u64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every policy must choose a callable replica whenever there is one;
    /// `LeastOutstanding` must also agree with the model's counts.
    #[test]
    fn a_callable_replica_is_chosen_whenever_there_is_one(
        steps in prop::collection::vec(step_strategy(), 0..80),
        choice in prop::sample::select(Choice::ALL.to_vec()),
        seed: u64,
    ) {
        let mut table = Table::new(TableConfig { choice, ..TableConfig::default() });
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas: Vec<Ix> = (0..LEAFS)
            .map(|n| LeafId::new(format!("l{n}")).unwrap())
            .map(|id| table.add(Backend::Leaf(id), 5, Time::ZERO))
            .collect();
        let mut model = [Model::default(); LEAFS];
        let mut ms = 1;
        for step in steps {
            let now = Time::from_millis(ms);
            match step {
                Step::Send(leaf) => {
                    table.sent(replicas[leaf], now);
                    model[leaf].outstanding += 1;
                }
                Step::Answer(leaf, span) if model[leaf].outstanding > 0 => {
                    table.answered(replicas[leaf], Duration::from_millis(span), now);
                    model[leaf].outstanding -= 1;
                }
                Step::Answer(..) => {}
                Step::Drain(leaf) => {
                    if model[leaf].outstanding > 0 {
                        model[leaf].outstanding -= 1;
                        table.failed(replicas[leaf], Failure::Refused(Refusal::Draining), now);
                        model[leaf].leaving = true;
                    }
                }
                Step::Rejoin(leaf) => {
                    table.set_leaving(replicas[leaf], false, now);
                    model[leaf].leaving = false;
                }
                Step::LackSnapshot(leaf) => {
                    table.mark_missing(replicas[leaf], V1, now);
                    model[leaf].lacks_until = ms + 1000;
                }
                Step::Advance(span) => ms += span,
            }
            let callable = |n: &usize| !model[*n].leaving && model[*n].lacks_until <= ms;
            let callable: Vec<usize> = (0..LEAFS).filter(callable).collect();
            let now = Time::from_millis(ms);
            let chosen = choose_replica(&mut table, &replicas, &[], V1, now, &mut rng);
            let chosen = chosen.map(|ix| replicas.iter().position(|r| *r == ix).unwrap());
            prop_assert_eq!(chosen.is_some(), !callable.is_empty());
            if let Some(chosen) = chosen {
                prop_assert!(callable.contains(&chosen));
                if choice == Choice::LeastOutstanding {
                    let least = callable.iter().map(|n| model[*n].outstanding).min().unwrap();
                    prop_assert_eq!(model[chosen].outstanding, least);
                }
            }
        }
    }
}
