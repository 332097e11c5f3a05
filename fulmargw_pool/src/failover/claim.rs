//! Claims of services in the store, which let one host at a time replace a primary.

use super::takeover::Stop;
use crate::{core::Core, dialect::Dialect, store::Platform};
use fulmargw_model::name::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which a service stays with the host that claimed it last, so that two hosts do not
/// replace a primary in turn.
const CLAIM_TIME: Duration = Duration::from_secs(5);
/// Pause between two looks at a claim of another host.
const CLAIM_LOOK: Duration = Duration::from_millis(500);
/// Prefix of the keys of claims.
pub(crate) const KEY_PREFIX: &str = "promotion/";

/// Content of the row that hosts claim before a promotion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Claim {
    holder: Name,
    /// Server that was or will be ordered to lead.
    candidate: Option<Name>,
}

/// A claim that may be replaced.
#[derive(Debug, Default)]
pub(super) struct Standing {
    /// Version of its row, 0 if there is none.
    pub(super) revision: u64,
    /// Server that it named.
    pub(super) candidate: Option<Name>,
}

/// Claims a service. The version of the written row is the fencing token: it is unique and
/// greater than that of every earlier claim.
pub(super) async fn claim<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    candidate: Option<&Name>,
    expected: u64,
) -> Result<u64, Stop> {
    let key = format!("{KEY_PREFIX}{service}");
    let value = encode(core, candidate)?;
    let put = core.platform.put(&key, value.into(), Some(expected)).await;
    match put {
        Ok(Some(token)) => Ok(token),
        Ok(None) => Err(Stop::Claimed),
        Err(error) => Err(Stop::Store(error)),
    }
}

fn encode<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    candidate: Option<&Name>,
) -> Result<Vec<u8>, Stop> {
    let claim = Claim {
        holder: core.settings.host.name.clone(),
        candidate: candidate.cloned(),
    };
    rmp_serde::to_vec(&claim).map_err(|cause| Stop::Encode(cause.to_string()))
}

/// Returns the claim that may be replaced.
///
/// A claim of another host stands for a time after it was last written.
pub(super) async fn claimable<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
) -> Result<Standing, Stop> {
    let mut seen = None;
    loop {
        let rows = core.platform.rows().await.map_err(Stop::Store)?;
        let Some(row) = rows.into_iter().find(|row| row.key == key) else {
            return Ok(Standing::default());
        };
        if *seen.get_or_insert(row.revision) != row.revision {
            return Err(Stop::Claimed);
        }
        let now = Instant::now();
        let age = core.members.lock().claim_age(key, row.revision, now);
        let claim = match rmp_serde::from_slice::<Claim>(&row.value) {
            Ok(claim) => Some(claim),
            Err(cause) => {
                log::warn!(event = "row_undecodable", key, cause:% = cause; "replacing a row of the store");
                None
            }
        };
        let is_own = claim
            .as_ref()
            .is_some_and(|claim| claim.holder == core.settings.host.name);
        if is_own || age >= CLAIM_TIME {
            return Ok(Standing {
                revision: row.revision,
                candidate: claim.and_then(|claim| claim.candidate),
            });
        }
        sleep(CLAIM_LOOK).await;
    }
}

/// Reports whether an order for a server may still be carried out, so far as this host knows.
pub(super) fn may_be_ordered<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    candidate: &Name,
) -> bool {
    let servers = core.servers.lock();
    let group = servers.groups.get(service);
    group.is_some_and(|group| {
        group.backends.contains_key(candidate) && group.primary_id.as_ref() != Some(candidate)
    })
}
