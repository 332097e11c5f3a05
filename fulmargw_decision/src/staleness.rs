//! Upper bound of the age of a replica's data, computed from samples of the primary's log position.

use fulmargw_model::position::{Position, Term};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Maximum number of samples per database group; at one sample each 20 ms they cover about 10 s.
const MAX_SAMPLES: usize = 512;
/// Minimum time between two samples with the same position.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Log positions that the primary of a database group has reported over time.
///
/// A sample counts only once enough replicas have confirmed, in response to requests sent after
/// the sample was received, that they have promised no greater term. Otherwise a replaced primary
/// that a host still reaches would make data look fresh while the new primary accepts writes.
#[derive(Debug, Clone)]
pub struct History {
    samples: VecDeque<Sample>,
    required_confirmations: u32,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent_at: Instant,
    responded_at: Instant,
    position: Position,
    /// Bit set of the replicas that have confirmed the sample, by index in the group.
    confirmed_by: u64,
}

impl History {
    /// Creates an empty history for a group in which `majority` servers form a majority.
    #[must_use]
    pub fn new(majority: usize) -> Self {
        Self {
            samples: VecDeque::new(),
            required_confirmations: u32::try_from(majority.saturating_sub(1)).unwrap_or(u32::MAX),
        }
    }

    /// Records a position that the primary of `position.term` reported in response to a request
    /// sent at `sent_at`.
    ///
    /// The index must cover every write that was acknowledged before `sent_at`.
    pub fn record_sample(&mut self, sent_at: Instant, responded_at: Instant, position: Position) {
        if let Some(last) = self.samples.back() {
            if position.term < last.position.term || sent_at < last.sent_at {
                return;
            }
            let is_recent = sent_at.saturating_duration_since(last.sent_at) < MIN_SAMPLE_INTERVAL;
            if is_recent && position == last.position {
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            sent_at,
            responded_at,
            position,
            confirmed_by: 0,
        });
    }

    /// Records that a replica, in response to a request sent at `sent_at`, reported `promised` as
    /// the greatest term that it has promised.
    pub fn record_confirmation(&mut self, replica: usize, sent_at: Instant, promised: Term) {
        let bit = 1_u64 << (replica % 64);
        for sample in self.samples.iter_mut().rev() {
            if sample.confirmed_by & bit != 0 {
                break;
            }
            if sample.responded_at <= sent_at && promised <= sample.position.term {
                sample.confirmed_by |= bit;
            }
        }
    }

    /// Returns an upper bound of the age at `now` of data at position `applied`; `None` if unknown.
    #[must_use]
    pub fn max_staleness(&self, applied: Position, now: Instant) -> Option<Duration> {
        self.samples
            .iter()
            .rev()
            .find(|sample| self.is_confirmed(sample) && applied.satisfies(sample.position))
            .map(|sample| now.saturating_duration_since(sample.sent_at))
    }

    /// Returns the age at `now` of the last proof that the primary of `term` was not replaced.
    #[must_use]
    pub fn primary_proof_age(&self, term: Term, now: Instant) -> Option<Duration> {
        self.samples
            .iter()
            .rev()
            .find(|sample| self.is_confirmed(sample) && sample.position.term == term)
            .map(|sample| now.saturating_duration_since(sample.sent_at))
    }

    /// Estimates how far a replica at position `applied` lagged behind the primary at time `at`.
    ///
    /// The lag is measured from the first sample that the replica did not satisfy and is therefore
    /// underestimated. It may guide the choice of a server but does not prove the age of its data.
    #[must_use]
    pub fn lag(&self, applied: Position, at: Instant) -> Duration {
        let first_missing = self
            .samples
            .iter()
            .rev()
            .take_while(|sample| !applied.satisfies(sample.position))
            .last();
        first_missing.map_or(Duration::ZERO, |sample| {
            at.saturating_duration_since(sample.sent_at)
        })
    }

    fn is_confirmed(&self, sample: &Sample) -> bool {
        sample.confirmed_by.count_ones() >= self.required_confirmations
    }
}
