//! Rules that drop or reset traffic.

use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// What the relay does with the traffic that a rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Relays it.
    Pass,
    /// Resets its open and new connections.
    Reset,
    /// Holds it back until the rules let it pass, as TCP retransmits lost packets.
    Drop,
}

/// The direction of traffic on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client that opened the connection.
    Forward,
    /// To the client that opened the connection.
    Backward,
}

/// A rule; a field that is absent matches everything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name of the mapping.
    #[serde(default)]
    pub mapping: Option<String>,
    /// IP address of the client that opened the connection.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Direction of the traffic; a rule for one direction makes an asymmetric partition.
    #[serde(default)]
    pub direction: Option<Direction>,
    /// What the relay does with matching traffic.
    pub action: Action,
}

/// Rules in order of precedence. The first that matches is applied; traffic that no rule matches
/// passes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table(pub Vec<Rule>);

impl Table {
    /// Returns the action for traffic.
    #[must_use]
    pub fn action(&self, mapping: &str, source: IpAddr, direction: Direction) -> Action {
        let matching = self.0.iter().find(|rule| {
            rule.mapping.as_ref().is_none_or(|name| name == mapping)
                && rule.source.is_none_or(|ip| ip == source)
                && rule.direction.is_none_or(|matched| matched == direction)
        });
        matching.map_or(Action::Pass, |rule| rule.action)
    }
}
