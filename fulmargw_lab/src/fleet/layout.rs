//! Which processes a fleet has, and where they listen.

use crate::{address, link::relay::Mapping, load::plan::Account};
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

/// What to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Folder with the programs `fulmargw` and `fulmargw_lab`.
    pub program_directory: PathBuf,
    /// Folder for settings and output.
    pub directory: PathBuf,
    /// Number of hosts.
    pub hosts: u8,
    /// Number of backend servers.
    pub servers: u8,
    /// Statements that a backend server runs at the same time.
    pub slots: u32,
    /// Connection limit of a backend server.
    pub max_connections: u32,
    /// Time to open a connection to a backend server.
    pub connect_time: Duration,
    /// Time for which a statement holds a slot.
    pub statement_time: Duration,
    /// One-way delay between hosts, backend servers and the platform.
    pub network_delay: Duration,
    /// Whether traffic to backend servers and the platform passes the relay.
    pub uses_relay: bool,
    /// Further sections of the settings file of each host.
    pub extra_settings: String,
    /// Client accounts; each may use all routes, at twice its rate of the load.
    pub accounts: Vec<Account>,
}

impl Options {
    /// Returns the options of Kalogeropoulos's deployment, with the programs in the target
    /// folder of the running test.
    ///
    /// # Errors
    ///
    /// If the folder of the running program is unknown.
    pub fn new(directory: PathBuf, accounts: Vec<Account>) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let folder = program.parent().and_then(std::path::Path::parent);
        Ok(Self {
            program_directory: folder.map(PathBuf::from).unwrap_or_default(),
            directory,
            hosts: 4,
            servers: 3,
            slots: 2,
            max_connections: 16,
            connect_time: Duration::from_millis(10),
            statement_time: Duration::from_micros(200),
            network_delay: Duration::from_micros(1500),
            uses_relay: true,
            extra_settings: String::new(),
            accounts,
        })
    }
}

/// Addresses of a backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Name.
    pub name: String,
    /// PostgreSQL protocol, without the relay.
    pub direct: SocketAddr,
    /// PostgreSQL protocol through the relay.
    pub relayed: SocketAddr,
    /// Replication, without the relay.
    pub replication: SocketAddr,
    /// Replication through the relay.
    pub replication_relayed: SocketAddr,
    /// Admin interface.
    pub admin: SocketAddr,
}

/// Addresses of a host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Callers.
    pub frontend: SocketAddr,
    /// Other hosts.
    pub peer: SocketAddr,
    /// Documents.
    pub document: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
}

/// Addresses of all processes. Each has its own loopback address, which rules match.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Platform, without the relay.
    pub platform: SocketAddr,
    /// Platform through the relay.
    pub platform_relayed: SocketAddr,
    /// Admin interface of the platform.
    pub platform_admin: SocketAddr,
    /// Admin interface of the relay.
    pub link_admin: SocketAddr,
}

/// Last byte of the loopback address of the platform.
const PLATFORM: u8 = 2;
/// Last byte of the loopback address of the relay.
const LINK: u8 = 3;
/// Last byte of the loopback address of the first backend server.
const SERVERS: u8 = 11;
/// Last byte of the loopback address of the first host.
const HOSTS: u8 = 41;

impl Layout {
    /// Chooses free addresses.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn new(options: &Options) -> io::Result<Self> {
        let mut layout = Self {
            servers: (0..options.servers).map(server).collect::<Result<_, _>>()?,
            hosts: (0..options.hosts).map(host).collect::<Result<_, _>>()?,
            platform: address::free(PLATFORM)?,
            platform_relayed: address::free(LINK)?,
            platform_admin: address::free(PLATFORM)?,
            link_admin: address::free(LINK)?,
        };
        if !options.uses_relay {
            layout.bypass();
        }
        Ok(layout)
    }

    /// Leads all traffic past the relay.
    fn bypass(&mut self) {
        self.platform_relayed = self.platform;
        for server in &mut self.servers {
            server.relayed = server.direct;
            server.replication_relayed = server.replication;
        }
    }

    /// Returns the mappings of the relay: one for the platform, and two for each server.
    /// Traffic that bypasses the relay has none.
    #[must_use]
    pub fn mappings(&self) -> Vec<Mapping> {
        let mapping = |name: String, listen, target| Mapping {
            name,
            listen,
            target,
        };
        let platform = "platform".to_owned();
        let mut mappings = vec![mapping(platform, self.platform_relayed, self.platform)];
        for server in &self.servers {
            let replication = format!("replicate-{}", server.name);
            let target = server.replication;
            mappings.push(mapping(server.name.clone(), server.relayed, server.direct));
            mappings.push(mapping(replication, server.replication_relayed, target));
        }
        mappings.retain(|mapping| mapping.listen != mapping.target);
        mappings
    }
}

fn server(number: u8) -> io::Result<Server> {
    let own = SERVERS + number;
    Ok(Server {
        name: format!("s{}", number + 1),
        direct: address::free(own)?,
        relayed: address::free(LINK)?,
        replication: address::free(own)?,
        replication_relayed: address::free(LINK)?,
        admin: address::free(own)?,
    })
}

fn host(number: u8) -> io::Result<Host> {
    let own = HOSTS + number;
    Ok(Host {
        name: format!("h{}", number + 1),
        frontend: address::free(own)?,
        peer: address::free(own)?,
        document: address::free(own)?,
        operator: address::free(own)?,
    })
}
