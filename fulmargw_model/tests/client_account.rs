//! Keys of client accounts.

use fulmargw_model::{
    client_account::{Account, Digest},
    name::Name,
};

fn account(keys: &[&[u8]]) -> Account {
    Account {
        name: Name::new("workshop"),
        rate: 10.0,
        burst: 5.0,
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
    }
}

#[test]
fn each_of_several_keys_is_accepted_and_others_are_not() {
    let account = account(&[b"first", b"second"]);

    let accepted = [&b"first"[..], b"second", b"third", b""].map(|key| account.accepts(key));

    assert_eq!(accepted, [true, true, false, false]);
}

/// Guards against a debug dump that shows a whole digest.
#[test]
fn the_debug_form_shows_only_the_start_of_a_digest() {
    let digest = Digest::of(b"first");

    let text = format!("{digest:?}");

    assert!(!text.contains(&digest.to_string()));
    assert!(text.len() < 20, "{text}");
}
