//! A client that goes on using its connection until the router ends it, as clients do that hold a pool.

use crate::client::{
    CONNECT_TIMEOUT, Outcome, READ_TIMEOUT, RequestRecord, StreamReader, record_page,
    record_rejection_body, request_body,
};
use crate::workload::PlannedRequest;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use types::Address;

/// A client of one router.
///
/// Invariant: whatever readiness says, it sends on its open connection, and opens another one only once that has ended.
#[derive(Debug)]
pub struct PersistentClient {
    router: Address,
    connection: Option<BufReader<TcpStream>>,
    connections: u64,
}

/// The head of a response.
struct Head {
    status: u16,
    retry_after: Option<u64>,
    framing: Framing,
    /// Whether the router ends the connection behind this response.
    closes: bool,
}

/// By what the end of a body is known.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length(u64),
    Chunks,
}

impl PersistentClient {
    /// A client of this router, without a connection yet.
    pub fn new(router: Address) -> Self {
        PersistentClient {
            router,
            connection: None,
            connections: 0,
        }
    }

    /// How many connections it has opened.
    pub fn connections(&self) -> u64 {
        self.connections
    }

    /// Sends a request and reads the response to its end.
    pub fn send(&mut self, planned: &PlannedRequest) -> RequestRecord {
        let mut record = RequestRecord::new(planned);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match self.connect() {
                Ok(connection) => connection,
                Err(error) => {
                    record.outcome = Outcome::Refused(0);
                    record.why = format!("no connection: {error}");
                    return record;
                }
            },
        };
        match exchange(&mut connection, planned, &mut record) {
            Ok(true) => self.connection = Some(connection),
            Ok(false) => {}
            Err(error) => record.why = error.to_string(),
        }
        record
    }

    fn connect(&mut self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.router.0, CONNECT_TIMEOUT.duration())?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT.duration()))?;
        self.connections += 1;
        Ok(BufReader::new(stream))
    }
}

/// Sends a request on a connection, and records what came of it. Whether the connection can be used again.
fn exchange(
    connection: &mut BufReader<TcpStream>,
    planned: &PlannedRequest,
    record: &mut RequestRecord,
) -> io::Result<bool> {
    let began = Instant::now();
    connection.get_mut().write_all(&request(planned))?;
    let head = read_head(connection)?;
    let mut body = Body::new(connection, head.framing)?;
    if head.status != 200 {
        let mut bytes = vec![];
        body.read_to_end(&mut bytes)?;
        record.retry_after = head.retry_after;
        record_rejection_body(&bytes, record);
    } else if planned.is_fetch {
        let mut bytes = vec![];
        record.outcome = Outcome::Broken;
        body.read_to_end(&mut bytes)?;
        record_page(planned, &bytes, record, began);
    } else {
        let is_complete = StreamReader::new(record.print).read(&mut body, record, began);
        record.outcome = if is_complete {
            Outcome::Complete
        } else {
            Outcome::Broken
        };
    }
    Ok(body.is_ended && !head.closes)
}

fn request(planned: &PlannedRequest) -> Vec<u8> {
    if planned.is_fetch {
        let (service, id) = (planned.service, &planned.id);
        let head = format!("GET /v1/pages/{service}/board/{id} HTTP/1.1\r\nHost: router\r\n\r\n");
        return head.into_bytes();
    }
    let body = request_body(planned);
    let head = format!(
        "POST /v1/requests HTTP/1.1\r\nHost: router\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.into_bytes(), body].concat()
}

fn read_head(connection: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let status_line = read_line(connection)?;
    let status = status_line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut head = Head {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        retry_after: None,
        framing: Framing::Length(0),
        closes: false,
    };
    loop {
        let line = read_line(connection)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(head);
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = value.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                head.framing = Framing::Length(length);
            }
            "transfer-encoding" => head.framing = Framing::Chunks,
            "connection" => head.closes = value.eq_ignore_ascii_case("close"),
            "retry-after" => head.retry_after = value.parse().ok(),
            _ => {}
        }
    }
}

fn read_line(connection: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    connection.read_line(&mut line)?;
    let text = line.strip_suffix("\r\n");
    text.map(str::to_owned)
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The body of a response. An end before its framing tells it is an error.
struct Body<'a> {
    connection: &'a mut BufReader<TcpStream>,
    framing: Framing,
    /// Bytes that are left of the body, or of the current chunk.
    left: u64,
    is_ended: bool,
}

impl<'a> Body<'a> {
    fn new(connection: &'a mut BufReader<TcpStream>, framing: Framing) -> io::Result<Self> {
        let mut body = Body {
            connection,
            framing,
            left: 0,
            is_ended: false,
        };
        match framing {
            Framing::Length(length) => {
                body.left = length;
                body.is_ended = length == 0;
            }
            Framing::Chunks => body.begin_chunk()?,
        }
        Ok(body)
    }

    fn begin_chunk(&mut self) -> io::Result<()> {
        let size = read_line(self.connection)?;
        self.left = u64::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if self.left == 0 {
            read_line(self.connection)?;
            self.is_ended = true;
        }
        Ok(())
    }

    /// All bytes of the body, or of the current chunk, were read.
    fn finish_part(&mut self) -> io::Result<()> {
        match self.framing {
            Framing::Length(_) => {
                self.is_ended = true;
                Ok(())
            }
            Framing::Chunks => {
                read_line(self.connection)?;
                self.begin_chunk()
            }
        }
    }
}

impl Read for Body<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.is_ended {
            return Ok(0);
        }
        if self.left == 0 {
            self.finish_part()?;
            return self.read(buffer);
        }
        let most = buffer
            .len()
            .min(usize::try_from(self.left).unwrap_or(usize::MAX));
        let count = self.connection.read(&mut buffer[..most])?;
        if count == 0 && most > 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.left -= count as u64;
        if self.left == 0 && matches!(self.framing, Framing::Length(_)) {
            self.is_ended = true;
        }
        Ok(count)
    }
}

#[cfg(test)]
mod tests;
