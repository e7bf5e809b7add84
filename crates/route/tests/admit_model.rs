//! Admission against a naive record of what became of each request.

use std::{collections::BTreeMap, time::Duration};

use chestnut_route::{Adapt, Admission, AdmitConfig, Decision, Order, Ran, Release, Yields};
use chestnut_unit::{Reason, RequestId, Time, Urgency};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const LIMIT: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        urgency: usize,
        deadline: u64,
        yields: bool,
    },
    Done(u64),
    Forget(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3, 1u64..200, any::<bool>())
            .prop_map(|(urgency, deadline, yields)| Step::Offer { urgency, deadline, yields }),
        3 => (1u64..20).prop_map(Step::Done),
        1 => (0usize..50).prop_map(Step::Forget),
        1 => (1u64..30).prop_map(Step::Pass),
    ]
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Waits,
    Runs,
    Over,
}

struct Naive {
    orders: BTreeMap<RequestId, (Order, Place)>,
}

impl Naive {
    fn place(&mut self, id: RequestId, place: Place) {
        self.orders.get_mut(&id).unwrap().1 = place;
    }

    fn running(&self) -> usize {
        self.orders
            .values()
            .filter(|(_, p)| *p == Place::Runs)
            .count()
    }

    fn waiting(&self) -> usize {
        self.orders
            .values()
            .filter(|(_, p)| *p == Place::Waits)
            .count()
    }

    /// Takes releases: each must be of a request that waits.
    fn take(&mut self, out: &mut Vec<Release>) {
        for release in out.drain(..) {
            let (order, place) = self.orders[&release.id];
            assert_eq!(place, Place::Waits, "released twice or never queued");
            let next = self.decided(order, release.decision);
            self.place(release.id, next);
        }
    }

    fn decided(&self, order: Order, decision: Decision) -> Place {
        match decision {
            Decision::Run => Place::Runs,
            Decision::Wait => Place::Waits,
            Decision::Refuse { reason, after } => {
                assert!(after > Duration::ZERO, "no time to come back");
                let full = self.waiting() >= QUEUE;
                if order.yields == Yields::No && !full {
                    assert_eq!(reason, Reason::Deadline, "refused what may not be");
                }
                Place::Over
            }
        }
    }
}

const QUEUE: usize = 8;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every request runs, waits or is refused, exactly once; no more run than
    /// the limit allows; and nothing less urgent starts while `now` waits.
    #[test]
    fn every_request_has_one_fate(steps in prop::collection::vec(step(), 0..120), seed: u64) {
        let config = AdmitConfig { initial: LIMIT, queue: QUEUE, adapt: Adapt::No };
        let mut admission = Admission::new(config);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut naive = Naive { orders: BTreeMap::new() };
        let mut out = Vec::new();
        let mut now = Time::from_millis(1);
        for (number, step) in (0..).zip(steps) {
            match step {
                Step::Offer { urgency, deadline, yields } => {
                    let order = Order {
                        id: RequestId(number),
                        urgency: Urgency::ALL[urgency],
                        deadline: now + Duration::from_millis(deadline),
                        yields: if yields { Yields::Yes } else { Yields::No },
                    };
                    let decision = admission.offer(order, now, &mut rng, &mut out);
                    naive.take(&mut out);
                    let place = naive.decided(order, decision);
                    let now_waits = naive.orders.values().any(|(o, p)| {
                        *p == Place::Waits && o.urgency == Urgency::Now
                    });
                    let less = order.urgency > Urgency::Now;
                    prop_assert!(!(place == Place::Runs && less && now_waits));
                    naive.orders.insert(order.id, (order, place));
                }
                Step::Done(ms) => {
                    let running = naive.orders.iter().find(|(_, (_, p))| *p == Place::Runs);
                    if let Some(id) = running.map(|(id, _)| *id) {
                        let ran = Ran { span: Duration::from_millis(ms), ..Ran::default() };
                        admission.done(ran, now, &mut rng, &mut out);
                        naive.place(id, Place::Over);
                        naive.take(&mut out);
                    }
                }
                Step::Forget(at) => {
                    let waits: Vec<_> = naive.orders.iter()
                        .filter(|(_, (_, p))| *p == Place::Waits)
                        .map(|(id, _)| *id)
                        .collect();
                    if let Some(id) = waits.get(at) {
                        admission.forget(*id);
                        naive.place(*id, Place::Over);
                    }
                }
                Step::Pass(ms) => {
                    now = now + Duration::from_millis(ms);
                    admission.expire(now, &mut rng, &mut out);
                    naive.take(&mut out);
                }
            }
            prop_assert_eq!(admission.running() as usize, naive.running());
            prop_assert_eq!(admission.waiting(), naive.waiting());
            prop_assert!(naive.running() <= (LIMIT + LIMIT / 2) as usize);
            prop_assert!(naive.waiting() <= QUEUE);
        }
    }
}

/// Archive queries still run while normal ones keep the queue full.
#[test]
fn archive_does_not_starve_behind_normal_calls() {
    let config = AdmitConfig {
        initial: 2,
        queue: 64,
        adapt: Adapt::No,
    };
    let mut admission = Admission::new(config);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    let order = |id: u64, urgency| Order {
        id: RequestId(id),
        urgency,
        deadline: Time::from_millis(1_000_000),
        yields: Yields::No,
    };
    admission.offer(order(0, Urgency::Normal), now, &mut rng, &mut out);
    admission.offer(order(1, Urgency::Normal), now, &mut rng, &mut out);
    admission.offer(order(2, Urgency::Archive), now, &mut rng, &mut out);
    for id in 3..60 {
        admission.offer(order(id, Urgency::Normal), now, &mut rng, &mut out);
    }
    for _ in 0..20 {
        let ran = Ran {
            span: Duration::from_millis(5),
            ..Ran::default()
        };
        admission.done(ran, now, &mut rng, &mut out);
    }
    assert!(
        out.iter()
            .any(|r| r.id == RequestId(2) && r.decision == Decision::Run)
    );
}
