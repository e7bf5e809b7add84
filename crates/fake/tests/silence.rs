//! Detection of unresponsive connections, over real sockets.

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

/// Guards against calls that wait out their deadline on a dead connection to a
/// healthy leaf: a probe call on it goes unanswered, so it is closed.
#[tokio::test]
async fn an_unresponsive_connection_is_detected_and_replaced() {
    let (server, targets) = start().await;
    targets
        .query(call(&server))
        .await
        .expect("the leaf answers");
    server.stall_connections();
    let cut_off = targets.query(call(&server)).await;
    assert_eq!(cut_off, Err(Failure::ConnectionSilent));
    let next = targets.query(call(&server)).await;
    assert!(next.is_ok(), "{next:?}");
}

/// Guards against closing the connection of a slow leaf, which answers the probe.
#[tokio::test]
async fn a_slow_leaf_keeps_its_connection() {
    let (server, targets) = start().await;
    server.configure(|config| config.median_ms = 400.0);
    let answer = targets.query(call(&server)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// Guards against exceeding the leaf's connection limit under many concurrent
/// calls and repeated replacement of unresponsive connections.
#[tokio::test]
async fn connections_stay_within_the_limit() {
    let (server, targets) = start().await;
    for _ in 0..4 {
        let calls: Vec<_> = (0..40).map(|_| targets.query(call(&server))).collect();
        futures::future::join_all(calls).await;
        server.stall_connections();
    }
    assert!(server.counters().connections_peak <= 4);
}
