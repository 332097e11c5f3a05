//! Accepts patches and puts newer configurations in force.

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

/// Tries of one patch against lost answers of the store.
const TRIES: usize = 6;

/// An accepted patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// Identifier of the patch.
    pub patch: String,
    /// Version that the patch made.
    pub version: Version,
    /// Hosts that confirmed to have this or a newer version in force.
    pub in_force: Vec<Name>,
    /// Members that have not confirmed yet; they get the version by their own polls.
    pub unconfirmed: Vec<Name>,
}

/// Reasons why a patch was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// {0}
    Refused(patch::Error),
    /// not accepted: the configuration cannot be read: {0}
    Unreadable(store::Error),
    /// not accepted: only {reached} of {needed} members could be told of the coming version
    TooFewNotified {
        /// Members that were told.
        reached: usize,
        /// Members that have to be told.
        needed: usize,
    },
    /// unknown outcome: patch {patch} may have been stored: {cause}
    UnknownOutcome {
        /// Identifier under which the patch can be submitted again.
        patch: String,
        /// Last failure of the store.
        cause: store::Error,
    },
}

impl std::error::Error for Error {}

/// What the store has before a patch.
#[derive(Debug)]
struct Base {
    head: u64,
    document: Stored<Configuration>,
    /// Version that this patch made earlier, if it did.
    made: Option<Version>,
}

impl<S: Store, P: Peers> Agent<S, P> {
    /// Validates a patch, stores the new configuration and spreads it.
    ///
    /// A patch with an id that was stored before is reported as accepted again.
    ///
    /// # Errors
    ///
    /// If the patch is stale or not valid, if the store or too many members are not
    /// reachable, or if the outcome is not known.
    pub async fn patch(&self, mut patch: Patch) -> Result<Accepted, Error> {
        if patch.id.is_empty() {
            patch.id = Uuid::new_v4().to_string();
        }
        let base = self.read_base(&patch.id).await.map_err(Error::Unreadable)?;
        if let Some(version) = base.made {
            self.adopt(base.document.value);
            return Ok(self.spread(patch.id, version).await);
        }
        let current = &base.document.value;
        let applied = patch::apply(current, &patch, self.shared.settings.holders);
        let version = match applied.map_err(Error::Refused)? {
            Applied::Already => current.version,
            Applied::New(next) => self.accept(&patch, &base, *next).await?,
        };
        Ok(self.spread(patch.id, version).await)
    }

    async fn read_base(&self, patch: &str) -> Result<Base, store::Error> {
        let key = record::patch_key(patch);
        let sent = Instant::now();
        let keys = [record::HEAD, record::DOCUMENT, &key, record::FLEET];
        let rows = self.read(&keys).await?;
        let fleet: Stored<Fleet> = Stored::decode(record::FLEET, rows[3].as_ref())?;
        self.read_fleet(fleet.value, sent);
        let head: Stored<Head> = Stored::decode(record::HEAD, rows[0].as_ref())?;
        let made: Stored<Version> = Stored::decode(&key, rows[2].as_ref())?;
        Ok(Base {
            head: head.revision,
            document: Stored::decode(record::DOCUMENT, rows[1].as_ref())?,
            made: (made.revision > 0).then_some(made.value),
        })
    }

    /// Stores a valid patch. The members hear of the version before it is stored.
    async fn accept(
        &self,
        patch: &Patch,
        base: &Base,
        next: Configuration,
    ) -> Result<Version, Error> {
        let version = next.version;
        self.note_at_members(version, &patch.id).await?;
        let transaction = transaction(patch, base, &next).map_err(Error::Unreadable)?;
        self.store_patch(patch, transaction).await?;
        info!(
            "configuration {} accepted from patch {}",
            version.0, patch.id
        );
        self.adopt(next);
        Ok(version)
    }

    /// Notes the coming version at so many members that every lease quorum has one of them.
    async fn note_at_members(&self, version: Version, patch: &str) -> Result<(), Error> {
        let witnesses = self.witnesses();
        let needed = lease::removal_quorum(witnesses.len()).min(witnesses.len());
        let peers = &self.shared.peers;
        let calls = witnesses.iter().map(|member| {
            let note = VersionNotice {
                version,
                patch: patch.to_owned(),
            };
            peers.note(member.host.address, note)
        });
        let answers = join_all(calls).await;
        let reached = answers.iter().filter(|answer| **answer == Ok(true)).count();
        if reached < needed {
            return Err(Error::TooFewNotified { reached, needed });
        }
        let mut configuration = self.shared.configuration.lock();
        configuration.hear(version, None, Instant::now());
        Ok(())
    }

    /// Returns the other active members of the record that was read with the base.
    fn witnesses(&self) -> Vec<Member> {
        let others = self.others().into_iter();
        others
            .filter(|member| member.state == State::Active)
            .collect()
    }

    /// Commits until the outcome is known. A repeated commit cannot apply twice, because
    /// the first one changes the revisions that it expects.
    async fn store_patch(&self, patch: &Patch, transaction: Transaction) -> Result<(), Error> {
        let unknown = |cause| Error::UnknownOutcome {
            patch: patch.id.clone(),
            cause,
        };
        let mut last = None;
        for _ in 0..TRIES {
            match self.commit(transaction.clone()).await {
                Ok(Commit::Done) => return Ok(()),
                Ok(Commit::Conflict) => return self.resolve_conflict(patch).await,
                Err(cause) => last = Some(cause),
            }
            tokio::time::sleep(self.shared.settings.poll_interval() / 4).await;
        }
        counter!("fulmargw_patches_unknown_total").increment(1);
        last.map_or(Ok(()), |cause| Err(unknown(cause)))
    }

    /// Finds out whether the conflict is with this patch itself, whose answer was lost.
    async fn resolve_conflict(&self, patch: &Patch) -> Result<(), Error> {
        let mut last = None;
        for _ in 0..TRIES {
            match self.read_base(&patch.id).await {
                Ok(base) if base.made.is_some() => return Ok(()),
                Ok(base) => {
                    return Err(Error::Refused(patch::Error::Stale {
                        base: patch.base,
                        current: base.document.value.version,
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

    /// Sends the document to all members and collects who has it in force.
    async fn spread(&self, patch: String, version: Version) -> Accepted {
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
        let others = self.others();
        let peers = &self.shared.peers;
        let calls = others
            .iter()
            .map(|member| peers.push(member.host.address, document.clone()));
        let answers = join_all(calls).await;
        for (member, answer) in others.into_iter().zip(answers) {
            let in_force = answer.is_ok_and(|has| has >= version);
            let list = if in_force {
                &mut accepted.in_force
            } else {
                &mut accepted.unconfirmed
            };
            list.push(member.host.name);
        }
        accepted
    }

    /// Puts a newer document in force; an older or equal one changes nothing.
    pub(crate) fn adopt(&self, document: Configuration) {
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
            .heard
            .retain(|version, _| *version > document.version);
        self.shared.accounts.lock().adopt(&document, now);
        drop(configuration);
        self.publish(&document);
        gauge!("fulmargw_configuration_version").set(gauge_value(document.version));
        info!("configuration {} in force", document.version.0);
    }
}

impl<S, P> Agent<S, P> {
    /// Publishes a document unless a newer one was published meanwhile.
    ///
    /// No lock is held, because a receiver may hold the published value while it asks for
    /// the lease.
    fn publish(&self, document: &Arc<Configuration>) {
        self.shared.publish.send_if_modified(|current| {
            let newer = document.version >= current.version;
            if newer {
                current.clone_from(document);
            }
            newer
        });
    }
}

/// Makes the transaction that stores the document, its head and the patch id together.
fn transaction(
    patch: &Patch,
    base: &Base,
    next: &Configuration,
) -> Result<Transaction, store::Error> {
    let key = record::patch_key(&patch.id);
    let head = Head {
        version: next.version,
    };
    Ok(Transaction {
        conditions: vec![
            record::unchanged(record::HEAD, base.head),
            record::unchanged(record::DOCUMENT, base.document.revision),
            record::unchanged(&key, 0),
        ],
        writes: vec![
            record::write(record::HEAD, &head)?,
            record::write(record::DOCUMENT, next)?,
            record::write(&key, &next.version)?,
        ],
    })
}

/// Versions stay far below 2^53, where the conversion would lose digits.
#[expect(clippy::cast_precision_loss, reason = "versions stay far below 2^53")]
fn gauge_value(version: Version) -> f64 {
    version.0 as f64
}
