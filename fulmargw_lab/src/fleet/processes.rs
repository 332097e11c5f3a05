//! A running fleet of processes, and the faults that can be injected into it.

use super::{
    child::Child,
    configuration,
    layout::{Layout, Options},
    settings::{self, CREDENTIAL, Start},
};
use crate::{
    database::{admin::Report, fault},
    link::rule::{Action, Rule, Table},
    load::client::{self, Caller},
    platform::fault::Fault,
};
use fulmargw_model::backend_server::Role;
use nix::sys::signal::Signal;
use reqwest::{Client, StatusCode};
use serde::Serialize;
use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::Path, time::Duration};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

/// Longest wait for a started process to respond, and the timeout of an HTTP request.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two checks whether a process is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running processes of a fleet. Dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    options: Options,
    layout: Layout,
    http: Client,
    children: BTreeMap<String, Child>,
}

impl Fleet {
    /// Starts all processes and waits until every host serves reads.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or is not ready in time.
    pub async fn start(options: Options) -> io::Result<Self> {
        fs::create_dir_all(&options.directory)?;
        let http = Client::builder().no_proxy().timeout(START_TIMEOUT).build();
        let mut fleet = Self {
            layout: Layout::new(&options)?,
            options,
            http: http.map_err(io::Error::other)?,
            children: BTreeMap::new(),
        };
        fleet.start_stand_ins()?;
        for name in fleet.host_names() {
            fleet.start_host(&name)?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    fn start_stand_ins(&mut self) -> io::Result<()> {
        let link = settings::link(&self.options, &self.layout);
        let platform = settings::platform(&self.layout);
        self.spawn("link", "fulmargw_lab", &link)?;
        self.spawn("platform", "fulmargw_lab", &platform)?;
        for server in self.layout.servers.clone() {
            self.start_server(&server.name, Start::Initial)?;
        }
        Ok(())
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[String]) -> io::Result<()> {
        let program = self.options.program_directory.join(program);
        let output = self.options.directory.join(format!("{name}.out"));
        if !self.children.contains_key(name) {
            // The file may hold the output of an earlier run in the same folder.
            fs::write(&output, "")?;
        }
        let child = Child::start(&program, arguments, &output)?;
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    /// Starts a backend server on its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_server(&mut self, name: &str, start: Start) -> io::Result<()> {
        let servers = &self.layout.servers;
        let server = find(servers, name, |server| &server.name)?;
        let arguments = settings::server(&self.options, &self.layout, server, start);
        self.spawn(name, "fulmargw_lab", &arguments)
    }

    /// Starts a host on its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_host(&mut self, name: &str) -> io::Result<()> {
        let host = find(&self.layout.hosts, name, |host| &host.name)?;
        let arguments = settings::host(&self.options, &self.layout, host)?;
        self.spawn(name, "fulmargw", &arguments)
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        // The link binds its admin address last, so all relays listen then.
        let admin = self.layout.link_admin;
        let listens = || async { TcpStream::connect(admin).await.is_ok() };
        wait_until("the relays", listens).await?;
        for server in &self.layout.servers {
            let responds = || async { self.server_report(&server.name).await.is_ok() };
            wait_until(&format!("the report of {}", server.name), responds).await?;
        }
        for host in &self.layout.hosts {
            let url = format!("http://{}/health", host.operator);
            wait_until(&format!("the health of {}", host.name), || self.is_ok(&url)).await?;
        }
        if let Some(first) = self.layout.hosts.first() {
            self.submit_configuration(first.operator).await?;
        }
        for host in &self.layout.hosts {
            let serves = || async { self.read_all(host.frontend).await.is_ok() };
            wait_until(&format!("reads on {}", host.name), serves).await?;
        }
        Ok(())
    }

    async fn is_ok(&self, url: &str) -> bool {
        let response = self.http.get(url).send().await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    async fn submit_configuration(&self, operator: SocketAddr) -> io::Result<()> {
        let patch = configuration::patch(&self.options, &self.layout);
        let url = format!("http://{operator}/patch");
        let request = self.http.post(url).bearer_auth(CREDENTIAL).json(&patch);
        let response = request.send().await.map_err(io::Error::other)?;
        let status = response.status();
        let text = response.text().await.map_err(io::Error::other)?;
        if status != StatusCode::OK {
            return Err(io::Error::other(format!(
                "patch was rejected: {status}: {text}"
            )));
        }
        Ok(())
    }

    /// Reads all keys through a host, on the route of current reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails or takes too long.
    pub async fn read_all(&self, host: SocketAddr) -> io::Result<crate::history::check::Data> {
        let account = &self.options.accounts[0];
        let caller = Caller {
            account: &account.name,
            key: &account.key,
            route: "current",
        };
        let reading = client::read_all(host, caller);
        let result = time::timeout(START_TIMEOUT, reading).await;
        result.map_err(io::Error::other)?.map_err(io::Error::other)
    }

    /// Returns the addresses of all processes.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the folder that holds the settings and the output of the processes.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.options.directory
    }

    /// Returns the names of all hosts.
    #[must_use]
    pub fn host_names(&self) -> Vec<String> {
        let hosts = self.layout.hosts.iter();
        hosts.map(|host| host.name.clone()).collect()
    }

    /// Returns the addresses at which hosts accept callers.
    #[must_use]
    pub fn frontend_addresses(&self) -> Vec<SocketAddr> {
        self.layout.hosts.iter().map(|host| host.frontend).collect()
    }

    /// Returns the id of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn process_id(&self, name: &str) -> io::Result<u32> {
        let missing = || io::Error::other(format!("there is no process {name}"));
        let child = self.children.get(name).ok_or_else(missing)?;
        Ok(child.id())
    }

    fn child(&mut self, name: &str) -> io::Result<&mut Child> {
        let missing = || io::Error::other(format!("there is no process {name}"));
        self.children.get_mut(name).ok_or_else(missing)
    }

    /// Kills a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.kill()
    }

    /// Pauses a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, or it cannot be paused.
    pub fn pause(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.pause()
    }

    /// Resumes a paused process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, or it cannot be resumed.
    pub fn resume(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.signal(Signal::SIGCONT)
    }

    /// Returns the relay rules that isolate a backend server from all hosts and from the other
    /// servers of its group.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such server.
    pub fn partition_rules(&self, name: &str) -> io::Result<Table> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        let rule = |mapping: Option<String>, source| Rule {
            mapping,
            source,
            direction: None,
            action: Action::Drop,
        };
        Ok(Table(vec![
            rule(Some(server.name.clone()), None),
            rule(Some(format!("replicate-{name}")), None),
            rule(None, Some(server.direct.ip())),
        ]))
    }

    /// Replaces the rules of the relay.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay does not respond.
    pub async fn set_link_rules(&self, rules: &Table) -> io::Result<()> {
        self.post(self.layout.link_admin, "rules", rules).await
    }

    /// Replaces the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn set_platform_fault(&self, fault: &Fault) -> io::Result<()> {
        self.post(self.layout.platform_admin, "fault", fault).await
    }

    /// Changes the faults of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such server, or it does not respond.
    pub async fn set_server_fault(&self, name: &str, change: &fault::Change) -> io::Result<()> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        self.post(server.admin, "fault", change).await
    }

    /// Makes a backend server send nothing more on the connections that are open now.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such server, or its admin interface does not respond.
    pub async fn stop_responding(&self, name: &str) -> io::Result<()> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        self.post(server.admin, "silence", &()).await
    }

    async fn post<T: Serialize>(&self, admin: SocketAddr, path: &str, body: &T) -> io::Result<()> {
        let request = self.http.post(format!("http://{admin}/{path}")).json(body);
        let response = request.send().await.map_err(io::Error::other)?;
        response.error_for_status().map_err(io::Error::other)?;
        Ok(())
    }

    /// Returns the report of a backend server's admin interface.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such server, or it does not respond.
    pub async fn server_report(&self, name: &str) -> io::Result<Report> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        let request = self.http.get(format!("http://{}/state", server.admin));
        let request = request.timeout(Duration::from_millis(500));
        let response = request.send().await.map_err(io::Error::other)?;
        response.json().await.map_err(io::Error::other)
    }

    /// Returns the name of the primary with the greatest term. A former primary may still report
    /// that role.
    ///
    /// # Errors
    ///
    /// Returns an error if no server reports within 15 s that it is a primary.
    pub async fn primary(&self) -> io::Result<String> {
        let begin = Instant::now();
        while begin.elapsed() < START_TIMEOUT {
            let mut primaries = Vec::new();
            for server in &self.layout.servers {
                let report = self.server_report(&server.name).await;
                let report = report
                    .ok()
                    .filter(|report| report.status.role == Role::Primary);
                primaries.extend(report.map(|report| (report.status.term, report.name)));
            }
            if let Some((_, name)) = primaries.into_iter().max() {
                return Ok(name);
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other("no backend server is the primary"))
    }
}

fn find<'a, T>(items: &'a [T], name: &str, name_of: impl Fn(&T) -> &String) -> io::Result<&'a T> {
    let missing = || io::Error::other(format!("there is no process {name}"));
    items
        .iter()
        .find(|item| name_of(item) == name)
        .ok_or_else(missing)
}

async fn wait_until<F: Future<Output = bool>>(
    condition: &str,
    check: impl Fn() -> F,
) -> io::Result<()> {
    let begin = Instant::now();
    while !check().await {
        if begin.elapsed() > START_TIMEOUT {
            return Err(io::Error::other(format!(
                "timed out waiting for {condition}"
            )));
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
