//! A running fleet and its faults.

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
use tokio::time::{self, Instant};

/// Longest time until a started process answers.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two questions whether something is ready.
const POLL: Duration = Duration::from_millis(20);

/// Running processes. Dropping the fleet kills them.
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
    /// If a process cannot be started or is not ready in time.
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
            // The output of an earlier run would be mixed with that of this one.
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
    /// If the process cannot be started.
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
    /// If the process cannot be started.
    pub fn start_host(&mut self, name: &str) -> io::Result<()> {
        let host = find(&self.layout.hosts, name, |host| &host.name)?;
        let arguments = settings::host(&self.options, &self.layout, host)?;
        self.spawn(name, "fulmargw", &arguments)
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        for server in &self.layout.servers {
            let answers = || async { self.server_report(&server.name).await.is_ok() };
            until(&format!("report of {}", server.name), answers).await?;
        }
        for host in &self.layout.hosts {
            let url = format!("http://{}/health", host.operator);
            until(&format!("health of {}", host.name), || self.is_ok(&url)).await?;
        }
        if let Some(first) = self.layout.hosts.first() {
            self.patch(first.operator).await?;
        }
        for host in &self.layout.hosts {
            let serves = || async { self.read_all(host.frontend).await.is_ok() };
            until(&format!("reads on {}", host.name), serves).await?;
        }
        Ok(())
    }

    async fn is_ok(&self, url: &str) -> bool {
        let answer = self.http.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    async fn patch(&self, operator: SocketAddr) -> io::Result<()> {
        let patch = configuration::patch(&self.options, &self.layout);
        let url = format!("http://{operator}/patch");
        let request = self.http.post(url).bearer_auth(CREDENTIAL).json(&patch);
        let answer = request.send().await.map_err(io::Error::other)?;
        let status = answer.status();
        let text = answer.text().await.map_err(io::Error::other)?;
        if status != StatusCode::OK {
            return Err(io::Error::other(format!("patch: {status}: {text}")));
        }
        Ok(())
    }

    /// Reads all keys through a host with the route of current reads.
    ///
    /// # Errors
    ///
    /// If the read fails.
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

    /// Returns the folder with settings and output.
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
    /// If there is no such process.
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
    /// If there is no such process.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.kill()
    }

    /// Pauses a process.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn pause(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.pause()
    }

    /// Resumes a paused process.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn resume(&mut self, name: &str) -> io::Result<()> {
        self.child(name)?.signal(Signal::SIGCONT)
    }

    /// Returns the rules that cut a backend server off from all hosts and other members.
    ///
    /// # Errors
    ///
    /// If there is no such server.
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

    /// Puts rules of the relay in force.
    ///
    /// # Errors
    ///
    /// If the relay does not answer.
    pub async fn set_link_rules(&self, rules: &Table) -> io::Result<()> {
        self.post(self.layout.link_admin, "rules", rules).await
    }

    /// Puts faults of the platform in force.
    ///
    /// # Errors
    ///
    /// If the platform does not answer.
    pub async fn set_platform_fault(&self, fault: &Fault) -> io::Result<()> {
        self.post(self.layout.platform_admin, "fault", fault).await
    }

    /// Changes the faults of a backend server.
    ///
    /// # Errors
    ///
    /// If the server does not answer.
    pub async fn set_server_fault(&self, name: &str, change: &fault::Change) -> io::Result<()> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        self.post(server.admin, "fault", change).await
    }

    /// Stops answers on the open connections of a backend server.
    ///
    /// # Errors
    ///
    /// If the server does not answer.
    pub async fn stop_responding(&self, name: &str) -> io::Result<()> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        self.post(server.admin, "silence", &()).await
    }

    async fn post<T: Serialize>(&self, admin: SocketAddr, path: &str, body: &T) -> io::Result<()> {
        let request = self.http.post(format!("http://{admin}/{path}")).json(body);
        let answer = request.send().await.map_err(io::Error::other)?;
        answer.error_for_status().map_err(io::Error::other)?;
        Ok(())
    }

    /// Returns what a backend server reports to the lab.
    ///
    /// # Errors
    ///
    /// If the server does not answer.
    pub async fn server_report(&self, name: &str) -> io::Result<Report> {
        let server = find(&self.layout.servers, name, |server| &server.name)?;
        let request = self.http.get(format!("http://{}/state", server.admin));
        let request = request.timeout(Duration::from_millis(500));
        let answer = request.send().await.map_err(io::Error::other)?;
        answer.json().await.map_err(io::Error::other)
    }

    /// Returns the name of the primary with the greatest term.
    ///
    /// # Errors
    ///
    /// If no server reports that it is a primary within the time to start.
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
            time::sleep(POLL).await;
        }
        Err(io::Error::other("there is no primary"))
    }
}

fn find<'a, T>(all: &'a [T], name: &str, of: impl Fn(&T) -> &String) -> io::Result<&'a T> {
    let missing = || io::Error::other(format!("there is no {name}"));
    all.iter().find(|one| of(one) == name).ok_or_else(missing)
}

async fn until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) -> io::Result<()> {
    let begin = Instant::now();
    while !check().await {
        if begin.elapsed() > START_TIMEOUT {
            return Err(io::Error::other(format!("no {what} in time")));
        }
        time::sleep(POLL).await;
    }
    Ok(())
}
