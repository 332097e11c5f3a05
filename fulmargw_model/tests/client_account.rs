//! API keys of client accounts.

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
fn account_accepts_each_of_its_keys_and_no_other() {
    let account = account(&[b"first", b"second"]);

    let accepted = [&b"first"[..], b"second", b"third", b""].map(|key| account.accepts(key));

    assert_eq!(accepted, [true, true, false, false]);
}

/// Guards against a state dump that discloses complete digests.
#[test]
fn debug_output_contains_only_a_digest_prefix() {
    let digest = Digest::of(b"first");

    let text = format!("{digest:?}");

    assert!(!text.contains(&digest.to_string()));
    assert!(text.len() < 20, "{text}");
}
