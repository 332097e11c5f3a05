//! Work of the statements of one service on this host, and connections that transactions hold.

use super::{Plan, Ranks, kind};
use crate::{
    clock::millis,
    dispatch::queue_limit,
    routing::{Candidate, FreeSlots},
};
use fulmargw_decision::{
    queue::Demand,
    reservation::{self, Need},
    wait,
    work::Profile,
};
use fulmargw_model::{execution::Request, name::Name};
use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Cost of a statement that only the primary can run, in the fair queueing among accounts, while
/// its work is not estimated.
const PRIMARY_COST: u32 = 2;

/// Time for which a reservation holds before it is computed again.
const RESERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Counts something until it is dropped.
pub type Token = Arc<()>;
/// Counts a connection as held by an account until it is dropped.
pub type Hold = Token;
/// Counts a statement of the lowest priority as running until it is dropped.
pub type Running = Token;

/// Work of the statements of one service.
#[derive(Debug, Default)]
pub struct Load {
    /// Estimates of the work.
    pub profile: Profile,
    /// Running statements of the lowest priority by server.
    running_lowest: Holds,
    /// Slots that are reserved for the other priorities, by server that has some.
    reserved: BTreeMap<Name, u32>,
    /// Time at which they were computed.
    reserved_at: Option<Instant>,
}

/// The servers as the statements of the lowest priority find them.
#[derive(Debug)]
pub struct View {
    /// The lowest priority of the service.
    pub priority: u32,
    /// The servers; one whose other slots are reserved has none left.
    pub candidates: Vec<Candidate>,
    /// Their free slots.
    pub free_slots: FreeSlots,
}

impl Load {
    /// Returns the cost of a statement in the fair queueing, and what is expected of it.
    #[must_use]
    pub fn demand(&self, plan: &Plan, request: &Request, now: Instant) -> (u32, Demand) {
        let default_cost = if request.statement.kind.needs_primary() {
            PRIMARY_COST
        } else {
            1
        };
        let demand = Demand {
            primary_only: request.needs_primary(),
            ..Demand::default()
        };
        if !plan.estimates() {
            return (default_cost, demand);
        }
        let kind = kind(request);
        let cost = self.profile.cost(kind, now).unwrap_or(default_cost);
        let Some(work) = self.profile.work(kind, now) else {
            return (cost, demand);
        };
        // The queue stays short enough for the order of arrival, unless the estimate was wrong.
        let backlog_age = if plan.early_refusal {
            wait::backlog_age(queue_limit(request), work).max(demand.backlog_age)
        } else {
            demand.backlog_age
        };
        let demand = Demand {
            work,
            backlog_age,
            ..demand
        };
        (cost, demand)
    }

    /// Returns the servers as the statements of the lowest priority find them; `None` if no slot is
    /// kept from them.
    #[must_use]
    pub fn lowest_level(
        &mut self,
        plan: &Plan,
        service: &Name,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<View> {
        let ranks = plan.reservation(service)?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RESERVATION_INTERVAL;
        if !self.reserved_at.is_some_and(is_recent) {
            self.reserved_at = Some(now);
            self.reserve(ranks, candidates, now);
        }
        if self.reserved.is_empty() {
            return None;
        }
        let is_withheld = |candidate: &Candidate| {
            let reserved = self.reserved.get(&candidate.id).copied();
            let running = self.running_lowest.count(&candidate.id);
            // The maximum may have fallen since the reservation was computed.
            let reserved = reserved.unwrap_or_default().min(candidate.max_running / 2);
            running + reserved >= candidate.max_running
        };
        let withheld: Vec<bool> = candidates.iter().map(is_withheld).collect();
        if !withheld.contains(&true) {
            return None;
        }
        let mut candidates = candidates.to_vec();
        for (candidate, is_withheld) in candidates.iter_mut().zip(withheld) {
            if is_withheld {
                candidate.max_running = candidate.max_running.min(candidate.running);
            }
        }
        let free_slots = FreeSlots::of(&candidates);
        Some(View {
            priority: ranks.lowest,
            candidates,
            free_slots,
        })
    }

    /// Computes the reservation of each server, and logs where one begins or ends.
    fn reserve(&mut self, ranks: Ranks, candidates: &[Candidate], now: Instant) {
        let previous = mem::take(&mut self.reserved);
        self.profile
            .retain_servers(|server| candidates.iter().any(|it| it.id == *server));
        for Candidate {
            id, max_running, ..
        } in candidates
        {
            let need = Need {
                occupied_above: self.profile.occupied_above(id, ranks.lowest, now),
                objective: ranks.objective_above,
                lowest_work: self.profile.longest_work(id, ranks.lowest, now),
            };
            let count = reservation::reserved(*max_running, &need);
            if (count > 0) != previous.contains_key(id) {
                log::info!(event = "slots_reserved", server = id.as_str(), count, slots = max_running, occupied_above = need.occupied_above, lowest_work_ms = millis(need.lowest_work); "slots reserved for higher priorities");
            }
            if count > 0 {
                self.reserved.insert(id.clone(), count);
            }
        }
    }

    /// Returns the number of slots of a server that are reserved for the other priorities.
    #[must_use]
    pub fn reserved(&self, server: &Name) -> u32 {
        self.reserved.get(server).copied().unwrap_or_default()
    }

    /// Counts a statement of the lowest priority as running on a server until the returned value is
    /// dropped; `None` for other statements.
    pub fn start(&mut self, plan: &Plan, request: &Request, server: &Name) -> Option<Running> {
        let ranks = plan.reservation(&request.service)?;
        (request.priority >= ranks.lowest).then(|| self.running_lowest.add(server))
    }
}

/// Numbers of tokens by name.
#[derive(Debug, Default)]
pub struct Holds(BTreeMap<Name, Token>);

impl Holds {
    /// Returns a token that counts for a name until it is dropped.
    pub fn add(&mut self, name: &Name) -> Token {
        if let Some(token) = self.0.get(name) {
            return Arc::clone(token);
        }
        self.0.retain(|_, token| Arc::strong_count(token) > 1);
        Arc::clone(self.0.entry(name.clone()).or_default())
    }

    /// Returns the number of tokens of a name.
    #[must_use]
    pub fn count(&self, name: &Name) -> u32 {
        self.0.get(name).map_or(0, count)
    }

    /// Returns the number of tokens of each name that has some.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<Name, u32> {
        let counts = self
            .0
            .iter()
            .map(|(name, token)| (name.clone(), count(token)));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

/// Returns the number of tokens besides the one in the table.
fn count(token: &Token) -> u32 {
    u32::try_from(Arc::strong_count(token) - 1).unwrap_or(u32::MAX)
}
