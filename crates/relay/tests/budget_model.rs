//! Extra calls of all entries together, while entries come and go.

use std::{collections::BTreeMap, time::Duration};

use chestnut_relay::{Allotment, ExtraCalls, Part};
use chestnut_route::Budget;
use chestnut_unit::{Share, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);
const STEPS: usize = 1200;
const WINDOW: Duration = Duration::from_secs(10);
const PART: f64 = 0.2;
const SLACK: f64 = 52.0;
/// Requests a second of one service at all entries together.
const RATE: f64 = 200.0;
/// How old the view of the members may be: probes spread a change within it.
const LAG: usize = 10;

/// One life of an entry. It makes every extra call that its budget allows,
/// which is the worst that can be.
struct Entry {
    budget: Budget,
    /// Steps since its start.
    age: usize,
}

fn allotment(carriers: usize) -> Allotment {
    Allotment {
        carriers: carriers.max(1),
        others: 0,
        part: Part::Carrier,
    }
}

#[derive(Default)]
struct Step {
    requests: f64,
    extra: u32,
}

struct World {
    rng: ChaCha8Rng,
    extra: ExtraCalls,
    entries: BTreeMap<u32, Entry>,
    born: u32,
    /// How many entries there were at each step.
    counts: Vec<usize>,
    steps: Vec<Step>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            extra: ExtraCalls {
                part: PART,
                slack: SLACK,
                window: WINDOW,
            },
            entries: BTreeMap::new(),
            born: 0,
            counts: Vec::new(),
            steps: Vec::new(),
        };
        (0..6).for_each(|_| world.start());
        world
    }

    fn start(&mut self) {
        let budget = Budget::empty(Share::from_permille(200), 1);
        self.born += 1;
        self.entries.insert(self.born, Entry { budget, age: 0 });
    }

    /// Now and then an entry is killed, one is added, or all start again.
    fn fault(&mut self) {
        match self.rng.random_range(0..200) {
            0 if self.entries.len() > 1 => {
                let at = self.rng.random_range(0..self.entries.len());
                let id = *self.entries.keys().nth(at).expect("below the length");
                self.entries.remove(&id);
            }
            1 if self.entries.len() < 8 => self.start(),
            2 => {
                let count = self.entries.len();
                self.entries.clear();
                (0..count).for_each(|_| self.start());
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.fault();
        self.counts.push(self.entries.len());
        let seen = self.counts[self.counts.len().saturating_sub(LAG + 1)];
        let requests = RATE * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        let mut step = Step { requests, extra: 0 };
        let each = (requests / self.entries.len() as f64) as usize;
        for entry in self.entries.values_mut() {
            // One that has just started knows nobody.
            let carriers = if entry.age < LAG { 1 } else { seen };
            let slack = allotment(carriers).slack(&self.extra);
            entry.budget.set_slack(slack, WINDOW);
            // An entry's time begins with its process.
            entry.budget.pass(Time::ZERO + STEP * entry.age as u32);
            entry.budget.earn(each);
            while entry.budget.spend() {
                step.extra += 1;
            }
            entry.age += 1;
        }
        self.steps.push(step);
    }

    /// The window that ends with step `end` with the most extra calls beyond
    /// the bound.
    fn beyond(&self) -> f64 {
        let length = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let requests = |from: usize| {
            let steps = self.steps.iter().skip(from).take(length);
            steps.map(|step| step.requests).sum::<f64>()
        };
        let ends = length * 2..self.steps.len() - length;
        let beyond = ends.map(|from| {
            let steps = self.steps.iter().skip(from).take(length);
            let extra: u32 = steps.map(|step| step.extra).sum();
            let most = requests(from)
                .max(requests(from - length))
                .max(requests(from - length / 2));
            f64::from(extra) - PART * most - SLACK
        });
        beyond.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// A service gets more extra calls than its users allow.
/// Entries alike carry callers, with few requests for each shard, and don't see the same
/// members: each takes from nine tenths of them to all for those that share. Where the part
/// of each is a call or more, one whole may be saved up; below, what first calls earn.
#[rstest]
#[case::few_entries(17, 33.0, 5.0)]
#[case::a_call_each(300, 630.0, 60.0)]
#[case::less_than_a_call_each(1_000, 630.0, 200.0)]
#[case::thousands(2_904, 630.0, 4_000.0)]
fn alike_entries_keep_to_the_bound(#[case] count: usize, #[case] slack: f64, #[case] rate: f64) {
    const SECONDS: usize = 60;
    const SPAN: usize = 10;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let extra = ExtraCalls {
        part: PART,
        slack,
        window: WINDOW,
    };
    let seen = |rng: &mut ChaCha8Rng| rng.random_range(count * 9 / 10..=count);
    let mut budgets: Vec<Budget> = (0..count)
        .map(|_| Budget::empty(Share::from_permille(200), 1))
        .collect();
    let (mut first, mut made) = (vec![0u32; SECONDS], vec![0u32; SECONDS]);
    for second in 0..SECONDS {
        for budget in &mut budgets {
            let slack = allotment(seen(&mut rng)).slack(&extra);
            budget.set_slack(slack, WINDOW);
            budget.pass(Time::ZERO + Duration::from_secs(second as u64));
            let calls = rate / count as f64;
            let calls = calls as usize + usize::from(rng.random_bool(calls.fract()));
            budget.earn(calls);
            first[second] += calls as u32;
            // All is spent at once now and then, after it was saved for a while.
            while second % 15 > 9 && budget.spend() {
                made[second] += 1;
            }
        }
    }
    let sum = |of: &[u32], from: usize| f64::from(of[from..from + SPAN].iter().sum::<u32>());
    for from in SPAN..SECONDS - SPAN {
        let calls = sum(&first, from).max(sum(&first, from - SPAN));
        // Nine tenths of the members are seen at the least.
        let most = PART * calls + slack / 0.9;
        assert!(sum(&made, from) <= most, "{} of {most}", sum(&made, from));
    }
}

/// A service gets more extra calls than its users allow.
/// Each entry keeps to its part of a bound that all share, by what it knows of
/// the others: entries come, go and start again all at once, and each hears of it
/// a second late; one that starts takes itself for the only one. All spend
/// whatever they may, all the time.
#[test]
fn all_entries_together_keep_to_the_bound() {
    for seed in 0..300 {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        let beyond = world.beyond();
        assert!(
            beyond <= 0.0,
            "{beyond:.1} calls beyond the bound, seed {seed}"
        );
    }
}
