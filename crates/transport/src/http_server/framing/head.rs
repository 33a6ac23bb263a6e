//! Parsing of a request's head, as far as it decides where the request ends and which host it's for.
//!
//! Stricter than RFC 9112 allows for: what two parsers could read differently is an error.

use super::error::MalformedRequest;
use super::{LINE_END, find};

/// How the end of a request's body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    Known(u64),
    Chunked,
}

/// The header fields that matter for framing.
#[derive(Default)]
struct FramingFields<'a> {
    host: Option<&'a [u8]>,
    content_length: Option<u64>,
    is_chunked: bool,
}

/// The form of a request's target.
enum Target<'a> {
    /// A path.
    Origin,
    /// A URL, and its host.
    Absolute(&'a [u8]),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HttpVersion {
    Http10,
    Http11,
}

/// Parses a head, given without its last empty line.
pub(super) fn parse_body_length(head: &[u8]) -> Result<BodyLength, MalformedRequest> {
    let mut lines = HeadLines { rest: head };
    let request_line = lines.next().ok_or(MalformedRequest::NoRequestLine)??;
    let (target, version) = parse_request_line(request_line)?;
    let mut fields = FramingFields::default();
    for line in lines {
        let (name, value) = parse_field(line?)?;
        fields.record(name, value)?;
    }
    fields.check_host(&target, version)?;
    match (fields.is_chunked, fields.content_length) {
        (true, Some(_)) => Err(MalformedRequest::LengthAndChunked),
        (true, None) => Ok(BodyLength::Chunked),
        (false, length) => Ok(BodyLength::Known(length.unwrap_or(0))),
    }
}

impl<'a> FramingFields<'a> {
    fn record(&mut self, name: &[u8], value: &'a [u8]) -> Result<(), MalformedRequest> {
        if name.eq_ignore_ascii_case(b"host") {
            self.record_host(value)
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.record_content_length(value)
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.record_transfer_encoding(value)
        } else {
            Ok(())
        }
    }

    fn record_host(&mut self, value: &'a [u8]) -> Result<(), MalformedRequest> {
        match self.host.replace(value) {
            None if !value.is_empty() => Ok(()),
            None => Err(MalformedRequest::EmptyHost),
            Some(_) => Err(MalformedRequest::DuplicateHost),
        }
    }

    fn record_content_length(&mut self, value: &[u8]) -> Result<(), MalformedRequest> {
        let length = parse_content_length(value).ok_or(MalformedRequest::ContentLength)?;
        match self.content_length.replace(length) {
            None => Ok(()),
            Some(_) => Err(MalformedRequest::DuplicateContentLength),
        }
    }

    fn record_transfer_encoding(&mut self, value: &[u8]) -> Result<(), MalformedRequest> {
        let is_first = !std::mem::replace(&mut self.is_chunked, true);
        if is_first && value.eq_ignore_ascii_case(b"chunked") {
            Ok(())
        } else {
            Err(MalformedRequest::TransferEncoding)
        }
    }

    fn check_host(
        &self,
        target: &Target<'_>,
        version: HttpVersion,
    ) -> Result<(), MalformedRequest> {
        if version == HttpVersion::Http11 && self.host.is_none() {
            return Err(MalformedRequest::NoHost);
        }
        if version == HttpVersion::Http10 && self.is_chunked {
            return Err(MalformedRequest::ChunkedInHttp10);
        }
        if let Target::Absolute(authority) = target
            && !self
                .host
                .is_some_and(|host| host.eq_ignore_ascii_case(authority))
        {
            return Err(MalformedRequest::HostMismatch);
        }
        Ok(())
    }
}

/// The lines of a head; each ends with CR LF, and neither byte may stand anywhere else.
struct HeadLines<'a> {
    rest: &'a [u8],
}

impl<'a> Iterator for HeadLines<'a> {
    type Item = Result<&'a [u8], MalformedRequest>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let length = find(self.rest, LINE_END)?;
        let line = &self.rest[..length];
        self.rest = &self.rest[length + LINE_END.len()..];
        let has_bare_end = line.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
        Some(if has_bare_end {
            Err(MalformedRequest::BareLineEnd)
        } else {
            Ok(line)
        })
    }
}

fn parse_request_line(line: &[u8]) -> Result<(Target<'_>, HttpVersion), MalformedRequest> {
    let mut parts = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(MalformedRequest::RequestLineParts);
    };
    if !is_token(method) || method == b"CONNECT" {
        return Err(MalformedRequest::Method);
    }
    let version = match version {
        b"HTTP/1.1" => HttpVersion::Http11,
        b"HTTP/1.0" => HttpVersion::Http10,
        _ => return Err(MalformedRequest::Version),
    };
    if target.iter().any(|byte| *byte <= b' ' || *byte == 0x7f) {
        return Err(MalformedRequest::ControlByteInTarget);
    }
    Ok((parse_target(method, target)?, version))
}

fn parse_target<'a>(method: &[u8], target: &'a [u8]) -> Result<Target<'a>, MalformedRequest> {
    if target.first() == Some(&b'/') || (target == b"*" && method == b"OPTIONS") {
        return Ok(Target::Origin);
    }
    let scheme = b"http://";
    match target.get(..scheme.len()) {
        Some(start) if start.eq_ignore_ascii_case(scheme) => {
            let rest = &target[scheme.len()..];
            let length = rest
                .iter()
                .position(|byte| matches!(byte, b'/' | b'?' | b'#'))
                .unwrap_or(rest.len());
            Ok(Target::Absolute(&rest[..length]))
        }
        _ => Err(MalformedRequest::TargetForm),
    }
}

/// Name and value of a field.
pub(super) fn parse_field(line: &[u8]) -> Result<(&[u8], &[u8]), MalformedRequest> {
    let colon = line
        .iter()
        .position(|byte| *byte == b':')
        .ok_or(MalformedRequest::NoColon)?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    // A folded line begins with white space, which no name has.
    if !is_token(name) {
        return Err(MalformedRequest::FieldName);
    }
    let is_control = |byte: &u8| (*byte < b' ' && *byte != b'\t') || *byte == 0x7f;
    if value.iter().any(is_control) {
        return Err(MalformedRequest::ControlByteInField);
    }
    Ok((name, value.trim_ascii()))
}

fn parse_content_length(value: &[u8]) -> Option<u64> {
    let is_plain = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_plain)?;
    text.parse().ok()
}

/// Whether bytes are a token by RFC 9110, section 5.6.2.
fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}
