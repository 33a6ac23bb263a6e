//! A small HTTP/1.1 client and the reading of requests, enough for stand-ins of clients, operators and servers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// A response as far as it came.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head says.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection of a client, with the bytes that were read and not used.
pub struct Line {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Line {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Line, String> {
        let stream =
            TcpStream::connect_timeout(&address, timeout).map_err(|e| format!("connect: {e}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Line {
            stream,
            rest: vec![],
        })
    }

    pub fn from_stream(stream: TcpStream) -> Line {
        let _ = stream.set_nodelay(true);
        Line {
            stream,
            rest: vec![],
        }
    }

    /// Closes the connection by a reset.
    pub fn reset(&self) {
        #[repr(C)]
        struct Linger {
            on: i32,
            seconds: i32,
        }
        unsafe extern "C" {
            fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32)
            -> i32;
        }
        // SOL_SOCKET and SO_LINGER of Linux: the close that follows resets.
        unsafe {
            setsockopt(
                self.stream.as_raw_fd(),
                1,
                13,
                &Linger { on: 1, seconds: 0 },
                8,
            )
        };
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.stream
            .write_all(bytes)
            .map_err(|e| format!("send: {e}"))
    }

    fn more(&mut self, until: Instant) -> Result<usize, String> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("late".into());
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut buffer = [0u8; 16384];
        let count = self
            .stream
            .read(&mut buffer)
            .map_err(|e| format!("read: {e}"))?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn line(&mut self, until: Instant) -> Result<String, String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.more(until)? == 0 {
                return Err("closed".into());
            }
        }
    }

    /// The head of a message: its first line and its fields.
    pub fn head(&mut self, until: Instant) -> Result<(String, Vec<(String, String)>), String> {
        let first = self.line(until)?;
        let mut headers = vec![];
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body into `into`; whether it's whole. `on_bytes` sees the body as it comes.
    pub fn body(
        &mut self,
        headers: &[(String, String)],
        is_request: bool,
        until: Instant,
        into: &mut Vec<u8>,
        mut on_bytes: impl FnMut(&[u8]),
    ) -> Result<bool, String> {
        let field = |name: &str| {
            headers
                .iter()
                .find(|(known, _)| known.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.clone())
        };
        if field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = self.line(until)?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| "chunk size".to_owned())?;
                while self.rest.len() < size + 2 {
                    if self.more(until)? == 0 {
                        return Err("closed in a chunk".into());
                    }
                }
                on_bytes(&self.rest[..size]);
                into.extend_from_slice(&self.rest[..size]);
                self.rest.drain(..size + 2);
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        let length: usize = match field("content-length") {
            Some(text) => text.parse().map_err(|_| "length".to_owned())?,
            None if is_request => 0,
            None => loop {
                let rest = std::mem::take(&mut self.rest);
                on_bytes(&rest);
                into.extend_from_slice(&rest);
                if self.more(until)? == 0 {
                    return Ok(true);
                }
            },
        };
        while self.rest.len() < length {
            if self.more(until)? == 0 {
                into.append(&mut self.rest);
                return Err("closed in the body".into());
            }
        }
        on_bytes(&self.rest[..length]);
        into.extend(self.rest.drain(..length));
        Ok(true)
    }

    /// Reads an answer. What came of it is returned also if it breaks off.
    pub fn answer(&mut self, until: Instant) -> Result<Answer, String> {
        let (mut first, mut headers) = self.head(until)?;
        while first.starts_with("HTTP/1.1 1") {
            (first, headers) = self.head(until)?;
        }
        let status = first
            .get(9..12)
            .and_then(|s| s.parse().ok())
            .ok_or("no status")?;
        let mut answer = Answer {
            status,
            headers,
            ..Answer::default()
        };
        let headers = answer.headers.clone();
        if let Ok(whole) = self.body(&headers, false, until, &mut answer.body, |_| {}) {
            answer.whole = whole;
        }
        Ok(answer)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The bytes of a request.
pub fn request(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let until = Instant::now() + timeout;
    let mut line = Line::open(address, timeout)?;
    line.send(&request(method, target, headers, body))?;
    line.answer(until)
}
