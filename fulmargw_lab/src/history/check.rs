//! Checks a history of client operations against the data that is stored at its end.

use super::event::{Event, Operation, Outcome, Write};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

/// The values of each key after a load, in the order in which they were appended.
pub type Data = BTreeMap<String, Vec<String>>;

/// A consistency rule, displayed as the way in which a history broke it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Rule {
    /// a session did not read its own acknowledged write
    ReadYourWrites,
    /// an acknowledged write is lost
    DurableAck,
    /// a value was appended twice
    AtMostOnce,
    /// a write that was rejected as not run took effect
    NotRun,
    /// a read returned a value of another key, or one that was never written
    NoForeignValues,
    /// a current read did not return a write that was acknowledged before the read began
    CurrentRead,
    /// a value that was read is lost, because no majority had stored it
    DurableRead,
    /// only a part of a transaction took effect
    Atomic,
}

/// A broken rule and the value that broke it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// The value that is missing, doubled or under a wrong key.
    pub value: String,
    /// The session and host of a read, or the final data.
    pub location: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} at {}",
            self.rule, self.value, self.location
        )
    }
}

/// Returns all violations in a history, ordered by rule and without duplicates.
#[must_use]
pub fn check(events: &[Event], data: &Data) -> Vec<Violation> {
    let mut checker = Checker::new(events, data);
    for event in events {
        checker.check_event(event);
    }
    checker.check_data();
    checker.violations.into_iter().collect()
}

struct Checker<'a> {
    data: &'a Data,
    /// Values of all writes, whatever their outcome.
    issued: HashSet<&'a str>,
    /// Values of writes that certainly did not run.
    rejected: HashSet<&'a str>,
    /// Acknowledged writes of each key.
    acknowledged: HashMap<&'a str, Vec<Acknowledged<'a>>>,
    violations: BTreeSet<Violation>,
}

struct Acknowledged<'a> {
    value: &'a str,
    session: usize,
    end_us: u64,
}

fn writes(event: &Event) -> &[Write] {
    match &event.operation {
        Operation::Append(writes) => writes,
        Operation::Current(_) | Operation::Aged(_) => &[],
    }
}

impl<'a> Checker<'a> {
    fn new(events: &'a [Event], data: &'a Data) -> Self {
        let mut checker = Self {
            data,
            issued: HashSet::new(),
            rejected: HashSet::new(),
            acknowledged: HashMap::new(),
            violations: BTreeSet::new(),
        };
        for event in events {
            for write in writes(event) {
                checker.record_write(event, write);
            }
        }
        checker
    }

    fn record_write(&mut self, event: &Event, write: &'a Write) {
        self.issued.insert(&write.value);
        match event.outcome {
            Outcome::Acknowledged => {
                let acknowledged = self.acknowledged.entry(&write.key).or_default();
                acknowledged.push(Acknowledged {
                    value: &write.value,
                    session: event.session,
                    end_us: event.end_us,
                });
            }
            Outcome::NotRun => {
                self.rejected.insert(&write.value);
            }
            Outcome::Unknown | Outcome::Values(_) => {}
        }
    }

    fn report(&mut self, rule: Rule, value: &str, location: &str) {
        let (value, location) = (value.to_owned(), location.to_owned());
        self.violations.insert(Violation {
            rule,
            value,
            location,
        });
    }

    fn check_event(&mut self, event: &Event) {
        match (&event.operation, &event.outcome) {
            (Operation::Append(writes), outcome) => self.check_append(writes, outcome),
            (Operation::Current(key), Outcome::Values(values)) => {
                self.check_read(event, key, values, true);
            }
            (Operation::Aged(key), Outcome::Values(values)) => {
                self.check_read(event, key, values, false);
            }
            _ => {}
        }
    }

    fn check_append(&mut self, writes: &[Write], outcome: &Outcome) {
        let data = self.data;
        let found = |write: &&Write| {
            let values = data.get(&write.key);
            values.is_some_and(|values| values.contains(&write.value))
        };
        let present = writes.iter().filter(found).count();
        let missing: Vec<&Write> = writes.iter().filter(|write| !found(write)).collect();
        if present > 0 && !missing.is_empty() {
            self.report(Rule::Atomic, &missing[0].value, "the final data");
        }
        if *outcome == Outcome::Acknowledged {
            for write in missing {
                self.report(Rule::DurableAck, &write.value, "the final data");
            }
        }
    }

    fn check_read(&mut self, event: &Event, key: &str, values: &[String], is_current: bool) {
        let location = format!("session {} on {}", event.session, event.host);
        self.check_values(key, values, &location);
        self.check_durability(key, values, &location);
        let seen: HashSet<&str> = values.iter().map(String::as_str).collect();
        let mut missing = Vec::new();
        for write in self.acknowledged.get(key).into_iter().flatten() {
            if write.end_us >= event.begin_us || seen.contains(write.value) {
                continue;
            }
            if write.session == event.session {
                missing.push((Rule::ReadYourWrites, write.value));
            }
            if is_current {
                missing.push((Rule::CurrentRead, write.value));
            }
        }
        for (rule, value) in missing {
            self.report(rule, value, &location);
        }
    }

    /// Checks that values of a key belong to it, were written, and occur once.
    fn check_values(&mut self, key: &str, values: &[String], location: &str) {
        let mut seen = HashSet::new();
        for value in values {
            if !seen.insert(value) {
                self.report(Rule::AtMostOnce, value, location);
            }
            let is_of_key = value.split(':').next() == Some(key);
            if !is_of_key || !self.issued.contains(value.as_str()) {
                self.report(Rule::NoForeignValues, value, location);
            }
        }
    }

    /// Checks that the final data contains all values that were read.
    fn check_durability(&mut self, key: &str, values: &[String], location: &str) {
        let stored = self.data.get(key);
        for value in values {
            let is_valid =
                self.issued.contains(value.as_str()) && value.split(':').next() == Some(key);
            if is_valid && !stored.is_some_and(|stored| stored.contains(value)) {
                self.report(Rule::DurableRead, value, location);
            }
        }
    }

    fn check_data(&mut self) {
        for (key, values) in self.data {
            self.check_values(key, values, "the final data");
            for value in values {
                if self.rejected.contains(value.as_str()) {
                    self.report(Rule::NotRun, value, "the final data");
                }
            }
        }
    }
}

/// Returns the time in microseconds from `fault_us` to the end of the first acknowledged write that
/// began at or after it. Returns `None` if there is no such write.
#[must_use]
pub fn write_gap(events: &[Event], fault_us: u64) -> Option<u64> {
    let ends = events.iter().filter_map(|event| {
        let after = event.begin_us >= fault_us && event.outcome == Outcome::Acknowledged;
        after.then_some(event.end_us)
    });
    ends.min().map(|end| end - fault_us)
}
