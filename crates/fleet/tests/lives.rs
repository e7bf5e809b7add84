//! Lives of one name whose numbers are out of order.

use chestnut_fleet::{Addresses, Lives, Member, Probe, Status, Swim, SwimConfig};
use chestnut_unit::{Incarnation, MemberId, Time};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn member(name: &str, port: u16, life: u64) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = Addresses {
        callers: address,
        operators: address,
        peers: address,
    };
    let id = MemberId::new(name).unwrap();
    Member::starting(id, "d0".parse().unwrap(), addresses, Incarnation(life))
}

fn swim(own: Member) -> Swim {
    let config = SwimConfig {
        lives: Lives::Raised,
        ..SwimConfig::default()
    };
    Swim::new(config, own, Time::ZERO)
}

/// Passes messages between two members until none is left.
fn exchange(a: &mut Swim, b: &mut Swim, first: Probe, now: Time) {
    let of = |swim: &Swim| swim.view.own().addresses.peers;
    let (at_a, at_b) = (of(a), of(b));
    let mut queue = vec![(at_b, first)];
    while let Some((to, probe)) = queue.pop() {
        let mut out = Vec::new();
        let (receiver, from) = if to == at_b {
            (&mut *b, at_a)
        } else {
            (&mut *a, at_b)
        };
        receiver.receive(&probe, from, Status::default(), now, &mut out);
        queue.extend(out.into_iter().map(|send| (send.to, send.probe)));
    }
}

/// Callers are never again sent to an entry that has restarted.
/// Its clock ran ahead, it left in an orderly way, the clock jumped back, and
/// its process started again: the number of its new life is below that of the
/// old one, and all others go on believing that it is leaving. It is told of the
/// later life and takes a number above it.
#[test]
fn a_member_whose_clock_jumped_back_is_believed_again() {
    let now = Time::from_millis(1000);
    let mut other = swim(member("other", 1, 50));
    let mut old = swim(member("it", 2, 100));
    old.leave(None);
    let farewell = old.announce(Status::default(), 8);
    assert!(farewell.is_empty(), "it knows nobody yet");
    let knock = old
        .knock(other.view.own().addresses.peers, Status::default())
        .probe;
    exchange(&mut old, &mut other, knock, now);
    let id = MemberId::new("it").unwrap();
    assert!(!other.view.get(&id).unwrap().takes_work());
    // The news of it has long been passed on when the new life starts.
    let asks = old
        .knock(other.view.own().addresses.peers, Status::default())
        .probe;
    let mut out = Vec::new();
    for _ in 0..20 {
        let from = old.view.own().addresses.peers;
        other.receive(&asks, from, Status::default(), now, &mut out);
    }
    assert_eq!(other.news_waiting(), 0);

    let mut new = swim(member("it", 2, 60));
    let knock = new
        .knock(other.view.own().addresses.peers, Status::default())
        .probe;
    exchange(&mut new, &mut other, knock, now);
    assert!(new.view.own().incarnation > Incarnation(100));
    let mut out = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    new.tick(Status::default(), now, &mut rng, &mut out);
    for send in out {
        exchange(&mut new, &mut other, send.probe, now);
    }
    assert!(other.view.get(&id).unwrap().takes_work());
}
