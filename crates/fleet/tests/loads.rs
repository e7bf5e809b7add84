//! Tests for gossip of load, and for the probe traffic between failure domains.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_fleet::{Addresses, Member, Status, Swim, SwimConfig};
use chestnut_unit::{DomainName, Incarnation, MemberId, Time};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const DOMAINS: usize = 5;
const STEP: Duration = Duration::from_millis(50);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 4))
}

fn member(n: usize) -> Member {
    let addresses = Addresses {
        callers: address(n),
        operators: address(n),
        peers: address(n),
    };
    let mut member = Member::starting(
        MemberId::new(format!("m{n:03}")).unwrap(),
        DomainName::new(format!("d{}", n % DOMAINS)).unwrap(),
        addresses,
        Incarnation(1),
    );
    member.weight = 700;
    member
}

/// Members that know each other, connected by a network without loss.
struct World {
    members: Vec<Swim>,
    index: BTreeMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
    now: Time,
    /// Messages within a domain.
    local: usize,
    /// Messages between domains.
    remote: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let all: Vec<Member> = (0..count).map(member).collect();
        let swim = |own: &Member| {
            let mut swim = Swim::new(SwimConfig::default(), own.clone(), Time::ZERO);
            swim.merge_members(&all, Time::ZERO);
            swim
        };
        Self {
            members: all.iter().map(swim).collect(),
            index: (0..count).map(|n| (address(n), n)).collect(),
            rng: ChaCha8Rng::seed_from_u64(3),
            now: Time::ZERO,
            local: 0,
            remote: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            for n in 0..self.members.len() {
                let mut out = Vec::new();
                let status = Status::default();
                if self.members[n].wake() <= self.now {
                    self.members[n].tick(status, self.now, &mut self.rng, &mut out);
                }
                self.deliver(n, out);
            }
        }
    }

    fn deliver(&mut self, from: usize, out: Vec<chestnut_fleet::Outgoing>) {
        for outgoing in out {
            let to = self.index[&outgoing.to];
            match from % DOMAINS == to % DOMAINS {
                true => self.local += 1,
                false => self.remote += 1,
            }
            let mut answers = Vec::new();
            let status = Status::default();
            let message = outgoing.message;
            self.members[to].receive(&message, address(from), status, self.now, &mut answers);
            self.deliver(to, answers);
        }
    }

    /// Returns the load of member `n` that each other member knows.
    fn loads(&self, n: usize) -> Vec<u32> {
        let id = member(n).id;
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != n);
        others
            .map(|(_, swim)| swim.view.get(&id).map_or(0, |member| member.load))
            .collect()
    }
}

/// Guards against load reports that travel with probes only, so that callers are still
/// sent to entries that are full.
#[test]
fn a_load_change_reaches_all_members_within_seconds() {
    let mut world = World::new(200);
    world.run(Duration::from_secs(2));
    world.members[7].publish_load(400);
    world.run(Duration::from_secs(4));
    let known = world.loads(7);
    assert!(known.iter().all(|load| *load == 400), "{known:?}");
    // A small change is not published.
    world.members[7].publish_load(440);
    assert_eq!(world.members[7].view.own().load, 400);
}

/// Guards against probing members of all domains alike, which makes most of the
/// membership traffic cross domains.
#[test]
fn members_mostly_probe_within_their_domain() {
    let mut world = World::new(200);
    world.run(Duration::from_secs(20));
    let fraction = world.remote as f64 / (world.local + world.remote) as f64;
    assert!(
        fraction < 0.25,
        "{fraction:.2} of the messages go between domains"
    );
    assert!(world.remote > 0);
}
