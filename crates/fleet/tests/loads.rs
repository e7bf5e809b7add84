//! What members hear of each other's load, and how much of it goes between domains.

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

/// Members that know each other, over a network that loses nothing.
struct World {
    members: Vec<Swim>,
    index: BTreeMap<SocketAddr, usize>,
    rng: ChaCha8Rng,
    now: Time,
    /// Messages within domains, and between them.
    near: usize,
    far: usize,
}

impl World {
    fn new(count: usize) -> Self {
        let all: Vec<Member> = (0..count).map(member).collect();
        let swim = |own: &Member| {
            let mut swim = Swim::new(SwimConfig::default(), own.clone(), Time::ZERO);
            swim.introduce(&all, Time::ZERO);
            swim
        };
        Self {
            members: all.iter().map(swim).collect(),
            index: (0..count).map(|n| (address(n), n)).collect(),
            rng: ChaCha8Rng::seed_from_u64(3),
            now: Time::ZERO,
            near: 0,
            far: 0,
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

    fn deliver(&mut self, from: usize, out: Vec<chestnut_fleet::Send>) {
        for send in out {
            let to = self.index[&send.to];
            match from % DOMAINS == to % DOMAINS {
                true => self.near += 1,
                false => self.far += 1,
            }
            let mut answers = Vec::new();
            let status = Status::default();
            let probe = send.probe;
            self.members[to].receive(&probe, address(from), status, self.now, &mut answers);
            self.deliver(to, answers);
        }
    }

    /// Load of member `n`, as all others know it.
    fn loads(&self, n: usize) -> Vec<u32> {
        let id = member(n).id;
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != n);
        others
            .map(|(_, swim)| swim.view.get(&id).map_or(0, |known| known.load))
            .collect()
    }
}

/// Callers are sent to a few entries though these are full.
/// A member is probed by each of 200 others once in a hundred seconds, and only then told
/// what it carries. A load that changes much is news like a member that comes or goes.
#[test]
fn all_members_hear_of_a_load_within_seconds() {
    let mut world = World::new(200);
    world.run(Duration::from_secs(2));
    world.members[7].tell_load(400);
    world.run(Duration::from_secs(4));
    let heard = world.loads(7);
    assert!(heard.iter().all(|load| *load == 400), "{heard:?}");
    // A little more is no news.
    world.members[7].tell_load(440);
    assert_eq!(world.members[7].view.own().load, 400);
}

/// A calm deployment pays for a gigabyte an hour between its failure domains.
/// Of 200 members in five domains each probed any other, so four messages of five left
/// their domain. Those of one domain watch each other; a fourth of the probes goes anywhere.
#[test]
fn members_mostly_probe_within_their_domain() {
    let mut world = World::new(200);
    world.run(Duration::from_secs(20));
    let part = world.far as f64 / (world.near + world.far) as f64;
    assert!(part < 0.25, "{part:.2} of the messages go between domains");
    assert!(world.far > 0);
}
