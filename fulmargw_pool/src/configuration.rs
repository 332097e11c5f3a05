//! The configuration in force, and how old a version is when it is put in force.

use crate::{
    catalog::{Catalog, Keyring},
    clock::{self, millis},
    core::{self, Core},
    dialect::Dialect,
    scheduling::Plan,
    store::{Platform, Seen},
};
use fulmargw_decision::store_clock::Call;
use fulmargw_model::name::Name;
use serde::Serialize;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// The configuration in force, with an index of its API keys.
#[derive(Debug)]
pub struct Configuration {
    /// The configuration.
    pub catalog: Catalog,
    /// Client accounts by API key.
    pub keys: Keyring,
    /// How its statements are scheduled.
    pub plan: Plan,
    /// Where this host got it.
    pub source: Source,
    /// Time since which it is in force on this host.
    pub in_force_since: Instant,
}

/// Where a host got a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// From the store.
    Store {
        /// Greatest time since its acknowledgement, by the store's clock; `None` if there was no
        /// response before this one.
        age: Option<Duration>,
    },
    /// From this peer.
    Peer(Name),
}

impl Source {
    /// Returns the name for logs: that of the peer, or `store`.
    fn label(&self) -> &str {
        match self {
            Self::Store { .. } => "store",
            Self::Peer(host) => host.as_str(),
        }
    }

    fn age(&self) -> Option<Duration> {
        match self {
            Self::Store { age } => *age,
            Self::Peer(_) => None,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Store { .. } => "store",
            Self::Peer(_) => "peer",
        }
    }
}

impl<D: Dialect, P: Platform> Core<D, P> {
    /// Records a response of the store about the operator's table. Returns where its rows came from.
    pub fn record_store_response(&self, call: Call, seen: Seen) -> Source {
        let age = clock::age(&mut self.store_clock.lock(), call, seen);
        Source::Store { age }
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was
    /// applied.
    pub fn apply_configuration(&self, catalog: Catalog, source: Source) -> bool {
        let version = catalog.version;
        let previous = self
            .configuration()
            .map_or(0, |configuration| configuration.catalog.version);
        if version < previous {
            log::info!(event = "configuration_kept", version = previous, offered = version, source = source.label(); "an older configuration was offered");
        }
        if version <= previous {
            return false;
        }
        {
            let mut admission = self.admission.lock();
            admission.configure(&catalog, Instant::now());
        }
        let keys = Keyring::of(&catalog);
        let plan = Plan::of(&self.settings.scheduling, &catalog);
        if plan != self.plan() {
            log::info!(event = "scheduling", version, early_refusal = plan.early_refusal, reserve = plan.reserves, account_connections = plan.account_connections; "scheduling of the configuration");
        }
        let is_applied = self.configuration.send_if_modified(|current| {
            let is_newer = current
                .as_ref()
                .is_none_or(|current| current.catalog.version < version);
            if is_newer {
                *current = Some(Arc::new(Configuration {
                    catalog,
                    keys,
                    plan,
                    source,
                    // A statement that arrives later sees this version.
                    in_force_since: Instant::now(),
                }));
            }
            is_newer
        });
        if is_applied && let Some(configuration) = self.configuration() {
            self.log_applied(&configuration, previous);
        }
        is_applied
    }

    fn log_applied(&self, configuration: &Configuration, previous: u64) {
        let version = configuration.catalog.version;
        let source = &configuration.source;
        let silence = self.store_clock.lock().silence(clock::since_boot());
        let bound = self.limits().configuration_bound();
        let is_late = bound.is_some_and(|bound| source.age().is_some_and(|age| age > bound));
        metrics::gauge!("fulmargw_pool_configuration_version").set(core::to_f64(version));
        metrics::counter!("fulmargw_pool_configurations_total", "source" => source.kind())
            .increment(1);
        if let Some(age) = source.age() {
            metrics::histogram!("fulmargw_pool_configuration_age_seconds")
                .record(age.as_secs_f64());
        }
        metrics::counter!("fulmargw_pool_configuration_late_total").increment(u64::from(is_late));
        log::info!(
            event = "configuration", version, previous, source = source.label(),
            age_ms = source.age().map(millis), store_silence_ms = silence.map(millis),
            late = is_late;
            "configuration in force"
        );
    }
}
