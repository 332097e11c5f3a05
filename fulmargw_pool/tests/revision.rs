//! Order of revisions and of the fencing tokens that come from them.

use fulmargw_pool::store::Revision;
use quickcheck::QuickCheck;

fn revision(era: u16, number: u32) -> Revision {
    Revision {
        era: era.into(),
        number: number.into(),
    }
}

/// Guards against a fencing token that is not greater than the tokens of all earlier claims, in the
/// same era or an earlier one.
#[test]
fn fencing_tokens_have_the_order_of_revisions() {
    fn property(one: (u16, u32), other: (u16, u32)) -> bool {
        let (one, other) = (revision(one.0, one.1), revision(other.0, other.1));
        one.cmp(&other) == one.fencing_token().cmp(&other.fencing_token())
    }
    QuickCheck::new().quickcheck(property as fn((u16, u32), (u16, u32)) -> bool);

    assert!(revision(2, 1).fencing_token() > revision(1, u32::MAX).fencing_token());
}
