//! Rendezvous hashing.

use fulmargw_decision::rendezvous::{rank, ranking};
use fulmargw_model::name::Name;
use quickcheck::quickcheck;

fn names(count: u8) -> Vec<Name> {
    (0..count)
        .map(|number| Name::new(&format!("h{number}")))
        .collect()
}

quickcheck! {
    /// Guards against hosts that rank the same members differently.
    fn the_order_of_members_does_not_matter(key: Vec<u8>, count: u8) -> bool {
        let members = names(count % 16);
        let reversed: Vec<Name> = members.iter().rev().cloned().collect();
        ranking(&key, &members) == ranking(&key, &reversed)
    }

    /// Guards against a ranking that is shuffled when one member goes.
    fn the_others_keep_their_order_when_a_member_goes(key: Vec<u8>, count: u8, gone: u8) -> bool {
        let members = names(count % 15 + 1);
        let gone = &members[usize::from(gone) % members.len()];
        let left = members.iter().filter(|member| *member != gone);
        let expected: Vec<&Name> = ranking(&key, &members)
            .into_iter()
            .filter(|member| *member != gone)
            .collect();
        ranking(&key, left) == expected
    }
}

/// Guards against a hash that differs between builds: hosts of two releases must agree.
#[test]
fn the_ranking_is_stable() {
    let members = names(4);

    let ranks: Vec<usize> = members
        .iter()
        .map(|member| rank(b"orders/7", member, &members))
        .collect();

    assert_eq!(ranks, [1, 3, 0, 2]);
}

/// Guards against a host outside the members that goes first.
#[test]
fn an_unknown_member_comes_last() {
    let members = names(3);

    assert_eq!(rank(b"key", &Name::new("x"), &members), 3);
}
