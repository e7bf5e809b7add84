//! Answers of leafs over HTTP/2 whose status is none.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use chestnut_port::{Clock, HttpTargets, LeafSubmit, Targets, TargetsConfig};
use chestnut_route::{Failure, Refusal};
use chestnut_unit::RequestId;
use http_body_util::Full;
use hyper::{Response, server::conn::http2, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

/// Starts a leaf that answers each call with this status, and that it ran nothing.
async fn leaf(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_| async move {
                let body = Bytes::from_static(br#"{"not_run":true,"refused":"shed"}"#);
                let mut answer = Response::new(Full::new(body));
                *answer.status_mut() = status.try_into().unwrap();
                Ok::<_, Infallible>(answer)
            });
            let connection = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn submit(status: u16) -> Result<Bytes, Failure> {
    let address = leaf(status).await;
    let targets = HttpTargets::new(TargetsConfig::default(), Clock::start(), 2, 2);
    let call = LeafSubmit {
        leaf: "i-1".parse().unwrap(),
        address,
        request: RequestId(1),
        service: "one".parse().unwrap(),
        call: "finals".parse().unwrap(),
        body: Bytes::new(),
        deadline: Duration::from_secs(5),
    };
    targets.submit(call).await
}

/// Guards against a submission that is made again, as an answer without a status says that it has
/// not run.
#[tokio::test]
async fn a_status_that_is_none_proves_nothing() {
    for status in [600, 777, 999] {
        assert_eq!(submit(status).await, Err(Failure::Lost), "{status}");
    }
    let refused = Err(Failure::Refused(Refusal::Shed));
    assert_eq!(submit(503).await, refused);
}
