//! Claims: rows of the store that let only one host at a time replace the primary of a service.

use super::replacement::Failure;
use crate::{
    backend::Role,
    barrier, contact,
    core::Core,
    dialect::Dialect,
    follow::registry,
    promotion::{HOLD_PERIOD, attempt::NamedCall},
    store::{Condition, Platform, Revision, Row},
    table::{Backend, barrier::PERIOD, start},
};
use fulmargw_model::{name::Name, position::Term};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which a claim excludes peers after it was last written, so that two hosts do not
/// replace a primary in turn.
const CLAIM_VALIDITY: Duration = Duration::from_secs(5);
/// Interval between reads of another host's claim.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Prefix of the keys of claims.
pub(crate) const KEY_PREFIX: &str = "promotion/";

/// Content of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Claim {
    /// Host that wrote the claim.
    holder: Name,
    /// Server for which a promotion call was or will be sent.
    candidate: Option<Name>,
    /// Term that its promotion begins, at least. It is the last field and left out if it is unknown, as in the
    /// claims of hosts of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    term: Option<Term>,
}

impl Claim {
    fn named_call(self) -> Option<NamedCall> {
        let term = self.term;
        self.candidate.map(|server| NamedCall { server, term })
    }
}

/// An earlier claim that may be replaced.
#[derive(Debug)]
pub(super) struct Previous {
    /// State of its row.
    pub(super) row: Condition,
    /// Promotion call that it named.
    pub(super) call: Option<NamedCall>,
    /// Whether this host wrote it, or there is none.
    pub(super) is_own: bool,
}

/// Claims a service if the claim row is still in the state `expected`. Returns the revision of the
/// new row.
pub(super) async fn claim<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    named: Option<&NamedCall>,
    expected: Condition,
) -> Result<Revision, Failure> {
    let key = format!("{KEY_PREFIX}{service}");
    let value = encode(core, named)?;
    let put = core.platform.put(&key, value.into(), Some(expected)).await;
    match put {
        Ok(Some(revision)) => Ok(revision),
        Ok(None) => Err(Failure::Claimed),
        Err(error) => Err(Failure::Store(error)),
    }
}

fn encode<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    named: Option<&NamedCall>,
) -> Result<Vec<u8>, Failure> {
    let claim = Claim {
        holder: core.settings.host.name.clone(),
        candidate: named.map(|it| it.server.clone()),
        term: named.and_then(|it| it.term),
    };
    rmp_serde::to_vec(&claim).map_err(|cause| Failure::Encode(cause.to_string()))
}

/// Lets the first commits pass, now that the claims are known, but for those of services with a promotion that
/// may be about to take effect.
pub(crate) fn verify_start<D: Dialect, P: Platform>(core: &Core<D, P>, rows: &[Row]) {
    let claims: Vec<start::Claim> = rows.iter().filter_map(named_candidate).collect();
    let named = claims.len();
    let changes = core.servers.lock().verify_start(claims, Instant::now());
    let Some(changes) = changes else {
        return;
    };
    log::info!(event = "start_verified", named; "the claims are known; passing on commits");
    for change in &changes {
        registry::log_change(core, change);
    }
    core.work_ready.notify_one();
}

/// Raises the barrier of a service if a claim among `rows` names the server of a promotion that may be about
/// to take effect. This host may not have been asked to raise it.
///
/// A claim that was first read longer than [`HOLD_PERIOD`] ago holds nothing: the call has been sent by then, or
/// the claim was written again.
pub(crate) async fn hold_named<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    rows: &[Row],
) {
    let key = format!("{KEY_PREFIX}{service}");
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return;
    };
    let age = core.members.lock().claim_age(row, Instant::now());
    let Some(call) = decode(row).and_then(Claim::named_call) else {
        return;
    };
    let is_settled = {
        let servers = core.servers.lock();
        let group = servers.groups.get(service);
        let server = group.and_then(|group| group.backends.get(&call.server));
        let acknowledged = group.and_then(|group| group.acknowledged);
        let newest = acknowledged.map(|position| position.term);
        // A restoration may have brought the claim back.
        call.is_settled(newest) || server.is_some_and(|it| it.server.role == Role::Primary)
    };
    if !is_settled && age < HOLD_PERIOD {
        // It is refused if a later barrier or promotion is known.
        let token = row.revision.fencing_token();
        let _ = barrier::raise(core, service, token, PERIOD).await;
    }
}

/// Returns the claim in a row, if it names a candidate.
fn named_candidate(row: &Row) -> Option<start::Claim> {
    let service = row.key.strip_prefix(KEY_PREFIX)?;
    Some(start::Claim {
        service: Name::new(service),
        candidate: decode(row)?.candidate?,
        token: row.revision.fencing_token(),
    })
}

/// Returns the claim in a row; `None` if it cannot be decoded.
fn decode(row: &Row) -> Option<Claim> {
    let decoded = rmp_serde::from_slice(&row.value);
    let decoded = decoded.inspect_err(|cause| {
        log::warn!(event = "row_undecodable", key = row.key.as_str(), cause:% = cause; "a claim row cannot be decoded; taking it for one that names no server");
    });
    decoded.ok()
}

/// Returns the claim that may be replaced. A claim of another host may be replaced only some time
/// after it was last written, so this waits until then.
///
/// # Errors
///
/// Returns [`Failure::Claimed`] if another host writes the claim meanwhile.
pub(super) async fn previous_claim<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    key: &str,
) -> Result<Previous, Failure> {
    let mut first_revision = None;
    loop {
        let rows = core.platform.rows().await.map_err(Failure::Store)?;
        contact::apply_rows(core, &rows);
        let Some(row) = rows.into_iter().find(|row| row.key == key) else {
            return Ok(Previous {
                row: Condition::Absent,
                call: None,
                is_own: true,
            });
        };
        if *first_revision.get_or_insert(row.revision) != row.revision {
            return Err(Failure::Claimed);
        }
        let now = Instant::now();
        let age = core.members.lock().claim_age(&row, now);
        let claim = decode(&row);
        let is_own = claim
            .as_ref()
            .is_some_and(|claim| claim.holder == core.settings.host.name);
        if is_own || age >= CLAIM_VALIDITY {
            return Ok(Previous {
                row: Condition::Unchanged(row.revision),
                call: claim.and_then(Claim::named_call),
                is_own,
            });
        }
        sleep(CLAIM_POLL_INTERVAL).await;
    }
}

/// Reports whether a server gets nothing because its zone is evacuated.
pub(super) fn is_excluded<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    server: &Name,
) -> bool {
    let servers = core.servers.lock();
    let group = servers.groups.get(service);
    let backend = group.and_then(|group| group.backends.get(server));
    backend.is_some_and(Backend::is_excluded)
}

/// Reports whether a promotion call for a server may still take effect, as far as this host knows.
pub(super) fn may_be_promoted<D: Dialect, P: Platform>(
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
