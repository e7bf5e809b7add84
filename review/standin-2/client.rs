//! A client of an entry, with one connection that it keeps.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Reader};

pub struct Answer {
    pub status: u16,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    Connect,
    Closed,
}

pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<Reader>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            connection: None,
        }
    }

    /// Sends a request and waits for its whole answer. The connection is kept if it may be.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, Failure> {
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))
                    .map_err(|_| Failure::Connect)?;
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(self.timeout));
                BufReader::new(stream)
            }
        };
        let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        reader
            .get_mut()
            .write_all(&out)
            .map_err(|_| Failure::Closed)?;
        let head = http::read_head(&mut reader).ok_or(Failure::Closed)?;
        http::read_body(&mut reader, &head).ok_or(Failure::Closed)?;
        if head
            .get("connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"))
        {
            self.connection = Some(reader);
        }
        Ok(Answer {
            status: head.status(),
        })
    }
}
