//! Prepared statements and variables that a session keeps, within its limits and the budget.

use super::{Driver, Output, RETRY_AFTER, channel::SMALL_BYTES, failure::Failure, step};
use crate::{budget::Budget, dialect::Dialect, settings::Callers, store::Platform};
use bytes::Bytes;
use fulmargw_budget::memory::Hold;
use fulmargw_model::{
    execution::{Code, Template, Text},
    name::Name,
};
use std::sync::Arc;

/// Memory of one entry besides its texts, in bytes.
const ENTRY_BYTES: u64 = 128;

/// Size of what a session keeps.
#[derive(Debug, Default)]
pub(super) struct Kept {
    prepared_bytes: u64,
    variable_bytes: u64,
    /// Memory beyond what is counted for every session.
    hold: Option<Hold>,
}

/// Number and size of entries of one kind after a change.
#[derive(Debug, Clone, Copy)]
struct Change {
    count: usize,
    bytes: u64,
}

impl Kept {
    /// Returns the bytes that the session holds beyond what is counted for every session.
    pub(super) fn held_bytes(&self) -> u64 {
        self.hold.as_ref().map_or(0, Hold::bytes)
    }

    fn reserve(&mut self, owner: &Name, bytes: u64, budget: &Budget) -> Result<(), Failure> {
        let is_reserved = match &mut self.hold {
            _ if bytes <= SMALL_BYTES as u64 => {
                self.hold = None;
                true
            }
            Some(hold) => hold.resize(bytes),
            None => {
                self.hold = budget.state.try_reserve(owner, bytes);
                if let Some(hold) = &self.hold {
                    hold.record_work();
                }
                self.hold.is_some()
            }
        };
        is_reserved.then_some(()).ok_or(Failure::later(
            Code::Busy,
            "the host has no memory for session state",
            RETRY_AFTER,
        ))
    }

    fn prepare(
        &mut self,
        change: Change,
        owner: &Name,
        budget: &Budget,
        callers: &Callers,
    ) -> Result<(), Failure> {
        let is_allowed =
            change.count <= callers.prepared_statements && change.bytes <= callers.prepared_bytes;
        if !is_allowed {
            return Err(too_many("the session has too many prepared statements"));
        }
        self.reserve(owner, change.bytes + self.variable_bytes, budget)?;
        self.prepared_bytes = change.bytes;
        Ok(())
    }

    fn set(
        &mut self,
        change: Change,
        owner: &Name,
        budget: &Budget,
        callers: &Callers,
    ) -> Result<(), Failure> {
        let is_allowed =
            change.count <= callers.variables && change.bytes <= callers.variable_bytes;
        if !is_allowed {
            return Err(too_many("the session has too many variables"));
        }
        self.reserve(owner, change.bytes + self.prepared_bytes, budget)?;
        self.variable_bytes = change.bytes;
        Ok(())
    }
}

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Keeps a session variable.
    pub(super) fn set_variable(&mut self, name: &Text, value: &Text) -> Output {
        let variables = &self.session.variables;
        let previous = variables.get(name);
        let change = Change {
            count: variables.len() + usize::from(previous.is_none()),
            bytes: self.kept.variable_bytes + variable_bytes(name, value)
                - previous.map_or(0, |value| variable_bytes(name, value)),
        };
        let callers = &self.core.settings.callers;
        let kept = self
            .kept
            .set(change, &self.owner, &self.core.budget, callers);
        if let Err(failure) = kept {
            return self.refuse(&failure);
        }
        Arc::make_mut(&mut self.session.variables).insert(copy(name), copy(value));
        self.complete()
    }

    /// Keeps a prepared statement; it replaces one of the same name.
    pub(super) fn keep_template(&mut self, name: &Text, template: &Template) -> Output {
        let prepared = &self.session.prepared;
        let previous = prepared.get(name);
        let change = Change {
            count: prepared.len() + usize::from(previous.is_none()),
            bytes: self.kept.prepared_bytes + template_bytes(name, template)
                - previous.map_or(0, |template| template_bytes(name, template)),
        };
        let callers = &self.core.settings.callers;
        let kept = self
            .kept
            .prepare(change, &self.owner, &self.core.budget, callers);
        if let Err(failure) = kept {
            return self.refuse(&failure);
        }
        let template = Template {
            text: copy(&template.text),
            shared_name: copy(&template.shared_name),
            ..*template
        };
        self.session.prepared.insert(copy(name), template);
        self.complete()
    }

    /// Removes a prepared statement.
    pub(super) fn deallocate(&mut self, name: &Text) -> Output {
        let Some(template) = self.session.prepared.remove(name) else {
            return self.refuse(&step::unknown_name());
        };
        self.kept.prepared_bytes -= template_bytes(name, &template);
        let bytes = self.kept.prepared_bytes + self.kept.variable_bytes;
        // Less memory than before is always granted.
        let _ = self.kept.reserve(&self.owner, bytes, &self.core.budget);
        self.complete()
    }
}

fn too_many(cause: &'static str) -> Failure {
    Failure::new(Code::TooMany, cause)
}

fn variable_bytes(name: &Text, value: &Text) -> u64 {
    (name.len() + value.len()) as u64 + ENTRY_BYTES
}

fn template_bytes(name: &Text, template: &Template) -> u64 {
    (name.len() + template.text.len() + template.shared_name.len()) as u64 + ENTRY_BYTES
}

/// Copies a part of a message, so that the session does not keep the whole message.
fn copy(text: &Text) -> Text {
    Bytes::copy_from_slice(text)
}
