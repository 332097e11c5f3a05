//! Counts the open sessions and connections of callers, by account and by address.

use fulmargw_model::{
    lock::{Mutex, Rank},
    name::Name,
};
use std::{collections::HashMap, net::IpAddr, sync::Arc};

/// The open sessions of a process. Clones share them.
#[derive(Debug, Clone)]
pub struct Sessions(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    by_address: HashMap<IpAddr, usize>,
    by_account: HashMap<Name, usize>,
    sessions: usize,
}

/// Why a session is not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The process has as many sessions as it can serve.
    Full,
    /// The account has as many sessions as it may have.
    Account,
}

/// A counted session of an account; it ends on drop.
#[derive(Debug)]
pub struct Session {
    counts: Arc<Mutex<Counts>>,
    account: Name,
}

/// A counted connection of an address; it ends on drop.
#[derive(Debug)]
pub struct Connection {
    counts: Arc<Mutex<Counts>>,
    address: IpAddr,
}

impl Default for Sessions {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Rank::Budget, Counts::default())))
    }
}

impl Sessions {
    /// Counts a connection of a caller; `None` if its address has `most` already.
    #[must_use]
    pub fn connect(&self, address: IpAddr, most: usize) -> Option<Connection> {
        let mut counts = self.0.lock();
        let open = counts.by_address.entry(address).or_default();
        if *open >= most {
            return None;
        }
        *open += 1;
        Some(Connection {
            counts: Arc::clone(&self.0),
            address,
        })
    }

    /// Counts a session of an account.
    ///
    /// # Errors
    ///
    /// If there are `most` sessions, or the account has `most_of_account`.
    pub fn open(
        &self,
        account: &Name,
        most: usize,
        most_of_account: usize,
    ) -> Result<Session, Refusal> {
        let mut counts = self.0.lock();
        if counts.sessions >= most {
            return Err(Refusal::Full);
        }
        let open = counts.by_account.entry(account.clone()).or_default();
        if *open >= most_of_account {
            return Err(Refusal::Account);
        }
        *open += 1;
        counts.sessions += 1;
        Ok(Session {
            counts: Arc::clone(&self.0),
            account: account.clone(),
        })
    }

    /// Returns the number of sessions of each account, the largest first.
    #[must_use]
    pub fn by_account(&self) -> Vec<(Name, usize)> {
        let counts = self.0.lock();
        let mut sessions: Vec<(Name, usize)> = counts
            .by_account
            .iter()
            .map(|(account, count)| (account.clone(), *count))
            .collect();
        sessions.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        sessions
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        counts.sessions -= 1;
        if let Some(open) = counts.by_account.get_mut(&self.account) {
            *open -= 1;
            if *open == 0 {
                counts.by_account.remove(&self.account);
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut counts = self.counts.lock();
        if let Some(open) = counts.by_address.get_mut(&self.address) {
            *open -= 1;
            if *open == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}
