//! Experiments that measure a fleet of real processes and compare the figures with the goals of the
//! design page.

mod configuration;
mod control;
pub mod deployment;
mod documents;
mod failover;
mod fairness;
mod operator;
mod overhead;
mod process;
mod rates;
mod replicas;
pub mod report;
mod sessions;
pub mod stream;
mod testbed;
pub mod window;
mod withdrawal;

use argh::FromArgs;
use deployment::Deployment;
use report::Report;
use std::{io, time::Duration};
use testbed::Settings;
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

/// Timeout of one experiment. With the default number of runs, experiments take far less.
const TIMEOUT: Duration = Duration::from_mins(10);

/// Runs an experiment on a fleet of real processes, and prints a table and a JSON object.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Command {
    /// failover, replicas, overhead, rates, fairness, withdrawal, configuration, control,
    /// sessions or documents
    #[argh(positional)]
    name: Name,
    /// deployment whose sizes and latencies are used: kalogeropoulos or wattlebird
    #[argh(option)]
    deployment: Deployment,
    /// seed of all random choices
    #[argh(option)]
    seed: u64,
    /// number of runs; the default depends on the experiment
    #[argh(option)]
    runs: Option<u64>,
    /// failover only: make the platform store fail as well
    #[argh(switch)]
    store_down: bool,
    /// commit from which the programs were built, for the report
    #[argh(option, default = "String::from(\"unknown\")")]
    commit: String,
}

/// Name of an experiment, as on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
enum Name {
    /// failover
    Failover,
    /// replicas
    Replicas,
    /// overhead
    Overhead,
    /// rates
    Rates,
    /// fairness
    Fairness,
    /// withdrawal
    Withdrawal,
    /// configuration
    Configuration,
    /// control
    Control,
    /// sessions
    Sessions,
    /// documents
    Documents,
}

impl Name {
    const ALL: [Self; 10] = [
        Self::Failover,
        Self::Replicas,
        Self::Overhead,
        Self::Rates,
        Self::Fairness,
        Self::Withdrawal,
        Self::Configuration,
        Self::Control,
        Self::Sessions,
        Self::Documents,
    ];

    /// Returns the default number of runs, with which the experiment takes at most some minutes.
    const fn default_runs(self) -> u64 {
        match self {
            Self::Failover => 20,
            Self::Withdrawal | Self::Configuration => 5,
            Self::Control => 1,
            _ => 3,
        }
    }
}

impl std::str::FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| format!("there is no experiment {text:?}"))
    }
}

impl Command {
    /// Runs the experiment and prints its report.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not respond, the experiment takes
    /// too long, or SIGTERM or SIGINT arrives. Processes of the experiment are killed first.
    pub async fn run(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let report = tokio::select! {
            report = time::timeout(TIMEOUT, self.measure()) => report.map_err(io::Error::other)??,
            _ = terminate.recv() => return Err(io::ErrorKind::Interrupted.into()),
            _ = interrupt.recv() => return Err(io::ErrorKind::Interrupted.into()),
        };
        report.print(io::stdout().lock())
    }

    async fn measure(&self) -> io::Result<Report> {
        let settings = Settings {
            deployment: self.deployment,
            seed: self.seed,
            runs: self.runs.unwrap_or(self.name.default_runs()),
            store_down: self.store_down,
        };
        let name = if self.store_down {
            format!("{} --store-down", self.name)
        } else {
            self.name.to_string()
        };
        let mut report = Report::new(name, self.deployment, self.seed, self.commit.clone());
        report.runs = settings.runs;
        match self.name {
            Name::Failover => failover::run(&settings, &mut report).await?,
            Name::Replicas => replicas::run(&settings, &mut report).await?,
            Name::Overhead => overhead::run(&settings, &mut report).await?,
            Name::Rates => rates::run(&settings, &mut report).await?,
            Name::Fairness => fairness::run(&settings, &mut report).await?,
            Name::Withdrawal => withdrawal::run(&settings, &mut report).await?,
            Name::Configuration => configuration::run(&settings, &mut report).await?,
            Name::Control => control::run(&settings, &mut report).await?,
            Name::Sessions => sessions::run(&settings, &mut report).await?,
            Name::Documents => documents::run(&settings, &mut report)?,
        }
        Ok(report)
    }
}
