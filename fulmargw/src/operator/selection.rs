//! Filter for a state dump.

use serde_json::Value;

/// Lists in the engine's state whose entries have a key `request`.
const REQUEST_LISTS: [&str; 2] = ["journal", "transactions"];
/// Lists in the engine's state whose entries have a key `service`.
const SERVICE_LISTS: [&str; 4] = ["journal", "transactions", "lanes", "promotions"];

/// Conditions on the entries of a state dump. Without any, the whole dump is selected.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Selection {
    /// Identifier of the request whose decisions and transactions are selected.
    pub request: Option<String>,
    /// Name of the service whose entries are selected.
    pub service: Option<String>,
}

/// Errors of a selection that matches nothing.
#[derive(Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Missing {
    /// no recent decision on request {0:?} on this host
    Request(String),
    /// no service {0:?} on this host
    Service(String),
}

impl std::error::Error for Missing {}

impl Selection {
    /// Returns the entries of a state dump that meet all conditions.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry meets them.
    pub fn apply(&self, mut dump: Value) -> Result<Value, Missing> {
        if self.request.is_none() && self.service.is_none() {
            return Ok(dump);
        }
        let mut engine = dump["engine"].take();
        if let Some(service) = &self.service {
            select_service(&mut engine, service)?;
        }
        if let Some(request) = &self.request {
            return select_request(&engine, request);
        }
        Ok(engine)
    }
}

fn select_service(engine: &mut Value, service: &str) -> Result<(), Missing> {
    retain(engine, "services", "name", service);
    if is_empty(&engine["services"]) {
        return Err(Missing::Service(service.to_owned()));
    }
    for list in SERVICE_LISTS {
        retain(engine, list, "service", service);
    }
    Ok(())
}

fn select_request(engine: &Value, request: &str) -> Result<Value, Missing> {
    let mut selected = serde_json::json!({});
    for list in REQUEST_LISTS {
        selected[list] = engine[list].clone();
        retain(&mut selected, list, "request", request);
    }
    if REQUEST_LISTS.iter().all(|list| is_empty(&selected[list])) {
        return Err(Missing::Request(request.to_owned()));
    }
    Ok(selected)
}

/// Removes the entries of a list whose `key` does not have the given value.
fn retain(object: &mut Value, list: &str, key: &str, value: &str) {
    if let Some(entries) = object[list].as_array_mut() {
        entries.retain(|entry| entry[key] == value);
    }
}

fn is_empty(list: &Value) -> bool {
    list.as_array().is_none_or(Vec::is_empty)
}
