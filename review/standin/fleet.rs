//! A small deployment: four hosts, which are processes of the deploy file's program, with the
//! stand-ins of the store, of the promotion call and of a database group.

use crate::{group::Group, http, json::Json, record, store::Store};
use std::{
    fs::{self, File},
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Number of hosts, as in the small deployments.
pub const HOSTS: usize = 4;
/// Service and its database.
pub const SERVICE: &str = "lepu270";
/// Database of the route whose reads see every commit.
pub const PRIMARY: &str = "huvo11a";
/// Key of the first tenant.
pub const KEY: &str = "u3f1";
/// Time for which a started fleet is left alone; hosts use their shares of the rates after 3 s.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// A host.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The deployment.
#[derive(Debug)]
pub struct Fleet {
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub hosts: Vec<Host>,
    pub configuration: Configuration,
    prefix: [u8; 2],
    folder: PathBuf,
}

/// What the operator configures.
#[derive(Debug, Clone)]
pub struct Configuration {
    pub version: u64,
    pub keys: Vec<String>,
}

impl Configuration {
    /// Returns the document. Its routes and tenant are like those of a small deployment.
    fn document(&self) -> Json {
        let route = |host: &str, kind: &str| {
            Json::object([
                ("name", Json::text(format!("r-{host}"))),
                ("host", Json::text(host)),
                ("kind", Json::text(kind)),
                ("timeoutMs", Json::Int(800)),
                ("targetLatencyMs", Json::Int(200)),
                ("priority", Json::Int(1)),
                ("service", Json::text(SERVICE)),
                ("maxStalenessMs", Json::Int(1_500)),
                ("public", Json::Bool(false)),
            ])
        };
        let routes = vec![
            route(PRIMARY, "primary"),
            route("huvo12b", "read_your_writes"),
        ];
        let service = Json::object([
            ("name", Json::text(SERVICE)),
            ("maxConnections", Json::Int(60)),
            ("syncReplicas", Json::Int(1)),
        ]);
        let tenant = Json::object([
            ("name", Json::text("tenant-a")),
            (
                "apiKeys",
                Json::List(self.keys.iter().map(Json::text).collect()),
            ),
            ("ratePerS", Json::Int(400)),
            ("burst", Json::Int(200)),
        ]);
        Json::object([
            ("version", Json::Int(self.version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![service])),
            (
                "limits",
                Json::object([("transactionIdleMs", Json::Int(3_000))]),
            ),
            ("tenants", Json::List(vec![tenant])),
        ])
    }
}

/// Returns two octets of loopback addresses on which nobody listens.
fn free_prefix() -> [u8; 2] {
    let start = std::process::id();
    for number in start..start + 20_000 {
        let prefix = [64 + (number / 250 % 128) as u8, 1 + (number % 250) as u8];
        let is_free = |last: u8| {
            let address = Ipv4Addr::new(127, prefix[0], prefix[1], last);
            TcpListener::bind((address, 8_466)).is_ok()
        };
        if [2, 3, 10, 11, 12, 13].into_iter().all(is_free) {
            return prefix;
        }
    }
    panic!("no free loopback addresses");
}

impl Fleet {
    /// Starts the deployment and waits until it serves.
    pub fn start(folder: &Path) -> Result<Self, String> {
        let prefix = free_prefix();
        let at = |last: u8, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, prefix[0], prefix[1], last), port))
        };
        let store = Store::start(at(2, 8_466));
        let servers = [at(50, 6_000), at(51, 6_000), at(52, 6_000)];
        let group = Group::start(SERVICE, &store, &servers);
        let promoted = Arc::clone(&group);
        http::serve(at(3, 8_466), "", move |request| {
            let body = Json::decode(&request.body).unwrap_or(Json::Null);
            let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
            let token = header("x-fulmargw-fencing-token").parse().unwrap_or(0);
            let holder = header("x-fulmargw-duty-holder");
            (
                promoted.promote(body.get("id").as_text(), &holder, token),
                "{}".to_owned(),
            )
        });
        let configuration = Configuration {
            version: 1,
            keys: vec![KEY.to_owned()],
        };
        store.configure(&configuration.document());
        let mut fleet = Self {
            store,
            group,
            hosts: Vec::new(),
            configuration,
            prefix,
            folder: folder.to_owned(),
        };
        for index in 0..HOSTS {
            let host = fleet.start_host(index)?;
            fleet.hosts.push(host);
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for host in &fleet.hosts {
            while !host.is_ready() {
                if Instant::now() >= deadline {
                    return Err(format!("host {} does not get ready", host.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(SETTLING_TIME);
        record::show("all hosts are ready");
        Ok(fleet)
    }

    /// Returns an address of this deployment.
    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [second, third] = self.prefix;
        SocketAddr::from((Ipv4Addr::new(127, second, third, last), port))
    }

    /// Writes the next version of the configuration. Returns the time of the acknowledgement.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Configuration)) -> Instant {
        self.configuration.version += 3;
        change(&mut self.configuration);
        self.store.configure(&self.configuration.document());
        Instant::now()
    }

    /// Renders the template of the deploy file for a host.
    fn settings(&self, index: usize) -> Result<String, String> {
        let last = 10 + index as u8;
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.address(10 + seed, 8_462)))
            .collect();
        let template = fs::read_to_string("deploy/settings.toml").map_err(|it| it.to_string())?;
        let values = [
            ("nodeName", format!("front-{}", index + 1)),
            (
                "zone",
                ["attica-a", "attica-a", "attica-b", "attica-c"][index].to_owned(),
            ),
            (
                "listenAddresses.front",
                self.address(last, 8_465).to_string(),
            ),
            (
                "listenAddresses.ready",
                self.address(last, 8_460).to_string(),
            ),
            (
                "listenAddresses.control",
                self.address(last, 8_462).to_string(),
            ),
            ("ipAddress", self.address(last, 0).ip().to_string()),
            ("internalPortRange.0", "7560".to_owned()),
            ("platform.address", self.address(2, 8_466).to_string()),
            ("cloud.address", self.address(3, 8_466).to_string()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.fileDescriptors", "4300".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("bounds.gracePeriodS", "6".to_owned()),
            ("bounds.drainTimeoutMs", "7000".to_owned()),
            ("bounds.quotaOverage", "0.1".to_owned()),
            ("bounds.quotaSlack", "20".to_owned()),
        ];
        let section = "{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}";
        let mut text = template.replace(section, &seeds.join(","));
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(format!("a placeholder is not known: {text}"));
        }
        Ok(text)
    }

    fn start_host(&self, index: usize) -> Result<Host, String> {
        let name = format!("front-{}", index + 1);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(index)?).map_err(|it| it.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let last = 10 + index as u8;
        Ok(Host {
            child: spawn(&settings, &log)?,
            front: self.address(last, 8_465),
            ready: self.address(last, 8_460),
            name,
            settings,
            log,
        })
    }
}

/// Starts the command of the deploy file.
fn spawn(settings: &Path, log: &Path) -> Result<Child, String> {
    let deploy = fs::read_to_string("deploy/system.toml").map_err(|it| it.to_string())?;
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let run = run
        .and_then(|line| line.strip_suffix('"'))
        .ok_or("no command in the deploy file")?;
    let mut words = run.split(' ');
    let mut options = File::options();
    let output = options
        .create(true)
        .append(true)
        .open(log)
        .map_err(|it| it.to_string())?;
    let errors = output.try_clone().map_err(|it| it.to_string())?;
    let mut command = Command::new(words.next().unwrap_or_default());
    command
        .args(words)
        .env("FULMARGW_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors);
    // The hosts end with this process, however it ends.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .spawn()
        .map_err(|cause| format!("cannot start {run}: {cause}"))
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

impl Host {
    /// Reports whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(
                b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            )?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(String::from_utf8_lossy(&head).into_owned())
        };
        ask().is_ok_and(|head| head.ends_with("200"))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        record::show(&format!("host {} is killed", self.name));
    }

    /// Starts the process again.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings, &self.log)?;
        record::show(&format!("host {} starts", self.name));
        Ok(())
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.child.kill();
            let _ = host.child.wait();
        }
    }
}
