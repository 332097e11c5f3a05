//! Line numbers of keys in a settings file.

use toml::de::{DeTable, DeValue};

/// Returns the line of a dotted key, counted from 1.
///
/// If the key is missing, this is the line of its section; if that is missing too, line 1.
#[must_use]
pub fn line(text: &str, key: &str) -> usize {
    let Ok(document) = DeTable::parse(text) else {
        return 1;
    };
    let mut offset = 0;
    let mut table = Some(document.get_ref());
    for part in key.split('.') {
        let Some((name, value)) = table.and_then(|table| table.get_key_value(part)) else {
            break;
        };
        offset = name.span().start;
        table = match value.get_ref() {
            DeValue::Table(inner) => Some(inner),
            _ => None,
        };
    }
    line_at(text, offset)
}

/// Returns the line, counted from 1, of a byte offset.
#[must_use]
pub fn line_at(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or(text);
    1 + before.matches('\n').count()
}
