//! Holds commits, and the responses to them, while the commit barrier of their service is up or this host is
//! not in contact with the others.

use crate::{
    core::Core,
    dialect::Dialect,
    health::{Health, Ticket},
    job::Job,
    store::Platform,
    table::{Handover, Servers, barrier::Wait},
};
use fulmargw_model::execution::{Reply, ServerId, Trace};
use tokio::time::Instant;

/// A statement that is recorded as sent.
pub(super) struct Sent {
    pub(super) ticket: Ticket,
    pub(super) at: Instant,
    /// Statements of this host that run on the server, this one included.
    pub(super) running: u32,
}

/// Whether a statement may be sent now.
enum Clearance {
    Sent(Sent),
    Held(Wait),
    /// Another server is the assumed primary.
    Superseded,
}

/// Whether a caller may get the response to a commit.
pub(super) enum Confirmation {
    /// It may, and the response is not recorded in the health of the server yet.
    Immediate,
    /// It may, after it was kept for some time.
    Delayed,
    /// It may not: the primary that is replaced, or has been, sent it.
    Unconfirmed {
        /// Whether the deadline passed before the barrier ended.
        timed_out: bool,
    },
}

/// Records a statement as sent. One that commits waits first while the barrier of its service is up, or this
/// host is not in contact. Returns `None` if it must not be sent: another server is the assumed primary, or the
/// deadline has passed.
pub(super) async fn send<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: &Job<D>,
    trace: &Trace,
    commits: bool,
) -> Option<Sent> {
    let mut is_held = false;
    loop {
        match clear(core, &trace.server_id, commits, is_held) {
            Clearance::Sent(sent) => return Some(sent),
            Clearance::Superseded => return None,
            Clearance::Held(wait) => {
                is_held = true;
                if !wait.wait(job.deadline).await {
                    return None;
                }
            }
        }
    }
}

/// Checks the barrier and records the statement as sent under one lock, so that a commit either is
/// outstanding when the barrier is raised or is held by it.
fn clear<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    id: &ServerId,
    commits: bool,
    was_held: bool,
) -> Clearance {
    let now = Instant::now();
    let mut servers = core.servers.lock();
    if commits {
        if let Some(wait) = servers.wait(&id.service, now) {
            if !was_held {
                count_held(servers.handover(&id.service));
            }
            return Clearance::Held(wait);
        }
        if let Some(wait) = servers.handover(&id.service).contact.require(now) {
            core.contact_wanted.notify_one();
            return Clearance::Held(wait);
        }
        let group = servers.groups.get(&id.service);
        if group.is_some_and(|group| group.has_other_primary(&id.server)) {
            return Clearance::Superseded;
        }
    }
    let (ticket, running) = match servers.backend(id) {
        Some(backend) => (backend.health.record_sent(commits, now), backend.running),
        None => (Health::new().record_sent(commits, now), 0),
    };
    Clearance::Sent(Sent {
        ticket,
        at: now,
        running,
    })
}

fn count_held(handover: &mut Handover) {
    handover.barrier.record_held();
    metrics::counter!("fulmargw_pool_commits_held_total").increment(1);
}

/// Decides on the successful response to a commit, which is kept while a sealed barrier is up or this host is
/// not in contact. `record` records the response in the health of the server; it is called before the response
/// is kept, and not at all for [`Confirmation::Immediate`].
pub(super) async fn confirm<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    job: &Job<D>,
    trace: &Trace,
    sent: &Sent,
    reply: &Reply,
    record: impl FnOnce(),
) -> Confirmation {
    let confirmation = check(core, &trace.server_id, sent, reply, true);
    let mut wait = match confirmation {
        Checked::Confirmed => return Confirmation::Immediate,
        Checked::Superseded => {
            record();
            return Confirmation::Unconfirmed { timed_out: false };
        }
        Checked::Kept(wait) => wait,
    };
    record();
    loop {
        if !wait.wait(job.deadline).await {
            return Confirmation::Unconfirmed { timed_out: true };
        }
        match check(core, &trace.server_id, sent, reply, false) {
            Checked::Confirmed => return Confirmation::Delayed,
            Checked::Superseded => return Confirmation::Unconfirmed { timed_out: false },
            Checked::Kept(next) => wait = next,
        }
    }
}

/// What is to be done with the response to a commit now.
enum Checked {
    Confirmed,
    Kept(Wait),
    Superseded,
}

/// Checks the barrier and records the position as acknowledged under one lock, so that the position
/// either is in the report of the barrier or is not acknowledged.
fn check<D: Dialect, P: Platform>(
    core: &Core<D, P>,
    id: &ServerId,
    sent: &Sent,
    reply: &Reply,
    is_first: bool,
) -> Checked {
    let now = Instant::now();
    let mut servers = core.servers.lock();
    let Servers {
        groups, handovers, ..
    } = &mut *servers;
    let Some(group) = groups.get_mut(&id.service) else {
        return Checked::Confirmed;
    };
    let handover = handovers.entry(id.service.clone()).or_default();
    if let Some(wait) = handover.barrier.wait_sealed(now) {
        if is_first {
            count_held(handover);
        }
        return Checked::Kept(wait);
    }
    // A promotion that this host does not know of may have been called since contact ended.
    if let Some(wait) = handover.contact.require(now) {
        if is_first {
            count_held(handover);
        }
        return Checked::Kept(wait);
    }
    // The barrier may have ended before the response came: the old primary leads until the promotion
    // takes effect, which is some hundred milliseconds after its acceptance.
    // A barrier that expired leaves open what became of its promotion, as after a host was frozen.
    let is_unclear = group.has_other_primary(&id.server) || handover.barrier.has_unlifted_seal();
    let was_held =
        handover.barrier.was_sealed_since(sent.at) || handover.contact.was_regained_since(sent.at);
    if was_held && is_unclear {
        return Checked::Superseded;
    }
    if let Some(position) = reply.position {
        group.acknowledge(position);
    }
    Checked::Confirmed
}
