//! Asks primaries for their positions where reads need newer ones than statements brought.

use crate::{
    connection::Connection,
    core::Core,
    dialect::Dialect,
    freshness::{Moment, Sample},
    store::Platform,
};
use fulmargw_model::execution::ServerId;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Longest time for one question to a primary.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the newest sample after which the primary is asked for its position.
const SAMPLE_AGE: Duration = Duration::from_millis(400);
/// Time after the last read for which samples are taken.
const SAMPLE_DEMAND: Duration = Duration::from_secs(2);

/// Takes the samples that are due.
pub fn run<D: Dialect, P: Platform>(core: &Arc<Core<D, P>>) {
    let moment = Moment::now();
    let mut due = Vec::new();
    {
        let mut servers = core.servers.lock();
        for (service, group) in &mut servers.groups {
            let wanted = group
                .sample_requested
                .is_some_and(|at| moment.now.saturating_duration_since(at) < SAMPLE_DEMAND);
            let age = group.freshness.newest_age(moment);
            let Some(lead) = group
                .primary_id
                .clone()
                .filter(|_| wanted && age.is_none_or(|age| age >= SAMPLE_AGE))
            else {
                continue;
            };
            let backend = group.backends.get_mut(&lead);
            let usable = backend.filter(|backend| backend.health.is_usable(moment.now));
            if let Some(connection) = usable.and_then(crate::table::Backend::take_idle) {
                let key = ServerId {
                    service: service.clone(),
                    server: lead,
                };
                due.push((key, connection));
            }
        }
    }
    for (key, connection) in due {
        core.tasks
            .spawn(ask_position(Arc::clone(core), key, connection));
    }
}

/// Asks a server for its position and for a proof that it leads.
async fn ask_position<D: Dialect, P: Platform>(
    core: Arc<Core<D, P>>,
    key: ServerId,
    mut connection: Connection<D>,
) {
    let moment = Moment::now();
    let asked = timeout(ASK_TIMEOUT, connection.verify_primary()).await;
    let Ok(Ok(lead)) = asked else {
        core.with_backend(&key, |backend| {
            backend.connection_closed();
            backend.health.record_failure(Instant::now());
        });
        core.primary_suspected.notify_one();
        return;
    };
    let mut servers = core.servers.lock();
    let Some(group) = servers.groups.get_mut(&key.service) else {
        return;
    };
    if let (true, Some(position)) = (lead.is_primary, lead.position) {
        group.freshness.add(Sample {
            asked: moment.now,
            asked_since_boot: moment.since_boot,
            position,
        });
    }
    if let Some(backend) = group.backends.get_mut(&key.server) {
        backend.check_in(connection);
    }
}
