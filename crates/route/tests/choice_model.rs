//! The choice of a replica against a naive account of calls.

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
    Return(usize),
    Lack(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let leaf = 0..LEAFS;
    prop_oneof![
        5 => leaf.clone().prop_map(Step::Send),
        4 => (leaf.clone(), 1u64..50).prop_map(|(l, ms)| Step::Answer(l, ms)),
        1 => leaf.clone().prop_map(Step::Drain),
        1 => leaf.clone().prop_map(Step::Return),
        1 => leaf.prop_map(Step::Lack),
        1 => (1u64..700).prop_map(Step::Pass),
    ]
}

/// What the naive version knows of a leaf.
#[derive(Clone, Copy, Default)]
struct Naive {
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

    /// Every way to choose takes an open replica whenever there is one; the
    /// least outstanding is the least by the naive account too.
    #[test]
    fn an_open_replica_is_chosen(
        steps in prop::collection::vec(step(), 0..80),
        choice in prop::sample::select(Choice::ALL.to_vec()),
        seed: u64,
    ) {
        let mut table = Table::new(TableConfig { choice, ..TableConfig::default() });
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas: Vec<Ix> = (0..LEAFS)
            .map(|n| LeafId::new(format!("l{n}")).unwrap())
            .map(|id| table.add(Backend::Leaf(id), 5, Time::ZERO))
            .collect();
        let mut naive = [Naive::default(); LEAFS];
        let mut ms = 1;
        for step in steps {
            let now = Time::from_millis(ms);
            match step {
                Step::Send(leaf) => {
                    table.sent(replicas[leaf], now);
                    naive[leaf].outstanding += 1;
                }
                Step::Answer(leaf, span) if naive[leaf].outstanding > 0 => {
                    table.answered(replicas[leaf], Duration::from_millis(span), now);
                    naive[leaf].outstanding -= 1;
                }
                Step::Answer(..) => {}
                Step::Drain(leaf) => {
                    if naive[leaf].outstanding > 0 {
                        naive[leaf].outstanding -= 1;
                        table.failed(replicas[leaf], Failure::Refused(Refusal::Draining), now);
                        naive[leaf].leaving = true;
                    }
                }
                Step::Return(leaf) => {
                    table.set_leaving(replicas[leaf], false, now);
                    naive[leaf].leaving = false;
                }
                Step::Lack(leaf) => {
                    table.lacks(replicas[leaf], V1, now);
                    naive[leaf].lacks_until = ms + 1000;
                }
                Step::Pass(span) => ms += span,
            }
            let open = |n: &usize| !naive[*n].leaving && naive[*n].lacks_until <= ms;
            let open: Vec<usize> = (0..LEAFS).filter(open).collect();
            let now = Time::from_millis(ms);
            let chosen = choose_replica(&mut table, &replicas, &[], V1, now, &mut rng);
            let chosen = chosen.map(|ix| replicas.iter().position(|r| *r == ix).unwrap());
            prop_assert_eq!(chosen.is_some(), !open.is_empty());
            if let Some(chosen) = chosen {
                prop_assert!(open.contains(&chosen));
                if choice == Choice::LeastOutstanding {
                    let least = open.iter().map(|n| naive[*n].outstanding).min().unwrap();
                    prop_assert_eq!(naive[chosen].outstanding, least);
                }
            }
        }
    }
}
