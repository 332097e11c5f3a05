//! Validation and application of configuration patches.

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

const HOSTS: u32 = 4;

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

fn valid_configuration() -> Configuration {
    let changes = vec![
        Change::PutRoute(route("write", "orders", "shop")),
        Change::PutService(service("orders", 5000)),
        Change::PutAccount(account("shop")),
    ];
    match apply(&Configuration::default(), &patch(0, changes), HOSTS) {
        Ok(Applied::New(next)) => *next,
        other => panic!("the patch is valid: {other:?}"),
    }
}

/// Applies a patch with a single change and another id to the valid configuration.
fn apply_one(change: Change) -> Result<Applied, Error> {
    let patch = Patch {
        id: "p2".to_owned(),
        ..patch(1, vec![change])
    };
    apply(&valid_configuration(), &patch, HOSTS)
}

fn expect_fault(change: Change) -> (String, Fault) {
    match apply_one(change) {
        Err(Error::Invalid {
            number: 1,
            path,
            fault,
        }) => (path, fault),
        other => panic!("expected a fault in change 1: {other:?}"),
    }
}

/// Guards against a patch that is rejected because an entry precedes the entries it refers to.
#[test]
fn valid_patch_creates_the_next_version() {
    let next = valid_configuration();

    assert_eq!(next.version, Version(1));
    assert_eq!(next.patch, "p1");
    assert_eq!(next.routes.len(), 1);
}

/// Guards against a patch that is reported as stale when an operator submits it again after a lost
/// response.
#[test]
fn resubmitted_patch_is_already_applied() {
    let again = patch(0, vec![Change::PutAccount(account("shop"))]);

    assert_eq!(
        apply(&valid_configuration(), &again, HOSTS),
        Ok(Applied::Already)
    );
}

/// Guards against a patch that overwrites changes which its author has not seen.
#[test]
fn stale_patch_is_rejected_with_the_current_version() {
    let stale = Patch {
        id: "p2".to_owned(),
        ..patch(0, vec![Change::PutAccount(account("shop"))])
    };

    let expected = Error::Stale {
        base: Version(0),
        current: Version(1),
    };
    assert_eq!(apply(&valid_configuration(), &stale, HOSTS), Err(expected));
}

/// Guards against invalid values that are accepted or reported without their change and key.
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
        assert_eq!(expect_fault(change), (path.to_owned(), fault));
    }
}

/// Guards against a withdrawal that succeeds although the account does not have the key.
#[test]
fn only_existing_keys_can_be_withdrawn() {
    let withdraw = |key: &[u8]| Change::WithdrawKey {
        account: Name::new("shop"),
        digest: Digest::of(key),
    };

    let (path, _) = expect_fault(withdraw(b"other"));
    let Ok(Applied::New(next)) = apply_one(withdraw(b"secret")) else {
        panic!("the key exists");
    };

    assert_eq!(path, "accounts.shop.keys");
    assert!(!next.accounts["shop"].accepts(b"secret"));
}

/// Guards against an error that names the wrong one of several changes.
#[test]
fn fault_names_the_invalid_one_of_several_changes() {
    let changes = vec![
        Change::PutAccount(account("other")),
        Change::PutRoute(route("read", "none", "shop")),
        Change::PutAccount(account("third")),
    ];
    let several = Patch {
        id: "p2".to_owned(),
        ..patch(1, changes)
    };

    let refused = apply(&valid_configuration(), &several, HOSTS);

    assert!(
        matches!(refused, Err(Error::Invalid { number: 2, .. })),
        "{refused:?}"
    );
}

quickcheck! {
    /// Guards against a panic on unusual rates, and against rates that are not finite and positive.
    fn rates_must_be_finite_and_positive(rate: f64, burst: f64) -> bool {
        let put = Change::PutAccount(Account { rate, burst, ..account("shop") });
        let valid = |value: f64| value.is_finite() && value > 0.0;
        apply_one(put).is_ok() == (valid(rate) && valid(burst))
    }

    /// Guards against an empty id, under which the store would keep no row.
    fn patch_id_must_be_a_valid_name(id: String) -> bool {
        let valid = Name::new(&id).is_valid();
        let patch = Patch { id, ..patch(1, vec![Change::PutAccount(account("shop"))]) };
        let applied = apply(&valid_configuration(), &patch, HOSTS);
        applied.is_ok() == valid
    }
}
