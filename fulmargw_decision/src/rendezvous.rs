//! Rendezvous hashing: every host computes the same ranking of members for a key.

use fulmargw_model::name::Name;
use sha2::{Digest as _, Sha256};

/// Ranks members for a key, the highest weight first.
#[must_use]
pub fn ranking<'a>(key: &[u8], members: impl IntoIterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|member| (weight(key, member), member))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// Returns the rank of `member` for a key, from 0. A member that is not listed ranks after all
/// others.
#[must_use]
pub fn rank<'a>(key: &[u8], member: &Name, members: impl IntoIterator<Item = &'a Name>) -> usize {
    let ranking = ranking(key, members);
    ranking
        .iter()
        .position(|listed| *listed == member)
        .unwrap_or(ranking.len())
}

/// Returns the weight of a member for a key. It is a SHA-256 digest because it must be equal on
/// hosts that run different builds.
fn weight(key: &[u8], member: &Name) -> [u8; 32] {
    Sha256::new()
        .chain_update((key.len() as u64).to_be_bytes())
        .chain_update(key)
        .chain_update(member.as_str())
        .finalize()
        .into()
}

/// Ranks members for a key so that each is the first one of a part of the keys that is
/// proportional to its share; the highest score first. A member whose share is not positive ranks
/// after all others.
#[must_use]
pub fn weighted_ranking<'a>(
    key: &[u8],
    members: impl IntoIterator<Item = (&'a Name, f64)>,
) -> Vec<&'a Name> {
    let scored = members.into_iter();
    let mut scored: Vec<_> = scored
        .map(|(member, share)| (score(key, member, share), member))
        .collect();
    scored.sort_unstable_by(|(left, left_name), (right, right_name)| {
        right
            .total_cmp(left)
            .then_with(|| left_name.cmp(right_name))
    });
    scored.into_iter().map(|(_, member)| member).collect()
}

/// 2^52, the number of distinct values of the uniform number in a score.
const UNIFORM_RANGE: f64 = 4_503_599_627_370_496.0;

/// Returns the score of a member: its share divided by an exponentially distributed number, which
/// makes the probability of the greatest score proportional to the share.
fn score(key: &[u8], member: &Name, share: f64) -> f64 {
    let digest = weight(key, member);
    let mut leading = [0; 8];
    leading.copy_from_slice(&digest[..8]);
    // The upper 52 bits are exact in a floating-point number, and the half keeps it above 0.
    #[allow(
        clippy::cast_precision_loss,
        reason = "the number has at most 52 significant bits"
    )]
    let numerator = (u64::from_be_bytes(leading) >> 12) as f64 + 0.5;
    let uniform = numerator / UNIFORM_RANGE;
    share.max(0.0) / -uniform.ln()
}
