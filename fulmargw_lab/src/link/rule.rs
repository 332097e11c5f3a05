//! Rules that cut traffic.

use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// What happens to the traffic that a rule matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// It passes.
    Pass,
    /// Its connections are reset, and new ones too.
    Reset,
    /// It waits silently, as TCP would retransmit it, until a rule lets it pass.
    Drop,
}

/// The direction of traffic on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the side that connected.
    Forward,
    /// To the side that connected.
    Backward,
}

/// A rule; what is absent matches everything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name of the mapping.
    #[serde(default)]
    pub mapping: Option<String>,
    /// IP address that connected.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Direction; one direction alone makes an asymmetric cut.
    #[serde(default)]
    pub direction: Option<Direction>,
    /// What happens.
    pub action: Action,
}

/// Rules in order; the first that matches decides, and without one traffic passes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table(pub Vec<Rule>);

impl Table {
    /// Decides about traffic.
    #[must_use]
    pub fn action(&self, mapping: &str, source: IpAddr, direction: Direction) -> Action {
        let matching = self.0.iter().find(|rule| {
            rule.mapping.as_ref().is_none_or(|name| name == mapping)
                && rule.source.is_none_or(|ip| ip == source)
                && rule.direction.is_none_or(|one| one == direction)
        });
        matching.map_or(Action::Pass, |rule| rule.action)
    }
}
