//! Tests of malformed input at every port of an entry.

use std::time::Duration;

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

use crate::cluster::Cluster;

/// Sends raw bytes; returns what the other end answers until it closes the connection.
async fn send_raw(address: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The other end may close the connection before all bytes are written.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer)).await;
    answer
}

/// Guards against malformed input that crashes an entry or gets the wrong status.
#[tokio::test]
async fn malformed_input_gets_an_error_and_later_queries_are_served() {
    let cluster = Cluster::start().await;
    let entry = &cluster.spec.entry[0];
    let malformed: Vec<u8> = (0..4096u32)
        .map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect();
    for address in [entry.callers, entry.operators, entry.peers] {
        send_raw(address, &malformed).await;
        send_raw(address, b"GET / HTTP/1.1\r\n").await;
        send_raw(address, b"").await;
    }
    let udp = UdpSocket::bind((cluster.spec.host, 0)).await.unwrap();
    for length in [0, 1, 7, 64, 1400] {
        udp.send_to(&malformed[..length], entry.peers)
            .await
            .unwrap();
    }
    for (path, body, status) in [
        ("/v1/query", "not json".to_owned(), 400),
        ("/v1/query", "{}".to_owned(), 400),
        (
            "/v1/query",
            json!({ "organisation": "galway", "service": "ladder",
            "call": "finals", "extra": 1 })
            .to_string(),
            400,
        ),
        (
            "/v1/query",
            json!({ "organisation": "galway", "service": "ladder",
            "call": "finals", "deadline_ms": 0 })
            .to_string(),
            400,
        ),
        (
            "/v1/query",
            json!({ "organisation": "gal way", "service": "ladder",
            "call": "finals" })
            .to_string(),
            400,
        ),
        (
            "/v1/submit",
            json!({ "ticket": "?", "organisation": "galway",
            "service": "scorecard", "call": "score" })
            .to_string(),
            409,
        ),
        ("/v1/query", "x".repeat(10 << 20), 413),
        ("/v1/nothing", String::new(), 404),
        ("/v1/entries", String::new(), 405),
    ] {
        let wait = Duration::from_secs(10);
        let method = "POST".parse().unwrap();
        let length = body.len();
        let reply = cluster
            .http
            .call(method, entry.callers, path, body.into(), wait)
            .await
            .unwrap_or_else(|e| panic!("{path} with {length} bytes: {e}"));
        assert_eq!(reply.status.as_u16(), status, "{path}: {}", reply.json());
    }
    let headers = (0..200)
        .map(|n| format!("x-{n}: 1\r\n"))
        .collect::<String>();
    let request = format!("GET /v1/entries HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    let answer = send_raw(entry.callers, request.as_bytes()).await;
    assert!(
        answer.starts_with(b"HTTP/1.1 431"),
        "{}",
        String::from_utf8_lossy(&answer)
    );
    let body = cluster.query(0, "finals").await.json();
    assert_eq!(body["coverage"]["complete"], true, "{body}");
}

/// Guards against a caller that occupies a connection by not finishing its request.
#[tokio::test]
async fn an_unfinished_request_times_out() {
    let cluster = Cluster::start_with("[limits]\npatience = \"300ms\"\n").await;
    let mut stream = TcpStream::connect(cluster.callers(0)).await.unwrap();
    let head = "POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), read)
        .await
        .expect("the entry closes the connection")
        .unwrap();
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}
