//! Tests for incarnations of one name whose numbers are out of order.

use chestnut_fleet::{Addresses, IncarnationPolicy, Member, Message, Status, Swim, SwimConfig};
use chestnut_unit::{Incarnation, MemberId, Time};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn member(name: &str, port: u16, incarnation: u64) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = Addresses {
        callers: address,
        operators: address,
        peers: address,
    };
    let id = MemberId::new(name).unwrap();
    Member::starting(
        id,
        "d0".parse().unwrap(),
        addresses,
        Incarnation(incarnation),
    )
}

fn swim(own: Member) -> Swim {
    let config = SwimConfig {
        incarnation_policy: IncarnationPolicy::Raise,
        ..SwimConfig::default()
    };
    Swim::new(config, own, Time::ZERO)
}

/// Passes messages between two members until none is left.
fn exchange(a: &mut Swim, b: &mut Swim, first: Message, now: Time) {
    let of = |swim: &Swim| swim.view.own().addresses.peers;
    let (at_a, at_b) = (of(a), of(b));
    let mut queue = vec![(at_b, first)];
    while let Some((to, message)) = queue.pop() {
        let mut out = Vec::new();
        let (receiver, from) = if to == at_b {
            (&mut *b, at_a)
        } else {
            (&mut *a, at_b)
        };
        receiver.receive(&message, from, Status::default(), now, &mut out);
        queue.extend(
            out.into_iter()
                .map(|outgoing| (outgoing.to, outgoing.message)),
        );
    }
}

/// Guards against ignoring a member that restarted with a lower incarnation
/// because its clock jumped back: callers would never be sent to it again.
#[test]
fn a_member_whose_clock_jumped_back_is_accepted_again() {
    let now = Time::from_millis(1000);
    let mut other = swim(member("other", 1, 50));
    let mut old = swim(member("it", 2, 100));
    old.leave(None);
    let leave_messages = old.announce(Status::default(), 8);
    assert!(leave_messages.is_empty(), "it knows no other member yet");
    let join_request = old
        .join_request(other.view.own().addresses.peers, Status::default())
        .message;
    exchange(&mut old, &mut other, join_request, now);
    let id = MemberId::new("it").unwrap();
    assert!(!other.view.get(&id).unwrap().accepts_work());
    // Exhausts the gossip about the leave before the new incarnation starts.
    let request = old
        .join_request(other.view.own().addresses.peers, Status::default())
        .message;
    let mut out = Vec::new();
    for _ in 0..20 {
        let from = old.view.own().addresses.peers;
        other.receive(&request, from, Status::default(), now, &mut out);
    }
    assert_eq!(other.queued_updates(), 0);

    let mut new = swim(member("it", 2, 60));
    let join_request = new
        .join_request(other.view.own().addresses.peers, Status::default())
        .message;
    exchange(&mut new, &mut other, join_request, now);
    assert!(new.view.own().incarnation > Incarnation(100));
    let mut out = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    new.tick(Status::default(), now, &mut rng, &mut out);
    for outgoing in out {
        exchange(&mut new, &mut other, outgoing.message, now);
    }
    assert!(other.view.get(&id).unwrap().accepts_work());
}
