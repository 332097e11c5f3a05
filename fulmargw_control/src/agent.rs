//! The control plane agent of a host.

use crate::{
    account::Accounts,
    peers::Peers,
    settings::Settings,
    table::{Configuration, Entitlement, Fleet},
};
use fulmargw_decision::rendezvous;
use fulmargw_model::{
    configuration,
    fleet::{Member, State},
    host::Host,
    lock::{Mutex, Rank},
    name::Name,
    position::Term,
};
use fulmargw_peer::{codec, document, message::Announcement, server};
use fulmargw_platform::store::Store;
use futures::future::join_all;
use log::warn;
use std::{io, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{Notify, broadcast, watch},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Announcements that are kept for a slow receiver. It may miss older ones, because each is
/// only a hint.
const ANNOUNCEMENT_BACKLOG: usize = 64;

/// Time without a response after which a member no longer takes part in promotion ranks.
const RANK_TIMEOUT: Duration = Duration::from_secs(1);

/// The control plane agent of a host; clones share their state.
#[derive(Debug)]
pub struct Agent<S, P> {
    pub(crate) shared: Arc<Shared<S, P>>,
}

impl<S, P> Clone for Agent<S, P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Shared<S, P> {
    pub(crate) settings: Settings,
    pub(crate) host: Host,
    pub(crate) store: S,
    pub(crate) peers: P,
    pub(crate) configuration: Mutex<Configuration>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) accounts: Mutex<Accounts>,
    /// Publishes the configuration in force.
    pub(crate) configuration_sender: watch::Sender<Arc<configuration::Configuration>>,
    pub(crate) announcement_sender: broadcast::Sender<Announcement>,
    /// Has the store read before the next interval.
    pub(crate) poll_now: Notify,
    /// Has a newer document fetched from peers.
    pub(crate) fetch_now: Notify,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Starts the tasks of a host. The host must already listen on its peer address.
    ///
    /// Must be called in a Tokio runtime.
    #[must_use]
    pub fn start(settings: Settings, host: Host, store: S, peers: P) -> Self {
        let now = Instant::now();
        let agent = Self {
            shared: Arc::new(Shared {
                settings,
                host,
                store,
                peers,
                configuration: Mutex::new(Rank::Configuration, Configuration::default()),
                fleet: Mutex::new(Rank::Fleet, Fleet::new(now)),
                accounts: Mutex::new(Rank::Account, Accounts::default()),
                configuration_sender: watch::Sender::default(),
                announcement_sender: broadcast::Sender::new(ANNOUNCEMENT_BACKLOG),
                poll_now: Notify::new(),
                fetch_now: Notify::new(),
                stop: CancellationToken::new(),
                tasks: TaskTracker::new(),
            }),
        };
        agent.spawn(agent.clone().renew_lease());
        agent.spawn(agent.clone().poll_store());
        agent.spawn(agent.clone().maintain_membership());
        agent.spawn(agent.clone().poll_host_list());
        agent.spawn(agent.clone().fetch_documents());
        agent
    }

    /// Serves peers on the listeners of the peer address and the document address.
    pub fn serve(&self, calls: TcpListener, documents: TcpListener) {
        let stop = self.shared.stop.clone();
        let calls = codec::bounded_by_default(calls);
        self.spawn(run_server(server::serve(calls, self.clone(), stop.clone())));
        self.spawn(run_server(document::serve(
            documents.into(),
            self.clone(),
            stop,
        )));
    }

    /// Stops all tasks at once, without leaving the fleet.
    pub fn stop(&self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
    }

    /// Returns a receiver of the configuration in force and every newer one. Until the first
    /// one is known, it is an empty document.
    #[must_use]
    pub fn configuration(&self) -> watch::Receiver<Arc<configuration::Configuration>> {
        self.shared.configuration_sender.subscribe()
    }

    /// Reports whether this host may serve keyed routes at `now`: its lease is valid, it has a
    /// share and its configuration is recent enough.
    #[must_use]
    pub fn has_valid_lease(&self, now: Instant) -> bool {
        let current = self.shared.configuration.lock().is_current(now);
        current
            && self
                .entitlement(now)
                .is_some_and(|entitlement| entitlement.has_share())
    }

    /// Returns the number of hosts among which each limit is divided; `None` if this host has
    /// no share now.
    #[must_use]
    pub fn share_divisor(&self) -> Option<u32> {
        self.entitlement(Instant::now())
            .filter(Entitlement::has_share)
            .map(|entitlement| entitlement.share_divisor)
    }

    /// Returns the rank of this host among the responsive active members for promoting a server
    /// of `service`; the host with rank 0 tries first.
    #[must_use]
    pub fn promotion_rank(&self, service: &Name, term: Term) -> usize {
        let now = Instant::now();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let ranked = |member: &&Member| {
            let responded = fleet.responded_at.get(&member.host.name);
            let recent = responded.is_some_and(|responded| now < *responded + RANK_TIMEOUT);
            member.state == State::Active && (recent || member.host.name == *own)
        };
        let members = fleet.record.iter().flat_map(|record| &record.members);
        let names = members.filter(ranked).map(|member| &member.host.name);
        let key = format!("{service}/{}", term.0);
        rendezvous::rank(key.as_bytes(), own, names)
    }

    /// Announces to the peers which server became the primary. Receivers take it as a
    /// hint.
    pub fn announce_primary(&self, service: &Name, term: Term, server: &Name) {
        let announcement = Announcement {
            service: service.clone(),
            term,
            server: server.clone(),
        };
        self.spawn(self.clone().announce_to_members(announcement));
    }

    async fn announce_to_members(self, announcement: Announcement) {
        let peers = &self.shared.peers;
        let calls = self.other_members().into_iter().map(|member| {
            let announcement = announcement.clone();
            async move { peers.announce(member.host.address, announcement).await }
        });
        join_all(calls).await;
    }

    /// Returns a receiver of the announcements that arrive from now on.
    #[must_use]
    pub fn announcements(&self) -> broadcast::Receiver<Announcement> {
        self.shared.announcement_sender.subscribe()
    }

    pub(crate) fn entitlement(&self, now: Instant) -> Option<Entitlement> {
        self.shared.fleet.lock().entitlement(now)
    }

    pub(crate) fn other_members(&self) -> Vec<Member> {
        self.shared
            .fleet
            .lock()
            .other_members(&self.shared.host.name)
    }

    /// Runs a task until it ends or the agent stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.shared.stop.clone();
        self.shared
            .tasks
            .spawn(stop.run_until_cancelled_owned(task));
    }
}

async fn run_server(server: impl Future<Output = io::Result<()>>) {
    if let Err(cause) = server.await {
        warn!("server for other hosts stopped: {cause}");
    }
}
