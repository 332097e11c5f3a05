//! Registers this host in the store, and removes the member rows of expired hosts.

use super::{Dependency, apply_membership, restored_since};
use crate::{
    contact,
    core::Core,
    dialect::Dialect,
    failover,
    member::{
        self, Members,
        rows::{self, Record},
    },
    store::{Condition, Error, Kind, Platform, Revision},
};
use bytes::Bytes;
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Minimum interval between renewals of this host's member row.
const MIN_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Share of each host in the interval between renewals, so that the hosts together make the same
/// number of calls a second in a fleet of any size.
const RENEW_INTERVAL_PER_HOST: Duration = Duration::from_millis(250);
/// Minimum interval between renewals while a peer is not seen: its share is divided as
/// soon as its member row is removed.
const MIN_UNRESPONSIVE_PEER_INTERVAL: Duration = Duration::from_millis(1_500);
/// Share of each host in that interval.
const UNRESPONSIVE_PEER_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
/// Interval between renewals while this host is isolated: only its member row shows that it is alive
/// then.
const ISOLATED_RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// Share of each host in the longest delay before it writes a lost row again, so that all hosts
/// together stay below the 300 transactions a second that one part of a table takes.
const REGISTRATION_DELAY_PER_HOST: Duration = Duration::from_millis(4);

/// Registers this host, renews its member row and removes the rows of expired hosts until the
/// process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("membership");
    loop {
        match renew(&core).await {
            Ok(written) => {
                dependency.record_response();
                tokio::select! {
                    () = wait_for_renewal(&core) => {}
                    () = restored_since(&core, written) => sleep(registration_delay(&core)).await,
                }
            }
            Err(error) => {
                dependency.record_failure(&error);
                sleep(dependency.retry_delay()).await;
            }
        }
    }
}

/// Returns the delay before this host writes its member row again after a restoration of the store.
fn registration_delay<D: Dialect, P: Platform>(core: &Core<D, P>) -> Duration {
    let hosts = core.members.lock().count();
    let maximum = REGISTRATION_DELAY_PER_HOST.saturating_mul(hosts);
    maximum.mul_f64(rand::random())
}

/// Waits until this host's member row has to be renewed.
async fn wait_for_renewal<D: Dialect, P: Platform>(core: &Core<D, P>) {
    let renewed_at = Instant::now();
    loop {
        let now = Instant::now();
        let interval = renew_interval(&core.members.lock(), now);
        let left = interval.saturating_sub(now.saturating_duration_since(renewed_at));
        if left.is_zero() {
            return;
        }
        // The interval gets shorter when this host becomes isolated.
        sleep(left.min(ISOLATED_RENEW_INTERVAL)).await;
    }
}

/// Returns the interval between renewals of this host's member row.
#[must_use]
pub fn renew_interval(members: &Members, now: Instant) -> Duration {
    let hosts = members.count();
    let scaled =
        |minimum: Duration, per_host: Duration| minimum.max(per_host.saturating_mul(hosts));
    if members.is_isolated(now) {
        ISOLATED_RENEW_INTERVAL
    } else if members.has_unresponsive_peer(now) {
        scaled(
            MIN_UNRESPONSIVE_PEER_INTERVAL,
            UNRESPONSIVE_PEER_INTERVAL_PER_HOST,
        )
    } else {
        scaled(MIN_RENEW_INTERVAL, RENEW_INTERVAL_PER_HOST)
    }
}

/// Writes this host's member row, and applies the rows of all hosts. Returns the revision at which
/// the row was written.
async fn renew<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>) -> Result<Revision, Error> {
    let host = &core.settings.host;
    let requested = Instant::now();
    let key = format!("{}{}", rows::KEY_PREFIX, host.name);
    let record = Record {
        endpoint: core.settings.endpoint(),
        incarnation: core.incarnation,
    };
    let value: Bytes = encode(&record)?.into();
    let is_first = core.members.lock().renewed_at.is_none();
    let reclaimed = if is_first {
        reclaim_row(core, &key, value.clone()).await?
    } else {
        None
    };
    let has_share = reclaimed.is_some();
    let written = match reclaimed {
        Some(written) => written,
        None => write_row(core, &key, value).await?,
    };
    let rows = core.platform.rows().await?;
    contact::apply_rows(core, &rows);
    let mut records = BTreeMap::new();
    for row in &rows {
        if row.key.starts_with(failover::KEY_PREFIX) {
            let now = Instant::now();
            core.members.lock().claim_age(row, now);
            continue;
        }
        let Some(name) = row.key.strip_prefix(rows::KEY_PREFIX) else {
            continue;
        };
        match rmp_serde::from_slice::<Record>(&row.value) {
            Ok(record) => {
                records.insert(Name::new(name), (record, row.revision));
            }
            Err(cause) => {
                log::warn!(event = "row_undecodable", key = row.key.as_str(), cause:% = cause; "ignoring a row of the store");
            }
        }
    }
    let now = Instant::now();
    let (changed, expired) = {
        let mut members = core.members.lock();
        members.renewed_at = Some(requested);
        let joined_at = if has_share {
            requested
                .checked_sub(member::JOIN_DELAY)
                .unwrap_or(requested)
        } else {
            requested
        };
        members.joined_at.get_or_insert(joined_at);
        let changed = members.apply_rows(&records, now);
        (changed, members.expired_rows(now))
    };
    if changed {
        apply_membership(core);
    }
    core.hosts_known.send_replace(true);
    for (name, revision) in expired {
        let key = format!("{}{name}", rows::KEY_PREFIX);
        let removed = core.platform.remove(&key, revision).await?;
        log::info!(event = "host_removed", host = name.as_str(), removed; "host neither renewed its member row nor reported");
        let contact = core.members.lock().contact_row(&name);
        if let Some(revision) = contact.filter(|_| removed) {
            let key = format!("{}{name}", contact::KEY_PREFIX);
            core.platform.remove(&key, revision).await?;
        }
    }
    Ok(written)
}

async fn write_row<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
    value: Bytes,
) -> Result<Revision, Error> {
    let written = core.platform.put(key, value, None).await?;
    written.ok_or_else(|| Error {
        step: "write the member row",
        peer: String::new(),
        kind: Kind::Conflict,
    })
}

/// Overwrites the member row that an earlier run of this host's process left, and returns its new
/// revision if there was one. The peers have counted this host as long as the row existed, so it may
/// use its share at once.
async fn reclaim_row<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
    value: Bytes,
) -> Result<Option<Revision>, Error> {
    let rows = core.platform.rows().await?;
    // The first read after the start: commits wait for the claims.
    failover::verify_start(core, &rows);
    let Some(row) = rows.into_iter().find(|row| row.key == key) else {
        return Ok(None);
    };
    let expected = Condition::Unchanged(row.revision);
    core.platform.put(key, value, Some(expected)).await
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(record).map_err(|cause| Error {
        step: "encode the member row",
        peer: String::new(),
        kind: Kind::Unencodable(cause.to_string()),
    })
}
