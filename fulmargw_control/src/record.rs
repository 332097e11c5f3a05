//! Rows that the control plane keeps in the platform's table service.

use fulmargw_model::configuration::Version;
use fulmargw_platform::{
    message::{Condition, Row, Write},
    store,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Key of the fleet record.
pub const FLEET: &str = "fleet";

/// Key of the [`Head`]. Hosts poll it instead of the larger document.
pub const HEAD: &str = "configuration/head";

/// Key of the configuration document.
pub const DOCUMENT: &str = "configuration/document";

/// Version of the configuration document in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the document.
    pub version: Version,
}

/// Returns the key of the row that holds the version created by a patch.
#[must_use]
pub fn patch_key(id: &str) -> String {
    format!("patch/{id}")
}

/// A decoded row. A row that does not exist has the default value and revision 0.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored<T> {
    /// Revision of the row, for the condition of a later write.
    pub revision: u64,
    /// Decoded value.
    pub value: T,
}

impl<T: DeserializeOwned + Default> Stored<T> {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// If the row does not hold a value of this type.
    pub fn decode(key: &str, row: Option<&Row>) -> Result<Self, store::Error> {
        let Some(row) = row else {
            return Ok(Self {
                revision: 0,
                value: T::default(),
            });
        };
        let value = rmp_serde::from_slice(&row.value).map_err(|cause| store::Error {
            step: "decode",
            peer: key.to_owned(),
            cause: cause.to_string(),
        })?;
        Ok(Self {
            revision: row.revision,
            value,
        })
    }
}

/// Returns the condition that a row still has the revision that was read.
#[must_use]
pub fn unchanged(key: &str, revision: u64) -> Condition {
    Condition {
        key: key.to_owned(),
        revision,
    }
}

/// Returns the write of a row with the encoded value.
///
/// # Errors
///
/// If the value cannot be encoded.
pub fn write<T: Serialize>(key: &str, value: &T) -> Result<Write, store::Error> {
    let bytes = rmp_serde::to_vec_named(value).map_err(|cause| store::Error {
        step: "encode",
        peer: key.to_owned(),
        cause: cause.to_string(),
    })?;
    Ok(Write {
        key: key.to_owned(),
        value: bytes.into(),
    })
}
