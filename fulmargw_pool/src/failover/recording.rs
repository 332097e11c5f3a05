//! Keeps the records of replica sets in the store, and reads them for promotions.

use super::survey::{Probe, query_status};
use crate::{
    backend::{Role, Server},
    core::Core,
    dialect::Dialect,
    promotion::Gap,
    replica_set::{Member, Record},
    store::{Condition, Error, Kind, Platform, Revision},
};
use fulmargw_model::name::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::sleep;

/// Delay after an update before the next one of the same record. A departed server stays in the
/// record until a replica has received everything that the primary had.
const UPDATE_DELAY: Duration = Duration::from_millis(500);
/// Delay after an update that failed because of the store.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// A record as the store has it.
#[derive(Debug)]
struct Stored {
    record: Record,
    /// Condition under which it may be replaced.
    condition: Condition,
}

/// Records of the services whose statements this host runs.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Records as this host last read or wrote them, by service.
    stored: BTreeMap<Name, Stored>,
    /// Services with a running update.
    running: BTreeSet<Name>,
}

/// A database group as the registry and this host describe it.
#[derive(Debug)]
struct Group {
    primary: Option<Server>,
    servers: Vec<Server>,
}

impl Group {
    fn members(&self) -> BTreeSet<Member> {
        self.servers.iter().map(Server::member).collect()
    }

    fn primary_id(&self) -> Option<&Name> {
        self.primary.as_ref().map(|primary| &primary.id)
    }
}

impl Recorder {
    /// Starts updates of the records that differ from the groups.
    pub(super) fn start_due<D: Dialect, P: Platform>(&self, core: &Arc<Core<D, P>>) {
        let era = core.platform.era().borrow().unwrap_or_default();
        let groups = groups_in_use(core);
        let mut state = lock(&self.state);
        // Another host may write the records of services that this host no longer runs. A restored
        // store may have an older record.
        state.stored.retain(|service, stored| {
            let is_current = match stored.condition {
                Condition::Absent => true,
                Condition::Unchanged(revision) => revision.era == era,
            };
            is_current && groups.contains_key(service)
        });
        for (service, group) in groups {
            let is_due = state.stored.get(&service).is_none_or(|stored| {
                let registered = group.members();
                stored.record.has_absent(&registered)
                    || stored.record.updated(group.primary_id(), &registered) != stored.record
            });
            if is_due && state.running.insert(service.clone()) {
                let update = update(Arc::clone(core), Arc::clone(&self.state), service, group);
                core.tasks.spawn("replica set", update);
            }
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the groups of the services whose statements this host runs.
fn groups_in_use<D: Dialect, P: Platform>(core: &Core<D, P>) -> BTreeMap<Name, Group> {
    let servers = core.servers.lock();
    let in_use = servers.groups.iter().filter(|(_, group)| group.is_in_use());
    let groups = in_use.map(|(service, group)| {
        let primary = group.primary().map(|primary| primary.server.clone());
        let servers = group.backends.values();
        let servers = servers.map(|backend| backend.server.clone()).collect();
        (service.clone(), Group { primary, servers })
    });
    groups.collect()
}

/// Updates the record of a service.
async fn update<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    state: Arc<Mutex<State>>,
    service: Name,
    group: Group,
) {
    let stored = lock(&state).stored.remove(&service);
    let result = write(&core, &service, &group, stored).await;
    let delay = match result {
        Ok(Some(stored)) => {
            lock(&state).stored.insert(service.clone(), stored);
            UPDATE_DELAY
        }
        Ok(None) => UPDATE_DELAY,
        Err(error) => {
            log::info!(event = "replica_set_not_recorded", service = service.as_str(), cause:% = error; "cannot record the replica set");
            RETRY_DELAY
        }
    };
    sleep(delay).await;
    lock(&state).running.remove(&service);
}

/// Writes the record of a service if it differs from the group. Returns it as the store has it now;
/// `None` if another host has written it meanwhile.
async fn write<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    group: &Group,
    stored: Option<Stored>,
) -> Result<Option<Stored>, Error> {
    let Stored { record, condition } = match stored {
        Some(stored) => stored,
        None => read_stored(core, service).await?,
    };
    let registered = group.members();
    let mut updated = record.updated(group.primary_id(), &registered);
    if updated.has_absent(&registered) && has_caught_up(core, group).await {
        updated = updated.without_absent(&registered);
    }
    if updated == record {
        return Ok(Some(Stored { record, condition }));
    }
    let value = encode(&updated)?;
    let put = core
        .platform
        .put_replica_set(service, value.into(), condition);
    let Some(revision) = put.await? else {
        return Ok(None);
    };
    let members: Vec<&str> = updated
        .members
        .iter()
        .map(|it| it.server.as_str())
        .collect();
    log::info!(event = "replica_set_recorded", service = service.as_str(), revision:% = revision, primary = updated.primary.as_ref().map(Name::as_str), members:? = members, registered = registered.len(); "recorded the servers that may have acknowledged commits");
    Ok(Some(Stored {
        record: updated,
        condition: Condition::Unchanged(revision),
    }))
}

/// Reads the record of a service, to update it.
async fn read_stored<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Result<Stored, Error> {
    let read = read(core, service).await?;
    Ok(read.map_or_else(
        || Stored {
            record: Record::default(),
            condition: Condition::Absent,
        },
        |(record, revision)| Stored {
            record,
            condition: Condition::Unchanged(revision),
        },
    ))
}

/// Reports whether a registered replica has received everything that the primary has now.
async fn has_caught_up<D: Dialect, P: Platform>(core: &Core<D, P>, group: &Group) -> bool {
    let Some(primary) = group.primary.as_ref().filter(|_| group.servers.len() > 1) else {
        return false;
    };
    let probe = query_status(core, primary.clone()).await;
    let Some(leader) = probe.status.filter(|status| status.role == Role::Primary) else {
        return false;
    };
    let replicas = group.servers.iter().filter(|it| it.id != primary.id);
    let queries = replicas.map(|replica| query_status(core, replica.clone()));
    let responses = futures::future::join_all(queries).await;
    let mut statuses = responses.iter().filter_map(|response| response.status);
    // A replica that knows a later term shows that the primary has been replaced.
    statuses.any(|it| it.term <= leader.term && it.received.satisfies(leader.received))
}

/// Reads the record of a service; `None` if there is none. One that cannot be decoded counts as empty.
pub(super) async fn read<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Result<Option<(Record, Revision)>, Error> {
    let row = core.platform.replica_set(service).await?;
    Ok(row.map(|row| {
        let decoded = rmp_serde::from_slice(&row.value);
        let record = decoded.unwrap_or_else(|cause| {
            log::warn!(event = "row_undecodable", key = row.key.as_str(), cause:% = cause; "ignoring a replica set that cannot be decoded");
            Record::default()
        });
        (record, row.revision)
    }))
}

/// Returns why the logs of the queried replicas may lack an acknowledged commit, according to the
/// record of their service and the servers that are `registered` now; `None` if together they have
/// all of them.
pub(super) fn gap<D: Dialect>(
    record: Option<&Record>,
    registered: &BTreeSet<Member>,
    probes: &[Probe<D>],
) -> Option<Gap> {
    let Some(record) = record.filter(|record| !record.members.is_empty()) else {
        return Some(Gap::Unrecorded);
    };
    let identified = probes.iter().filter(|probe| probe.is_identified);
    let asked = identified.map(|probe| probe.server.member()).collect();
    let all = record.updated(None, registered);
    let missing = all.gap(&asked)?;
    let has_responded = |probe: &Probe<D>| probe.server.id == *missing && probe.status.is_some();
    Some(if probes.iter().any(has_responded) {
        Gap::Unidentified(missing.clone())
    } else {
        Gap::Absent(missing.clone())
    })
}

fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(record).map_err(|cause| Error {
        step: "encode a replica set",
        peer: String::new(),
        kind: Kind::Unencodable(cause.to_string()),
    })
}
