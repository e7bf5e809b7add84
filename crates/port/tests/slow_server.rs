//! HTTP answers that take long, on real sockets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_port::{HttpClient, HttpError};
use hyper::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

const STEPS: usize = 20;
/// Time between two steps of an answer.
const PAUSE: Duration = Duration::from_millis(50);
const STEP: [u8; 1000] = [b'x'; 1000];
/// What a caller waits for the answer: less than the steps take.
const WAIT: Duration = Duration::from_millis(300);

/// A server that sends `steps` of the steps that it announces, and then nothing.
async fn serve(steps: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let length = STEPS * STEP.len();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..steps {
                    sleep(PAUSE).await;
                    let _ = stream.write_all(&STEP).await;
                }
                sleep(Duration::from_secs(10)).await;
            });
        }
    });
    address
}

/// An entry reads the configuration again and again and never has it whole.
/// The answer takes a second over the entry's link, longer than the call waits. It is
/// read to its end, as bytes keep coming; a caller with a deadline still gives up.
#[tokio::test]
async fn an_answer_is_read_for_as_long_as_bytes_come() {
    let server = serve(STEPS).await;
    let client = HttpClient::default();
    let read = client.read(Method::GET, server, "/", Bytes::new(), WAIT);
    let read = read.await.map(|reply| reply.body.len());
    assert_eq!(read, Ok(STEPS * STEP.len()));
    let call = client.call(Method::GET, server, "/", Bytes::new(), WAIT);
    assert_eq!(call.await.map(|reply| reply.status), Err(HttpError::Lost));
}

/// A server that falls silent in the middle of an answer is given up soon.
#[tokio::test]
async fn a_server_that_falls_silent_in_an_answer_is_given_up() {
    let server = serve(STEPS / 2).await;
    let client = HttpClient::default();
    let begun = Instant::now();
    let read = client.read(Method::GET, server, "/", Bytes::new(), WAIT);
    assert_eq!(read.await.map(|reply| reply.status), Err(HttpError::Lost));
    assert!(begun.elapsed() < Duration::from_secs(2));
}
