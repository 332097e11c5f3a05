//! Command line of the stand-ins and experiments.

use crate::{
    database::{
        process::{self as database, Peer},
        state::Start,
    },
    experiment,
    link::{process as link, relay::Mapping},
    platform::process as platform,
};
use argh::FromArgs;
use std::{future, io, net::SocketAddr, time::Duration};

/// Stand-ins for backend servers, the platform and the network, and experiments.
#[derive(Debug, FromArgs)]
pub struct Command {
    #[argh(subcommand)]
    stand_in: StandIn,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandIn {
    Database(Database),
    Platform(Platform),
    Link(Link),
    Experiment(experiment::Command),
}

/// Runs one backend server of a database group.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "database")]
struct Database {
    /// name of the server
    #[argh(option)]
    name: String,
    /// address of the PostgreSQL protocol
    #[argh(option)]
    listen: SocketAddr,
    /// another server of the group and its replication address, as name=IP:PORT; repeated
    #[argh(option, from_str_fn(parse_peer))]
    peer: Vec<Peer>,
    /// address at which a primary replicates to this server
    #[argh(option)]
    replication_listen: SocketAddr,
    /// number of statements that may run at the same time
    #[argh(option, default = "2")]
    slots: usize,
    /// limit on open connections
    #[argh(option, default = "16")]
    connections: usize,
    /// delay before the response to a start-up message, in milliseconds
    #[argh(option, default = "10")]
    connect_ms: u64,
    /// time for which a statement occupies a slot, in microseconds
    #[argh(option, default = "200")]
    statement_us: u64,
    /// address of the admin interface
    #[argh(option)]
    admin: SocketAddr,
    /// start as the primary of a new group
    #[argh(switch)]
    initial_primary: bool,
    /// start as a replica of a new group; by default the server recovers its data from the others
    #[argh(switch)]
    initial: bool,
    /// end the process if a connection is above the limit or a password message arrives
    #[argh(switch)]
    strict: bool,
}

/// Runs the platform: table service, object store and host list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address of the platform
    #[argh(option)]
    listen: SocketAddr,
    /// address of the admin interface
    #[argh(option)]
    admin: SocketAddr,
}

/// Relays TCP connections, with a delay and rules that drop or reset traffic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "link")]
struct Link {
    /// a mapping, as name=IP:PORT=IP:PORT with the listening address first; repeated
    #[argh(option, from_str_fn(parse_mapping))]
    map: Vec<Mapping>,
    /// one-way delay, in microseconds
    #[argh(option, default = "0")]
    delay_us: u64,
    /// address of the admin interface
    #[argh(option)]
    admin: SocketAddr,
}

fn parse_mapping(text: &str) -> Result<Mapping, String> {
    let malformed = || format!("mapping {text:?} is not name=IP:PORT=IP:PORT");
    let fields: Vec<&str> = text.split('=').collect();
    let [name, listen, target] = fields[..] else {
        return Err(malformed());
    };
    Ok(Mapping {
        name: name.to_owned(),
        listen: listen.parse().map_err(|_| malformed())?,
        target: target.parse().map_err(|_| malformed())?,
    })
}

fn parse_peer(text: &str) -> Result<Peer, String> {
    let malformed = || format!("peer {text:?} is not name=IP:PORT");
    let (name, address) = text.split_once('=').ok_or_else(malformed)?;
    Ok(Peer {
        name: name.to_owned(),
        address: address.parse().map_err(|_| malformed())?,
    })
}

impl Command {
    /// Runs a stand-in until the process is terminated, or an experiment until it is finished.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, or the experiment cannot be run.
    pub async fn run(self) -> io::Result<()> {
        match self.stand_in {
            StandIn::Database(database) => {
                database::start(database.settings()).await?;
            }
            StandIn::Platform(options) => {
                platform::start(options.listen, options.admin).await?;
            }
            StandIn::Link(options) => {
                let delay = Duration::from_micros(options.delay_us);
                link::start(options.map, delay, options.admin).await?;
            }
            StandIn::Experiment(command) => return command.run().await,
        }
        future::pending().await
    }
}

impl Database {
    fn settings(self) -> database::Settings {
        let start = match (self.initial_primary, self.initial) {
            (true, _) => Start::Primary,
            (false, true) => Start::Replica,
            (false, false) => Start::Restarted(self.peer.len() + 1),
        };
        database::Settings {
            name: self.name,
            listen: self.listen,
            replication: self.replication_listen,
            admin: self.admin,
            peers: self.peer,
            slots: self.slots,
            max_connections: self.connections,
            connect_time: Duration::from_millis(self.connect_ms),
            statement_time: Duration::from_micros(self.statement_us),
            start,
            strict: self.strict,
        }
    }
}
