//! Selection of a part of a state dump.

use serde_json::Value;

/// Lists of the engine's state whose entries name a request.
const OF_REQUEST: [&str; 2] = ["journal", "transactions"];
/// Lists of the engine's state whose entries name a service.
const OF_SERVICE: [&str; 4] = ["journal", "transactions", "lanes", "promotions"];

/// Part of a state dump that an operator asks for; without any condition, the whole.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Selection {
    /// Identifier of a request.
    pub request: Option<String>,
    /// Name of a service.
    pub service: Option<String>,
}

/// Nothing in the state dump meets the conditions.
#[derive(Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Missing {
    /// no recent decision on request {0:?} on this host
    Request(String),
    /// no service {0:?} on this host
    Service(String),
}

impl std::error::Error for Missing {}

impl Selection {
    /// Leaves out of a state dump what does not meet the conditions.
    ///
    /// # Errors
    ///
    /// Nothing meets them.
    pub fn apply(&self, mut whole: Value) -> Result<Value, Missing> {
        if self.request.is_none() && self.service.is_none() {
            return Ok(whole);
        }
        let mut engine = whole["engine"].take();
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
    for list in OF_SERVICE {
        retain(engine, list, "service", service);
    }
    Ok(())
}

fn select_request(engine: &Value, request: &str) -> Result<Value, Missing> {
    let mut part = serde_json::json!({});
    for list in OF_REQUEST {
        part[list] = engine[list].clone();
        retain(&mut part, list, "request", request);
    }
    if OF_REQUEST.iter().all(|list| is_empty(&part[list])) {
        return Err(Missing::Request(request.to_owned()));
    }
    Ok(part)
}

fn retain(object: &mut Value, list: &str, key: &str, wanted: &str) {
    if let Some(entries) = object[list].as_array_mut() {
        entries.retain(|entry| entry[key] == wanted);
    }
}

fn is_empty(list: &Value) -> bool {
    list.as_array().is_none_or(Vec::is_empty)
}
