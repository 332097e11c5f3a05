//! Measures the memory of idle client connections and the processor time of statements.

use super::{
    process,
    report::{Report, float},
    testbed::{Settings, Testbed, lab_account},
};
use crate::load::client::{Caller, Client};
use std::{io, time::Duration};
use tokio::time::{self, Instant};

/// Numbers of connections to one host that are compared.
const SIZES: [usize; 4] = [0, 500, 1000, 2000];
/// Number of connections that are opened concurrently.
const CONCURRENT_CONNECTS: usize = 50;
/// Delay between the opening of connections and the reading of the memory.
const READ_DELAY: Duration = Duration::from_millis(500);
/// Number of statements that are sent over the connections in turn.
const STATEMENTS: usize = 4000;

/// Opens connections in steps and measures the memory of the host after each step.
pub async fn run(settings: &Settings, report: &mut Report) -> io::Result<()> {
    report.note(format!(
        "idle connections on one host after one statement each; processor time over \
         {STATEMENTS} aged reads, one after the other, each on another connection"
    ));
    for _ in settings.seeds() {
        let testbed = settings.fleet().await?;
        measure(&testbed, report).await?;
        testbed.end()?;
    }
    Ok(())
}

async fn measure(testbed: &Testbed, report: &mut Report) -> io::Result<()> {
    let id = testbed.process_id("h1")?;
    let mut clients = Vec::new();
    let mut base = 0.0;
    for size in SIZES {
        while clients.len() < size {
            let wanted = CONCURRENT_CONNECTS.min(size - clients.len());
            let opened = (0..wanted).map(|_| open(testbed));
            for client in futures::future::join_all(opened).await {
                clients.push(client?);
            }
        }
        time::sleep(READ_DELAY).await;
        let memory = process::resident_memory(id)?;
        let name = format!("resident memory with {size} connections");
        report.add(&name, "MiB", memory / 1024.0);
        if size == 0 {
            base = memory;
            continue;
        }
        let each = (memory - base) / float(size);
        report.add(&format!("memory per connection at {size}"), "KiB", each);
    }
    measure_statements(id, &mut clients, report).await
}

async fn open(testbed: &Testbed) -> io::Result<Client> {
    let account = lab_account();
    let caller = Caller {
        account: &account.name,
        key: &account.key,
        route: "aged",
    };
    let client = Client::connect(testbed.frontend_addresses()[0], caller).await;
    let mut client = client.map_err(io::Error::other)?;
    run_statement(&mut client).await?;
    Ok(client)
}

async fn run_statement(client: &mut Client) -> io::Result<()> {
    let response = client.query("SELECT value FROM kv WHERE key = 'k'").await;
    response.map(|_| ()).map_err(io::Error::other)
}

async fn measure_statements(
    id: u32,
    clients: &mut [Client],
    report: &mut Report,
) -> io::Result<()> {
    let before = process::processor_time(id)?;
    let begin = Instant::now();
    let count = clients.len();
    for number in 0..STATEMENTS {
        run_statement(&mut clients[number % count]).await?;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let used = process::processor_time(id)? - before;
    report.add(
        "processor time per statement",
        "us",
        used * 1e6 / float(STATEMENTS),
    );
    report.add("statements per second", "1/s", float(STATEMENTS) / elapsed);
    Ok(())
}
