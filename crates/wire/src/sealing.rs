//! The frame of a message: magic, protocol version, sender, length and checksums, then the archived message.

use crate::message::Message;
use rkyv::util::AlignedVec;
use std::io::{self, Read};
use std::net::IpAddr;
use types::{Address, ResultCode};

/// The version of the inner protocol that this build speaks.
pub const PROTOCOL: u16 = 6;

/// The size limit of an archived message, in bytes.
const MAX_BODY_BYTES: usize = 80 << 20;
/// The buffer of a body grows by at most this number of bytes before they are read.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// The head of a frame. All numbers are big-endian.
///
/// | bytes | content |
/// | --- | --- |
/// | 0..4 | magic |
/// | 4..6 | protocol version |
/// | 6..8 | port of the sender |
/// | 8..12 | IPv4 address of the sender |
/// | 12..20 | length of the body |
/// | 20..24 | CRC-32 of the body |
/// | 24..28 | CRC-32 of the head before it |
struct Head {
    sender: Address,
    body_length: usize,
    body_checksum: u32,
}

const HEAD_BYTES: usize = 28;
const MAGIC: [u8; 4] = *b"cbfl";

/// Why a message could not be sealed or opened. The connection that it came on must be closed: its stream has lost
/// the bounds of messages.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The stream ended or failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer speaks another version of the protocol.
    #[error("the peer speaks protocol {0}, this build speaks {PROTOCOL}")]
    Protocol(u16),
    /// The frame does not begin with the magic.
    #[error("the frame does not begin with the magic")]
    NoMagic,
    /// The head of the frame does not match its checksum.
    #[error("the head of the frame does not match its checksum")]
    HeadChecksum,
    /// The body of the frame does not match its checksum.
    #[error("the body of the frame does not match its checksum")]
    BodyChecksum,
    /// The message exceeds the size limit.
    #[error("a message of {0} bytes exceeds the limit of {MAX_BODY_BYTES} bytes")]
    TooLarge(usize),
    /// The address of the sender is not an IPv4 address, for which alone the head has room.
    #[error("{0} is not an IPv4 address")]
    NotIpv4(Address),
    /// The body of the frame is no archived message, or a message could not be archived.
    #[error("the message cannot be archived or read: {0}")]
    Archive(rkyv::rancor::Error),
}

impl SealError {
    /// The result code.
    pub fn code(&self) -> ResultCode {
        match self {
            SealError::Protocol(_) => ResultCode::WrongProtocol,
            _ => ResultCode::BadMessage,
        }
    }
}

/// Encodes a message from this sender as a frame.
///
/// # Errors
///
/// The message exceeds the size limit of 80 MiB, or the sender is not an IPv4 address.
pub fn seal(sender: Address, message: &Message) -> Result<Vec<u8>, SealError> {
    let body = rkyv::to_bytes::<rkyv::rancor::Error>(message).map_err(SealError::Archive)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(SealError::TooLarge(body.len()));
    }
    let head = Head {
        sender,
        body_length: body.len(),
        body_checksum: crc32fast::hash(&body),
    };
    let mut frame = Vec::with_capacity(HEAD_BYTES + body.len());
    head.encode(&mut frame)?;
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Reads one message and the address of its sender.
///
/// # Errors
///
/// The reader failed, the frame is damaged or exceeds the size limit, or the peer speaks another version of the
/// protocol. Memory grows only with bytes that were read, whatever length the head claims.
pub fn open(reader: &mut impl Read) -> Result<(Address, Message), SealError> {
    open_within(reader, &mut |_| Ok(()))
}

/// The same; `reserve` is asked before so many more bytes of the message are held, from its head on.
///
/// # Errors
///
/// Those of [`open`], and the one that `reserve` returns.
pub fn open_within(
    reader: &mut impl Read,
    reserve: &mut dyn FnMut(usize) -> io::Result<()>,
) -> Result<(Address, Message), SealError> {
    let mut bytes = [0; HEAD_BYTES];
    reader.read_exact(&mut bytes)?;
    let head = Head::decode(&bytes)?;
    let body = read_body(reader, head.body_length, reserve)?;
    if crc32fast::hash(&body) != head.body_checksum {
        return Err(SealError::BodyChecksum);
    }
    let message =
        rkyv::from_bytes::<Message, rkyv::rancor::Error>(&body).map_err(SealError::Archive)?;
    Ok((head.sender, message))
}

fn read_body(
    reader: &mut impl Read,
    length: usize,
    reserve: &mut dyn FnMut(usize) -> io::Result<()>,
) -> Result<AlignedVec<16>, SealError> {
    let mut body = AlignedVec::<16>::new();
    while body.len() < length {
        let start = body.len();
        reserve(READ_CHUNK_BYTES.min(length - start))?;
        body.resize(start + READ_CHUNK_BYTES.min(length - start), 0);
        reader.read_exact(&mut body[start..])?;
    }
    Ok(body)
}

impl Head {
    /// Appends the encoded head to an empty frame.
    fn encode(&self, frame: &mut Vec<u8>) -> Result<(), SealError> {
        let IpAddr::V4(ip) = self.sender.0.ip() else {
            return Err(SealError::NotIpv4(self.sender));
        };
        frame.extend_from_slice(&MAGIC);
        frame.extend_from_slice(&PROTOCOL.to_be_bytes());
        frame.extend_from_slice(&self.sender.0.port().to_be_bytes());
        frame.extend_from_slice(&ip.octets());
        frame.extend_from_slice(&(self.body_length as u64).to_be_bytes());
        frame.extend_from_slice(&self.body_checksum.to_be_bytes());
        let head_checksum = crc32fast::hash(frame);
        frame.extend_from_slice(&head_checksum.to_be_bytes());
        Ok(())
    }

    fn decode(bytes: &[u8; HEAD_BYTES]) -> Result<Head, SealError> {
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if bytes[..4] != MAGIC {
            return Err(SealError::NoMagic);
        }
        let protocol = u16_at(4);
        if protocol != PROTOCOL {
            return Err(SealError::Protocol(protocol));
        }
        if u32_at(24) != crc32fast::hash(&bytes[..24]) {
            return Err(SealError::HeadChecksum);
        }
        let body_length = (u64::from(u32_at(12)) << 32 | u64::from(u32_at(16))) as usize;
        if body_length > MAX_BODY_BYTES {
            return Err(SealError::TooLarge(body_length));
        }
        let ip = [bytes[8], bytes[9], bytes[10], bytes[11]];
        Ok(Head {
            sender: Address((ip, u16_at(6)).into()),
            body_length,
            body_checksum: u32_at(20),
        })
    }
}

#[cfg(test)]
mod tests;
