//! Measures the latency and processor time that one host adds to a statement.

use super::{
    process,
    report::{Goal, Report, float, quantile},
    stream::Kind,
    testbed::{Settings, Testbed, lab_account},
};
use crate::{
    fleet::layout::Options,
    load::client::{Caller, Client},
};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};
use tokio_postgres::{Config, NoTls};

/// Number of statements in a block. Blocks sent directly to the primary alternate with blocks sent
/// through the host.
const BLOCK_STATEMENTS: usize = 100;
/// Number of blocks for each path and kind of statement.
const BLOCKS: usize = 10;
/// Number of connections that send concurrently while the processor time is measured.
const CONNECTIONS: usize = 16;
/// Increase of the connection limit of a backend server, for direct connections. It is less than the
/// number of hosts, so that the share of each host does not grow with the limit.
const DIRECT_CONNECTIONS: u32 = 3;
/// Duration of the load during which the processor time is measured.
const LOAD_DURATION: Duration = Duration::from_millis(1500);

/// Measures each kind of statement in each run.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(
        "no added latency and no relay; the direct write is not confirmed by a replica, the \
         write through the host is"
            .to_owned(),
    );
    for _ in settings.seeds() {
        let testbed = settings.fleet_with(|options| Options {
            network_delay: Duration::ZERO,
            uses_relay: false,
            max_connections: options.max_connections + DIRECT_CONNECTIONS,
            ..options
        });
        let testbed = testbed.await?;
        // The host opens its connections to backend servers in the background.
        time::sleep(Duration::from_millis(500)).await;
        let kinds = [(Kind::Aged, "aged read"), (Kind::Current, "current read")];
        for (kind, name) in kinds.into_iter().chain([(Kind::Append, "write")]) {
            latency(&testbed, kind, name, report).await?;
            throughput(&testbed, kind, name, report).await?;
        }
        testbed.end()?;
    }
    Ok(())
}

fn statement(kind: Kind) -> &'static str {
    match kind {
        Kind::Append => "UPDATE kv SET value = 'v' WHERE key = 'k'",
        Kind::Current | Kind::Aged => "SELECT value FROM kv WHERE key = 'k'",
    }
}

async fn latency(testbed: &Testbed, kind: Kind, name: &str, report: &mut Report) -> io::Result<()> {
    let text = statement(kind);
    let primary = testbed.layout().servers[0].direct;
    let (direct, _connection) = connect_directly(primary).await.map_err(io::Error::other)?;
    let mut through = connect_through(testbed.frontend_addresses()[0], kind).await?;
    let (mut direct_ms, mut through_ms) = (Vec::new(), Vec::new());
    for _ in 0..BLOCKS {
        for _ in 0..BLOCK_STATEMENTS {
            let begin = Instant::now();
            let response = direct.simple_query(text).await;
            response.map_err(io::Error::other)?;
            direct_ms.push(begin.elapsed().as_secs_f64() * 1e3);
        }
        for _ in 0..BLOCK_STATEMENTS {
            let begin = Instant::now();
            let response = through.query(text).await;
            response.map_err(io::Error::other)?;
            through_ms.push(begin.elapsed().as_secs_f64() * 1e3);
        }
    }
    for (rank, label, goal) in [(0.5, "median", 0.2), (0.99, "p99", 1.0)] {
        let direct_ms = sorted_quantile(&mut direct_ms, rank);
        let through_ms = sorted_quantile(&mut through_ms, rank);
        report.add(&format!("{name}: {label} direct"), "ms", direct_ms);
        report.add(&format!("{name}: {label} through a host"), "ms", through_ms);
        let added = format!("{name}: {label} added");
        report.add_with_goal(&added, "ms", Goal::AtMost(goal), through_ms - direct_ms);
    }
    Ok(())
}

fn sorted_quantile(values: &mut [f64], rank: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    quantile(values, rank).unwrap_or(f64::NAN)
}

/// Connects to a backend server, whose term must be 1. The task that polls the connection is aborted
/// when the returned set is dropped.
async fn connect_directly(
    server: SocketAddr,
) -> Result<(tokio_postgres::Client, JoinSet<()>), tokio_postgres::Error> {
    let mut config = Config::new();
    config.host(server.ip().to_string()).port(server.port());
    config.user("lab").options("-c group.term=1");
    let (client, connection) = config.connect(NoTls).await?;
    let mut poller = JoinSet::new();
    poller.spawn(async {
        // The client returns the error that ends the connection.
        let _ = connection.await;
    });
    Ok((client, poller))
}

async fn connect_through(host: SocketAddr, kind: Kind) -> io::Result<Client> {
    let account = lab_account();
    let caller = Caller {
        account: &account.name,
        key: &account.key,
        route: kind.route(),
    };
    Client::connect(host, caller)
        .await
        .map_err(io::Error::other)
}

async fn throughput(
    testbed: &Testbed,
    kind: Kind,
    name: &str,
    report: &mut Report,
) -> io::Result<()> {
    let id = testbed.process_id("h1")?;
    let host = testbed.frontend_addresses()[0];
    let used = process::processor_time(id)?;
    let begin = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        callers.spawn(run_statements(host, kind, begin + LOAD_DURATION));
    }
    let mut statements = 0;
    while let Some(count) = callers.join_next().await {
        statements += count.map_err(io::Error::other)??;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let used = process::processor_time(id)? - used;
    let statements = float(statements);
    report.add(
        &format!("{name}: statements per second"),
        "1/s",
        statements / elapsed,
    );
    let per_core = statements / used;
    report.add(
        &format!("{name}: statements per second and core"),
        "1/s",
        per_core,
    );
    let each = used * 1e6 / statements;
    report.add(&format!("{name}: processor time per statement"), "us", each);
    Ok(())
}

async fn run_statements(host: SocketAddr, kind: Kind, end: Instant) -> io::Result<usize> {
    let mut client = connect_through(host, kind).await?;
    let mut count = 0;
    while Instant::now() < end {
        let response = client.query(statement(kind)).await;
        response.map_err(io::Error::other)?;
        count += 1;
    }
    Ok(count)
}
