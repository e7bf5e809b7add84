//! Property test of admission control against a simple model of request states.

use std::{collections::BTreeMap, time::Duration};

use chestnut_route::{
    Admission, AdmitConfig, AdmitRequest, Decision, LimitMode, Release, RequestStats, Sheddable,
};
use chestnut_unit::{Reason, RequestId, Time, Urgency};
use proptest::{prelude::*, test_runner::RngSeed};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const LIMIT: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        urgency: usize,
        deadline: u64,
        sheddable: bool,
    },
    Done(u64),
    Forget(usize),
    Advance(u64),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3, 1u64..200, any::<bool>())
            .prop_map(|(urgency, deadline, sheddable)| Step::Offer {
                urgency,
                deadline,
                sheddable,
            }),
        3 => (1u64..20).prop_map(Step::Done),
        1 => (0usize..50).prop_map(Step::Forget),
        1 => (1u64..30).prop_map(Step::Advance),
    ]
}

/// State of a request in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Running,
    Finished,
}

struct Model {
    requests: BTreeMap<RequestId, (AdmitRequest, State)>,
}

impl Model {
    fn set_state(&mut self, id: RequestId, state: State) {
        self.requests.get_mut(&id).unwrap().1 = state;
    }

    fn running(&self) -> usize {
        self.requests
            .values()
            .filter(|(_, p)| *p == State::Running)
            .count()
    }

    fn queued(&self) -> usize {
        self.requests
            .values()
            .filter(|(_, p)| *p == State::Queued)
            .count()
    }

    /// Applies releases, each of which must be of a queued request.
    fn apply_releases(&mut self, out: &mut Vec<Release>) {
        for release in out.drain(..) {
            let (request, state) = self.requests[&release.id];
            assert_eq!(state, State::Queued, "released though not queued");
            let next = self.state_after(request, release.decision);
            self.set_state(release.id, next);
        }
    }

    fn state_after(&self, request: AdmitRequest, decision: Decision) -> State {
        match decision {
            Decision::Run => State::Running,
            Decision::Wait => State::Queued,
            Decision::Refuse { reason, after } => {
                assert!(after > Duration::ZERO, "no retry delay");
                let queue_full = self.queued() >= QUEUE_CAPACITY;
                if request.sheddable == Sheddable::No && !queue_full {
                    assert_eq!(
                        reason,
                        Reason::Deadline,
                        "refused for overload though it may not be"
                    );
                }
                State::Finished
            }
        }
    }
}

const QUEUE_CAPACITY: usize = 8;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are lost or released twice, exceeded limits,
    /// and less urgent requests that overtake a queued one of urgency `now`.
    #[test]
    fn every_request_is_run_queued_or_refused_exactly_once(
        steps in prop::collection::vec(step_strategy(), 0..120),
        seed: u64,
    ) {
        let config = AdmitConfig {
            initial_limit: LIMIT,
            queue_capacity: QUEUE_CAPACITY,
            limit_mode: LimitMode::Fixed,
        };
        let mut admission = Admission::new(config);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut model = Model { requests: BTreeMap::new() };
        let mut out = Vec::new();
        let mut now = Time::from_millis(1);
        for (number, step) in (0..).zip(steps) {
            match step {
                Step::Offer { urgency, deadline, sheddable } => {
                    let request = AdmitRequest {
                        id: RequestId(number),
                        urgency: Urgency::ALL[urgency],
                        deadline: now + Duration::from_millis(deadline),
                        sheddable: if sheddable { Sheddable::Yes } else { Sheddable::No },
                    };
                    let decision = admission.offer(request, now, &mut rng, &mut out);
                    model.apply_releases(&mut out);
                    let state = model.state_after(request, decision);
                    let now_queued = model.requests.values().any(|(o, p)| {
                        *p == State::Queued && o.urgency == Urgency::Now
                    });
                    let less_urgent = request.urgency > Urgency::Now;
                    prop_assert!(!(state == State::Running && less_urgent && now_queued));
                    model.requests.insert(request.id, (request, state));
                }
                Step::Done(ms) => {
                    let running = model.requests.iter().find(|(_, (_, p))| *p == State::Running);
                    if let Some(id) = running.map(|(id, _)| *id) {
                        let stats = RequestStats {
                            span: Duration::from_millis(ms),
                            ..RequestStats::default()
                        };
                        admission.record_end(stats, now, &mut rng, &mut out);
                        model.set_state(id, State::Finished);
                        model.apply_releases(&mut out);
                    }
                }
                Step::Forget(at) => {
                    let queued: Vec<_> = model.requests.iter()
                        .filter(|(_, (_, p))| *p == State::Queued)
                        .map(|(id, _)| *id)
                        .collect();
                    if let Some(id) = queued.get(at) {
                        admission.remove_queued(*id);
                        model.set_state(*id, State::Finished);
                    }
                }
                Step::Advance(ms) => {
                    now = now + Duration::from_millis(ms);
                    admission.expire(now, &mut rng, &mut out);
                    model.apply_releases(&mut out);
                }
            }
            prop_assert_eq!(admission.running() as usize, model.running());
            prop_assert_eq!(admission.queued(), model.queued());
            prop_assert!(model.running() <= (LIMIT + LIMIT / 2) as usize);
            prop_assert!(model.queued() <= QUEUE_CAPACITY);
        }
    }
}

/// Guards against starvation of archive requests while normal ones fill the queue.
#[test]
fn archive_requests_run_while_normal_requests_fill_the_queue() {
    let config = AdmitConfig {
        initial_limit: 2,
        queue_capacity: 64,
        limit_mode: LimitMode::Fixed,
    };
    let mut admission = Admission::new(config);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    let request = |id: u64, urgency| AdmitRequest {
        id: RequestId(id),
        urgency,
        deadline: Time::from_millis(1_000_000),
        sheddable: Sheddable::No,
    };
    admission.offer(request(0, Urgency::Normal), now, &mut rng, &mut out);
    admission.offer(request(1, Urgency::Normal), now, &mut rng, &mut out);
    admission.offer(request(2, Urgency::Archive), now, &mut rng, &mut out);
    for id in 3..60 {
        admission.offer(request(id, Urgency::Normal), now, &mut rng, &mut out);
    }
    for _ in 0..20 {
        let stats = RequestStats {
            span: Duration::from_millis(5),
            ..RequestStats::default()
        };
        admission.record_end(stats, now, &mut rng, &mut out);
    }
    assert!(
        out.iter()
            .any(|r| r.id == RequestId(2) && r.decision == Decision::Run)
    );
}
