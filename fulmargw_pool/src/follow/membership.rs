//! Registers this host in the store, and removes the member rows of expired hosts.

use super::{Dependency, RETRY_DELAY, apply_membership, by_fleet_size};
use crate::{
    core::Core,
    dialect::Dialect,
    failover,
    member::{self, Record},
    store::{Error, Kind, Platform},
};
use bytes::Bytes;
use fulmargw_model::name::Name;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Interval between renewals of this host's member row.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// The same in a large fleet. It is well below the time without renewal after which a host loses
/// its share.
const LARGE_FLEET_RENEW_INTERVAL: Duration = Duration::from_secs(7);

/// The same while a peer does not report: its share is divided as soon as its member row is
/// removed.
const UNRESPONSIVE_PEER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Registers this host, renews its member row and removes the rows of expired hosts until the
/// process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("membership");
    loop {
        match renew(&core).await {
            Ok(()) => {
                dependency.record_success();
                let has_unresponsive_peer =
                    core.members.lock().has_unresponsive_peer(Instant::now());
                let interval = if has_unresponsive_peer {
                    UNRESPONSIVE_PEER_INTERVAL
                } else {
                    by_fleet_size(&core, RENEW_INTERVAL, LARGE_FLEET_RENEW_INTERVAL)
                };
                sleep(interval).await;
            }
            Err(error) => {
                dependency.record_failure(&error);
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

async fn renew<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>) -> Result<(), Error> {
    let host = &core.settings.host;
    let requested = Instant::now();
    let key = format!("{}{}", member::KEY_PREFIX, host.name);
    let record = Record {
        endpoint: host.endpoint(),
        incarnation: core.incarnation,
    };
    let value: Bytes = encode(&record)?.into();
    let is_first = core.members.lock().renewed_at.is_none();
    let has_share = is_first && reclaim_row(core, &key, value.clone()).await?;
    if !has_share {
        core.platform.put(&key, value, None).await?;
    }
    let rows = core.platform.rows().await?;
    let mut records = BTreeMap::new();
    for row in &rows {
        if row.key.starts_with(failover::KEY_PREFIX) {
            let now = Instant::now();
            core.members.lock().claim_age(&row.key, row.revision, now);
            continue;
        }
        let Some(name) = row.key.strip_prefix(member::KEY_PREFIX) else {
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
        let key = format!("{}{name}", member::KEY_PREFIX);
        let removed = core.platform.remove(&key, revision).await?;
        log::info!(event = "host_removed", host = name.as_str(), removed; "host neither renewed its member row nor reported");
    }
    Ok(())
}

/// Overwrites the member row that an earlier run of this host's process left, and returns whether
/// there was one. The peers have counted this host as long as the row existed, so it may use its
/// share at once.
async fn reclaim_row<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
    value: Bytes,
) -> Result<bool, Error> {
    let rows = core.platform.rows().await?;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else {
        return Ok(false);
    };
    let written = core.platform.put(key, value, Some(row.revision)).await?;
    Ok(written.is_some())
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(record).map_err(|cause| Error {
        step: "encode the member row",
        peer: String::new(),
        kind: Kind::Undecodable(cause.to_string()),
    })
}
