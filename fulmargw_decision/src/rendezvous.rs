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
