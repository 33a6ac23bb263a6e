//! Where each request on a connection begins and ends, decided before the HTTP library sees a byte of it.
//!
//! A request whose extent two parsers could read differently is refused: it's how one request is smuggled
//! inside another. What passes is given out one request at a time; the next one waits for the answer.

use std::ops::Range;

/// Bounds on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a head, request line and last line end included.
    pub header_bytes: usize,
    /// Bytes of a body, without the framing of chunks.
    pub body_bytes: usize,
}

/// Why a request is not read on. Nothing that follows it on its connection is a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// It breaks HTTP's grammar, or could be read in two ways.
    Malformed(&'static str),
    /// Its head is over the bound.
    LargeHead,
    /// Its body is over the bound, or says that it will be.
    LargeBody,
}

/// What of the current request has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestProgress {
    /// No byte.
    Nothing,
    /// Some of its head.
    Head,
    /// Its head, and not all of its body.
    Body,
    /// All of it.
    Whole,
    /// It's refused.
    Refused(RequestFault),
}

/// The part of a request that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Head,
    /// Bytes of a body that told its length, and how many are to come.
    Length(u64),
    ChunkSize,
    /// Bytes of a chunk, and how many are to come.
    ChunkData(u64),
    /// The line end behind a chunk's bytes.
    ChunkEnd,
    Trailer,
    Whole,
    Refused(RequestFault),
}

/// The longest line of a chunk's size, its extensions included, and the longest trailer line.
const CHUNK_LINE_MOST: usize = 256;
/// Lines of trailers at most.
const TRAILER_LINES_MOST: u32 = 32;
/// Empty lines that may stand before a request line.
const EMPTY_LINES_MOST: u32 = 2;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Follows the bytes of one connection.
///
/// Invariants: `released <= checked <= buffer.len()`; only bytes before `checked` are given out, a head
/// only as a whole; none of a later request before `next_request`, and none at or behind a fault, ever.
#[derive(Debug)]
pub(crate) struct RequestFramer {
    buffer: Vec<u8>,
    /// Bytes at the front that were given out.
    released: usize,
    /// Bytes at the front that are known to belong to the current request.
    checked: usize,
    /// From here on the end of the head is looked for.
    scanned: usize,
    part: Part,
    /// Bytes of the body seen so far, framing left out.
    body_bytes: u64,
    empty_lines: u32,
    trailer_lines: u32,
}

impl RequestFramer {
    pub fn new() -> Self {
        RequestFramer {
            buffer: Vec::new(),
            released: 0,
            checked: 0,
            scanned: 0,
            part: Part::Head,
            body_bytes: 0,
            empty_lines: 0,
            trailer_lines: 0,
        }
    }

    pub fn progress(&self) -> RequestProgress {
        match self.part {
            Part::Head if self.buffer.len() == self.checked => RequestProgress::Nothing,
            Part::Head => RequestProgress::Head,
            Part::Whole => RequestProgress::Whole,
            Part::Refused(fault) => RequestProgress::Refused(fault),
            _ => RequestProgress::Body,
        }
    }

    /// Takes in bytes that came on the connection.
    pub fn push(&mut self, bytes: &[u8], limits: &RequestLimits) {
        self.buffer.extend_from_slice(bytes);
        self.check(limits);
    }

    /// Begins the request behind the one that is whole.
    pub fn next_request(&mut self, limits: &RequestLimits) {
        if self.part != Part::Whole {
            return;
        }
        self.buffer.drain(..self.checked);
        (self.released, self.checked, self.scanned) = (0, 0, 0);
        (self.body_bytes, self.empty_lines, self.trailer_lines) = (0, 0, 0);
        self.part = Part::Head;
        self.check(limits);
    }

    /// A deliberate fault: reads on behind the next line end as if a request began there.
    #[cfg(test)]
    pub fn forget_fault(&mut self, limits: &RequestLimits) {
        let rest = &self.buffer[self.checked..];
        let line_end = find(rest, b"\n").map_or(rest.len(), |place| place + 1);
        self.buffer.drain(..self.checked + line_end);
        (self.released, self.checked, self.scanned, self.body_bytes) = (0, 0, 0, 0);
        self.part = Part::Head;
        self.check(limits);
    }

    /// Whether there are bytes to give out.
    pub fn has_ready(&self) -> bool {
        self.released < self.checked && !matches!(self.part, Part::Refused(_))
    }

    /// Gives out bytes of the current request, at most so many.
    pub fn release(&mut self, most: usize) -> &[u8] {
        if !self.has_ready() {
            return &[];
        }
        if self.released >= RELEASED_KEPT {
            self.buffer.drain(..self.released);
            self.checked -= self.released;
            self.released = 0;
        }
        let from = self.released;
        self.released = self.checked.min(from + most);
        &self.buffer[from..self.released]
    }

    /// Goes on over what has come, as far as it's clear what it is.
    fn check(&mut self, limits: &RequestLimits) {
        loop {
            let step = match self.part {
                Part::Head => self.check_head(limits),
                Part::Length(left) => self.pass_bytes(left).map(|left| {
                    if left == 0 {
                        Part::Whole
                    } else {
                        Part::Length(left)
                    }
                }),
                Part::ChunkSize => self.check_chunk_size(limits),
                Part::ChunkData(left) => self.pass_bytes(left).map(|left| {
                    if left == 0 {
                        Part::ChunkEnd
                    } else {
                        Part::ChunkData(left)
                    }
                }),
                Part::ChunkEnd => self.check_chunk_end(),
                Part::Trailer => self.check_trailer(),
                Part::Whole | Part::Refused(_) => None,
            };
            match step {
                Some(part) => self.part = part,
                None => return,
            }
        }
    }

    /// Passes over bytes of a body; gives how many are still to come, or `None` if there are none now.
    fn pass_bytes(&mut self, left: u64) -> Option<u64> {
        let there = (self.buffer.len() - self.checked) as u64;
        let passed = there.min(left);
        self.checked += passed as usize;
        (passed > 0 || left == 0).then_some(left - passed)
    }

    fn check_head(&mut self, limits: &RequestLimits) -> Option<Part> {
        if let Some(part) = self.skip_empty_lines() {
            return Some(part);
        }
        let head_from = self.checked;
        let look_from = self.scanned.max(head_from);
        let Some(place) = find(&self.buffer[look_from..], HEAD_END) else {
            if self.buffer.len() - head_from > limits.header_bytes {
                return Some(Part::Refused(RequestFault::LargeHead));
            }
            // An end may have begun in the last three bytes.
            self.scanned = self
                .buffer
                .len()
                .saturating_sub(HEAD_END.len() - 1)
                .max(head_from);
            return None;
        };
        let head_to = look_from + place + HEAD_END.len();
        if head_to - head_from > limits.header_bytes {
            return Some(Part::Refused(RequestFault::LargeHead));
        }
        match read_framing(&self.buffer[head_from..head_to - LINE_END.len()]) {
            Err(why) => Some(Part::Refused(RequestFault::Malformed(why))),
            Ok(Framing::Length(length)) if length > limits.body_bytes as u64 => {
                Some(Part::Refused(RequestFault::LargeBody))
            }
            Ok(framing) => {
                self.checked = head_to;
                Some(match framing {
                    Framing::Length(length) => Part::Length(length),
                    Framing::Chunked => Part::ChunkSize,
                })
            }
        }
    }

    /// Drops empty lines before a request line.
    fn skip_empty_lines(&mut self) -> Option<Part> {
        while self.buffer[self.checked..].starts_with(LINE_END) {
            self.empty_lines += 1;
            if self.empty_lines > EMPTY_LINES_MOST {
                return Some(Part::Refused(RequestFault::Malformed(
                    "too many empty lines",
                )));
            }
            self.buffer
                .drain(self.checked..self.checked + LINE_END.len());
            self.scanned = self.checked;
        }
        None
    }

    /// The line that begins at `checked`, without its end, once it's there.
    fn line(&self) -> Result<Option<Range<usize>>, RequestFault> {
        let rest = &self.buffer[self.checked..];
        match find(rest, LINE_END) {
            Some(length) if length <= CHUNK_LINE_MOST => {
                Ok(Some(self.checked..self.checked + length))
            }
            None if rest.len() <= CHUNK_LINE_MOST => Ok(None),
            _ => Err(RequestFault::Malformed(
                "a line of the body's framing is too long",
            )),
        }
    }

    fn check_chunk_size(&mut self, limits: &RequestLimits) -> Option<Part> {
        let line = match self.line() {
            Ok(line) => line?,
            Err(fault) => return Some(Part::Refused(fault)),
        };
        let Some(size) = read_chunk_size(&self.buffer[line.clone()]) else {
            return Some(Part::Refused(RequestFault::Malformed(
                "a chunk's size is no plain hexadecimal number",
            )));
        };
        self.body_bytes = self.body_bytes.saturating_add(size);
        if self.body_bytes > limits.body_bytes as u64 {
            return Some(Part::Refused(RequestFault::LargeBody));
        }
        self.checked = line.end + LINE_END.len();
        Some(if size == 0 {
            Part::Trailer
        } else {
            Part::ChunkData(size)
        })
    }

    fn check_chunk_end(&mut self) -> Option<Part> {
        let rest = &self.buffer[self.checked..];
        if rest.len() >= LINE_END.len() && rest.starts_with(LINE_END) {
            self.checked += LINE_END.len();
            return Some(Part::ChunkSize);
        }
        if LINE_END.starts_with(rest) {
            return None;
        }
        Some(Part::Refused(RequestFault::Malformed(
            "a chunk is longer than it said",
        )))
    }

    fn check_trailer(&mut self) -> Option<Part> {
        let line = match self.line() {
            Ok(line) => line?,
            Err(fault) => return Some(Part::Refused(fault)),
        };
        self.trailer_lines += 1;
        let is_good = line.is_empty() || read_field(&self.buffer[line.clone()]).is_ok();
        if !is_good || self.trailer_lines > TRAILER_LINES_MOST {
            return Some(Part::Refused(RequestFault::Malformed(
                "a trailer can't be read",
            )));
        }
        self.checked = line.end + LINE_END.len();
        Some(if line.is_empty() {
            Part::Whole
        } else {
            Part::Trailer
        })
    }
}

/// Bytes that were given out are dropped from the buffer from so many on.
const RELEASED_KEPT: usize = 64 << 10;

/// How a body's end is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked,
}

/// The fields of a head that decide where its request ends and whom it's for.
#[derive(Default)]
struct Fields<'a> {
    host: Option<&'a [u8]>,
    length: Option<u64>,
    is_chunked: bool,
}

/// Reads a head, given without its last empty line.
fn read_framing(head: &[u8]) -> Result<Framing, &'static str> {
    let mut lines = ConnectionPool { rest: head };
    let (target, is_newest) = read_request_line(lines.next().ok_or("no request line")??)?;
    let mut fields = Fields::default();
    for line in lines {
        let (name, value) = read_field(line?)?;
        note_field(&mut fields, name, value)?;
    }
    if is_newest && fields.host.is_none() {
        return Err("no host is named");
    }
    if !is_newest && fields.is_chunked {
        return Err("HTTP/1.0 has no chunks");
    }
    if let Target::Absolute(authority) = target
        && !fields
            .host
            .is_some_and(|host| host.eq_ignore_ascii_case(authority))
    {
        return Err("the target names another host than the header");
    }
    match (fields.is_chunked, fields.length) {
        (true, Some(_)) => Err("both a length and chunks"),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

fn note_field<'a>(
    fields: &mut Fields<'a>,
    name: &[u8],
    value: &'a [u8],
) -> Result<(), &'static str> {
    if name.eq_ignore_ascii_case(b"host") {
        return match fields.host.replace(value) {
            None if !value.is_empty() => Ok(()),
            None => Err("the host is empty"),
            Some(_) => Err("the host is named twice"),
        };
    }
    if name.eq_ignore_ascii_case(b"content-length") {
        return match fields
            .length
            .replace(read_length(value).ok_or("a length that is no plain number")?)
        {
            None => Ok(()),
            Some(_) => Err("two lengths"),
        };
    }
    if name.eq_ignore_ascii_case(b"transfer-encoding") {
        let is_plain = value.eq_ignore_ascii_case(b"chunked") && !fields.is_chunked;
        fields.is_chunked = true;
        return if is_plain {
            Ok(())
        } else {
            Err("a transfer encoding other than chunks, once")
        };
    }
    Ok(())
}

/// Lines of a head; each ends with CR LF, and neither stands anywhere else.
struct ConnectionPool<'a> {
    rest: &'a [u8],
}

impl<'a> Iterator for ConnectionPool<'a> {
    type Item = Result<&'a [u8], &'static str>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let length = find(self.rest, LINE_END)?;
        let line = &self.rest[..length];
        self.rest = &self.rest[length + LINE_END.len()..];
        let is_plain = !line.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
        Some(if is_plain {
            Ok(line)
        } else {
            Err("a bare line end or a zero byte")
        })
    }
}

enum Target<'a> {
    /// A path.
    Origin,
    /// A URL, and the host that it names.
    Absolute(&'a [u8]),
}

/// The target, and whether the version is 1.1.
fn read_request_line(line: &[u8]) -> Result<(Target<'_>, bool), &'static str> {
    let mut words = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("a request line has three words");
    };
    if method.is_empty() || !method.iter().all(|byte| is_token(*byte)) || method == b"CONNECT" {
        return Err("no method that is served");
    }
    let is_newest = match version {
        b"HTTP/1.1" => true,
        b"HTTP/1.0" => false,
        _ => return Err("another version of HTTP"),
    };
    if target.iter().any(|byte| *byte <= b' ' || *byte == 0x7f) {
        return Err("a control byte in the target");
    }
    Ok((read_target(method, target)?, is_newest))
}

fn read_target<'a>(method: &[u8], target: &'a [u8]) -> Result<Target<'a>, &'static str> {
    if target.first() == Some(&b'/') || (target == b"*" && method == b"OPTIONS") {
        return Ok(Target::Origin);
    }
    let scheme = b"http://";
    match target.get(..scheme.len()) {
        Some(said) if said.eq_ignore_ascii_case(scheme) => {
            let rest = &target[scheme.len()..];
            let length = rest
                .iter()
                .position(|byte| matches!(byte, b'/' | b'?' | b'#'))
                .unwrap_or(rest.len());
            Ok(Target::Absolute(&rest[..length]))
        }
        _ => Err("a target that is neither a path nor a URL"),
    }
}

/// Name and value of a field.
fn read_field(line: &[u8]) -> Result<(&[u8], &[u8]), &'static str> {
    let colon = line
        .iter()
        .position(|byte| *byte == b':')
        .ok_or("a field without a colon")?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    // A folded line begins with a blank, which no name has.
    if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) {
        return Err("a field's name that is none");
    }
    if value
        .iter()
        .any(|byte| (*byte < b' ' && *byte != b'\t') || *byte == 0x7f)
    {
        return Err("a control byte in a field");
    }
    Ok((name, value.trim_ascii()))
}

fn read_length(value: &[u8]) -> Option<u64> {
    let is_plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| is_plain)?
        .parse()
        .ok()
}

/// A chunk's size; extensions may follow it.
fn read_chunk_size(line: &[u8]) -> Option<u64> {
    let length = line
        .iter()
        .position(|byte| *byte == b';')
        .unwrap_or(line.len());
    let (digits, extensions) = line.split_at(length);
    let is_plain =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_plain
        || extensions
            .iter()
            .any(|byte| !matches!(byte, b'\t' | b' '..=b'~'))
    {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    let first = what[0];
    let mut from = 0;
    while let Some(place) = bytes[from..].iter().position(|byte| *byte == first) {
        if bytes[from + place..].starts_with(what) {
            return Some(from + place);
        }
        from += place + 1;
    }
    None
}

#[cfg(test)]
mod tests;
