//! Reads the fleet record and the version of the configuration from the store.

use crate::{
    agent::Agent,
    peers::Peers,
    record::{self, Head, Stored},
};
use fulmargw_model::{configuration::Configuration, fleet};
use fulmargw_platform::{
    message::{Commit, Row, Transaction},
    store::{Error, Store},
};
use metrics::{counter, gauge};
use std::sync::Arc;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

impl<S: Store, P: Peers> Agent<S, P> {
    pub(crate) async fn poll_store(self) {
        let mut ticks = interval(self.shared.settings.poll_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.shared.poll_now.notified() => {}
            }
            let polled = self.poll_once().await;
            let outcome = if polled.is_ok() { "done" } else { "failed" };
            counter!("fulmargw_store_polls_total", "outcome" => outcome).increment(1);
            gauge!("fulmargw_store_available").set(f64::from(u8::from(polled.is_ok())));
            if polled.is_err() {
                self.recover_from_peers().await;
            }
        }
    }

    async fn poll_once(&self) -> Result<(), Error> {
        let sent = Instant::now();
        let rows = self.read(&[record::FLEET, record::HEAD]).await?;
        let fleet: Stored<fleet::Fleet> = Stored::decode(record::FLEET, rows[0].as_ref())?;
        let head: Stored<Head> = Stored::decode(record::HEAD, rows[1].as_ref())?;
        self.record_store_read(fleet.value, sent);
        self.apply_head(head.value, sent).await
    }

    /// Applies a fleet record that was read from the store with a request sent at `sent`.
    pub(crate) fn record_store_read(&self, record: fleet::Fleet, sent: Instant) {
        let record = Arc::new(record);
        let now = Instant::now();
        self.shared
            .fleet
            .lock()
            .record_store_read(&record, sent, now);
        self.update_peers(&record);
    }

    /// Applies a fleet record that is known to be stored.
    pub(crate) fn apply_record(&self, record: fleet::Fleet) {
        let record = Arc::new(record);
        let newer = self
            .shared
            .fleet
            .lock()
            .apply_record(&record, Instant::now());
        if newer {
            self.update_peers(&record);
        }
    }

    /// Closes connections to hosts that are no longer members, and counts the members.
    fn update_peers(&self, record: &fleet::Fleet) {
        let members = record.members.iter().map(|member| member.host.address);
        self.shared.peers.retain(&members.collect::<Vec<_>>());
        gauge!("fulmargw_fleet_members").set(f64::from(
            u32::try_from(record.members.len()).unwrap_or(u32::MAX),
        ));
    }

    /// Reads the document and applies it if the head names a newer version.
    async fn apply_head(&self, head: Head, sent: Instant) -> Result<(), Error> {
        let newer = {
            let configuration = self.shared.configuration.lock();
            configuration.document.is_none() || head.version > configuration.version()
        };
        if newer {
            let rows = self.read(&[record::DOCUMENT]).await?;
            let stored: Stored<Configuration> = Stored::decode(record::DOCUMENT, rows[0].as_ref())?;
            self.apply_configuration(stored.value);
        }
        let mut configuration = self.shared.configuration.lock();
        configuration.store_read_at = configuration.store_read_at.max(Some(sent));
        Ok(())
    }

    /// Reads rows with the timeout of the settings.
    pub(crate) async fn read(&self, keys: &[&str]) -> Result<Vec<Option<Row>>, Error> {
        let limit = self.shared.settings.store_timeout();
        timeout(limit, self.shared.store.read(keys))
            .await
            .unwrap_or_else(|_| Err(timeout_error("read")))
    }

    /// Commits with twice the timeout of the settings. After an error the outcome is unknown.
    pub(crate) async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let limit = self.shared.settings.store_timeout() * 2;
        timeout(limit, self.shared.store.commit(transaction))
            .await
            .unwrap_or_else(|_| Err(timeout_error("commit")))
    }
}

fn timeout_error(step: &'static str) -> Error {
    Error {
        step,
        peer: "store".to_owned(),
        cause: "timeout".to_owned(),
    }
}
