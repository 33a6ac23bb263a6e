use serde::{Deserialize, Serialize};
use types::{RequestId, RunId, ServerName, ServiceName, TokenKey};

/// What a client holds to read a stream on: which run, at which server. Opaque to clients.
///
/// Invariants: only who holds the fleet's key can make one, and it opens only whole and unaltered. Its
/// run id can't be guessed: 128 bits of the system's randomness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The request.
    pub request: RequestId,
    /// Its service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// The run.
    pub run: RunId,
}

/// Bytes of the check that stands before the JSON.
const CHECK: usize = 32;

impl Token {
    /// As text: the keyed check and the JSON, in hex digits.
    pub fn seal(&self, key: &TokenKey) -> String {
        let json = serde_json::to_vec(self).expect("a token is JSON");
        let check = blake3::keyed_hash(&key.0, &json);
        check
            .as_bytes()
            .iter()
            .chain(&json)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
    /// Back from text; `None` if it isn't one that this fleet made.
    pub fn open(text: &str, key: &TokenKey) -> Option<Token> {
        if text.len() > 4096 || !text.len().is_multiple_of(2) || !text.is_ascii() {
            return None;
        }
        let bytes: Option<Vec<u8>> = (0..text.len())
            .step_by(2)
            .map(|place| u8::from_str_radix(&text[place..place + 2], 16).ok())
            .collect();
        let bytes = bytes?;
        let (check, json) = bytes.split_first_chunk::<CHECK>()?;
        // The library compares in constant time.
        (blake3::keyed_hash(&key.0, json) == blake3::Hash::from_bytes(*check)).then_some(())?;
        serde_json::from_slice(json).ok()
    }
}

/// A new run's id, out of these random bytes.
pub fn run_id(random: [u8; 16]) -> RunId {
    RunId(format!("{:032x}", u128::from_be_bytes(random)))
}

#[cfg(test)]
mod tests;
