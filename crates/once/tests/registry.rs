//! Compares registries with a model that counts what a target applied.

use std::collections::BTreeMap;

use chestnut_once::{Claim, HandedTicket, Outcome, RegistryConfig, Ticket, TicketRegistry};
use chestnut_unit::{Incarnation, MemberId, Reason, WallTime};
use proptest::{prelude::*, test_runner::RngSeed};

/// A step of a generated run.
#[derive(Clone, Debug)]
enum Step {
    Mint(usize),
    /// A submission reaches a registry, which may not own its ticket.
    Submit {
        ticket: usize,
        at: usize,
        body: u64,
    },
    /// A dispatch ends: done, refused without running, or lost after or
    /// before it ran.
    End {
        which: usize,
        how: u8,
    },
    /// A registry restarts without its state.
    Restart(usize),
    /// A registry closes, hands over to another and restarts.
    HandOver(usize),
    /// Time advances by this many milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0usize..3).prop_map(Step::Mint),
        6 => (0usize..6, 0usize..3, 0u64..2)
            .prop_map(|(ticket, at, body)| Step::Submit { ticket, at, body }),
        4 => (0usize..4, 0u8..4).prop_map(|(which, how)| Step::End { which, how }),
        1 => (0usize..3).prop_map(Step::Restart),
        1 => (0usize..3).prop_map(Step::HandOver),
        1 => (0u64..400_000).prop_map(Step::Advance),
    ]
}

/// A dispatch in flight: the registry, its incarnation and the ticket.
struct Dispatch {
    registry: usize,
    incarnation: u64,
    ticket: usize,
}

/// Three registries, with the submissions applied and the outcomes reported.
struct Model {
    registries: Vec<TicketRegistry>,
    incarnations: Vec<u64>,
    next_incarnation: u64,
    tickets: Vec<Ticket>,
    dispatches: Vec<Dispatch>,
    applied: BTreeMap<usize, u64>,
    outcomes: BTreeMap<usize, Vec<Outcome>>,
}

fn registry(at: usize, incarnation: u64) -> TicketRegistry {
    let member = MemberId::new(format!("m{at}")).unwrap();
    TicketRegistry::new(member, Incarnation(incarnation), RegistryConfig::default())
}

impl Model {
    fn new() -> Self {
        Self {
            registries: (0..3).map(|at| registry(at, at as u64)).collect(),
            incarnations: vec![0, 1, 2],
            next_incarnation: 3,
            tickets: Vec::new(),
            dispatches: Vec::new(),
            applied: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn record(&mut self, ticket: usize, outcome: Outcome) {
        self.outcomes.entry(ticket).or_default().push(outcome);
    }

    fn submit(&mut self, index: usize, at: usize, body: u64, wall: WallTime) {
        let Some(ticket) = self.tickets.get(index) else {
            return;
        };
        match self.registries[at].claim(ticket, body, wall) {
            Claim::Run => self.dispatches.push(Dispatch {
                registry: at,
                incarnation: self.incarnations[at],
                ticket: index,
            }),
            Claim::Settled(outcome) => self.record(index, outcome),
            Claim::Join | Claim::BodyMismatch | Claim::Refused | Claim::NotFound | Claim::Moved => {
            }
        }
    }

    fn end(&mut self, which: usize, how: u8) {
        if which >= self.dispatches.len() {
            return;
        }
        let dispatch = self.dispatches.remove(which);
        let outcome = match how {
            0 => Outcome::Done(b"ok".to_vec()),
            1 => Outcome::NotRun(Reason::TargetRefused),
            _ => Outcome::Unknown,
        };
        // Done, or lost after it ran.
        if how == 0 || how == 2 {
            *self.applied.entry(dispatch.ticket).or_default() += 1;
        }
        if self.incarnations[dispatch.registry] == dispatch.incarnation {
            let ticket = self.tickets[dispatch.ticket].clone();
            self.registries[dispatch.registry].settle(&ticket, outcome.clone());
            self.record(dispatch.ticket, outcome);
        }
    }

    fn restart(&mut self, at: usize) {
        self.registries[at] = registry(at, self.next_incarnation);
        self.incarnations[at] = self.next_incarnation;
        self.next_incarnation += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No order of submissions, losses, restarts and hand-overs may apply a
    /// ticket twice or contradict a reported outcome.
    #[test]
    fn a_ticket_is_applied_at_most_once(steps in prop::collection::vec(step(), 0..80)) {
        let mut model = Model::new();
        let mut wall = WallTime(1_000_000);
        for step in steps {
            match step {
                Step::Mint(at) => {
                    let nonce = [model.tickets.len() as u8; 16];
                    model.tickets.extend(model.registries[at].mint(nonce, wall));
                }
                Step::Submit { ticket, at, body } => model.submit(ticket, at, body, wall),
                Step::End { which, how } => model.end(which, how),
                Step::Restart(at) => model.restart(at),
                Step::HandOver(at) => {
                    model.registries[at].close();
                    let handed: Vec<HandedTicket> = model.registries[at].hand_over();
                    model.registries[(at + 1) % 3].adopt(handed);
                    model.restart(at);
                }
                Step::Advance(ms) => wall = wall + std::time::Duration::from_millis(ms),
            }
        }
        while !model.dispatches.is_empty() {
            model.end(0, 2);
        }
        for (ticket, outcomes) in &model.outcomes {
            let applied = model.applied.get(ticket).copied().unwrap_or(0);
            for outcome in outcomes {
                match outcome {
                    Outcome::Done(_) => prop_assert_eq!(applied, 1),
                    Outcome::NotRun(_) => prop_assert_eq!(applied, 0),
                    Outcome::Unknown => {}
                }
            }
        }
        for applied in model.applied.values() {
            prop_assert!(*applied <= 1);
        }
    }

    /// Parsing must not accept a text that the ticket doesn't encode to.
    #[test]
    fn parsed_tickets_encode_to_the_same_text(text in ".{0,120}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string(), text);
        }
    }
}
