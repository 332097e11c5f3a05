//! Faults against a fleet of real processes under load, with a check of the history.
//!
//! `FULMARGW_CHAOS_SEED` replaces the seed of all runs.

use fulmargw_lab::{
    database::fault::{Change, Exit},
    fleet::{
        control::Fleet,
        layout::{Options, Server},
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

/// Runs use many processes each, so that two at the same time would disturb each other.
static ALONE: Mutex<()> = Mutex::const_new(());

const LOAD: Duration = Duration::from_secs(6);
const FAULT: Duration = Duration::from_millis(1200);
const HEAL: Duration = Duration::from_millis(3800);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillPrimary,
    CutPrimary,
    CutReplication,
    CutHostFromPrimary,
    PausePrimary,
    SilencePrimary,
    LoseCommit,
    KillHost,
    PauseHost,
    StoreOutage,
    LoseStoreAnswers,
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

/// Lets replicas be behind by different times.
async fn delay_replicas(fleet: &Fleet, random: &mut StdRng) {
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
        duration: LOAD,
        max_operations: 2000,
        seed,
    }
}

async fn inject(fleet: &mut Fleet, fault: Fault, primary: &str) -> std::io::Result<()> {
    match fault {
        Fault::KillPrimary => fleet.kill(primary),
        Fault::CutPrimary => fleet.set_link_rules(&fleet.partition_rules(primary)?).await,
        Fault::CutReplication => {
            let source = server(fleet, primary).direct.ip();
            fleet.set_link_rules(&drop_from(source, None)).await
        }
        Fault::CutHostFromPrimary => {
            let source = fleet.layout().hosts[0].peer.ip();
            let rules = drop_from(source, Some(primary.to_owned()));
            fleet.set_link_rules(&rules).await
        }
        Fault::PausePrimary => fleet.pause(primary),
        Fault::SilencePrimary => fleet.stop_responding(primary).await,
        Fault::LoseCommit => {
            let change = Change {
                exit: Some(Exit::AfterCommit),
                ..Change::default()
            };
            fleet.set_server_fault(primary, &change).await
        }
        Fault::KillHost => fleet.kill("h2"),
        Fault::PauseHost => fleet.pause("h3"),
        Fault::StoreOutage => fleet.set_platform_fault(&store(true, 0.0)).await,
        Fault::LoseStoreAnswers => fleet.set_platform_fault(&store(false, 1.0)).await,
    }
}

async fn heal(fleet: &mut Fleet, fault: Fault, primary: &str) -> std::io::Result<()> {
    match fault {
        Fault::KillPrimary | Fault::LoseCommit => fleet.start_server(primary, Start::Restarted),
        Fault::CutPrimary | Fault::CutReplication | Fault::CutHostFromPrimary => {
            fleet.set_link_rules(&Table::default()).await
        }
        Fault::PausePrimary => fleet.resume(primary),
        Fault::SilencePrimary => Ok(()),
        Fault::KillHost => fleet.start_host("h2"),
        Fault::PauseHost => fleet.resume("h3"),
        Fault::StoreOutage | Fault::LoseStoreAnswers => {
            fleet.set_platform_fault(&store(false, 0.0)).await
        }
    }
}

fn server<'a>(fleet: &'a Fleet, name: &str) -> &'a Server {
    let servers = &fleet.layout().servers;
    let found = servers.iter().find(|server| server.name == name);
    found.expect("server exists")
}

fn drop_from(source: IpAddr, mapping: Option<String>) -> Table {
    Table(vec![Rule {
        mapping,
        source: Some(source),
        direction: None,
        action: Action::Drop,
    }])
}

fn store(down: bool, lose: f64) -> fault::Fault {
    fault::Fault {
        down,
        lose,
        seed: 1,
        ..fault::Fault::default()
    }
}

/// Runs a load, injects the faults one after the other, heals them and checks the history.
async fn run(name: &str, seed: u64, faults: &[Fault]) {
    let _alone = ALONE.lock().await;
    let seed = std::env::var("FULMARGW_CHAOS_SEED").map_or(seed, |text| {
        text.parse().expect("FULMARGW_CHAOS_SEED is a number")
    });
    let mut random = StdRng::seed_from_u64(seed);
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("chaos-{name}-{seed}"));
    let options = Options::new(directory, accounts()).expect("options");
    let mut fleet = Fleet::start(options).await.expect("start fleet");
    let primary = fleet.primary().await.expect("primary");
    delay_replicas(&fleet, &mut random).await;
    let epoch = Instant::now();
    let load = tokio::spawn(plan::run(plan(&fleet, seed), epoch));

    time::sleep_until(epoch + FAULT + Duration::from_millis(random.random_range(0..300))).await;
    for fault in faults {
        time::sleep(Duration::from_millis(random.random_range(0..100))).await;
        inject(&mut fleet, *fault, &primary).await.expect("inject");
    }
    let fault_at = epoch.elapsed();
    time::sleep_until(epoch + HEAL).await;
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

/// Writes must go on while the fault lasts, and after it.
fn assert_progress(events: &[Event], fault_at: Duration) {
    let gap = write_gap(events, micros(fault_at)).expect("writes after the fault");
    assert!(
        gap < micros(HEAL) - micros(fault_at),
        "no write until the fault was healed"
    );
    let late = micros(HEAL + Duration::from_secs(1));
    assert!(write_gap(events, late).is_some(), "no write after healing");
}

/// No server saw a key, or more connections than its limit.
async fn assert_servers(fleet: &Fleet) {
    for server in &fleet.layout().servers {
        let seen = fleet
            .server_report(&server.name)
            .await
            .expect("report")
            .observation;
        let has_key = |text: &String| text.contains("secret-key");
        assert!(!seen.startup_texts.iter().any(has_key), "{}", server.name);
        assert_eq!(seen.passwords, 0, "{}", server.name);
        assert_eq!(seen.violations, 0, "connections of {}", server.name);
    }
}

/// Guards against violations without any fault.
#[tokio::test]
async fn no_fault() {
    run("none", 1, &[]).await;
}

/// Guards against lost or doubled writes when the primary dies.
#[tokio::test]
async fn kill_primary() {
    run("kill-primary", 2, &[Fault::KillPrimary]).await;
}

/// Guards against writes that a partitioned primary still accepts.
#[tokio::test]
async fn cut_primary() {
    run("cut-primary", 3, &[Fault::CutPrimary]).await;
}

/// Guards against writes that only a primary without replicas holds.
#[tokio::test]
async fn cut_replication() {
    run("cut-replication", 14, &[Fault::CutReplication]).await;
}

/// Guards against a promotion by the only host that cannot reach the primary.
#[tokio::test]
async fn cut_host_from_primary() {
    run("cut-host-from-primary", 15, &[Fault::CutHostFromPrimary]).await;
}

/// Guards against acknowledged writes that die with a primary that could not replicate.
#[tokio::test]
async fn cut_replication_and_lose_commit() {
    let faults = [Fault::CutReplication, Fault::LoseCommit];
    run("cut-replication-lose-commit", 16, &faults).await;
}

/// Guards against waits on a primary that keeps its connections and says nothing.
#[tokio::test]
async fn pause_primary() {
    run("pause-primary", 4, &[Fault::PausePrimary]).await;
}

/// Guards against waits on silent connections while new ones work.
#[tokio::test]
async fn silence_primary() {
    run("silence-primary", 5, &[Fault::SilencePrimary]).await;
}

/// Guards against a write that runs twice because its answer was lost.
#[tokio::test]
async fn lose_commit() {
    run("lose-commit", 7, &[Fault::LoseCommit]).await;
}

/// Guards against effects of a dead host on the callers of others.
#[tokio::test]
async fn kill_host() {
    run("kill-host", 8, &[Fault::KillHost]).await;
}

/// Guards against a host that uses its shares after a pause.
#[tokio::test]
async fn pause_host() {
    run("pause-host", 9, &[Fault::PauseHost]).await;
}

/// Guards against a failover that needs the store.
#[tokio::test]
async fn store_outage_and_kill_primary() {
    let faults = [Fault::StoreOutage, Fault::KillPrimary];
    run("store-outage-kill-primary", 10, &faults).await;
}

/// Guards against a failover that a paused host blocks.
#[tokio::test]
async fn pause_host_and_cut_primary() {
    let faults = [Fault::PauseHost, Fault::CutPrimary];
    run("pause-host-cut-primary", 11, &faults).await;
}

/// Guards against a membership change that repeats after a lost answer of the store.
#[tokio::test]
async fn lose_store_answers_and_kill_host() {
    let faults = [Fault::LoseStoreAnswers, Fault::KillHost];
    run("lose-store-answers-kill-host", 13, &faults).await;
}
