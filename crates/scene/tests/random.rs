//! Random scenarios with a fixed seed: invariants hold under all faults, and
//! the service recovers once the faults end.

use chestnut_fake::demo::discard_logger;
use chestnut_scene::run_scenario;
use proptest::{prelude::*, test_runner::RngSeed};

const ENTRIES: usize = 4;
const LEAFS: u32 = 6;

/// Generates one step, some lines of a scenario. `{v}` stands for the next index
/// version and `{n}` for the number of the step.
fn step() -> impl Strategy<Value = String> {
    let entry = 0..ENTRIES;
    let leaf = 0..LEAFS;
    let ms = 10u64..1500;
    prop_oneof![
        3 => ms.clone().prop_map(|ms| format!("wait {ms}ms")),
        3 => (entry.clone(), ms.clone()).prop_map(|(e, ms)| {
            format!("load entries={e} every=7ms for={ms}ms expect any")
        }),
        2 => entry.clone().prop_map(|e| format!("query {e} expect any")),
        1 => entry.clone().prop_map(|e| format!("kill {e}\nstart {e}")),
        1 => (entry.clone(), ms.clone()).prop_map(|(e, ms)| format!("freeze {e} {ms}ms")),
        1 => (entry.clone(), entry.clone()).prop_map(|(a, b)| format!("cut {a} {b}")),
        1 => (entry.clone(), entry.clone()).prop_map(|(a, b)| format!("heal {a} {b}")),
        1 => entry.clone().prop_map(|e| format!("cut {e} platform")),
        1 => prop::sample::select(vec![
            "platform down", "platform up", "platform slow 300ms", "platform slow 2s",
            "platform lose-answers 1", "platform stale 2", "platform lag 5s",
        ]).prop_map(str::to_owned),
        2 => (leaf.clone(), prop::sample::select(vec![
            "kill", "revive", "drain", "freeze 700ms", "slow 30", "silence", "repeat", "stray",
            "lose-answers",
        ])).prop_map(|(l, fault)| format!("leaf {l} {fault}")),
        1 => (0..LEAFS).prop_map(|shift| format!("repartition {{v}} shift={shift}")),
        1 => (entry.clone(), 101u64..999).prop_map(|(e, r)| format!("edit {e} rate={r} expect any")),
        2 => (entry.clone(), entry.clone(), entry.clone()).prop_map(|(a, b, c)| {
            format!("ticket t{{n}} {a}\nsubmit t{{n}} {b} later\nsubmit t{{n}} {c} later")
        }),
    ]
}

/// Joins the steps, numbers versions and tickets, and appends the end of all
/// faults and the checks of recovery.
fn text(steps: &[String]) -> String {
    let mut text = format!("world entries={ENTRIES} shards=2 connections=12 share=4\n");
    let mut version = 1;
    for (number, step) in steps.iter().enumerate() {
        version += usize::from(step.contains("{v}"));
        let step = step.replace("{v}", &version.to_string());
        text += &step.replace("{n}", &number.to_string());
        text += "\n";
    }
    text += "platform up\n";
    for a in 0..ENTRIES {
        text += &format!("heal {a} platform\n");
        for b in 0..a {
            text += &format!("heal {a} {b}\n");
        }
    }
    for leaf in 0..LEAFS {
        text += &format!("leaf {leaf} revive\n");
    }
    text += "wait 45s\n";
    for entry in 0..ENTRIES {
        text += &format!("expect members {entry} {ENTRIES}\nquery {entry} times=2\n");
    }
    text += "expect converged\n";
    for (number, step) in steps.iter().enumerate() {
        if step.contains("ticket") {
            text += &format!("expect applied t{number} at-most 1\n");
        }
    }
    text
}

fn run(text: &str) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime on one thread");
    runtime
        .block_on(run_scenario(text, discard_logger()))
        .map(drop)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        max_shrink_iters: 60,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_and_service_recovers(steps in prop::collection::vec(step(), 4..24)) {
        let text = text(&steps);
        if let Err(problem) = run(&text) {
            return Err(TestCaseError::fail(format!("{problem}\n{text}")));
        }
    }
}
