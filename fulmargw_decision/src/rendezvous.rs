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

/// Returns the place of `member` in the ranking; 0 is first, and a member that is not
/// listed comes after all others.
#[must_use]
pub fn rank<'a>(key: &[u8], member: &Name, members: impl IntoIterator<Item = &'a Name>) -> usize {
    let ranking = ranking(key, members);
    ranking
        .iter()
        .position(|listed| *listed == member)
        .unwrap_or(ranking.len())
}

/// The weight comes from SHA-256 because it has to be equal on hosts of different builds.
fn weight(key: &[u8], member: &Name) -> [u8; 32] {
    Sha256::new()
        .chain_update((key.len() as u64).to_be_bytes())
        .chain_update(key)
        .chain_update(member.as_str())
        .finalize()
        .into()
}
