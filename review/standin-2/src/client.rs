//! A client: it keeps its connection for further requests, and reads an answer to its end.

use crate::http::{field, read_head};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// A whole answer: status, `Server-Seal`, body.
    Whole(u16, Option<String>, Vec<u8>),
    /// An answer that broke off: status, and what came of its body.
    Torn(u16, Vec<u8>),
    /// The connection ended without an answer.
    Nothing,
    /// No connection came up.
    NoConnection,
}

pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            stream: None,
        }
    }

    /// Sends a request with these headers beside the usual ones, and reads the answer.
    pub fn send(&mut self, path: &str, id: &str, left: u64, more: &str, body: &[u8]) -> Got {
        if self.stream.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))
            else {
                return Got::NoConnection;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(left + 2000)));
            self.stream = Some(BufReader::new(stream));
        }
        let Some(mut reader) = self.stream.take() else {
            return Got::NoConnection;
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\nTime-Left: {left}\r\n{more}\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let stream = reader.get_mut();
        if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
            return Got::Nothing;
        }
        let Ok((first, fields)) = read_head(&mut reader) else {
            return Got::Nothing;
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let mut body = vec![];
        if !read_whole(&mut reader, &fields, &mut body) {
            return Got::Torn(status, body);
        }
        if !field(&fields, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = Some(reader);
        }
        Got::Whole(
            status,
            field(&fields, "server-seal").map(str::to_owned),
            body,
        )
    }
}

/// Reads a body into `body`; whether it came whole.
fn read_whole(reader: &mut impl BufRead, fields: &[(String, String)], body: &mut Vec<u8>) -> bool {
    if let Some(length) = field(fields, "content-length").and_then(|length| length.parse().ok()) {
        let mut rest: Vec<u8> = vec![0; length];
        let came = reader.read_exact(&mut rest).is_ok();
        body.extend(rest);
        return came;
    }
    loop {
        let mut size = String::new();
        if !matches!(reader.read_line(&mut size), Ok(count) if count > 0) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
