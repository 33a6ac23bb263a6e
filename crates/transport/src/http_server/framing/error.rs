//! Why a request is rejected before it's served.

use crate::resource_budget::NoRoom;

/// Why a request is not read on. Nothing that follows it on its connection is read as a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::http_server) enum RequestError {
    /// It breaks HTTP's grammar, or two parsers could read it differently.
    Malformed(MalformedRequest),
    /// Its head is over the bound.
    HeadTooLarge,
    /// Its body is over the bound, or its announced length is.
    BodyTooLarge,
    /// The process has no room for it.
    NoRoom(NoRoom),
}

/// What is malformed in a request. The texts are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(in crate::http_server) enum MalformedRequest {
    #[error("too many empty lines")]
    TooManyEmptyLines,
    #[error("no request line")]
    NoRequestLine,
    #[error("a request line has three words")]
    RequestLineParts,
    #[error("no method that is served")]
    Method,
    #[error("another version of HTTP")]
    Version,
    #[error("a control byte in the target")]
    ControlByteInTarget,
    #[error("a target that is neither a path nor a URL")]
    TargetForm,
    #[error("a bare line end or a zero byte")]
    BareLineEnd,
    #[error("a field without a colon")]
    NoColon,
    #[error("a field's name that is none")]
    FieldName,
    #[error("a control byte in a field")]
    ControlByteInField,
    #[error("no host is named")]
    NoHost,
    #[error("the host is empty")]
    EmptyHost,
    #[error("the host is named twice")]
    DuplicateHost,
    #[error("the target names another host than the header")]
    HostMismatch,
    #[error("a length that is no plain number")]
    ContentLength,
    #[error("two lengths")]
    DuplicateContentLength,
    #[error("a transfer encoding other than chunks, once")]
    TransferEncoding,
    #[error("HTTP/1.0 has no chunks")]
    ChunkedInHttp10,
    #[error("both a length and chunks")]
    LengthAndChunked,
    #[error("a line of the body's framing is too long")]
    ChunkLineTooLong,
    #[error("a chunk's size is no plain hexadecimal number")]
    ChunkSize,
    #[error("a chunk is longer than it said")]
    ChunkOverrun,
    #[error("a trailer can't be read")]
    Trailer,
}
