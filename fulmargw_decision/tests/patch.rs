//! Validation and application of patches.

use fulmargw_decision::patch::{Applied, Error, Fault, apply};
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::Server,
    client_account::{Account, Digest},
    configuration::{Change, Configuration, Patch, Version},
    name::Name,
    request::{Class, Repeat},
    route::{Access, Route},
    service::Service,
};
use quickcheck::quickcheck;
use std::net::SocketAddr;

const HOLDERS: u32 = 4;

fn server(name: &str, port: u16) -> Server {
    Server {
        name: Name::new(name),
        zone: Zone(Name::new("z1")),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        slots: 2,
        connections: 16,
        leaving: false,
    }
}

fn service(name: &str, port: u16) -> Service {
    Service {
        name: Name::new(name),
        servers: vec![server("s1", port), server("s2", port + 1)],
    }
}

fn account(name: &str) -> Account {
    Account {
        name: Name::new(name),
        rate: 10.0,
        burst: 20.0,
        keys: vec![Digest::of(b"secret")],
    }
}

fn route(name: &str, service: &str, account: &str) -> Route {
    Route {
        name: Name::new(name),
        service: Name::new(service),
        class: Class::Write,
        repeat: Repeat::Idempotent,
        access: Access::Accounts(vec![Name::new(account)]),
    }
}

fn patch(base: u64, changes: Vec<Change>) -> Patch {
    Patch {
        base: Version(base),
        id: "p1".to_owned(),
        changes,
    }
}

fn filled() -> Configuration {
    let changes = vec![
        Change::PutRoute(route("write", "orders", "shop")),
        Change::PutService(service("orders", 5000)),
        Change::PutAccount(account("shop")),
    ];
    match apply(&Configuration::default(), &patch(0, changes), HOLDERS) {
        Ok(Applied::New(next)) => *next,
        other => panic!("the patch is valid: {other:?}"),
    }
}

/// Applies one change to the filled configuration under another patch id.
fn change(change: Change) -> Result<Applied, Error> {
    let patch = Patch {
        id: "p2".to_owned(),
        ..patch(1, vec![change])
    };
    apply(&filled(), &patch, HOLDERS)
}

fn invalid(change_: Change) -> (String, Fault) {
    match change(change_) {
        Err(Error::Invalid {
            number: 1,
            path,
            fault,
        }) => (path, fault),
        other => panic!("expected a fault in change 1: {other:?}"),
    }
}

/// Guards against references that have to be created in a certain order.
#[test]
fn a_valid_patch_makes_the_next_version() {
    let next = filled();

    assert_eq!(next.version, Version(1));
    assert_eq!(next.patch, "p1");
    assert_eq!(next.routes.len(), 1);
}

/// Guards against a lost answer that makes a patch look stale.
#[test]
fn the_same_patch_is_already_applied() {
    let again = patch(0, vec![Change::PutAccount(account("shop"))]);

    assert_eq!(apply(&filled(), &again, HOLDERS), Ok(Applied::Already));
}

/// Guards against a patch that undoes another one which its author has not seen.
#[test]
fn a_stale_patch_tells_the_current_version() {
    let stale = Patch {
        id: "p2".to_owned(),
        ..patch(0, vec![Change::PutAccount(account("shop"))])
    };

    let expected = Error::Stale {
        base: Version(0),
        current: Version(1),
    };
    assert_eq!(apply(&filled(), &stale, HOLDERS), Err(expected));
}

/// Guards against faults that are accepted or whose place is not named.
#[test]
fn faults_name_the_change_and_the_key() {
    let zero = Account {
        rate: 0.0,
        ..account("shop")
    };
    let infinite = Account {
        burst: f64::INFINITY,
        ..account("shop")
    };
    let slots = Server {
        slots: 0,
        ..server("s1", 5000)
    };
    let connections = Server {
        connections: 7,
        ..server("s1", 5000)
    };
    let put = |server| Change::PutServer {
        service: Name::new("orders"),
        server,
    };
    let cases = [
        (
            Change::PutAccount(zero),
            "accounts.shop.rate",
            Fault::NotPositive,
        ),
        (
            Change::PutAccount(infinite),
            "accounts.shop.burst",
            Fault::NotPositive,
        ),
        (
            put(slots),
            "services.orders.servers.s1.slots",
            Fault::TooSmall(1),
        ),
        (
            put(connections),
            "services.orders.servers.s1.connections",
            Fault::TooSmall(8),
        ),
        (
            put(server("s3", 5001)),
            "services.orders.servers.s3.address",
            Fault::Duplicate("127.0.0.1:5001".to_owned()),
        ),
        (
            Change::PutAccount(account("a b")),
            "accounts.a b.name",
            Fault::Name,
        ),
        (
            Change::RemoveRoute(Name::new("none")),
            "routes.none",
            Fault::Missing("routes.none".to_owned()),
        ),
        (
            Change::RemoveAccount(Name::new("shop")),
            "routes.write.access",
            Fault::Missing("accounts.shop".to_owned()),
        ),
        (
            Change::RemoveService(Name::new("orders")),
            "routes.write.service",
            Fault::Missing("services.orders".to_owned()),
        ),
        (
            Change::PutRoute(route("read", "none", "shop")),
            "routes.read.service",
            Fault::Missing("services.none".to_owned()),
        ),
    ];
    for (change, path, fault) in cases {
        assert_eq!(invalid(change), (path.to_owned(), fault));
    }
}

/// Guards against the withdrawal of a key that the account does not have.
#[test]
fn only_existing_keys_are_withdrawn() {
    let withdraw = |key: &[u8]| Change::WithdrawKey {
        account: Name::new("shop"),
        digest: Digest::of(key),
    };

    let (path, _) = invalid(withdraw(b"other"));
    let Ok(Applied::New(next)) = change(withdraw(b"secret")) else {
        panic!("the key exists");
    };

    assert_eq!(path, "accounts.shop.keys");
    assert!(!next.accounts["shop"].accepts(b"secret"));
}

/// Guards against a fault whose message names the wrong change.
#[test]
fn the_faulty_change_is_named_among_several() {
    let changes = vec![
        Change::PutAccount(account("other")),
        Change::PutRoute(route("read", "none", "shop")),
        Change::PutAccount(account("third")),
    ];
    let several = Patch {
        id: "p2".to_owned(),
        ..patch(1, changes)
    };

    let refused = apply(&filled(), &several, HOLDERS);

    assert!(
        matches!(refused, Err(Error::Invalid { number: 2, .. })),
        "{refused:?}"
    );
}

quickcheck! {
    /// Guards against a panic or a partly applied patch for unusual values.
    fn rates_are_finite_and_positive(rate: f64, burst: f64) -> bool {
        let put = Change::PutAccount(Account { rate, burst, ..account("shop") });
        let valid = |value: f64| value.is_finite() && value > 0.0;
        change(put).is_ok() == (valid(rate) && valid(burst))
    }

    /// Guards against an empty id, under which the store would keep no row.
    fn ids_are_names(id: String) -> bool {
        let valid = Name::new(&id).is_valid();
        let patch = Patch { id, ..patch(1, vec![Change::PutAccount(account("shop"))]) };
        let applied = apply(&filled(), &patch, HOLDERS);
        applied.is_ok() == valid
    }
}
