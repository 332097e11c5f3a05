//! Levels of a queue.

use serde::Serialize;
use std::fmt::Debug;

/// A level of a queue. Lesser values go first.
pub trait Level: Debug + Copy + Ord {}

/// The scheduling class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Requests that run first, such as writes and current reads.
    Urgent,
    /// Browsing requests, which may wait behind urgent ones, such as reads of aged data.
    Browse,
}

/// The priority of a route; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u32);

impl Level for Urgency {}

impl Level for Priority {}
