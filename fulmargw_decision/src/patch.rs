//! Validation and application of configuration patches.

use fulmargw_model::{
    backend_server::Server,
    client_account::{Account, Digest},
    configuration::{Change, Configuration, Patch, Version},
    name::Name,
    route::{Access, Route},
    service::Service,
};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of connections of each host to a server: one for control and one for requests.
pub const CONNECTIONS_PER_HOST: u32 = 2;

/// The result of applying a valid patch.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The patch creates this configuration.
    New(Box<Configuration>),
    /// This patch created the current configuration.
    Already,
}

/// Reasons to reject a patch. No change of a rejected patch is applied.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// the patch was made for version {base:?}, but version {current:?} is in force
    Stale {
        /// Version that the patch is based on.
        base: Version,
        /// Current version.
        current: Version,
    },
    /// change {number}, {path}: {fault}
    Invalid {
        /// Number of the change in the patch, counted from 1.
        number: usize,
        /// Path of the invalid key.
        path: String,
        /// Fault of its value.
        fault: Fault,
    },
    /// the patch has no changes
    Empty,
    /// the patch id needs 1 to 63 ASCII letters, digits, "-", "_" or "."
    Id,
}

impl std::error::Error for Error {}

/// The fault of an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Fault {
    /// a name has 1 to 63 ASCII letters, digits, "-", "_" or "."
    Name,
    /// {0} does not exist
    Missing(String),
    /// {0} is used twice
    Duplicate(String),
    /// must be a finite number greater than 0
    NotPositive,
    /// must be at least {0}
    TooSmall(u32),
    /// is still used by {0}
    InUse(String),
}

/// Applies a patch to the current configuration.
///
/// `hosts` is the number of hosts that share each connection limit. The patch must have an id,
/// because the store keeps one row per patch under its id.
///
/// # Errors
///
/// Returns an error if the patch is stale, has no changes or no valid id, or if a change is
/// invalid; the error then names the change.
pub fn apply(current: &Configuration, patch: &Patch, hosts: u32) -> Result<Applied, Error> {
    if patch.id == current.patch && !patch.id.is_empty() {
        return Ok(Applied::Already);
    }
    if patch.base != current.version {
        return Err(Error::Stale {
            base: patch.base,
            current: current.version,
        });
    }
    if patch.changes.is_empty() {
        return Err(Error::Empty);
    }
    if !Name::new(&patch.id).is_valid() {
        return Err(Error::Id);
    }
    let mut next = current.clone();
    next.version = Version(current.version.0 + 1);
    next.patch.clone_from(&patch.id);
    let mut changed_paths = BTreeMap::new();
    for (index, change) in patch.changes.iter().enumerate() {
        let number = index + 1;
        apply_change(&mut next, change, hosts).map_err(|located| located.into_error(number))?;
        changed_paths.insert(entry_path(change), number);
    }
    check_references(&next).map_err(|located| {
        let candidates = located
            .causes
            .iter()
            .filter_map(|cause| changed_paths.get(cause));
        let number = candidates.copied().max().unwrap_or(patch.changes.len());
        located.into_error(number)
    })?;
    Ok(Applied::New(Box::new(next)))
}

/// A fault with the path of the invalid key, and the paths of the entries whose change can
/// cause it.
struct LocatedFault {
    path: String,
    causes: Vec<String>,
    fault: Fault,
}

impl LocatedFault {
    fn new(path: String, fault: Fault) -> Self {
        Self {
            causes: Vec::new(),
            path,
            fault,
        }
    }

    fn into_error(self, number: usize) -> Error {
        Error::Invalid {
            number,
            path: self.path,
            fault: self.fault,
        }
    }
}

fn entry_path(change: &Change) -> String {
    match change {
        Change::PutService(Service { name, .. }) | Change::RemoveService(name) => {
            service_path(name)
        }
        Change::PutServer { service, .. } | Change::RemoveServer { service, .. } => {
            service_path(service)
        }
        Change::PutAccount(Account { name, .. }) | Change::RemoveAccount(name) => {
            account_path(name)
        }
        Change::AddKey { account, .. } | Change::WithdrawKey { account, .. } => {
            account_path(account)
        }
        Change::PutRoute(Route { name, .. }) | Change::RemoveRoute(name) => route_path(name),
    }
}

fn service_path(name: &Name) -> String {
    format!("services.{name}")
}

fn account_path(name: &Name) -> String {
    format!("accounts.{name}")
}

fn route_path(name: &Name) -> String {
    format!("routes.{name}")
}

fn apply_change(next: &mut Configuration, change: &Change, hosts: u32) -> Result<(), LocatedFault> {
    match change {
        Change::PutService(service) => put_service(next, service, hosts),
        Change::RemoveService(name) => remove(&mut next.services, name, &service_path(name)),
        Change::PutServer { service, server } => put_server(next, service, server, hosts),
        Change::RemoveServer { service, server } => remove_server(next, service, server),
        Change::PutAccount(account) => put_account(next, account),
        Change::RemoveAccount(name) => remove(&mut next.accounts, name, &account_path(name)),
        Change::AddKey { account, digest } => add_key(next, account, *digest),
        Change::WithdrawKey { account, digest } => withdraw_key(next, account, *digest),
        Change::PutRoute(route) => put_route(next, route),
        Change::RemoveRoute(name) => remove(&mut next.routes, name, &route_path(name)),
    }
}

fn remove<T>(map: &mut BTreeMap<Name, T>, name: &Name, path: &str) -> Result<(), LocatedFault> {
    let missing = || LocatedFault::new(path.to_owned(), Fault::Missing(path.to_owned()));
    map.remove(name).map(drop).ok_or_else(missing)
}

fn check_name(name: &Name, path: &str) -> Result<(), LocatedFault> {
    let valid = name.is_valid();
    valid
        .then_some(())
        .ok_or_else(|| LocatedFault::new(format!("{path}.name"), Fault::Name))
}

fn put_service(
    next: &mut Configuration,
    service: &Service,
    hosts: u32,
) -> Result<(), LocatedFault> {
    let path = service_path(&service.name);
    check_name(&service.name, &path)?;
    let mut names = BTreeSet::new();
    for server in &service.servers {
        check_server(server, &path, hosts)?;
        if !names.insert(&server.name) {
            let path = format!("{path}.servers.{}.name", server.name);
            return Err(LocatedFault::new(
                path,
                Fault::Duplicate(server.name.to_string()),
            ));
        }
    }
    next.services.insert(service.name.clone(), service.clone());
    Ok(())
}

fn find_service<'a>(
    next: &'a mut Configuration,
    name: &Name,
) -> Result<&'a mut Service, LocatedFault> {
    let path = service_path(name);
    let missing = || LocatedFault::new(path.clone(), Fault::Missing(path.clone()));
    next.services.get_mut(name).ok_or_else(missing)
}

fn put_server(
    next: &mut Configuration,
    service: &Name,
    server: &Server,
    hosts: u32,
) -> Result<(), LocatedFault> {
    check_server(server, &service_path(service), hosts)?;
    let servers = &mut find_service(next, service)?.servers;
    match servers.iter_mut().find(|known| known.name == server.name) {
        Some(known) => *known = server.clone(),
        None => servers.push(server.clone()),
    }
    Ok(())
}

fn remove_server(
    next: &mut Configuration,
    service: &Name,
    server: &Name,
) -> Result<(), LocatedFault> {
    let servers = &mut find_service(next, service)?.servers;
    let path = format!("{}.servers.{server}", service_path(service));
    let index = servers.iter().position(|known| known.name == *server);
    let missing = || LocatedFault::new(path.clone(), Fault::Missing(path.clone()));
    servers.remove(index.ok_or_else(missing)?);
    Ok(())
}

fn check_server(server: &Server, service: &str, hosts: u32) -> Result<(), LocatedFault> {
    let path = format!("{service}.servers.{}", server.name);
    check_name(&server.name, &path)?;
    check_name(&server.zone.0, &format!("{path}.zone"))?;
    if server.slots < 1 {
        return Err(LocatedFault::new(
            format!("{path}.slots"),
            Fault::TooSmall(1),
        ));
    }
    let min_connections = CONNECTIONS_PER_HOST * hosts.max(1);
    if server.connections < min_connections {
        return Err(LocatedFault::new(
            format!("{path}.connections"),
            Fault::TooSmall(min_connections),
        ));
    }
    Ok(())
}

fn put_account(next: &mut Configuration, account: &Account) -> Result<(), LocatedFault> {
    let path = account_path(&account.name);
    check_name(&account.name, &path)?;
    check_positive(account.rate, &path, "rate")?;
    check_positive(account.burst, &path, "burst")?;
    let mut keys = BTreeSet::new();
    for digest in &account.keys {
        if !keys.insert(digest.to_string()) {
            let fault = Fault::Duplicate(format!("{digest:?}"));
            return Err(LocatedFault::new(format!("{path}.keys"), fault));
        }
    }
    next.accounts.insert(account.name.clone(), account.clone());
    Ok(())
}

fn check_positive(value: f64, path: &str, key: &str) -> Result<(), LocatedFault> {
    let valid = value.is_finite() && value > 0.0;
    valid
        .then_some(())
        .ok_or_else(|| LocatedFault::new(format!("{path}.{key}"), Fault::NotPositive))
}

fn find_account<'a>(
    next: &'a mut Configuration,
    name: &Name,
) -> Result<&'a mut Account, LocatedFault> {
    let path = account_path(name);
    let missing = || LocatedFault::new(path.clone(), Fault::Missing(path.clone()));
    next.accounts.get_mut(name).ok_or_else(missing)
}

fn add_key(next: &mut Configuration, account: &Name, digest: Digest) -> Result<(), LocatedFault> {
    let keys = &mut find_account(next, account)?.keys;
    if keys.contains(&digest) {
        let path = format!("{}.keys", account_path(account));
        return Err(LocatedFault::new(
            path,
            Fault::Duplicate(format!("{digest:?}")),
        ));
    }
    keys.push(digest);
    Ok(())
}

fn withdraw_key(
    next: &mut Configuration,
    account: &Name,
    digest: Digest,
) -> Result<(), LocatedFault> {
    let keys = &mut find_account(next, account)?.keys;
    let index = keys.iter().position(|known| *known == digest);
    let missing = || {
        let path = format!("{}.keys", account_path(account));
        LocatedFault::new(path, Fault::Missing(format!("{digest:?}")))
    };
    keys.remove(index.ok_or_else(missing)?);
    Ok(())
}

fn put_route(next: &mut Configuration, route: &Route) -> Result<(), LocatedFault> {
    check_name(&route.name, &route_path(&route.name))?;
    next.routes.insert(route.name.clone(), route.clone());
    Ok(())
}

/// Checks the references between entries after all changes are applied, so that a patch may
/// list its changes in any order.
fn check_references(next: &Configuration) -> Result<(), LocatedFault> {
    next.routes
        .values()
        .try_for_each(|route| check_route(next, route))?;
    check_addresses(next)
}

fn check_route(next: &Configuration, route: &Route) -> Result<(), LocatedFault> {
    let path = route_path(&route.name);
    if !next.services.contains_key(&route.service) {
        return Err(LocatedFault {
            path: format!("{path}.service"),
            causes: vec![path, service_path(&route.service)],
            fault: Fault::Missing(service_path(&route.service)),
        });
    }
    let accounts = match &route.access {
        Access::Accounts(names) => names.as_slice(),
        Access::Open(name) => std::slice::from_ref(name),
    };
    let unknown = |name: &&Name| !next.accounts.contains_key(*name);
    match accounts.iter().find(unknown) {
        None => Ok(()),
        Some(name) => Err(LocatedFault {
            path: format!("{path}.access"),
            causes: vec![path, account_path(name)],
            fault: Fault::Missing(account_path(name)),
        }),
    }
}

fn check_addresses(next: &Configuration) -> Result<(), LocatedFault> {
    let mut addresses = BTreeSet::new();
    for service in next.services.values() {
        for server in &service.servers {
            if !addresses.insert(server.address) {
                return Err(LocatedFault {
                    path: format!(
                        "{}.servers.{}.address",
                        service_path(&service.name),
                        server.name
                    ),
                    causes: vec![service_path(&service.name)],
                    fault: Fault::Duplicate(server.address.to_string()),
                });
            }
        }
    }
    Ok(())
}
