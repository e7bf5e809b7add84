//! Model of the extra calls that all entries make together while entries start and stop.

use std::{collections::BTreeMap, time::Duration};

use chestnut_relay::{ExtraCalls, Quota, Role};
use chestnut_route::Budget;
use chestnut_unit::{Share, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Simulated time of a step.
const STEP: Duration = Duration::from_millis(100);
/// Steps of a run.
const STEPS: usize = 1200;
/// Time over which extra calls are limited.
const WINDOW: Duration = Duration::from_secs(10);
/// Extra calls allowed per first call.
const EXTRA_RATIO: f64 = 0.2;
/// Extra calls allowed per window on top of the ratio.
const SLACK: f64 = 52.0;
/// Requests per second to one service, over all entries.
const REQUEST_RATE: f64 = 200.0;
/// Steps by which an entry's view of the membership lags behind.
const VIEW_LAG: usize = 10;

/// One incarnation of an entry, which makes every extra call that its budget allows.
struct Entry {
    budget: Budget,
    /// Steps since its start.
    age: usize,
}

/// Returns the quota of one of `serving` entries.
fn quota(serving: usize) -> Quota {
    Quota {
        serving: serving.max(1),
        others: 0,
        role: Role::Carrier,
    }
}

/// Calls of all entries in one step.
#[derive(Default)]
struct Step {
    requests: f64,
    extra: u32,
}

/// Entries that start and stop at random and share one budget.
struct Model {
    rng: ChaCha8Rng,
    extra: ExtraCalls,
    entries: BTreeMap<u32, Entry>,
    started: u32,
    /// Number of entries at each step.
    entry_counts: Vec<usize>,
    steps: Vec<Step>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            extra: ExtraCalls {
                part: EXTRA_RATIO,
                slack: SLACK,
                window: WINDOW,
            },
            entries: BTreeMap::new(),
            started: 0,
            entry_counts: Vec::new(),
            steps: Vec::new(),
        };
        (0..6).for_each(|_| model.start());
        model
    }

    fn start(&mut self) {
        let budget = Budget::empty(Share::from_permille(200), 1);
        self.started += 1;
        self.entries.insert(self.started, Entry { budget, age: 0 });
    }

    /// At random stops an entry, starts one, restarts all, or does nothing.
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
        self.entry_counts.push(self.entries.len());
        let known = self.entry_counts[self.entry_counts.len().saturating_sub(VIEW_LAG + 1)];
        let requests = REQUEST_RATE * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        let mut step = Step { requests, extra: 0 };
        let per_entry = (requests / self.entries.len() as f64) as usize;
        for entry in self.entries.values_mut() {
            // A new entry knows no other member yet.
            let serving = if entry.age < VIEW_LAG { 1 } else { known };
            let slack = quota(serving).slack(&self.extra);
            entry.budget.set_quota(slack, WINDOW);
            // An entry's clock starts at zero with its process.
            entry.budget.refill(Time::ZERO + STEP * entry.age as u32);
            entry.budget.earn(per_entry);
            while entry.budget.spend() {
                step.extra += 1;
            }
            entry.age += 1;
        }
        self.steps.push(step);
    }

    /// The largest number of extra calls above the bound in any window; not
    /// positive if the bound held.
    fn excess(&self) -> f64 {
        let length = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let requests = |from: usize| {
            let steps = self.steps.iter().skip(from).take(length);
            steps.map(|step| step.requests).sum::<f64>()
        };
        let ends = length * 2..self.steps.len() - length;
        let excess = ends.map(|from| {
            let steps = self.steps.iter().skip(from).take(length);
            let extra: u32 = steps.map(|step| step.extra).sum();
            let max_requests = requests(from)
                .max(requests(from - length))
                .max(requests(from - length / 2));
            f64::from(extra) - EXTRA_RATIO * max_requests - SLACK
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Guards against too many extra calls to a service when many entries with few requests
/// each see between nine tenths and all of the members and save up to a whole call.
#[rstest]
#[case::few_entries(17, 33.0, 5.0)]
#[case::a_call_each(300, 630.0, 60.0)]
#[case::less_than_a_call_each(1_000, 630.0, 200.0)]
#[case::thousands(2_904, 630.0, 4_000.0)]
fn identical_entries_keep_to_the_bound(
    #[case] count: usize,
    #[case] slack: f64,
    #[case] rate: f64,
) {
    const SECONDS: usize = 60;
    /// Seconds of the window of extra calls.
    const SPAN: usize = 10;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let extra = ExtraCalls {
        part: EXTRA_RATIO,
        slack,
        window: WINDOW,
    };
    let known = |rng: &mut ChaCha8Rng| rng.random_range(count * 9 / 10..=count);
    let mut budgets: Vec<Budget> = (0..count)
        .map(|_| Budget::empty(Share::from_permille(200), 1))
        .collect();
    let (mut first_calls, mut extra_calls) = (vec![0u32; SECONDS], vec![0u32; SECONDS]);
    for second in 0..SECONDS {
        for budget in &mut budgets {
            let slack = quota(known(&mut rng)).slack(&extra);
            budget.set_quota(slack, WINDOW);
            budget.refill(Time::ZERO + Duration::from_secs(second as u64));
            let calls = rate / count as f64;
            let calls = calls as usize + usize::from(rng.random_bool(calls.fract()));
            budget.earn(calls);
            first_calls[second] += calls as u32;
            // Saves for ten of every fifteen seconds, then spends whatever it has.
            while second % 15 > 9 && budget.spend() {
                extra_calls[second] += 1;
            }
        }
    }
    let sum = |calls: &[u32], from: usize| f64::from(calls[from..from + SPAN].iter().sum::<u32>());
    for from in SPAN..SECONDS - SPAN {
        let calls = sum(&first_calls, from).max(sum(&first_calls, from - SPAN));
        // An entry sees at least nine tenths of the members.
        let bound = EXTRA_RATIO * calls + slack / 0.9;
        assert!(
            sum(&extra_calls, from) <= bound,
            "{} of {bound}",
            sum(&extra_calls, from)
        );
    }
}

/// Guards against too many extra calls to a service when entries start and stop: they share
/// the budget by views of the members that are out of date or, at the start, empty.
#[test]
fn entries_keep_to_the_shared_bound_while_membership_changes() {
    for seed in 0..300 {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        let excess = model.excess();
        assert!(
            excess <= 0.0,
            "{excess:.1} calls above the bound, seed {seed}"
        );
    }
}
