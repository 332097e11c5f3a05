//! A process of the system, started with the command of the deploy file.

use super::{free_address, net::Net, record};
use std::{
    fs::{self, File},
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// Address for reports that its peers know.
    pub control: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    zones: String,
    net: Arc<Net>,
    child: Child,
}

/// What is the same for all hosts of a run.
pub struct Site {
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// The zones, as the settings file has them.
    pub zones: Vec<&'static str>,
    pub net: Arc<Net>,
}

impl Host {
    /// Starts a host. Its peers and the store are reached through relays.
    pub fn start(site: &Site, name: &str, zone: &str, seeds: &[SocketAddr]) -> Self {
        let [front, ready, metrics, peer, statements] = [(); 5].map(|()| free_address());
        let control = site.net.relay(name, peer);
        let shown_statements = site.net.relay(name, statements);
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let settings = format!(
            "[host]\nname = \"{name}\"\nzone = \"{zone}\"\nfront_address = \"{front}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{peer}\"\nstatement_address = \"{statements}\"\n\
             advertised_peer_address = \"{control}\"\nadvertised_statement_address = \"{shown_statements}\"\n\
             metrics_address = \"{metrics}\"\nseeds = [{}]\n\n\
             [platform]\nstore_address = \"{store}\"\norder_address = \"{store}\"\n\n\
             [limits]\nmemory_mb = 260\nfile_descriptors = 4300\ncores = 1\ngrace_s = 6\n\
             drain_timeout_ms = 7000\nquota_overage = 0.1\nquota_slack = 20\n\n\
             [placement]\nby_zone = true\n\n[adaptive]\nenabled = true\n",
            seeds.join(","),
            store = site.store,
        );
        let file = site.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("write the settings");
        let zones: Vec<String> = site
            .zones
            .iter()
            .map(|it| format!("\"{it}\":\"attica\""))
            .collect();
        let zones = format!("{{{}}}", zones.join(","));
        let log = site.folder.join(format!("{name}.log"));
        let child = spawn(name, &file, &log, &zones, &site.net);
        record::say(&format!("host {name} starts in {zone}"));
        Self {
            name: name.to_owned(),
            front,
            ready,
            control,
            file,
            log,
            zones,
            net: Arc::clone(&site.net),
            child,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        record::say(&format!("host {} is killed", self.name));
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.name, &self.file, &self.log, &self.zones, &self.net);
        record::say(&format!("host {} starts again", self.name));
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/api/readiness").is_some_and(|it| it.starts_with("HTTP/1.1 200"))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

fn spawn(name: &str, file: &Path, log: &Path, zones: &str, net: &Net) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let child = Command::new(Path::new("target/release/fulmargw"))
        .arg("pool")
        .env("FULMARGW_NODE_FILE", file)
        .env("FULMARGW_CPU_SHARE", "0.25")
        .env("FULMARGW_ZONES", zones)
        .env("FULMARGW_CONFIGURATION_APPLY_MS", "3000")
        .env("FULMARGW_HEARTBEAT_INTERVAL_MS", "1200")
        .stdin(Stdio::null())
        .stdout(log.expect("open the log"))
        .spawn()
        .expect("start the program");
    net.add_process(child.id(), name);
    child
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    Some(String::from_utf8_lossy(&response).into_owned())
}
