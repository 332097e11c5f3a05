//! Settings of `fulmargw pool` that environment variables give in place of the file.
//!
//! A template without optional sections can be filled in by any renderer. What only some
//! deployments have comes from the environment.

use crate::settings::problem::Findings;
use fulmargw_model::name::Name;
use fulmargw_pool::settings::{Evacuation, Settings};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, fmt::Display};

/// Processor time available to the process, in cores; replaces `limits.cpu_share`.
pub const CPU_SHARE: &str = "FULMARGW_CPU_SHARE";
/// JSON object with the region of each availability zone; replaces the section `[zones]`.
pub const ZONES: &str = "FULMARGW_ZONES";
/// Replaces `limits.configuration_apply_ms`.
pub const CONFIGURATION_APPLY_MS: &str = "FULMARGW_CONFIGURATION_APPLY_MS";
/// Replaces `limits.heartbeat_interval_ms`.
pub const HEARTBEAT_INTERVAL_MS: &str = "FULMARGW_HEARTBEAT_INTERVAL_MS";
/// Replaces `evacuation.apply_ms`.
pub const EVACUATION_APPLY_MS: &str = "FULMARGW_EVACUATION_APPLY_MS";
/// Replaces `evacuation.cold_overage`; has no effect without [`EVACUATION_APPLY_MS`].
pub const COLD_OVERAGE: &str = "FULMARGW_COLD_OVERAGE";
/// Replaces `evacuation.cold_slack`; has no effect without [`EVACUATION_APPLY_MS`].
pub const COLD_SLACK: &str = "FULMARGW_COLD_SLACK";

/// Names of all variables.
pub const VARIABLES: [&str; 7] = [
    CPU_SHARE,
    ZONES,
    CONFIGURATION_APPLY_MS,
    HEARTBEAT_INTERVAL_MS,
    EVACUATION_APPLY_MS,
    COLD_OVERAGE,
    COLD_SLACK,
];

/// Applies the variables of the process to its settings. Returns the variables that cannot be used,
/// with the reasons.
pub fn apply(settings: &mut Settings) -> Findings {
    apply_from(|name| std::env::var(name).ok(), settings)
}

/// Applies the variables that `read` returns. An empty value, or `null`, is one that the
/// deployment does not have, and has no effect.
pub fn apply_from(read: impl Fn(&str) -> Option<String>, settings: &mut Settings) -> Findings {
    let mut findings = Findings::default();
    let reader = Reader(read);
    if let Some(share) = reader.value(CPU_SHARE, &mut findings) {
        settings.limits.cpu_share = Some(share);
    }
    if let Some(bound) = reader.value(CONFIGURATION_APPLY_MS, &mut findings) {
        settings.limits.configuration_apply_ms = Some(bound);
    }
    if let Some(interval) = reader.value(HEARTBEAT_INTERVAL_MS, &mut findings) {
        settings.limits.heartbeat_interval_ms = Some(interval);
    }
    if let Some(zones) = reader.value::<BTreeMap<Name, Name>>(ZONES, &mut findings) {
        settings.zones = zones;
    }
    if let Some(apply_ms) = reader.value(EVACUATION_APPLY_MS, &mut findings) {
        let overage = reader.required(COLD_OVERAGE, &mut findings);
        let slack = reader.required(COLD_SLACK, &mut findings);
        if let (Some(cold_overage), Some(cold_slack)) = (overage, slack) {
            settings.evacuation = Some(Evacuation {
                apply_ms,
                cold_overage,
                cold_slack,
            });
        }
    }
    findings
}

/// Reads variables by their names.
#[derive(Debug)]
struct Reader<R>(R);

impl<R: Fn(&str) -> Option<String>> Reader<R> {
    /// Returns the value of a variable, as JSON; `None` if it is not set, empty or `null`.
    fn decode<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, serde_json::Error> {
        match (self.0)(name) {
            Some(text) if !text.trim().is_empty() => serde_json::from_str(&text),
            _ => Ok(None),
        }
    }

    /// Returns the value of a variable; `None` if it is absent, or unusable and thus reported.
    fn value<T: DeserializeOwned>(&self, name: &str, findings: &mut Findings) -> Option<T> {
        self.decode(name).unwrap_or_else(|cause| {
            add_finding(findings, name, cause);
            None
        })
    }

    /// Returns the same for a variable that must have a value.
    fn required<T: DeserializeOwned>(&self, name: &str, findings: &mut Findings) -> Option<T> {
        let cause = match self.decode(name) {
            Ok(Some(value)) => return Some(value),
            Ok(None) => format!("is required beside {EVACUATION_APPLY_MS}"),
            Err(cause) => cause.to_string(),
        };
        add_finding(findings, name, cause);
        None
    }
}

fn add_finding(findings: &mut Findings, name: &str, cause: impl Display) {
    findings.add(&format!("environment variable {name}"), cause);
}
