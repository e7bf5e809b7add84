//! Crowds of clients that don't behave, at `chestnutd`.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};

use crate::cluster::Cluster;

/// Largest body that a client may send, in bytes.
const BODY_MAX: usize = 1 << 20;
/// Most memory that the process may take, in kB.
const MEMORY_MAX: usize = 128_000;
/// How long a client waits for the entry to take its bytes.
const PATIENCE: Duration = Duration::from_secs(5);

/// Sends a body but for its last byte, and stays. Returns the connection.
async fn stop_short(entry: std::net::SocketAddr) -> Option<TcpStream> {
    let mut stream = timeout(PATIENCE, TcpStream::connect(entry))
        .await
        .ok()?
        .ok()?;
    let head = format!("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_MAX}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_MAX - 1, b' ');
    // A client that is refused sees its connection close.
    let _ = timeout(PATIENCE, stream.write_all(&request)).await;
    Some(stream)
}

/// Guards against a process that is over its memory by bodies that don't end, and against ordinary
/// callers that are refused beside them.
#[tokio::test]
async fn a_crowd_of_bodies_leaves_the_entry_serving() {
    let settings = "[limits]\nbody = \"1MiB\"\npatience = \"30s\"\nmemory = \"32MiB\"\n";
    let cluster = Cluster::start_with(settings).await;
    let mut clients = JoinSet::new();
    for _ in 0..200 {
        clients.spawn(stop_short(cluster.spec.entry[0].callers));
    }
    let clients: Vec<_> = clients.join_all().await;
    let reply = cluster.query(0, "finals").await;
    assert_eq!(reply.status, 200, "{}", reply.json());
    let peak = cluster.entries[0].as_ref().unwrap().peak_memory();
    assert!(peak <= MEMORY_MAX, "{peak} kB of {MEMORY_MAX}");
    drop(clients);
    let reply = cluster.query(0, "finals").await;
    assert_eq!(reply.status, 200, "{}", reply.json());
}
