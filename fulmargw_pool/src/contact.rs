//! Proves the contact of this host with the witnesses of services, and responds as a witness.

use crate::{
    barrier, clock,
    core::Core,
    dialect::Dialect,
    failover::{self, PEER_REQUEST_TIMEOUT},
    store::{Platform, Revision, Row},
    traffic,
};
use bytes::Bytes;
use fulmargw_decision::contact::{is_majority, witnesses};
use fulmargw_model::name::Name;
use fulmargw_peer::report::{ContactRequest, ContactResponse};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

/// Longest time between two checks whether contact has to be renewed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the proof of contact by the store, so that the witnesses are asked again before contact ends.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Prefix of the keys of contact rows.
pub(crate) const KEY_PREFIX: &str = "contact/";

/// Proves contact for the services whose commits this host passes on, until the process stops.
pub async fn run<D: Dialect, P: Platform>(core: Arc<Core<D, P>>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = core.contact_wanted.notified() => {}
            () = core.stop.cancelled() => return,
        }
        for service in start_due(&core) {
            core.tasks
                .spawn("contact", renew(Arc::clone(&core), service));
        }
    }
}

/// Returns the services for which contact has to be proved now, and marks the tries as under way.
fn start_due<D: Dialect, P: Platform>(core: &Core<D, P>) -> Vec<Name> {
    let now = clock::since_boot();
    let mut servers = core.servers.lock();
    let handovers = servers.handovers.iter_mut();
    let due = handovers.filter_map(|(service, handover)| {
        let is_due = handover.contact.start_renewal(now);
        is_due.then(|| service.clone())
    });
    due.collect()
}

/// Proves contact for a service by its witnesses or, if too few of them respond, by the store.
async fn renew<D: Dialect, P: Platform>(core: Arc<Core<D, P>>, service: Name) {
    let mut proved_at = prove_by_witnesses(&core, &service).await;
    if proved_at.is_none() {
        let proof = timeout(STORE_TIMEOUT, prove_by_store(&core, &service)).await;
        proved_at = proof.ok().flatten();
    }
    let now = clock::since_boot();
    let Some(proved_at) = proved_at else {
        let is_lost = {
            let mut servers = core.servers.lock();
            servers.handover(&service).contact.record_failure(now)
        };
        if is_lost {
            metrics::counter!("fulmargw_pool_contacts_lost_total").increment(1);
            log::warn!(event = "contact_lost", service = service.as_str(); "neither a majority of the witnesses nor the store responds; holding the commits of the service");
        }
        return;
    };
    let was_lost = {
        let mut servers = core.servers.lock();
        let contact = &mut servers.handover(&service).contact;
        contact.record_proof(proved_at, now)
    };
    if was_lost {
        log::info!(event = "contact_regained", service = service.as_str(); "passing on the commits of the service again");
    }
    core.work_ready.notify_one();
}

/// Asks the witnesses of a service. Returns the time since boot at which they were asked, if a majority of
/// them have responded.
async fn prove_by_witnesses<D: Dialect, P: Platform>(
    core: &Arc<Core<D, P>>,
    service: &Name,
) -> Option<Duration> {
    let asked_at = clock::since_boot();
    let witnesses = Witnesses::of(core, service);
    let count = witnesses.count();
    let mut responded = usize::from(witnesses.includes_own);
    let (sender, mut responses) = mpsc::channel(count);
    let host = &core.settings.host.name;
    for (_, address) in witnesses.peers {
        let (asking, sender) = (Arc::clone(core), sender.clone());
        let request = ContactRequest {
            service: service.clone(),
            host: Some(host.clone()),
        };
        // A request whose response is no longer needed is not cancelled, which would close its connection.
        core.tasks.spawn("contact request", async move {
            if let Some(response) = ask(&asking, address, &request).await {
                // Nobody waits for it once a majority have responded.
                let _ = sender.send(response).await;
            }
        });
    }
    drop(sender);
    while !is_majority(responded, count) {
        let response = responses.recv().await?;
        if response.knows_claims {
            learn(core, service, response).await;
            responded += 1;
        }
    }
    Some(asked_at)
}

/// The witnesses of a service.
#[derive(Debug)]
pub(crate) struct Witnesses {
    /// Whether this host is one of them.
    pub(crate) includes_own: bool,
    /// Names and addresses for reports of the others.
    pub(crate) peers: Vec<(Name, SocketAddr)>,
}

impl Witnesses {
    pub(crate) fn of<D: Dialect, P: Platform>(core: &Core<D, P>, service: &Name) -> Self {
        let members = core.members.lock();
        let names = witnesses(service, &members.names());
        let peers = names.iter().filter_map(|name| {
            let peer = members.peers.get(name)?;
            Some((name.clone(), peer.endpoint.reports))
        });
        Self {
            includes_own: names.contains(members.own()),
            peers: peers.collect(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.peers.len() + usize::from(self.includes_own)
    }
}

/// Asks a witness; `None` if it does not respond in time.
pub(crate) async fn ask<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    address: SocketAddr,
    request: &ContactRequest,
) -> Option<ContactResponse> {
    let response = core.report_client.ask_witness(address, request);
    let cause = match timeout(PEER_REQUEST_TIMEOUT, response).await {
        Ok(Ok((response, bytes))) => {
            if core.members.lock().is_address_in_other_zone(address) {
                traffic::record("contact", bytes);
            }
            return Some(response);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    log::debug!(event = "witness_unanswered", service = request.service.as_str(), peer:% = address, cause = cause.as_str(); "a witness did not respond");
    None
}

/// Applies what a witness knows of the replacement of the primary.
async fn learn<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
    response: ContactResponse,
) {
    if let Some(promotion) = &response.promotion {
        failover::record_promotion(core, promotion, "witness");
    }
    let Some((token, remaining)) = response.barrier else {
        return;
    };
    let was_lifted = {
        let mut servers = core.servers.lock();
        servers.handover(service).barrier.was_lifted(token)
    };
    if !was_lifted {
        // A later barrier or promotion is known if it is refused.
        let _ = barrier::raise(core, service, token, remaining).await;
    }
}

/// Writes the contact row of this host and reads the claims after it. Returns the time since boot at which
/// the write was sent.
///
/// Whoever replaces the primary names its candidate in a claim and reads the contact rows after it. So either
/// it finds this row, or this host finds the claim.
async fn prove_by_store<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    service: &Name,
) -> Option<Duration> {
    let written_at = clock::since_boot();
    let key = format!("{KEY_PREFIX}{}", core.settings.host.name);
    core.platform.put(&key, Bytes::new(), None).await.ok()??;
    let rows = core.platform.rows().await.ok()?;
    failover::hold_named(core, service, &rows).await;
    Some(written_at)
}

/// Records the contact rows among rows that were read from the store.
pub(crate) fn apply_rows<D: Dialect, P: Platform>(core: &Core<D, P>, rows: &[Row]) {
    let contacts = rows.iter().filter_map(|row| {
        let name = row.key.strip_prefix(KEY_PREFIX)?;
        Some((Name::new(name), row.revision))
    });
    let contacts: BTreeMap<Name, Revision> = contacts.collect();
    core.members.lock().apply_contacts(contacts, Instant::now());
}

/// Returns what this host knows as a witness of a service, and records the request of a host that proves its
/// contact by the response.
pub(crate) fn respond<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    request: ContactRequest,
) -> ContactResponse {
    let (now, since_boot) = (Instant::now(), clock::since_boot());
    let mut servers = core.servers.lock();
    let (known_for, knows_claims) = {
        let start = &servers.start;
        (start.age(now), !start.holds_commits(now))
    };
    let handover = servers.handover(&request.service);
    let barrier = handover.barrier.state(now);
    let requests = match request.host {
        None => handover.requests.ages(since_boot),
        Some(host) => {
            // A host that learns of the barrier by the response passes on no commits.
            if barrier.is_none() {
                handover.requests.record(host, since_boot);
            }
            Vec::new()
        }
    };
    ContactResponse {
        barrier: barrier.map(|it| (it.token, it.remaining)),
        promotion: handover.promotion().cloned(),
        requests,
        known_for,
        knows_claims,
    }
}
