//! The control part of one host.

use crate::{
    account::Accounts,
    peers::Peers,
    settings::Settings,
    table::{Configuration, Fleet, Standing},
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
use fulmargw_peer::{document, message::Announcement, server};
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

/// Announcements that a slow receiver may fall behind; each is only a hint.
const ANNOUNCEMENTS: usize = 64;

/// Time without an answer after which a member has no rank for promotions.
const LIVE: Duration = Duration::from_secs(1);

/// The control part of a host; clones share their state.
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
    pub(crate) publish: watch::Sender<Arc<configuration::Configuration>>,
    pub(crate) announced: broadcast::Sender<Announcement>,
    /// Asks for a read of the store before the next interval.
    pub(crate) poll: Notify,
    /// Asks for a newer document from peers.
    pub(crate) fetch: Notify,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Starts the tasks of a host that has bound its peer address and answers there.
    ///
    /// Must be called in a runtime.
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
                publish: watch::Sender::default(),
                announced: broadcast::Sender::new(ANNOUNCEMENTS),
                poll: Notify::new(),
                fetch: Notify::new(),
                stop: CancellationToken::new(),
                tasks: TaskTracker::new(),
            }),
        };
        agent.spawn(agent.clone().confirm_leases());
        agent.spawn(agent.clone().poll_store());
        agent.spawn(agent.clone().keep_membership());
        agent.spawn(agent.clone().watch_hosts());
        agent.spawn(agent.clone().fetch_documents());
        agent
    }

    /// Answers other hosts on the listeners of the peer and the document address.
    pub fn serve(&self, calls: TcpListener, documents: TcpListener) {
        let stop = self.shared.stop.clone();
        self.spawn(answer(server::serve(calls, self.clone(), stop.clone())));
        self.spawn(answer(document::serve(documents, self.clone(), stop)));
    }

    /// Ends all tasks at once, without leaving the fleet.
    pub fn stop(&self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
    }

    /// Returns the configuration in force and announces every newer one. Before the first
    /// one is known it is an empty document.
    #[must_use]
    pub fn configuration(&self) -> watch::Receiver<Arc<configuration::Configuration>> {
        self.shared.publish.subscribe()
    }

    /// Reports whether this host may serve keyed routes at `now`.
    #[must_use]
    pub fn has_valid_lease(&self, now: Instant) -> bool {
        let current = self.shared.configuration.lock().is_current(now);
        current
            && self
                .standing(now)
                .is_some_and(|standing| standing.has_share())
    }

    /// Returns the number of hosts that share each connection limit; `None` if this host
    /// has no share now.
    #[must_use]
    pub fn share_divisor(&self) -> Option<u32> {
        self.standing(Instant::now())
            .filter(Standing::has_share)
            .map(|standing| standing.divisor)
    }

    /// Returns the rank of this host among live active members; 0 goes first.
    #[must_use]
    pub fn promotion_rank(&self, service: &Name, term: Term) -> usize {
        let now = Instant::now();
        let own = &self.shared.host.name;
        let fleet = self.shared.fleet.lock();
        let live = |member: &&Member| {
            let heard = fleet.heard.get(&member.host.name);
            let recent = heard.is_some_and(|heard| now < *heard + LIVE);
            member.state == State::Active && (recent || member.host.name == *own)
        };
        let members = fleet.record.iter().flat_map(|record| &record.members);
        let names = members.filter(live).map(|member| &member.host.name);
        let key = format!("{service}/{}", term.0);
        rendezvous::rank(key.as_bytes(), own, names)
    }

    /// Tells other hosts which server became primary, as a hint.
    pub fn announce_primary(&self, service: &Name, term: Term, server: &Name) {
        let announcement = Announcement {
            service: service.clone(),
            term,
            server: server.clone(),
        };
        self.spawn(self.clone().announce_to_all(announcement));
    }

    async fn announce_to_all(self, announcement: Announcement) {
        let peers = &self.shared.peers;
        let calls = self.others().into_iter().map(|member| {
            let announcement = announcement.clone();
            async move { peers.announce(member.host.address, announcement).await }
        });
        join_all(calls).await;
    }

    /// Returns the announcements that arrive from now on.
    #[must_use]
    pub fn announcements(&self) -> broadcast::Receiver<Announcement> {
        self.shared.announced.subscribe()
    }

    pub(crate) fn standing(&self, now: Instant) -> Option<Standing> {
        self.shared.fleet.lock().standing(now)
    }

    pub(crate) fn others(&self) -> Vec<Member> {
        self.shared.fleet.lock().others(&self.shared.host.name)
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.shared.stop.clone();
        self.shared
            .tasks
            .spawn(stop.run_until_cancelled_owned(task));
    }
}

async fn answer(server: impl Future<Output = io::Result<()>>) {
    if let Err(cause) = server.await {
        warn!("a listener for other hosts has ended: {cause}");
    }
}
