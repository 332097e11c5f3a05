//! The check of a history against the data that was there at its end.

use super::event::{Event, Operation, Outcome, Write};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

/// Values of each key after the load, in the order in which they were appended.
pub type Data = BTreeMap<String, Vec<String>>;

/// A rule that a history broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Rule {
    /// a session did not read its own acknowledged write
    ReadYourWrites,
    /// an acknowledged write is lost
    DurableAck,
    /// a value is there twice
    AtMostOnce,
    /// a write that was refused as not run is there
    NotRun,
    /// an answer holds a value of another key or of nobody
    NoForeignValues,
    /// a current read misses a write that was acknowledged before it began
    CurrentRead,
    /// a value that was read is lost, because it was never on a majority
    DurableRead,
    /// only a part of a transaction is there
    Atomic,
}

/// A broken rule with what broke it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Rule.
    pub rule: Rule,
    /// Value that is missing, doubled or misplaced.
    pub value: String,
    /// Where it was seen.
    pub place: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} at {}", self.rule, self.value, self.place)
    }
}

/// Returns everything that is wrong with a history, ordered by rule.
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
    issued: HashSet<&'a str>,
    refused: HashSet<&'a str>,
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
            refused: HashSet::new(),
            acknowledged: HashMap::new(),
            violations: BTreeSet::new(),
        };
        for event in events {
            for write in writes(event) {
                checker.note(event, write);
            }
        }
        checker
    }

    fn note(&mut self, event: &Event, write: &'a Write) {
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
                self.refused.insert(&write.value);
            }
            Outcome::Unknown | Outcome::Values(_) => {}
        }
    }

    fn report(&mut self, rule: Rule, value: &str, place: &str) {
        let (value, place) = (value.to_owned(), place.to_owned());
        self.violations.insert(Violation { rule, value, place });
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

    fn check_read(&mut self, event: &Event, key: &str, values: &[String], current: bool) {
        let place = format!("session {} on {}", event.session, event.host);
        self.check_values(key, values, &place);
        self.check_kept(key, values, &place);
        let seen: HashSet<&str> = values.iter().map(String::as_str).collect();
        let mut missing = Vec::new();
        for write in self.acknowledged.get(key).into_iter().flatten() {
            if write.end_us >= event.begin_us || seen.contains(write.value) {
                continue;
            }
            if write.session == event.session {
                missing.push((Rule::ReadYourWrites, write.value));
            }
            if current {
                missing.push((Rule::CurrentRead, write.value));
            }
        }
        for (rule, value) in missing {
            self.report(rule, value, &place);
        }
    }

    /// Checks values that were read of a key.
    fn check_values(&mut self, key: &str, values: &[String], place: &str) {
        let mut seen = HashSet::new();
        for value in values {
            if !seen.insert(value) {
                self.report(Rule::AtMostOnce, value, place);
            }
            let belongs = value.split(':').next() == Some(key);
            if !belongs || !self.issued.contains(value.as_str()) {
                self.report(Rule::NoForeignValues, value, place);
            }
        }
    }

    /// Checks that values that were read are still there.
    fn check_kept(&mut self, key: &str, values: &[String], place: &str) {
        let kept = self.data.get(key);
        for value in values {
            let own = self.issued.contains(value.as_str()) && value.split(':').next() == Some(key);
            if own && !kept.is_some_and(|kept| kept.contains(value)) {
                self.report(Rule::DurableRead, value, place);
            }
        }
    }

    fn check_data(&mut self) {
        for (key, values) in self.data {
            self.check_values(key, values, "the final data");
            for value in values {
                if self.refused.contains(value.as_str()) {
                    self.report(Rule::NotRun, value, "the final data");
                }
            }
        }
    }
}

/// Returns the time from `fault_us` to the end of the first acknowledged write that began
/// after it, in microseconds.
#[must_use]
pub fn write_gap(events: &[Event], fault_us: u64) -> Option<u64> {
    let ends = events.iter().filter_map(|event| {
        let after = event.begin_us >= fault_us && event.outcome == Outcome::Acknowledged;
        after.then_some(event.end_us)
    });
    ends.min().map(|end| end - fault_us)
}
