//! Measures the sizes of the configuration document and the fleet record, and the cost of a patch.

use super::{
    report::{Report, float},
    testbed::Settings,
};
use fulmargw_decision::patch;
use fulmargw_model::{
    availability_zone::Zone,
    backend_server::Server,
    client_account::{Account, Digest},
    configuration::{Change, Configuration, Patch},
    fleet::{Fleet, Generation, Member, State},
    host::{Host, Incarnation},
    name::Name,
    request::{Class, Repeat},
    route::{Access, Route},
    service::Service,
};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

/// Numbers of services in a document. Each service has one client account and three routes.
const SERVICE_COUNTS: [u16; 4] = [3, 100, 400, 1400];
/// Numbers of members in a fleet record.
const MEMBER_COUNTS: [u16; 3] = [4, 64, 640];
/// Number of backend servers of a service.
const SERVERS: u16 = 3;
/// Number of hosts that share each connection limit when a patch is checked.
const SHARING_HOSTS: u32 = 4;

/// Builds, encodes, decodes and patches documents of several sizes.
pub fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note("each service has 3 servers, 1 client account with 2 keys and 3 routes".to_owned());
    for _ in settings.seeds() {
        for services in SERVICE_COUNTS {
            measure_document(services, report)?;
        }
        for members in MEMBER_COUNTS {
            let size = encode(&fleet(members))?.len();
            let name = format!("fleet record of {members} members");
            report.add(&name, "KiB", float(size) / 1024.0);
        }
    }
    Ok(())
}

fn measure_document(services: u16, report: &mut Report) -> io::Result<()> {
    let document = document(services);
    let bytes = encode(&document)?;
    let mut add = |quantity: &str, unit, value| {
        report.add(&format!("{services} services: {quantity}"), unit, value);
    };
    add("document", "KiB", float(bytes.len()) / 1024.0);
    let begin = Instant::now();
    encode(&document)?;
    add("encoding", "ms", elapsed_ms(begin));
    let begin = Instant::now();
    rmp_serde::from_slice::<Configuration>(&bytes).map_err(io::Error::other)?;
    add("decoding", "ms", elapsed_ms(begin));
    let patch = Patch {
        base: document.version,
        id: "measured".to_owned(),
        changes: vec![Change::WithdrawKey {
            account: Name::new("account-0"),
            digest: Digest::of(b"key-0-0"),
        }],
    };
    let begin = Instant::now();
    patch::apply(&document, &patch, SHARING_HOSTS).map_err(io::Error::other)?;
    add("checking and applying a patch", "ms", elapsed_ms(begin));
    add("patch", "B", float(encode(&patch)?.len()));
    Ok(())
}

fn elapsed_ms(begin: Instant) -> f64 {
    begin.elapsed().as_secs_f64() * 1e3
}

fn encode<T: serde::Serialize>(value: &T) -> io::Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(io::Error::other)
}

fn address(network: u8, number: u16, port: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, network, high, low)), port)
}

fn document(services: u16) -> Configuration {
    let mut document = Configuration::default();
    for number in 0..services {
        let service = service(number);
        let account = account(number);
        for (kind, class, repeat) in [
            ("write", Class::Write, Repeat::Once),
            ("current", Class::Current, Repeat::Idempotent),
            (
                "aged",
                Class::Aged(Duration::from_secs(5)),
                Repeat::Idempotent,
            ),
        ] {
            let route = Route {
                name: Name::from(format!("route-{number}-{kind}")),
                service: service.name.clone(),
                class,
                repeat,
                access: Access::Accounts(vec![account.name.clone()]),
            };
            document.routes.insert(route.name.clone(), route);
        }
        document.accounts.insert(account.name.clone(), account);
        document.services.insert(service.name.clone(), service);
    }
    document
}

fn service(number: u16) -> Service {
    let server = |index: u16| Server {
        name: Name::from(format!("server-{index}")),
        zone: Zone(Name::from(format!("zone-{index}"))),
        address: address(1, number * SERVERS + index, 5432),
        slots: 5,
        connections: 60,
        leaving: false,
    };
    Service {
        name: Name::from(format!("service-{number}")),
        servers: (0..SERVERS).map(server).collect(),
    }
}

fn account(number: u16) -> Account {
    Account {
        name: Name::from(format!("account-{number}")),
        rate: 100.0,
        burst: 50.0,
        keys: (0..2)
            .map(|key| Digest::of(format!("key-{number}-{key}").as_bytes()))
            .collect(),
    }
}

fn fleet(members: u16) -> Fleet {
    let member = |number: u16| Member {
        host: Host {
            name: Name::from(format!("host-{number}")),
            zone: Zone(Name::from(format!("zone-{}", number % 6))),
            address: address(0, number, 7000),
            document_address: address(0, number, 7001),
        },
        incarnation: Incarnation(u64::from(number)),
        state: State::Active,
    };
    Fleet {
        generation: Generation(u64::from(members)),
        members: (0..members).map(member).collect(),
    }
}
