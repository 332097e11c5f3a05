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

/// Kind of entries that a session keeps.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Prepared,
    Variable,
}

impl Kind {
    /// Returns the largest number and size of these entries.
    fn limit(self, callers: &Callers) -> Size {
        match self {
            Self::Prepared => Size {
                count: callers.prepared_statements,
                bytes: callers.prepared_bytes,
            },
            Self::Variable => Size {
                count: callers.variables,
                bytes: callers.variable_bytes,
            },
        }
    }

    /// Returns why more entries are refused.
    fn excess(self) -> &'static str {
        match self {
            Self::Prepared => "the session has too many prepared statements",
            Self::Variable => "the session has too many variables",
        }
    }
}

/// Number and size of entries of one kind after a change, or their limits.
#[derive(Debug, Clone, Copy)]
struct Size {
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

    /// Grants a change of what the session keeps, if it stays within its limits and the budget.
    fn change(
        &mut self,
        kind: Kind,
        change: Size,
        owner: &Name,
        budget: &Budget,
        callers: &Callers,
    ) -> Result<(), Failure> {
        let limit = kind.limit(callers);
        if change.count > limit.count || change.bytes > limit.bytes {
            return Err(Failure::new(Code::TooMany, kind.excess()));
        }
        let other = match kind {
            Kind::Prepared => self.variable_bytes,
            Kind::Variable => self.prepared_bytes,
        };
        self.reserve(owner, change.bytes + other, budget)?;
        match kind {
            Kind::Prepared => self.prepared_bytes = change.bytes,
            Kind::Variable => self.variable_bytes = change.bytes,
        }
        Ok(())
    }
}

impl<D: Dialect, P: Platform> Driver<D, P> {
    /// Keeps a session variable.
    pub(super) fn set_variable(&mut self, name: &Text, value: &Text) -> Output {
        let variables = &self.session.variables;
        let previous = variables.get(name);
        let change = Size {
            count: variables.len() + usize::from(previous.is_none()),
            bytes: self.kept.variable_bytes + variable_bytes(name, value)
                - previous.map_or(0, |value| variable_bytes(name, value)),
        };
        let callers = &self.core.settings.callers;
        let kept = self.kept.change(
            Kind::Variable,
            change,
            &self.owner,
            &self.core.budget,
            callers,
        );
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
        let change = Size {
            count: prepared.len() + usize::from(previous.is_none()),
            bytes: self.kept.prepared_bytes + template_bytes(name, template)
                - previous.map_or(0, |template| template_bytes(name, template)),
        };
        let callers = &self.core.settings.callers;
        let kept = self.kept.change(
            Kind::Prepared,
            change,
            &self.owner,
            &self.core.budget,
            callers,
        );
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
