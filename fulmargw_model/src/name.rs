//! Shared immutable names.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

/// The name of a service, route, client account, host or backend server.
///
/// Cloning only increments a reference count, so each request and table can own its names.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Maximum length of a valid name, in bytes.
    pub const MAX_BYTES: usize = 63;

    /// Creates a name without validating it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Reports whether the name consists of 1 to [`Self::MAX_BYTES`] ASCII letters, digits, `-`,
    /// `_` or `.`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        !self.0.is_empty() && self.0.len() <= Self::MAX_BYTES && self.0.bytes().all(allowed)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
