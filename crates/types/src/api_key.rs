//! API keys, which are never shown.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// What stands for a key wherever it would be shown.
const HIDDEN: &str = "…";

/// The secret by which a client shows which tenant it belongs to.
///
/// Invariant: never shown, neither in logs nor in errors, metrics, answers or what is serialized.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key in an `Authorization` header of the scheme `Bearer`; `None` if there is none.
    pub fn from_bearer(header: &str) -> Option<ApiKey> {
        let (scheme, key) = header.trim().split_once(' ')?;
        let key = key.trim();
        (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then(|| ApiKey::from(key))
    }
    /// The bytes of the key, to be hashed.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
    /// Whether the key is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        ApiKey(text.to_owned())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKey({HIDDEN})")
    }
}

impl Serialize for ApiKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(HIDDEN)
    }
}

impl<'de> Deserialize<'de> for ApiKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(KeyVisitor)
    }
}

struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = ApiKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an API key, a string")
    }
    fn visit_str<E: Error>(self, text: &str) -> Result<ApiKey, E> {
        Ok(ApiKey::from(text))
    }
}

/// The keys of one tenant.
///
/// Invariant: as for [`ApiKey`], also where a document has something else in their place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ApiKeys(pub Vec<ApiKey>);

impl<'de> Deserialize<'de> for ApiKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(KeysVisitor)
    }
}

struct KeysVisitor;

impl<'de> Visitor<'de> for KeysVisitor {
    type Value = ApiKeys;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of API keys")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<ApiKeys, A::Error> {
        let mut keys = vec![];
        while let Some(key) = list.next_element()? {
            keys.push(key);
        }
        Ok(ApiKeys(keys))
    }
    /// The library's own message would show the text.
    fn visit_str<E: Error>(self, _: &str) -> Result<ApiKeys, E> {
        Err(E::custom(
            "a list of API keys is wanted, not a single string",
        ))
    }
}
