//! A minimal HTTP/1.1 codec over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub type Reader = BufReader<TcpStream>;

/// The head of a request or response: its first line and its headers with lower-case names.
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a head; `None` at the end of the connection or after an error.
pub fn read_head(reader: &mut Reader) -> Option<Head> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            let line = line.trim_end().to_owned();
            return Some(Head { line, headers });
        }
        let (name, value) = header.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body that a head announces by its length or in chunks.
pub fn read_body(reader: &mut Reader, head: &Head) -> Option<Vec<u8>> {
    if head
        .get("transfer-encoding")
        .is_some_and(|to| to.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let size = head
        .get("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; size];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Writes a response in one call.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).is_ok()
}
