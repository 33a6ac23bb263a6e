//! HTTP/1.1 messages as plain bytes: the stand-ins' own small reader, which shares no code with the product.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A message's head and body.
#[derive(Debug)]
pub(super) struct Message {
    /// Its first line.
    pub first_line: String,
    headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether all of the body came.
    pub is_whole: bool,
}

impl Message {
    /// The values of a header.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
    /// The first value of a header.
    pub(super) fn header<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }
    /// The status of an answer.
    pub(super) fn status(&self) -> u16 {
        self.first_line
            .get(9..12)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
    /// The target of a request.
    pub(super) fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; nothing at the end of the connection.
pub(super) fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        if line == "\r\n" {
            break;
        }
        lines.push(line.trim_end().to_owned());
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next().unwrap_or_default();
    let split = |line: String| {
        line.split_once(':')
            .map(|(key, value)| (key.to_lowercase(), value.trim().to_owned()))
    };
    Ok(Some(Message {
        first_line,
        headers: lines.filter_map(split).collect(),
        body: vec![],
        is_whole: false,
    }))
}

/// Reads the body that a head announces, as far as it comes.
pub(super) fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) {
    let outcome = match message
        .header("content-length")
        .and_then(|length| length.parse().ok())
    {
        Some(length) => read_exactly(reader, length, &mut message.body),
        None if message.header("transfer-encoding").is_some() => {
            read_chunks(reader, &mut message.body)
        }
        None => Ok(()),
    };
    message.is_whole = outcome.is_ok();
}

fn read_exactly(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let count = reader.take(length as u64).read_to_end(body)?;
    if count == length {
        Ok(())
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size =
            usize::from_str_radix(line.trim_end(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        read_exactly(reader, size, body)?;
        let mut end = Vec::new();
        read_exactly(reader, 2, &mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}
