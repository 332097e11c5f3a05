//! Fleets on which experiments run.

use super::{deployment::Deployment, operator::Operator};
use crate::{
    fleet::{configuration, layout::Options, processes::Fleet},
    load::plan::Account,
};
use fulmargw_model::{client_account, configuration::Change, name::Name};
use std::{
    env, fs, io,
    ops::{Deref, DerefMut},
    path::PathBuf,
    process,
    sync::atomic::{AtomicU64, Ordering},
};

/// Rate of a client account that no experiment reaches, in requests per second.
const UNREACHED_RATE: f64 = 50_000.0;

/// Number of the next fleet that this process starts.
static NEXT_FLEET: AtomicU64 = AtomicU64::new(0);

/// Settings of all experiments.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Deployment whose sizes and latencies are used.
    pub deployment: Deployment,
    /// Seed of the first run. Each later run adds one.
    pub seed: u64,
    /// Number of runs.
    pub runs: u64,
    /// Whether the store of the platform fails too.
    pub store_down: bool,
}

impl Settings {
    /// Returns the seeds of the runs.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        self.seed..self.seed + self.runs
    }

    /// Starts a fleet of the deployment's size with the client account `lab`.
    pub async fn fleet(&self) -> io::Result<Testbed> {
        self.fleet_with(|options| options).await
    }

    /// Starts a fleet with modified options of the deployment.
    pub async fn fleet_with(&self, modify: impl FnOnce(Options) -> Options) -> io::Result<Testbed> {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmargw-experiment-{}-{number}", process::id());
        let directory = env::temp_dir().join(name);
        let options = self
            .deployment
            .options(directory.clone(), vec![lab_account()])?;
        let fleet = Fleet::start(modify(options)).await?;
        let operator = Operator::new(fleet.layout())?;
        Ok(Testbed {
            fleet,
            operator,
            directory,
        })
    }
}

/// Returns the client account with which the fleet of an experiment starts.
pub fn lab_account() -> Account {
    Account {
        name: "lab".to_owned(),
        key: "lab-key".to_owned(),
        sessions: 1,
        rate: UNREACHED_RATE,
    }
}

/// A fleet and a client of its operator interfaces. [`Testbed::end`] removes the folder of the fleet,
/// which is kept after a failure.
#[derive(Debug)]
pub struct Testbed {
    fleet: Fleet,
    /// Client of the operator interfaces.
    pub operator: Operator,
    directory: PathBuf,
}

impl Testbed {
    /// Adds client accounts with access to all routes, and waits until they are in force on all
    /// hosts.
    pub async fn add_accounts(&self, accounts: Vec<client_account::Account>) -> io::Result<()> {
        let names = accounts.iter().map(|account| account.name.clone());
        let names: Vec<Name> = names.chain([Name::new(&lab_account().name)]).collect();
        let accounts = accounts.into_iter().map(Change::PutAccount);
        let routes = configuration::routes(&names).map(Change::PutRoute);
        let changes = accounts.chain(routes).collect();
        self.operator.change("accounts", changes).await
    }

    /// Kills all processes and removes their folder.
    pub fn end(self) -> io::Result<()> {
        drop(self.fleet);
        fs::remove_dir_all(self.directory)
    }
}

impl Deref for Testbed {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for Testbed {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}
