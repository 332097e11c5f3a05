//! Client accounts and the digests of their API keys.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{fmt, str::FromStr};
use subtle::ConstantTimeEq;

/// A client account with its rate limit and API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name of the account.
    pub name: Name,
    /// Sustained rate limit over all hosts together, in requests per second.
    pub rate: f64,
    /// Burst limit over all hosts together, in requests.
    pub burst: f64,
    /// Digests of the API keys that callers may present.
    #[serde(default)]
    pub keys: Vec<Digest>,
}

impl Account {
    /// Reports whether `key` is one of the account's API keys. Each comparison takes constant
    /// time.
    #[must_use]
    pub fn accepts(&self, key: &[u8]) -> bool {
        let presented = Digest::of(key);
        self.keys.iter().fold(false, |accepted, digest| {
            accepted | digest.matches(&presented)
        })
    }
}

/// The SHA-256 digest of an API key. The keys themselves are never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of an API key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    /// Prints only the first four bytes, which are enough to tell keys apart in a state dump.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({}..)", hex::encode(&self.0[..4]))
    }
}

/// A key digest is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct Malformed;

impl std::error::Error for Malformed {}

impl FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Malformed)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Malformed> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
