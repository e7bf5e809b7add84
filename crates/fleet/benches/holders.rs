//! Measures the CPU time of placing the holders of a large service, by number
//! of members. Run with `cargo bench -p chestnut-fleet`.

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use chestnut_conf::{Leaf, Service};
use chestnut_fleet::{Addresses, HolderPlan, Member};
use chestnut_unit::{DomainName, Incarnation, LeafId, MemberId, ServiceName};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const LEAFS: u32 = 18_000;
const LEAFS_PER_GROUP: u32 = 30;

fn service() -> Service {
    let mut leafs = BTreeMap::new();
    for n in 0..LEAFS {
        let leaf = Leaf {
            address: ([127, 0, 0, 1], 10_000).into(),
            domain: DomainName::new(format!("d{}", n % 8)).expect("a legal name"),
            slots: 5,
            connections: 40,
            group: n / LEAFS_PER_GROUP,
        };
        leafs.insert(LeafId::new(format!("l{n:05}")).expect("a legal name"), leaf);
    }
    Service {
        leafs,
        versions: Vec::new(),
    }
}

fn member(n: usize) -> Member {
    let address = ([127, 0, 0, 1], 9000).into();
    let addresses = Addresses {
        callers: address,
        operators: address,
        peers: address,
    };
    let id = MemberId::new(format!("m{n:04}")).expect("a legal name");
    let domain = DomainName::new(format!("d{}", n % 8)).expect("a legal name");
    Member::starting(id, domain, addresses, Incarnation(1))
}

fn holders(c: &mut Criterion) {
    let mut group = c.benchmark_group("holders");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    let name = ServiceName::new("ladder").expect("a legal name");
    let service = service();
    for count in [100, 700, 2900] {
        let members: Vec<Member> = (0..count).map(member).collect();
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |b, _| {
            b.iter(|| black_box(HolderPlan::new(&name, &service, &members, 4)));
        });
    }
    group.finish();
}

criterion_group!(benches, holders);
criterion_main!(benches);
