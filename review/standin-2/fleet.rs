//! The hosts: processes of the proxy that are run as in the deploy file.

use crate::record::Record;
use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

const FRONT: u16 = 8465;
const READY: u16 = 8460;
const CONTROL: u16 = 8462;
const INTERNAL: u16 = 7560;
const METRICS: u16 = 9464;

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

#[derive(Debug)]
pub struct Host {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// Returns loopback addresses at which all ports of a host are free, one for each host.
fn free_addresses(count: u8) -> Vec<Ipv4Addr> {
    for block in 30..250 {
        let addresses: Vec<Ipv4Addr> = (1..=count)
            .map(|host| Ipv4Addr::new(127, block, 0, host))
            .collect();
        let ports = [FRONT, READY, CONTROL, INTERNAL, METRICS];
        let is_free = |ip: &Ipv4Addr| {
            ports
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        };
        if addresses.iter().all(is_free) {
            return addresses;
        }
    }
    Vec::new()
}

/// Starts four hosts in three zones, with the settings that the deploy file's template has.
pub fn start(folder: &Path, store: SocketAddr, memory_mb: u64, record: &Arc<Record>) -> Vec<Host> {
    let template = fs::read_to_string("deploy/settings.toml").expect("read the template");
    let zones = ["attica-a", "attica-a", "attica-b", "attica-c"];
    let addresses = free_addresses(4);
    let seeds: Vec<String> = addresses
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{CONTROL}\""))
        .collect();
    let mut hosts = Vec::new();
    for (index, (ip, zone)) in addresses.iter().zip(zones).enumerate() {
        let name = format!("front-{zone}-{index}");
        let filled = [
            ("{{nodeName}}", name.clone()),
            ("{{zone}}", zone.to_owned()),
            ("{{listenAddresses.front}}", format!("{ip}:{FRONT}")),
            ("{{listenAddresses.ready}}", format!("{ip}:{READY}")),
            ("{{listenAddresses.control}}", format!("{ip}:{CONTROL}")),
            ("{{ipAddress}}", ip.to_string()),
            ("{{internalPortRange.0}}", INTERNAL.to_string()),
            (
                "{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}",
                seeds.join(", "),
            ),
            ("{{platform.address}}", store.to_string()),
            ("{{cloud.address}}", store.to_string()),
            ("{{limits.memoryMb}}", memory_mb.to_string()),
            ("{{limits.fileDescriptors}}", "4300".to_owned()),
            ("{{limits.cores}}", "1".to_owned()),
            ("{{bounds.gracePeriodS}}", "6".to_owned()),
            ("{{bounds.drainTimeoutMs}}", "7000".to_owned()),
            ("{{bounds.quotaOverage}}", "0.1".to_owned()),
            ("{{bounds.quotaSlack}}", "20".to_owned()),
        ];
        let mut text = template.clone();
        for (placeholder, value) in filled {
            text = text.replace(placeholder, &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template is not known: {text}"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write the settings");
        let mut host = Host {
            name: name.clone(),
            ip: *ip,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(record),
        };
        host.spawn();
        hosts.push(host);
    }
    hosts
}

impl Host {
    pub fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let zones = "{\"attica-a\":\"attica\",\"attica-b\":\"attica\",\"attica-c\":\"attica\"}";
        let child = Command::new("target/release/fulmargw")
            .arg("pool")
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .env("FULMARGW_NODE_FILE", &self.settings)
            .env("FULMARGW_CPU_SHARE", "0.25")
            .env("FULMARGW_ZONES", zones)
            .env("FULMARGW_CONFIGURATION_APPLY_MS", "3000")
            .env("FULMARGW_HEARTBEAT_INTERVAL_MS", "1200")
            .env("FULMARGW_EVACUATION_APPLY_MS", "")
            .env("FULMARGW_COLD_OVERAGE", "")
            .env("FULMARGW_COLD_SLACK", "")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("copy the log"))
            .stderr(log)
            .spawn()
            .expect("start target/release/fulmargw");
        self.record
            .line(&format!("host {} starts at {}", self.name, self.ip));
        self.child = Some(child);
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(id) = self.process_id() {
            self.record
                .line(&format!("signal {signal} to host {}", self.name));
            // The child has not been waited for, so its number is not used by another process.
            unsafe { kill(id as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the most memory that the process has had so far, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(id) = self.process_id() else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    fn get(&self, port: u16, path: &str) -> Option<(u16, String)> {
        let address = (self.ip, port).into();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ip
        )
        .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let status = text.split_whitespace().nth(1)?.parse().ok()?;
        Some((status, text))
    }

    pub fn is_ready(&self) -> bool {
        self.get(READY, "/api/readiness")
            .is_some_and(|(status, _)| status == 200)
    }

    /// Returns the value of a metric; 0 if it is not there.
    pub fn metric(&self, name: &str) -> f64 {
        let Some((_, text)) = self.get(METRICS, "/metrics") else {
            return 0.0;
        };
        let mut lines = text.lines();
        let line = lines.find(|line| line.split([' ', '{']).next() == Some(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0.0)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready, and a little longer, after which they use their shares of the
/// rates. Returns whether they are.
pub fn wait_until_ready(hosts: &[Host]) -> bool {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(5));
    true
}

/// Returns the configuration: one service, a route of each kind, and one client account.
pub fn configuration(version: u64, timeout_ms: u64, transaction_idle_ms: u64, rate: u32) -> String {
    let routes = [
        ("current", "primary"),
        ("bounded", "bounded_staleness"),
        ("own", "read_your_writes"),
    ];
    let routes: Vec<String> = routes
        .iter()
        .map(|(host, kind)| {
            format!(
                "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"pathPrefix\":\"/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":400,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\"maxStalenessMs\":1500,\"public\":false}}"
            )
        })
        .collect();
    let fields: BTreeMap<&str, String> = [
        ("version", version.to_string()),
        ("routes", format!("[{}]", routes.join(","))),
        ("services", "[{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}]".into()),
        ("limits", format!("{{\"transactionIdleMs\":{transaction_idle_ms}}}")),
        ("tenants", format!("[{{\"name\":\"workshop\",\"apiKeys\":[\"u3f1\"],\"priority\":1,\"ratePerS\":{rate},\"burst\":{rate}}}]")),
    ]
    .into();
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}
