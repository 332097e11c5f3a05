//! Accepts configuration patches and puts newer configurations in force.

use crate::{
    agent::Agent,
    peers::Peers,
    record::{self, Head, Stored},
};
use fulmargw_decision::{
    lease,
    patch::{self, Applied},
};
use fulmargw_model::{
    configuration::{Configuration, Patch, Version},
    fleet::{Fleet, Member, State},
    name::Name,
};
use fulmargw_peer::message::VersionNotice;
use fulmargw_platform::{
    message::{Commit, Transaction},
    store::{self, Store},
};
use futures::future::join_all;
use log::info;
use metrics::{counter, gauge};
use serde::Serialize;
use std::sync::Arc;
use tokio::time::Instant;
use uuid::Uuid;

/// Attempts to commit a patch, or to read its outcome, while the store does not respond.
const MAX_ATTEMPTS: usize = 6;

/// An accepted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// Identifier of the patch.
    pub patch: String,
    /// Version that the patch created.
    pub version: Version,
    /// Hosts that reported this or a newer version in force.
    pub in_force: Vec<Name>,
    /// Members that have not reported it yet. They obtain the version when they poll the store
    /// or other members.
    pub unconfirmed: Vec<Name>,
}

/// Reasons why a patch was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// {0}
    Refused(patch::Error),
    /// not accepted: the configuration cannot be read: {0}
    Unreadable(store::Error),
    /// not accepted: advance notice of the version reached only {reached} of {needed} members
    TooFewNotified {
        /// Members that acknowledged the advance notice.
        reached: usize,
        /// Members that have to acknowledge it.
        needed: usize,
    },
    /// unknown outcome: patch {patch} may have been stored: {cause}
    UnknownOutcome {
        /// Identifier under which the patch can be submitted again.
        patch: String,
        /// Last error of the store.
        cause: store::Error,
    },
}

impl std::error::Error for Error {}

/// Rows of the store before a patch is committed.
#[derive(Debug)]
struct Snapshot {
    head_revision: u64,
    document: Stored<Configuration>,
    /// Version that an earlier submission of this patch created, if any.
    patch_version: Option<Version>,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Validates a patch, stores the new configuration and distributes it to the members.
    ///
    /// A patch whose identifier is already stored is reported as accepted again.
    ///
    /// # Errors
    ///
    /// If the patch is stale or not valid, if the store or too many members are unreachable,
    /// or if the outcome is unknown.
    pub async fn patch(&self, mut patch: Patch) -> Result<Accepted, Error> {
        if patch.id.is_empty() {
            patch.id = Uuid::new_v4().to_string();
        }
        let stored = self
            .read_snapshot(&patch.id)
            .await
            .map_err(Error::Unreadable)?;
        if let Some(version) = stored.patch_version {
            self.apply_configuration(stored.document.value);
            return Ok(self.distribute(patch.id, version).await);
        }
        let current = &stored.document.value;
        let applied = patch::apply(current, &patch, self.shared.settings.holders);
        let version = match applied.map_err(Error::Refused)? {
            Applied::Already => current.version,
            Applied::New(next) => self.accept(&patch, &stored, *next).await?,
        };
        Ok(self.distribute(patch.id, version).await)
    }

    /// Reads the rows that a patch depends on, and applies the fleet record.
    async fn read_snapshot(&self, patch: &str) -> Result<Snapshot, store::Error> {
        let key = record::patch_key(patch);
        let sent = Instant::now();
        let keys = [record::HEAD, record::DOCUMENT, &key, record::FLEET];
        let rows = self.read(&keys).await?;
        let fleet: Stored<Fleet> = Stored::decode(record::FLEET, rows[3].as_ref())?;
        self.record_store_read(fleet.value, sent);
        let head: Stored<Head> = Stored::decode(record::HEAD, rows[0].as_ref())?;
        let version: Stored<Version> = Stored::decode(&key, rows[2].as_ref())?;
        Ok(Snapshot {
            head_revision: head.revision,
            document: Stored::decode(record::DOCUMENT, rows[1].as_ref())?,
            patch_version: (version.revision > 0).then_some(version.value),
        })
    }

    /// Stores the configuration of a valid patch, after advance notice to the members.
    async fn accept(
        &self,
        patch: &Patch,
        stored: &Snapshot,
        next: Configuration,
    ) -> Result<Version, Error> {
        let version = next.version;
        self.notify_members(version, &patch.id).await?;
        let transaction = transaction(patch, stored, &next).map_err(Error::Unreadable)?;
        self.store_patch(patch, transaction).await?;
        info!(
            "configuration {} accepted from patch {}",
            version.0, patch.id
        );
        self.apply_configuration(next);
        Ok(version)
    }

    /// Sends advance notice of a version. So many members must acknowledge it that every lease
    /// quorum contains one of them.
    async fn notify_members(&self, version: Version, patch: &str) -> Result<(), Error> {
        let witnesses = self.witnesses();
        let needed = lease::removal_quorum(witnesses.len()).min(witnesses.len());
        let peers = &self.shared.peers;
        let calls = witnesses.iter().map(|member| {
            let notice = VersionNotice {
                version,
                patch: patch.to_owned(),
            };
            peers.send_notice(member.host.address, notice)
        });
        let responses = join_all(calls).await;
        let reached = responses
            .iter()
            .filter(|response| **response == Ok(true))
            .count();
        if reached < needed {
            return Err(Error::TooFewNotified { reached, needed });
        }
        let mut configuration = self.shared.configuration.lock();
        configuration.record_version(version, None, Instant::now());
        Ok(())
    }

    /// Returns the other active members.
    fn witnesses(&self) -> Vec<Member> {
        let others = self.other_members().into_iter();
        others
            .filter(|member| member.state == State::Active)
            .collect()
    }

    /// Commits until the outcome is known. A repeated commit cannot take effect twice, because
    /// the first one changes the revisions in its conditions.
    async fn store_patch(&self, patch: &Patch, transaction: Transaction) -> Result<(), Error> {
        let unknown_outcome = |cause| Error::UnknownOutcome {
            patch: patch.id.clone(),
            cause,
        };
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.commit(transaction.clone()).await {
                Ok(Commit::Done) => return Ok(()),
                Ok(Commit::Conflict) => return self.resolve_conflict(patch).await,
                Err(cause) => last = Some(cause),
            }
            tokio::time::sleep(self.shared.settings.poll_interval() / 4).await;
        }
        counter!("fulmargw_patches_unknown_total").increment(1);
        last.map_or(Ok(()), |cause| Err(unknown_outcome(cause)))
    }

    /// Finds out whether an earlier commit of this patch, whose response was lost, caused the
    /// conflict.
    async fn resolve_conflict(&self, patch: &Patch) -> Result<(), Error> {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.read_snapshot(&patch.id).await {
                Ok(stored) if stored.patch_version.is_some() => return Ok(()),
                Ok(stored) => {
                    return Err(Error::Refused(patch::Error::Stale {
                        base: patch.base,
                        current: stored.document.value.version,
                    }));
                }
                Err(cause) => last = Some(cause),
            }
            tokio::time::sleep(self.shared.settings.poll_interval() / 4).await;
        }
        last.map_or(Ok(()), |cause| {
            Err(Error::UnknownOutcome {
                patch: patch.id.clone(),
                cause,
            })
        })
    }

    /// Sends the document to all members and collects the hosts that have it in force.
    async fn distribute(&self, patch: String, version: Version) -> Accepted {
        let mut accepted = Accepted {
            patch,
            version,
            in_force: vec![self.shared.host.name.clone()],
            unconfirmed: Vec::new(),
        };
        let document = self.shared.configuration.lock().document.clone();
        let Some(document) = document else {
            return accepted;
        };
        let others = self.other_members();
        let peers = &self.shared.peers;
        let calls = others
            .iter()
            .map(|member| peers.push(member.host.address, document.clone()));
        let responses = join_all(calls).await;
        for (member, response) in others.into_iter().zip(responses) {
            let in_force = response.is_ok_and(|reported| reported >= version);
            let list = if in_force {
                &mut accepted.in_force
            } else {
                &mut accepted.unconfirmed
            };
            list.push(member.host.name);
        }
        accepted
    }

    /// Puts a newer document in force. An older or equal one is ignored.
    pub(crate) fn apply_configuration(&self, document: Configuration) {
        let now = Instant::now();
        let document = Arc::new(document);
        let mut configuration = self.shared.configuration.lock();
        let known = configuration.document.is_some();
        if known && document.version <= configuration.version() {
            return;
        }
        let before = configuration.version();
        assert!(
            document.version >= before,
            "monotonic-configuration: {document:?} after {before:?}"
        );
        configuration.document = Some(document.clone());
        configuration
            .newer
            .retain(|version, _| *version > document.version);
        self.shared
            .accounts
            .lock()
            .apply_configuration(&document, now);
        drop(configuration);
        self.publish(&document);
        gauge!("fulmargw_configuration_version").set(gauge_value(document.version));
        info!("configuration {} in force", document.version.0);
    }
}

impl<S, P> Agent<S, P> {
    /// Publishes a document unless a newer one has been published meanwhile.
    ///
    /// Must be called without a lock. A receiver may hold the published value while it locks
    /// the tables to check the lease, so a lock held here could cause a deadlock.
    fn publish(&self, document: &Arc<Configuration>) {
        self.shared
            .configuration_sender
            .send_if_modified(|current| {
                let newer = document.version >= current.version;
                if newer {
                    current.clone_from(document);
                }
                newer
            });
    }
}

/// Returns the transaction that stores the document, its head and the patch identifier together.
fn transaction(
    patch: &Patch,
    stored: &Snapshot,
    next: &Configuration,
) -> Result<Transaction, store::Error> {
    let key = record::patch_key(&patch.id);
    let head = Head {
        version: next.version,
    };
    Ok(Transaction {
        conditions: vec![
            record::unchanged(record::HEAD, stored.head_revision),
            record::unchanged(record::DOCUMENT, stored.document.revision),
            record::unchanged(&key, 0),
        ],
        writes: vec![
            record::write(record::HEAD, &head)?,
            record::write(record::DOCUMENT, next)?,
            record::write(&key, &next.version)?,
        ],
    })
}

/// Converts a version for a gauge. The conversion is exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "versions stay far below 2^53")]
fn gauge_value(version: Version) -> f64 {
    version.0 as f64
}
