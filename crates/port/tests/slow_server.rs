//! HTTP responses that arrive slowly, on real sockets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_port::{HttpClient, HttpError};
use hyper::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

/// Chunks of a complete response.
const CHUNKS: usize = 20;
/// Time between two chunks of a response.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);
const CHUNK: [u8; 1000] = [b'x'; 1000];
/// Timeout of a call: shorter than the response takes.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that sends the first `chunks` of the announced chunks and then stalls.
async fn serve(chunks: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let length = CHUNKS * CHUNK.len();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..chunks {
                    sleep(CHUNK_INTERVAL).await;
                    let _ = stream.write_all(&CHUNK).await;
                }
                sleep(Duration::from_secs(10)).await;
            });
        }
    });
    address
}

/// Guards against reading a large response over a slow link again and again without ever
/// completing it. A call with a deadline still fails in time.
#[tokio::test]
async fn response_is_read_while_bytes_arrive() {
    let server = serve(CHUNKS).await;
    let client = HttpClient::default();
    let read = client.call_extending(Method::GET, server, "/", Bytes::new(), TIMEOUT);
    let read = read.await.map(|reply| reply.body.len());
    assert_eq!(read, Ok(CHUNKS * CHUNK.len()));
    let call = client.call(Method::GET, server, "/", Bytes::new(), TIMEOUT);
    assert_eq!(call.await.map(|reply| reply.status), Err(HttpError::Lost));
}

/// Guards against waiting long for a server that stops sending in the middle of a response.
#[tokio::test]
async fn read_fails_soon_when_server_stalls_in_a_response() {
    let server = serve(CHUNKS / 2).await;
    let client = HttpClient::default();
    let start = Instant::now();
    let read = client.call_extending(Method::GET, server, "/", Bytes::new(), TIMEOUT);
    assert_eq!(read.await.map(|reply| reply.status), Err(HttpError::Lost));
    assert!(start.elapsed() < Duration::from_secs(2));
}
