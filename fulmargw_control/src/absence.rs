//! Reads the platform's host list while a member is unresponsive.

use crate::{agent::Agent, peers::Peers};
use fulmargw_platform::store::Store;
use metrics::counter;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// Interval at which the host list is read.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn poll_host_list(self) {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.has_unresponsive_member(Instant::now()) {
                self.read_host_list().await;
            }
        }
    }

    fn has_unresponsive_member(&self, now: Instant) -> bool {
        let timeout = self.shared.settings.suspect_timeout();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let members = fleet.record.iter().flat_map(|record| &record.members);
        let mut names = members.map(|member| &member.host.name);
        names.any(|name| name != own && fleet.is_unresponsive(name, timeout, now))
    }

    /// Reads the host list once. A failed read is only counted, because it doesn't show that a
    /// host is absent.
    async fn read_host_list(&self) {
        let sent = Instant::now();
        let limit = self.shared.settings.store_timeout();
        let Ok(Ok(list)) = timeout(limit, self.shared.store.hosts()).await else {
            counter!("fulmargw_host_list_errors_total").increment(1);
            return;
        };
        let hosts: BTreeSet<_> = list.live.into_iter().chain(list.leaving).collect();
        self.shared.fleet.lock().absence.record_read(&hosts, sent);
    }
}
