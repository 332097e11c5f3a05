//! Registers this host at the store, and takes vanished hosts off the list.

use super::{Dependency, RETRY_PAUSE, apply_membership, paced};
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

/// Time between two renewals of the own row.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// The same with many hosts; it stays well below the time after which the row has expired.
const SHARED_RENEW_INTERVAL: Duration = Duration::from_secs(7);

/// The same while a host may have vanished, whose share the others need.
const MISSED_INTERVAL: Duration = Duration::from_millis(1_500);

/// Registers this host, renews its entry and takes vanished hosts off the list.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    let mut dependency = Dependency::new("membership");
    loop {
        match renew(&core).await {
            Ok(()) => {
                dependency.succeeded();
                let misses_host = core.members.lock().has_silent_peer(Instant::now());
                let pause = if misses_host {
                    MISSED_INTERVAL
                } else {
                    paced(&core, RENEW_INTERVAL, SHARED_RENEW_INTERVAL)
                };
                sleep(pause).await;
            }
            Err(error) => {
                dependency.failed(&error);
                sleep(RETRY_PAUSE * 2).await;
            }
        }
    }
}

async fn renew<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>) -> Result<(), Error> {
    let host = &core.settings.host;
    let asked = Instant::now();
    let key = format!("{}{}", member::KEY_PREFIX, host.name);
    let record = Record {
        endpoint: host.endpoint(),
        incarnation: core.incarnation,
    };
    let value: Bytes = encode(&record)?.into();
    let first = core.members.lock().renewed_at.is_none();
    let kept = first && take_back(core, &key, value.clone()).await?;
    if !kept {
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
    let (changed, vanished) = {
        let mut members = core.members.lock();
        members.renewed_at = Some(asked);
        let since = if kept {
            asked.checked_sub(member::JOIN_DELAY).unwrap_or(asked)
        } else {
            asked
        };
        members.joined_at.get_or_insert(since);
        let changed = members.apply_rows(&records, now);
        (changed, members.expired_rows(now))
    };
    if changed {
        apply_membership(core);
    }
    core.hosts_known.send_replace(true);
    for (name, revision) in vanished {
        let key = format!("{}{name}", member::KEY_PREFIX);
        let removed = core.platform.remove(&key, revision).await?;
        log::info!(event = "host_removed", host = name.as_str(), removed; "host without a sign of life");
    }
    Ok(())
}

/// Takes over the row of an earlier life of this host. While it stands, the others count this
/// host, so its share is free to use at once.
async fn take_back<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
    value: Bytes,
) -> Result<bool, Error> {
    let rows = core.platform.rows().await?;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else {
        return Ok(false);
    };
    let taken = core.platform.put(key, value, Some(row.revision)).await?;
    Ok(taken.is_some())
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(record).map_err(|cause| Error {
        step: "encode the own row",
        peer: String::new(),
        kind: Kind::Undecodable(cause.to_string()),
    })
}
