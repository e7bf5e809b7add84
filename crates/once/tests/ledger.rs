//! Keepers against a naive ledger of what a target applied.

use std::collections::BTreeMap;

use chestnut_once::{Claim, Handed, Keeper, KeeperConfig, Outcome, Ticket};
use chestnut_unit::{Incarnation, MemberId, Reason, Wall};
use proptest::{prelude::*, test_runner::RngSeed};

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Mint(usize),
    /// A submission with a ticket reaches a keeper, here or by mistake.
    Submit {
        ticket: usize,
        at: usize,
        body: u64,
    },
    /// A dispatch ends: done, refused unrun, lost before or after it ran.
    End {
        which: usize,
        how: u8,
    },
    /// A keeper's process dies and another takes its name.
    Die(usize),
    /// A keeper stops in the planned way and hands over to another.
    HandOver(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0usize..3).prop_map(Step::Mint),
        6 => (0usize..6, 0usize..3, 0u64..2)
            .prop_map(|(ticket, at, body)| Step::Submit { ticket, at, body }),
        4 => (0usize..4, 0u8..4).prop_map(|(which, how)| Step::End { which, how }),
        1 => (0usize..3).prop_map(Step::Die),
        1 => (0usize..3).prop_map(Step::HandOver),
        1 => (0u64..400_000).prop_map(Step::Pass),
    ]
}

/// A dispatch under way: the keeper's life that does it, and its ticket.
struct Flight {
    keeper: usize,
    life: u64,
    ticket: usize,
}

struct Bench {
    keepers: Vec<Keeper>,
    lives: Vec<u64>,
    next_life: u64,
    tickets: Vec<Ticket>,
    flights: Vec<Flight>,
    applied: BTreeMap<usize, u64>,
    told: BTreeMap<usize, Vec<Outcome>>,
}

fn keeper(at: usize, life: u64) -> Keeper {
    let member = MemberId::new(format!("m{at}")).unwrap();
    Keeper::new(member, Incarnation(life), KeeperConfig::default())
}

impl Bench {
    fn new() -> Self {
        Self {
            keepers: (0..3).map(|at| keeper(at, at as u64)).collect(),
            lives: vec![0, 1, 2],
            next_life: 3,
            tickets: Vec::new(),
            flights: Vec::new(),
            applied: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    fn tell(&mut self, ticket: usize, outcome: Outcome) {
        self.told.entry(ticket).or_default().push(outcome);
    }

    fn submit(&mut self, number: usize, at: usize, body: u64, wall: Wall) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        match self.keepers[at].claim(ticket, body, wall) {
            Claim::Run => self.flights.push(Flight {
                keeper: at,
                life: self.lives[at],
                ticket: number,
            }),
            Claim::Settled(outcome) => self.tell(number, outcome),
            Claim::Join | Claim::OtherBody | Claim::Refused | Claim::Forgotten | Claim::Moved => {}
        }
    }

    fn end(&mut self, which: usize, how: u8) {
        if which >= self.flights.len() {
            return;
        }
        let flight = self.flights.remove(which);
        let outcome = match how {
            0 => Outcome::Done(b"ok".to_vec()),
            1 => Outcome::NotRun(Reason::TargetRefused),
            _ => Outcome::Unknown,
        };
        // Lost after it ran, or done.
        if how == 0 || how == 2 {
            *self.applied.entry(flight.ticket).or_default() += 1;
        }
        if self.lives[flight.keeper] == flight.life {
            let ticket = self.tickets[flight.ticket].clone();
            self.keepers[flight.keeper].settle(&ticket, outcome.clone());
            self.tell(flight.ticket, outcome);
        }
    }

    fn replace(&mut self, at: usize) {
        self.keepers[at] = keeper(at, self.next_life);
        self.lives[at] = self.next_life;
        self.next_life += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of sends, repeats, losses, deaths and hand-overs a ticket
    /// is applied at most once; once if anybody was told done, never if
    /// anybody was told not run.
    #[test]
    fn a_ticket_is_applied_at_most_once(steps in prop::collection::vec(step(), 0..80)) {
        let mut bench = Bench::new();
        let mut wall = Wall(1_000_000);
        for step in steps {
            match step {
                Step::Mint(at) => {
                    let nonce = [bench.tickets.len() as u8; 16];
                    bench.tickets.extend(bench.keepers[at].mint(nonce, wall));
                }
                Step::Submit { ticket, at, body } => bench.submit(ticket, at, body, wall),
                Step::End { which, how } => bench.end(which, how),
                Step::Die(at) => bench.replace(at),
                Step::HandOver(at) => {
                    bench.keepers[at].close();
                    let handed: Vec<Handed> = bench.keepers[at].hand_over();
                    bench.keepers[(at + 1) % 3].adopt(handed);
                    bench.replace(at);
                }
                Step::Pass(ms) => wall = wall + std::time::Duration::from_millis(ms),
            }
        }
        while !bench.flights.is_empty() {
            bench.end(0, 2);
        }
        for (ticket, told) in &bench.told {
            let applied = bench.applied.get(ticket).copied().unwrap_or(0);
            for outcome in told {
                match outcome {
                    Outcome::Done(_) => prop_assert_eq!(applied, 1),
                    Outcome::NotRun(_) => prop_assert_eq!(applied, 0),
                    Outcome::Unknown => {}
                }
            }
        }
        for applied in bench.applied.values() {
            prop_assert!(*applied <= 1);
        }
    }

    /// Any text is either a ticket that reads back the same, or an error.
    #[test]
    fn any_text_is_a_ticket_or_an_error(text in ".{0,120}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string(), text);
        }
    }
}
