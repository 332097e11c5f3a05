//! Reads the platform's host list while members are silent.

use crate::{agent::Agent, peers::Peers};
use fulmargw_platform::store::Store;
use metrics::counter;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// Interval of reads of the host list.
const INTERVAL: Duration = Duration::from_secs(5);

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn watch_hosts(self) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.has_silent_member(Instant::now()) {
                self.read_hosts().await;
            }
        }
    }

    fn has_silent_member(&self, now: Instant) -> bool {
        let suspect = self.shared.settings.suspect();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let members = fleet.record.iter().flat_map(|record| &record.members);
        let mut names = members.map(|member| &member.host.name);
        names.any(|name| name != own && fleet.is_unheard(name, suspect, now))
    }

    /// Reads the list once; a failed read says nothing.
    async fn read_hosts(&self) {
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
