//! Authorisation of callers, and revalidation after configuration changes.

use fulmargw_decision::access::{Grant, authorize};
use fulmargw_model::{
    client_account::{Account, Digest},
    configuration::Configuration,
    name::Name,
    outcome::{Reason, Refusal},
    request::{Class, Repeat},
    route::{Access, Route},
};
use quickcheck::quickcheck;

/// A configuration change while a caller is connected.
type Change = fn(&mut Configuration);

const KEY: &[u8] = b"key of a";

fn account(name: &str, keys: &[&[u8]]) -> Account {
    Account {
        name: name.into(),
        rate: 1.0,
        burst: 1.0,
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
    }
}

fn route(name: &str, access: Access) -> Route {
    Route {
        name: name.into(),
        service: "ledger".into(),
        class: Class::Write,
        repeat: Repeat::Once,
        access,
    }
}

/// Accounts `a` and `b` with one key each, a route `keyed` for `a` only, and a route `open` that
/// requires no key.
fn configuration() -> Configuration {
    let accounts = [account("a", &[KEY]), account("b", &[b"key of b"])];
    let routes = [
        route("keyed", Access::Accounts(vec!["a".into()])),
        route("open", Access::Open("b".into())),
    ];
    Configuration {
        accounts: accounts
            .map(|account| (account.name.clone(), account))
            .into(),
        routes: routes.map(|route| (route.name.clone(), route)).into(),
        ..Configuration::default()
    }
}

fn reason(result: Result<Grant, Refusal>) -> Option<Reason> {
    result.err().map(|refusal| refusal.reason)
}

/// Requirement `own-account`: a valid key must give access to its account and to the service of the
/// route.
#[test]
fn valid_key_is_granted() {
    let configuration = configuration();

    let grant = authorize(&configuration, "keyed", "a", Some(KEY)).unwrap();

    assert_eq!(grant.account, Name::new("a"));
    assert_eq!(grant.service, Name::new("ledger"));
    assert!(grant.key_required);
}

/// Requirement `own-account`: the key of one account must not give access to another account or
/// route.
#[test]
fn key_of_another_account_is_refused() {
    let configuration = configuration();

    let other_account = authorize(&configuration, "keyed", "b", Some(b"key of b"));
    let other_key = authorize(&configuration, "keyed", "a", Some(b"key of b"));
    let no_key = authorize(&configuration, "keyed", "a", None);
    let unknown_account = authorize(&configuration, "keyed", "nobody", Some(KEY));

    for result in [other_account, other_key, no_key, unknown_account] {
        assert_eq!(reason(result), Some(Reason::Key));
    }
}

/// Guards against a caller of an open route that chooses the account its requests count against.
#[test]
fn open_route_uses_its_own_account() {
    let configuration = configuration();

    let grant = authorize(&configuration, "open", "a", None).unwrap();

    assert_eq!(grant.account, Name::new("b"));
    assert!(!grant.key_required);
}

/// Requirement `withdrawn-key`: a connected caller must lose its grant if its key, its access to
/// the route, its account or the route is removed.
#[test]
fn grant_ends_when_any_condition_is_removed() {
    let grant = authorize(&configuration(), "keyed", "a", Some(KEY)).unwrap();
    let changes: [(Change, Reason); 4] = [
        (
            |next| next.accounts.get_mut("a").unwrap().keys.clear(),
            Reason::Key,
        ),
        (|next| drop(next.accounts.remove("a")), Reason::Key),
        (
            |next| next.routes.get_mut("keyed").unwrap().access = Access::Accounts(vec![]),
            Reason::Key,
        ),
        (|next| drop(next.routes.remove("keyed")), Reason::Route),
    ];

    for (change, expected) in changes {
        let mut next = configuration();
        change(&mut next);

        let revalidated = grant.revalidate(&next);

        assert_eq!(reason(revalidated), Some(expected));
    }
}

/// Guards against a key rotation that disconnects callers whose key stays valid.
#[test]
fn grant_survives_the_withdrawal_of_another_key() {
    let mut configuration = configuration();
    let both = account("a", &[KEY, b"second key"]);
    configuration.accounts.insert("a".into(), both);
    let grant = authorize(&configuration, "keyed", "a", Some(b"second key")).unwrap();
    let only = account("a", &[b"second key"]);
    configuration.accounts.insert("a".into(), only);

    let revalidated = grant.revalidate(&configuration);

    assert_eq!(revalidated, Ok(grant));
}

quickcheck! {
    /// Requirement `own-account` for arbitrary input: only the valid account and key are granted.
    fn keyed_route_grants_only_the_valid_key(account: String, key: Vec<u8>) -> bool {
        let granted = authorize(&configuration(), "keyed", &account, Some(&key)).is_ok();
        granted == (account == "a" && key == KEY)
    }

    /// Guards against an unknown route that is granted with the access rules of another one.
    fn unknown_routes_are_refused(name: String) -> bool {
        let known = ["keyed", "open"].contains(&name.as_str());
        known || reason(authorize(&configuration(), &name, "a", Some(KEY))) == Some(Reason::Route)
    }
}
