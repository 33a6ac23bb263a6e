//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response's status and body.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection; `None` if no whole answer comes within the time-out.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    try_call(address, method, path, headers, body, timeout).ok()
}

fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "Connection: close\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let (first, fields) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let body = read_body(&mut reader, &fields)?;
    Ok(Answer { status, body })
}

/// The first line of a head, and its fields with their names in lower case.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut fields = vec![];
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok((first, fields));
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// The value of a field.
pub fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = fields.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// The whole body by its length or its chunks; without either there is none in a request, and all that comes in a response.
pub fn read_body(reader: &mut impl BufRead, fields: &[(String, String)]) -> io::Result<Vec<u8>> {
    if let Some(length) = field(fields, "content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = vec![];
    if field(fields, "transfer-encoding").is_none() {
        return Ok(body);
    }
    loop {
        let size = read_line(reader)?;
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}
