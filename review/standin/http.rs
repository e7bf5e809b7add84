//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// The head and the body of a message.
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method and the path with its query, of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// The status, of a response.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a body of `Content-Length` or chunks; `None` if the peer closed the
/// connection before it began.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, rest)? {
            return match rest.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        line,
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").and_then(|n| n.parse().ok());
    if let Some(length) = length {
        while rest.len() < length {
            need(stream, rest)?;
        }
        message.body = rest.drain(..length).collect();
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let end = loop {
                if let Some(at) = rest.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                need(stream, rest)?;
            };
            let size = String::from_utf8_lossy(&rest[..end]).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
            while rest.len() < end + 2 + size + 2 {
                need(stream, rest)?;
            }
            message.body.extend_from_slice(&rest[end + 2..end + 2 + size]);
            rest.drain(..end + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(message))
}

/// Reads more bytes; fails at the end of the connection.
fn need(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<()> {
    match fill(stream, rest)? {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Reads more bytes; returns whether there were any.
fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 16384];
    let count = stream.read(&mut buffer)?;
    rest.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        out += &format!("{key}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
