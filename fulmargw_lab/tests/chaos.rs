//! Injects faults into a fleet of real processes under load, and checks the history of the load.
//!
//! The environment variable `FULMARGW_CHAOS_SEED` replaces the seeds of all tests.

use fulmargw_lab::{
    database::fault::{Change, Exit},
    fleet::{
        layout::{Options, Server},
        processes::Fleet,
        settings::Start,
    },
    history::{
        check::{check, write_gap},
        event::{self, Event, Outcome},
    },
    link::rule::{Action, Rule, Table},
    load::plan::{self, Account, Mix, Plan},
    platform::fault,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{collections::BTreeMap, fs::File, net::IpAddr, path::Path, time::Duration};
use tokio::{
    sync::Mutex,
    time::{self, Instant},
};

/// Makes tests run one at a time. Each starts many processes, and would slow down the others.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Time from the start of the load to the first fault, before a random delay.
const FAULT_TIME: Duration = Duration::from_millis(1200);
/// Time from the start of the load to the end of the faults.
const HEAL_TIME: Duration = Duration::from_millis(3800);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillPrimary,
    PartitionPrimary,
    PartitionReplication,
    PartitionHostFromPrimary,
    PausePrimary,
    StopPrimaryResponses,
    ExitAfterCommit,
    KillHost,
    PauseHost,
    StoreOutage,
    LoseStoreResponses,
}

fn accounts() -> Vec<Account> {
    let account = |name: &str, sessions, rate| Account {
        name: name.to_owned(),
        key: format!("secret-key-of-{name}"),
        sessions,
        rate,
    };
    vec![account("large", 8, 120.0), account("small", 3, 30.0)]
}

/// Gives each backend server a random apply delay, so that replicas lag by different times.
async fn set_random_apply_delays(fleet: &Fleet, random: &mut StdRng) {
    for server in &fleet.layout().servers {
        let change = Change {
            apply_delay_ms: Some(random.random_range(0..100)),
            ..Change::default()
        };
        let changed = fleet.set_server_fault(&server.name, &change).await;
        changed.expect("change the apply delay");
    }
}

fn plan(fleet: &Fleet, seed: u64) -> Plan {
    Plan {
        hosts: fleet.frontend_addresses(),
        accounts: accounts(),
        keys: 6,
        mix: Mix::default(),
        host_change_probability: 0.2,
        request_ids: seed % 2 == 1,
        timeout: Duration::from_millis(2500),
        duration: LOAD_DURATION,
        max_operations: 2000,
        seed,
    }
}

async fn inject(fleet: &mut Fleet, fault: Fault, primary: &str) -> std::io::Result<()> {
    match fault {
        Fault::KillPrimary => fleet.kill(primary),
        Fault::PartitionPrimary => fleet.set_link_rules(&fleet.partition_rules(primary)?).await,
        Fault::PartitionReplication => {
            let source = server(fleet, primary).direct.ip();
            fleet.set_link_rules(&drop_rules(source, None)).await
        }
        Fault::PartitionHostFromPrimary => {
            let source = fleet.layout().hosts[0].peer.ip();
            let rules = drop_rules(source, Some(primary.to_owned()));
            fleet.set_link_rules(&rules).await
        }
        Fault::PausePrimary => fleet.pause(primary),
        Fault::StopPrimaryResponses => fleet.stop_responding(primary).await,
        Fault::ExitAfterCommit => {
            let change = Change {
                exit: Some(Exit::AfterCommit),
                ..Change::default()
            };
            fleet.set_server_fault(primary, &change).await
        }
        Fault::KillHost => fleet.kill("h2"),
        Fault::PauseHost => fleet.pause("h3"),
        Fault::StoreOutage => fleet.set_platform_fault(&store_fault(true, 0.0)).await,
        Fault::LoseStoreResponses => fleet.set_platform_fault(&store_fault(false, 1.0)).await,
    }
}

async fn heal(fleet: &mut Fleet, fault: Fault, primary: &str) -> std::io::Result<()> {
    match fault {
        Fault::KillPrimary => fleet.start_server(primary, Start::Restarted),
        Fault::ExitAfterCommit => {
            // The process has not exited if no commit reached it, because a host had fenced it
            // before. It would still have its addresses when it is started again.
            fleet.kill(primary)?;
            fleet.start_server(primary, Start::Restarted)
        }
        Fault::PartitionPrimary | Fault::PartitionReplication | Fault::PartitionHostFromPrimary => {
            fleet.set_link_rules(&Table::default()).await
        }
        Fault::PausePrimary => fleet.resume(primary),
        Fault::StopPrimaryResponses => Ok(()),
        Fault::KillHost => fleet.start_host("h2"),
        Fault::PauseHost => fleet.resume("h3"),
        Fault::StoreOutage | Fault::LoseStoreResponses => {
            fleet.set_platform_fault(&store_fault(false, 0.0)).await
        }
    }
}

fn server<'a>(fleet: &'a Fleet, name: &str) -> &'a Server {
    let servers = &fleet.layout().servers;
    let found = servers.iter().find(|server| server.name == name);
    found.expect("server exists")
}

fn drop_rules(source: IpAddr, mapping: Option<String>) -> Table {
    Table(vec![Rule {
        mapping,
        source: Some(source),
        direction: None,
        action: Action::Drop,
    }])
}

fn store_fault(down: bool, lose: f64) -> fault::Fault {
    fault::Fault {
        down,
        lose,
        seed: 1,
        ..fault::Fault::default()
    }
}

/// Runs a load, injects the faults one after the other, ends them and checks the history.
async fn run(name: &str, seed: u64, faults: &[Fault]) {
    let _guard = RUN_LOCK.lock().await;
    let seed = std::env::var("FULMARGW_CHAOS_SEED").map_or(seed, |text| {
        text.parse().expect("FULMARGW_CHAOS_SEED is a number")
    });
    let mut random = StdRng::seed_from_u64(seed);
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("chaos-{name}-{seed}"));
    let options = Options::new(directory, accounts()).expect("options");
    let mut fleet = Fleet::start(options).await.expect("start fleet");
    let primary = fleet.primary().await.expect("primary");
    set_random_apply_delays(&fleet, &mut random).await;
    let epoch = Instant::now();
    let load = tokio::spawn(plan::run(plan(&fleet, seed), epoch));

    time::sleep_until(epoch + FAULT_TIME + Duration::from_millis(random.random_range(0..300)))
        .await;
    for fault in faults {
        time::sleep(Duration::from_millis(random.random_range(0..100))).await;
        inject(&mut fleet, *fault, &primary).await.expect("inject");
    }
    let fault_at = epoch.elapsed();
    time::sleep_until(epoch + HEAL_TIME).await;
    for fault in faults {
        heal(&mut fleet, *fault, &primary).await.expect("heal");
    }
    let events = load.await.expect("load");

    report(name, seed, &events, fault_at);
    assert_history(&fleet, &events).await;
    assert_progress(&events, fault_at);
    assert_servers(&fleet).await;
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).expect("short duration")
}

fn report(name: &str, seed: u64, events: &[Event], fault_at: Duration) {
    let count = |outcome: &Outcome| events.iter().filter(|e| e.outcome == *outcome).count();
    let mut errors = BTreeMap::new();
    for event in events.iter().filter(|event| !event.error.is_empty()) {
        *errors.entry(event.error.as_str()).or_insert(0) += 1;
    }
    println!(
        "{name} seed {seed}: {} events, {} acknowledged, {} not run, {} unknown, gap {:?} ms, errors {errors:?}",
        events.len(),
        count(&Outcome::Acknowledged),
        count(&Outcome::NotRun),
        count(&Outcome::Unknown),
        write_gap(events, micros(fault_at)).map(|gap| gap / 1000),
    );
}

async fn assert_history(fleet: &Fleet, events: &[Event]) {
    let file = File::create(fleet.directory().join("history.jsonl")).expect("create history");
    event::write_lines(events, file).expect("write history");
    let host = fleet.frontend_addresses()[0];
    let data = fleet.read_all(host).await.expect("final read");
    let violations = check(events, &data);
    let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", texts.join("\n"));
}

/// Checks that writes are acknowledged while the fault lasts, and after its end.
fn assert_progress(events: &[Event], fault_at: Duration) {
    let gap = write_gap(events, micros(fault_at)).expect("writes after the fault");
    assert!(
        gap < micros(HEAL_TIME) - micros(fault_at),
        "no write was acknowledged before the end of the fault"
    );
    let late = micros(HEAL_TIME + Duration::from_secs(1));
    assert!(
        write_gap(events, late).is_some(),
        "no write was acknowledged after the end of the fault"
    );
}

/// Checks that no server received an API key or more connections than its limit.
async fn assert_servers(fleet: &Fleet) {
    for server in &fleet.layout().servers {
        let observation = fleet
            .server_report(&server.name)
            .await
            .expect("report")
            .observation;
        let has_key = |text: &String| text.contains("secret-key");
        assert!(
            !observation.startup_texts.iter().any(has_key),
            "{}",
            server.name
        );
        assert_eq!(observation.passwords, 0, "{}", server.name);
        assert_eq!(observation.violations, 0, "connections of {}", server.name);
    }
}

/// Guards against violations of consistency when there is no fault.
#[tokio::test]
async fn no_fault() {
    run("none", 1, &[]).await;
}

/// Guards against lost or doubled writes when the primary crashes.
#[tokio::test]
async fn kill_primary() {
    run("kill-primary", 2, &[Fault::KillPrimary]).await;
}

/// Guards against writes that an isolated primary still accepts during a network partition.
#[tokio::test]
async fn partition_primary() {
    run("partition-primary", 3, &[Fault::PartitionPrimary]).await;
}

/// Guards against acknowledged writes that only the primary has, because a partition stops
/// replication.
#[tokio::test]
async fn partition_replication() {
    run("partition-replication", 14, &[Fault::PartitionReplication]).await;
}

/// Guards against a promotion by a single host that cannot reach the primary.
#[tokio::test]
async fn partition_host_from_primary() {
    run(
        "partition-host-from-primary",
        15,
        &[Fault::PartitionHostFromPrimary],
    )
    .await;
}

/// Guards against the loss of acknowledged writes when a primary exits that could not replicate
/// them.
#[tokio::test]
async fn cut_replication_and_lose_commit() {
    let faults = [Fault::PartitionReplication, Fault::ExitAfterCommit];
    run("cut-replication-lose-commit", 16, &faults).await;
}

/// Guards against requests that wait for a paused primary, which keeps its connections open but
/// sends nothing.
#[tokio::test]
async fn pause_primary() {
    run("pause-primary", 4, &[Fault::PausePrimary]).await;
}

/// Guards against requests that wait on unresponsive connections while new connections work.
#[tokio::test]
async fn stop_primary_responses() {
    run("stop-primary-responses", 5, &[Fault::StopPrimaryResponses]).await;
}

/// Guards against a write that runs twice because the primary exited before its response.
#[tokio::test]
async fn exit_after_commit() {
    run("exit-after-commit", 7, &[Fault::ExitAfterCommit]).await;
}

/// Guards against effects of a crashed host on the callers of other hosts.
#[tokio::test]
async fn kill_host() {
    run("kill-host", 8, &[Fault::KillHost]).await;
}

/// Guards against a paused host that still uses its shares of limits after it resumes.
#[tokio::test]
async fn pause_host() {
    run("pause-host", 9, &[Fault::PauseHost]).await;
}

/// Guards against a failover that depends on the store.
#[tokio::test]
async fn store_outage_and_kill_primary() {
    let faults = [Fault::StoreOutage, Fault::KillPrimary];
    run("store-outage-kill-primary", 10, &faults).await;
}

/// Guards against a failover that a paused host blocks.
#[tokio::test]
async fn pause_host_and_partition_primary() {
    let faults = [Fault::PauseHost, Fault::PartitionPrimary];
    run("pause-host-partition-primary", 11, &faults).await;
}

/// Guards against a membership change that is repeated when the response of the store is lost.
#[tokio::test]
async fn lose_store_responses_and_kill_host() {
    let faults = [Fault::LoseStoreResponses, Fault::KillHost];
    run("lose-store-responses-kill-host", 13, &faults).await;
}
