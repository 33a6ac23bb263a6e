use crate::message::Message;
use std::io::{self, Read};
use types::{Address, ResultCode};

/// The version of the inner protocol that this build speaks.
pub const PROTOCOL: u16 = 6;

const MAGIC: [u8; 4] = *b"cbfl";
const HEAD: usize = 28;
/// Memory grows by so much at a time as bytes come.
const CHUNK: usize = 64 << 10;
/// The longest letter.
const BOUND: usize = 80 << 20;

/// Why a letter could not be opened. The connection it came on is given up.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The line ended or failed.
    #[error("the line failed: {0}")]
    Io(#[from] io::Error),
    /// Not one of our snapshots, torn, too long, or its check failed.
    #[error("{0}")]
    Bad(String),
    /// Another version.
    #[error("the peer speaks protocol {0}, this build speaks {PROTOCOL}")]
    Protocol(u16),
}

impl SealError {
    /// Its numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            SealError::Protocol(_) => ResultCode::WrongProtocol,
            _ => ResultCode::BadMessage,
        }
    }
}

/// Snapshots a letter: magic, protocol, the sender's port and IP number, length, check, body.
pub fn seal(from: Address, message: &Message) -> Result<Vec<u8>, SealError> {
    let body = rkyv::to_bytes::<rkyv::rancor::Error>(message)
        .map_err(|fault| SealError::Bad(fault.to_string()))?;
    if body.len() > BOUND {
        return Err(SealError::Bad(format!(
            "a letter of {} bytes is over the bound",
            body.len()
        )));
    }
    let std::net::IpAddr::V4(ip) = from.0.ip() else {
        return Err(SealError::Bad(format!("{from} is not an IPv4 number")));
    };
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&PROTOCOL.to_be_bytes());
    bytes.extend_from_slice(&from.0.port().to_be_bytes());
    bytes.extend_from_slice(&ip.octets());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    let head_check = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&head_check.to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Reads one letter. Memory grows only with bytes that have come.
pub fn open(reader: &mut impl Read) -> Result<(Address, Message), SealError> {
    let mut head = [0u8; HEAD];
    reader.read_exact(&mut head)?;
    let word = |from: usize| {
        u32::from_be_bytes([head[from], head[from + 1], head[from + 2], head[from + 3]])
    };
    if head[..4] != MAGIC {
        return Err(SealError::Bad("a snapshot has no magic".into()));
    }
    let protocol = u16::from_be_bytes([head[4], head[5]]);
    if protocol != PROTOCOL {
        return Err(SealError::Protocol(protocol));
    }
    if word(24) != crc32fast::hash(&head[..24]) {
        return Err(SealError::Bad("a snapshot's head fails its check".into()));
    }
    let length = (u64::from(word(12)) << 32 | u64::from(word(16))) as usize;
    if length > BOUND {
        return Err(SealError::Bad(format!(
            "a snapshot of {length} bytes is over the bound"
        )));
    }
    let mut body = rkyv::util::AlignedVec::<16>::new();
    while body.len() < length {
        let have = body.len();
        body.resize(have + CHUNK.min(length - have), 0);
        reader.read_exact(&mut body[have..])?;
    }
    if crc32fast::hash(&body) != word(20) {
        return Err(SealError::Bad("a snapshot's body fails its check".into()));
    }
    let message = rkyv::from_bytes::<Message, rkyv::rancor::Error>(&body)
        .map_err(|fault| SealError::Bad(format!("a snapshot holds no letter: {fault}")))?;
    let port = u16::from_be_bytes([head[6], head[7]]);
    let ip = [head[8], head[9], head[10], head[11]];
    Ok((Address((ip, port).into()), message))
}

#[cfg(test)]
mod tests;
