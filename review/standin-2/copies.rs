//! Faulty leafs that are often full send a second copy of some answers late, where the response to
//! the next request on the connection is expected. A refusal by a full leaf bears no id, as in the
//! pages' example. Counts requests that may run once and ran more often.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::http;
use crate::leaf::{Answer, Leaf};
use crate::record::Record;
use crate::stray;
use crate::Outcome;

/// Requests that a leaf runs at once; it refuses further ones.
const SLOTS: u32 = 2;
/// One in this many answers of the faulty leafs, half of all, is sent a second time.
const COPY_EVERY: u64 = 25;

/// A leaf that refuses requests when it is full; with `copies` it sends some answers twice.
fn full(copies: bool) -> Answer {
    let running = AtomicU32::new(0);
    let answers = AtomicU64::new(0);
    // The answer to be sent again on each connection.
    let again: Mutex<BTreeMap<SocketAddr, String>> = Mutex::default();
    Arc::new(move |leaf: &Leaf, head, _, out, _, _| {
        let Ok(peer) = out.peer_addr() else {
            return false;
        };
        if let Some(copy) = again.lock().unwrap().remove(&peer) {
            leaf.record.line(&format!(
                "leaf {} sends an answer a second time, late: {}",
                leaf.id,
                copy.lines().next().unwrap_or("")
            ));
            let _ = out.write_all(copy.as_bytes());
        }
        let id = head.get("request-id").unwrap_or("-").to_owned();
        let is_full = running.fetch_add(1, Ordering::SeqCst) >= SLOTS;
        let (status, headers) = match is_full {
            true => ("503 Service Unavailable", "Not-Executed: 1\r\n".to_owned()),
            false => {
                leaf.run(head);
                (
                    "200 OK",
                    format!("Request-Id: {id}\r\nServer-Seal: {}.{id}\r\n", leaf.id),
                )
            }
        };
        running.fetch_sub(1, Ordering::SeqCst);
        if is_full {
            leaf.record
                .line(&format!("leaf {} refuses {id}, it is full", leaf.id));
        }
        let due = copies && answers.fetch_add(1, Ordering::Relaxed) % COPY_EVERY == COPY_EVERY - 1;
        if due {
            let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n");
            again.lock().unwrap().insert(peer, text);
        }
        http::respond(out, status, &headers, b"")
    })
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Outcome {
    stray::play(record, 10, SLOTS, |at| full(trouble && at % 2 == 0))
}
