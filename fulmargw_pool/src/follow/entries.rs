//! Entries of the registry, with those that have expired or may have been lost for a moment.

use crate::backend::{Registry, Server};
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time for which a server is kept after its entry expired. Entries that expired while the store
/// was unavailable, or that it lost in a restoration, are written again within about two seconds of
/// its return.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which a server that has left is remembered. It is longer than the age of the copies from
/// which the store is restored.
const DEPARTED_RETENTION: Duration = Duration::from_mins(10);

/// Servers by identifier, each with a time.
type Dated = BTreeMap<Name, (Server, Instant)>;

/// Registered servers, those whose entries have recently expired, and those that have left.
#[derive(Debug, Default)]
pub struct Entries {
    registered: Registry,
    /// Servers whose entries expired, and since when.
    expired: Dated,
    /// Last entries of servers that drained and left, and since when.
    departed: Dated,
}

impl Entries {
    /// Returns the registered servers.
    #[must_use]
    pub fn registered(&self) -> &Registry {
        &self.registered
    }

    /// Reports whether the entry of a server has recently expired.
    #[must_use]
    pub fn has_expired(&self) -> bool {
        !self.expired.is_empty()
    }

    /// Replaces the registered servers. Returns whether they have changed.
    pub fn update(&mut self, registered: Registry, now: Instant) -> bool {
        for server in removed(&self.registered, &registered) {
            let removed = if server.is_draining {
                &mut self.departed
            } else {
                &mut self.expired
            };
            removed.insert(server.id.clone(), (server.clone(), now));
        }
        self.replace(registered, now)
    }

    fn replace(&mut self, registered: Registry, now: Instant) -> bool {
        retain_recent(&mut self.expired, &registered, EXPIRED_ENTRY_GRACE, now);
        retain_recent(&mut self.departed, &registered, DEPARTED_RETENTION, now);
        let has_changed = self.registered != registered;
        self.registered = registered;
        has_changed
    }

    /// Replaces the registered servers after the store was restored from a copy. Returns whether
    /// they have changed.
    ///
    /// The servers write again what the store has lost. Until then newer entries are kept, and
    /// servers that have left since the copy was made stay away.
    pub fn update_restored(&mut self, registered: Registry, now: Instant) -> bool {
        let listed = registered.into_iter();
        let newest = listed.filter_map(|(id, server)| Some((id, self.newest(server)?)));
        let newest = newest.collect();
        for server in removed(&self.registered, &newest) {
            self.expired
                .insert(server.id.clone(), (server.clone(), now));
        }
        self.replace(newest, now)
    }

    /// Returns the newer one of a listed entry and the known one of the same server; `None` if the
    /// server has left since it wrote the listed one.
    fn newest(&self, listed: Server) -> Option<Server> {
        let id = &listed.id;
        if let Some((last, _)) = self.departed.get(id)
            && !last.is_older_than(&listed)
        {
            return None;
        }
        let expired = || self.expired.get(id).map(|(server, _)| server);
        let known = self.registered.get(id).or_else(expired);
        match known {
            Some(known) if listed.is_older_than(known) => Some(known.clone()),
            _ => Some(listed),
        }
    }

    /// Restarts the grace period of expired entries after the store was unavailable, so that they
    /// can be written again.
    pub fn restart_grace(&mut self, now: Instant) {
        for (_, since) in self.expired.values_mut() {
            *since = now;
        }
    }

    /// Returns the registered servers and those whose entries have recently expired.
    #[must_use]
    pub fn all(&self) -> Registry {
        let expired = self.expired.iter();
        let mut all: Registry = expired
            .map(|(id, (server, _))| (id.clone(), server.clone()))
            .collect();
        all.extend(self.registered.clone());
        all
    }
}

/// Returns the servers of `before` that are not in `after`.
fn removed<'a>(before: &'a Registry, after: &Registry) -> impl Iterator<Item = &'a Server> {
    let servers = before.values();
    servers.filter(|server| !after.contains_key(&server.id))
}

/// Keeps the servers that are not registered and were added within the last `period`.
fn retain_recent(servers: &mut Dated, registered: &Registry, period: Duration, now: Instant) {
    servers.retain(|id, (_, since)| {
        !registered.contains_key(id) && now.saturating_duration_since(*since) < period
    });
}
