use crate::prelude::*;

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
mod tests {
    use super::*;

    const KEY: TokenKey = TokenKey([7; 32]);

    fn token(server: &str, run: &str) -> Token {
        Token {
            request: "o-1".into(),
            service: "drafts".into(),
            server: server.into(),
            run: run.into(),
        }
    }

    #[test]
    fn a_token_comes_back_and_a_bent_one_does_not() {
        let token = token("127.0.0.1:9001", "a-1");
        let text = token.seal(&KEY);
        assert_eq!(Token::open(&text, &KEY), Some(token));
        for place in 0..text.len() {
            let mut bent = text.clone().into_bytes();
            bent[place] = if bent[place] == b'7' { b'8' } else { b'7' };
            assert_eq!(
                Token::open(&String::from_utf8(bent).unwrap(), &KEY),
                None,
                "bent at {place}"
            );
            assert_eq!(Token::open(&text[..place], &KEY), None, "cut at {place}");
        }
        assert_eq!(Token::open("zz", &KEY), None);
        assert_eq!(Token::open("ä", &KEY), None);
    }

    #[test]
    fn nobody_makes_a_token_without_the_key_and_none_is_good_for_another_run_or_server() {
        let own = token("127.0.0.1:9001", "a-1").seal(&KEY);
        let forged = token("127.0.0.1:9001", "a-2").seal(&TokenKey([8; 32]));
        assert_eq!(Token::open(&forged, &KEY), None, "forged with another key");
        for other in [token("127.0.0.1:9001", "a-2"), token("10.0.0.1:80", "a-1")] {
            let text = other.seal(&KEY);
            let spliced = format!("{}{}", &own[..CHECK * 2], &text[CHECK * 2..]);
            assert_eq!(
                Token::open(&spliced, &KEY),
                None,
                "its own check on another's words"
            );
        }
    }
}
