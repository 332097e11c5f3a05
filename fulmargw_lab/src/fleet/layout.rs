//! The processes of a fleet, and the addresses at which they listen.

use crate::{address, link::relay::Mapping, load::plan::Account};
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

/// Number and properties of the processes of a fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Folder with the programs `fulmargw` and `fulmargw_lab`.
    pub program_directory: PathBuf,
    /// Folder for the settings and the output of the processes.
    pub directory: PathBuf,
    /// Number of hosts.
    pub hosts: u8,
    /// Number of backend servers.
    pub servers: u8,
    /// Number of statements that a backend server runs at the same time.
    pub slots: u32,
    /// Connection limit of a backend server.
    pub max_connections: u32,
    /// Time that a backend server takes to open a connection.
    pub connect_time: Duration,
    /// Time for which a statement occupies a slot.
    pub statement_time: Duration,
    /// One-way delay between hosts, backend servers and the platform.
    pub network_delay: Duration,
    /// Whether traffic to the backend servers and the platform passes through the relay.
    pub uses_relay: bool,
    /// TOML sections that are appended to the settings file of each host.
    pub extra_settings: String,
    /// Client accounts. Each may use all routes, and its rate limit is twice the rate of its load.
    pub accounts: Vec<Account>,
}

impl Options {
    /// Returns the options of the deployment `kalogeropoulos`, with the programs from the target
    /// folder of the running test.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the running program is unknown.
    pub fn new(directory: PathBuf, accounts: Vec<Account>) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let target_folder = program.parent().and_then(std::path::Path::parent);
        Ok(Self {
            program_directory: target_folder.map(PathBuf::from).unwrap_or_default(),
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
    /// Address of the PostgreSQL protocol that bypasses the relay.
    pub direct: SocketAddr,
    /// Address of the PostgreSQL protocol through the relay.
    pub relayed: SocketAddr,
    /// Address of replication that bypasses the relay.
    pub replication: SocketAddr,
    /// Address of replication through the relay.
    pub replication_relayed: SocketAddr,
    /// Address of the admin interface.
    pub admin: SocketAddr,
}

/// Addresses of a host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub frontend: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address at which other hosts fetch configuration documents.
    pub document: SocketAddr,
    /// Address of the operator interface.
    pub operator: SocketAddr,
}

/// Addresses of all processes. Each process has a loopback IP address of its own, so that the rules
/// of the relay can match it.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Address of the platform that bypasses the relay.
    pub platform: SocketAddr,
    /// Address of the platform through the relay.
    pub platform_relayed: SocketAddr,
    /// Address of the platform's admin interface.
    pub platform_admin: SocketAddr,
    /// Address of the relay's admin interface.
    pub link_admin: SocketAddr,
}

/// Last byte of the loopback address of the platform.
const PLATFORM_OCTET: u8 = 2;
/// Last byte of the loopback address of the relay.
const RELAY_OCTET: u8 = 3;
/// Last byte of the loopback address of the first backend server.
const FIRST_SERVER_OCTET: u8 = 11;
/// Last byte of the loopback address of the first host.
const FIRST_HOST_OCTET: u8 = 41;

impl Layout {
    /// Chooses free addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn new(options: &Options) -> io::Result<Self> {
        let mut layout = Self {
            servers: (0..options.servers).map(server).collect::<Result<_, _>>()?,
            hosts: (0..options.hosts).map(host).collect::<Result<_, _>>()?,
            platform: address::free(PLATFORM_OCTET)?,
            platform_relayed: address::free(RELAY_OCTET)?,
            platform_admin: address::free(PLATFORM_OCTET)?,
            link_admin: address::free(RELAY_OCTET)?,
        };
        if !options.uses_relay {
            layout.bypass();
        }
        Ok(layout)
    }

    /// Makes all traffic bypass the relay.
    fn bypass(&mut self) {
        self.platform_relayed = self.platform;
        for server in &mut self.servers {
            server.relayed = server.direct;
            server.replication_relayed = server.replication;
        }
    }

    /// Returns the mappings of the relay: one for the platform, and two for each backend server.
    /// There are none if traffic bypasses the relay.
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
    let octet = FIRST_SERVER_OCTET + number;
    Ok(Server {
        name: format!("s{}", number + 1),
        direct: address::free(octet)?,
        relayed: address::free(RELAY_OCTET)?,
        replication: address::free(octet)?,
        replication_relayed: address::free(RELAY_OCTET)?,
        admin: address::free(octet)?,
    })
}

fn host(number: u8) -> io::Result<Host> {
    let octet = FIRST_HOST_OCTET + number;
    Ok(Host {
        name: format!("h{}", number + 1),
        frontend: address::free(octet)?,
        peer: address::free(octet)?,
        document: address::free(octet)?,
        operator: address::free(octet)?,
    })
}
