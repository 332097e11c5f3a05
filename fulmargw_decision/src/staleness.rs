//! Bound of the age of a replica's data, from samples of the primary's position.

use fulmargw_model::position::{Position, Term};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Samples kept per group; at one each 20 ms they cover about 10 s.
const MOST_SAMPLES: usize = 512;
/// Least time between two samples with the same position.
const SPACING: Duration = Duration::from_millis(20);

/// Positions that the primary of a group reported over time.
///
/// A sample counts only after enough replicas, asked after it was answered, had promised no
/// greater term. Otherwise a replaced primary that a host still reaches would make data look
/// fresh while the new primary accepts writes.
#[derive(Debug, Clone)]
pub struct History {
    samples: VecDeque<Sample>,
    needed: u32,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    asked: Instant,
    answered: Instant,
    position: Position,
    /// One bit for each member that confirmed the sample.
    confirmed: u64,
}

impl History {
    /// Makes an empty history for a group in which `majority` members form a majority.
    #[must_use]
    pub fn new(majority: usize) -> Self {
        Self {
            samples: VecDeque::new(),
            needed: u32::try_from(majority.saturating_sub(1)).unwrap_or(u32::MAX),
        }
    }

    /// Adds a position that the primary of `position.term` reported.
    ///
    /// The index must cover every write that was acknowledged before `asked`.
    pub fn record_sample(&mut self, asked: Instant, answered: Instant, position: Position) {
        if let Some(last) = self.samples.back() {
            if position.term < last.position.term || asked < last.asked {
                return;
            }
            let close = asked.saturating_duration_since(last.asked) < SPACING;
            if close && position == last.position {
                return;
            }
        }
        if self.samples.len() == MOST_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            asked,
            answered,
            position,
            confirmed: 0,
        });
    }

    /// Notes that a replica, asked at `asked`, had promised no term greater than `promised`.
    pub fn record_confirmation(&mut self, member: usize, asked: Instant, promised: Term) {
        let bit = 1_u64 << (member % 64);
        for sample in self.samples.iter_mut().rev() {
            if sample.confirmed & bit != 0 {
                break;
            }
            if sample.answered <= asked && promised <= sample.position.term {
                sample.confirmed |= bit;
            }
        }
    }

    /// Returns an upper bound of the age at `now` of data at `applied`; `None` if unknown.
    #[must_use]
    pub fn max_staleness(&self, applied: Position, now: Instant) -> Option<Duration> {
        self.samples
            .iter()
            .rev()
            .find(|sample| self.is_confirmed(sample) && applied.satisfies(sample.position))
            .map(|sample| now.saturating_duration_since(sample.asked))
    }

    /// Returns the age at `now` of the last proof that the primary of `term` was not replaced.
    #[must_use]
    pub fn primary_proof_age(&self, term: Term, now: Instant) -> Option<Duration> {
        self.samples
            .iter()
            .rev()
            .find(|sample| self.is_confirmed(sample) && sample.position.term == term)
            .map(|sample| now.saturating_duration_since(sample.asked))
    }

    /// Estimates how far a replica at `applied` was behind the primary at `at`.
    ///
    /// The estimate counts from the first sample that the replica lacked and is therefore low;
    /// it may choose a server but does not prove the age of its data.
    #[must_use]
    pub fn lag(&self, applied: Position, at: Instant) -> Duration {
        let lacking = self
            .samples
            .iter()
            .rev()
            .take_while(|sample| !applied.satisfies(sample.position))
            .last();
        lacking.map_or(Duration::ZERO, |sample| {
            at.saturating_duration_since(sample.asked)
        })
    }

    fn is_confirmed(&self, sample: &Sample) -> bool {
        sample.confirmed.count_ones() >= self.needed
    }
}
