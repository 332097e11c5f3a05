//! The first configuration of a fleet, with one service.

use super::layout::{Layout, Options};
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::Server,
    client_account::{Account, Digest},
    configuration::{Change, Patch, Version},
    name::Name,
    request::{Class, Repeat},
    route::{Access, Route},
    service::Service,
};
use std::time::Duration;

/// Name of the service.
pub const SERVICE: &str = "kv";
/// Greatest staleness that the route of aged reads accepts.
pub const MAX_STALENESS: Duration = Duration::from_secs(2);

/// Returns a patch that turns the empty configuration into the configuration of the fleet.
pub fn patch(options: &Options, layout: &Layout) -> Patch {
    let mut changes = vec![Change::PutService(service(options, layout))];
    let accounts = options.accounts.iter().map(|account| Account {
        name: Name::new(&account.name),
        rate: account.rate * 2.0,
        burst: account.rate * 2.0,
        keys: vec![Digest::of(account.key.as_bytes())],
    });
    changes.extend(accounts.map(Change::PutAccount));
    let names = options.accounts.iter();
    let names: Vec<Name> = names.map(|account| Name::new(&account.name)).collect();
    changes.extend(routes(&names).map(Change::PutRoute));
    Patch {
        base: Version(0),
        id: "lab-initial".to_owned(),
        changes,
    }
}

/// Returns one route for each consistency class, which the given client accounts may use.
#[must_use]
pub fn routes(accounts: &[Name]) -> [Route; 3] {
    let routes = [
        ("write", Class::Write, Repeat::Once),
        ("current", Class::Current, Repeat::Idempotent),
        ("aged", Class::Aged(MAX_STALENESS), Repeat::Idempotent),
    ];
    routes.map(|(name, class, repeat)| Route {
        name: Name::new(name),
        service: Name::new(SERVICE),
        class,
        repeat,
        access: Access::Accounts(accounts.to_vec()),
    })
}

fn service(options: &Options, layout: &Layout) -> Service {
    let servers = layout.servers.iter().map(|server| Server {
        name: Name::new(&server.name),
        zone: Zone(Name::new(&format!("zone-{}", server.name))),
        address: server.relayed,
        slots: options.slots,
        connections: options.max_connections,
        leaving: false,
    });
    Service {
        name: Name::new(SERVICE),
        servers: servers.collect(),
    }
}
