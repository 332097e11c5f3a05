//! Decoding of patches from JSON or TOML.

use super::message::Rejection;
use fulmargw_model::configuration::Patch;
use serde::Deserializer;

/// Encoding of a patch, by its content type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Encoding {
    /// `application/json`.
    Json,
    /// `application/toml`.
    Toml,
}

impl Encoding {
    /// Returns the encoding of a content type; `None` if it is not supported. Parameters of the
    /// content type are ignored.
    #[must_use]
    pub fn of(content_type: &str) -> Option<Self> {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        match media_type {
            "application/json" => Some(Self::Json),
            "application/toml" => Some(Self::Toml),
            _ => None,
        }
    }

    /// Returns the content type of the encoding.
    #[must_use]
    pub const fn content_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Toml => "application/toml",
        }
    }

    /// Decodes a patch.
    ///
    /// # Errors
    ///
    /// Returns the number of the change and the path of the field that is invalid.
    pub fn decode(self, text: &str) -> Result<Patch, Rejection> {
        match self {
            Self::Json => decode(&mut serde_json::Deserializer::from_str(text)),
            Self::Toml => {
                let document = toml::Deserializer::parse(text)
                    .map_err(|error| invalid("", error.to_string().trim().to_owned()))?;
                decode(document)
            }
        }
    }
}

fn decode<'de, D>(deserializer: D) -> Result<Patch, Rejection>
where
    D: Deserializer<'de>,
    D::Error: std::fmt::Display,
{
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let path = error.path().to_string();
        invalid(&path, error.into_inner().to_string().trim().to_owned())
    })
}

fn invalid(path: &str, cause: String) -> Rejection {
    Rejection::Invalid {
        change: change_number(path),
        path: path.to_owned(),
        cause,
    }
}

/// Returns the number, counted from 1, of the change in a path such as `changes[0].put_route`.
fn change_number(path: &str) -> Option<usize> {
    let (index, _) = path.strip_prefix("changes[")?.split_once(']')?;
    index.parse::<usize>().ok().map(|index| index + 1)
}
