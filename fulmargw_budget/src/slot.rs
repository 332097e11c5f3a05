//! A bounded number of connections. When all are taken, the oldest one is closed for the next.

use fulmargw_model::lock::{Mutex, Rank};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio_util::sync::CancellationToken;

/// The places for connections of one kind. Clones share them.
#[derive(Debug, Clone)]
pub struct Slots(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    kind: &'static str,
    most: AtomicUsize,
    taken: Mutex<Taken>,
}

#[derive(Debug, Default)]
struct Taken {
    next: u64,
    connections: BTreeMap<u64, CancellationToken>,
}

/// The place of one connection; it is free again after the drop.
#[derive(Debug)]
pub struct Slot {
    shared: Arc<Shared>,
    number: u64,
    revoked: CancellationToken,
}

impl Slots {
    /// Creates places for at most `most` connections.
    #[must_use]
    pub fn new(kind: &'static str, most: usize) -> Self {
        Self(Arc::new(Shared {
            kind,
            most: AtomicUsize::new(most.max(1)),
            taken: Mutex::new(Rank::Budget, Taken::default()),
        }))
    }

    /// Changes the number of places for the next connections.
    pub fn set_most(&self, most: usize) {
        self.0.most.store(most.max(1), Ordering::Relaxed);
    }

    /// Takes a place for a new connection, and closes the oldest one if all are taken.
    #[must_use]
    pub fn take(&self) -> Slot {
        let revoked = CancellationToken::new();
        let most = self.0.most.load(Ordering::Relaxed);
        let mut taken = self.0.taken.lock();
        if taken.connections.len() >= most
            && let Some((_, oldest)) = taken.connections.pop_first()
        {
            oldest.cancel();
            metrics::counter!("fulmargw_connections_revoked_total", "kind" => self.0.kind)
                .increment(1);
        }
        let number = taken.next;
        taken.next += 1;
        taken.connections.insert(number, revoked.clone());
        Slot {
            shared: Arc::clone(&self.0),
            number,
            revoked,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.taken.lock().connections.len()
    }

    /// Reports whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Slot {
    /// Returns the token that is cancelled when the connection has to be closed for another one.
    #[must_use]
    pub fn revoked(&self) -> &CancellationToken {
        &self.revoked
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.taken.lock().connections.remove(&self.number);
    }
}
