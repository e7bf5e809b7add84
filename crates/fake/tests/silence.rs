//! Silent connections over real sockets.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use chestnut_fake::{TargetConfig, TargetServer};
use chestnut_port::{Clock, HttpTargets, LeafQuery, Targets, TargetsConfig};
use chestnut_route::Failure;
use chestnut_unit::{IndexVersion, LeafId, RequestId, ServiceName, ShardName};

fn leaf_config() -> TargetConfig {
    let shards = vec![ShardName::new("s0").unwrap()];
    TargetConfig {
        shards: BTreeMap::from([(IndexVersion(1), shards)]),
        ..TargetConfig::default()
    }
}

fn call(server: &TargetServer) -> LeafQuery {
    LeafQuery {
        leaf: LeafId::new("l0").unwrap(),
        address: server.address(),
        request: RequestId(1),
        service: ServiceName::new("ladder").unwrap(),
        version: IndexVersion(1),
        shards: vec![ShardName::new("s0").unwrap()],
        body: Bytes::from_static(b"{}"),
        deadline: Duration::from_secs(30),
    }
}

async fn start() -> (TargetServer, HttpTargets) {
    let id = LeafId::new("l0").unwrap();
    let address = ([127, 0, 0, 1], 0).into();
    let server = TargetServer::bind(id, address, 5, leaf_config())
        .await
        .unwrap();
    let targets = HttpTargets::new(TargetsConfig::default(), Clock::start(), 1, 4);
    (server, targets)
}

/// The call is told that it was cut off, and the next one is answered.
/// The open connection falls silent; no error ever comes on it. The call waits,
/// a second connection is opened, and the first does not answer a small call:
/// it is closed, though the leaf itself works.
#[tokio::test]
async fn a_silent_connection_is_found_and_replaced() {
    let (server, targets) = start().await;
    targets
        .query(call(&server))
        .await
        .expect("the leaf answers");
    server.silence();
    let caught = targets.query(call(&server)).await;
    assert_eq!(caught, Err(Failure::ConnectionSilent));
    let next = targets.query(call(&server)).await;
    assert!(next.is_ok(), "{next:?}");
}

/// A leaf that is slow keeps its connection: it answers the small call.
#[tokio::test]
async fn a_slow_leaf_is_not_cut_off() {
    let (server, targets) = start().await;
    server.change(|config| config.median_ms = 400.0);
    let answer = targets.query(call(&server)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// A leaf never sees more connections than it takes, however many calls come
/// at once and however often connections fall silent.
#[tokio::test]
async fn connections_stay_within_the_share() {
    let (server, targets) = start().await;
    for _ in 0..4 {
        let calls: Vec<_> = (0..40).map(|_| targets.query(call(&server))).collect();
        futures::future::join_all(calls).await;
        server.silence();
    }
    assert!(server.ledger().connections_peak <= 4);
}
