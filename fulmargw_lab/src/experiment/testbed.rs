//! Start of the fleets of an experiment.

use super::{deployment::Deployment, operator::Operator};
use crate::{
    fleet::{configuration, control::Fleet, layout::Options},
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

/// Rate of an account that no experiment exhausts.
const AMPLE: f64 = 50_000.0;

/// Number of the next fleet of this process.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// What all experiments are told.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed of the first run; each later run adds one.
    pub seed: u64,
    /// Number of runs.
    pub runs: u64,
    /// Whether the platform store fails as well.
    pub store_down: bool,
}

impl Settings {
    /// Returns the seeds of the runs.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        self.seed..self.seed + self.runs
    }

    /// Starts a fleet of the deployment's size with one ample account named `lab`.
    pub async fn fleet(&self) -> io::Result<Testbed> {
        self.fleet_with(|options| options).await
    }

    /// Starts a fleet whose options differ from those of the deployment.
    pub async fn fleet_with(&self, edit: impl FnOnce(Options) -> Options) -> io::Result<Testbed> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmargw-experiment-{}-{number}", process::id());
        let directory = env::temp_dir().join(name);
        let options = self
            .deployment
            .options(directory.clone(), vec![lab_account()])?;
        let fleet = Fleet::start(edit(options)).await?;
        let operator = Operator::new(fleet.layout())?;
        Ok(Testbed {
            fleet,
            operator,
            directory,
        })
    }
}

/// The account that a fleet of an experiment starts with.
pub fn lab_account() -> Account {
    Account {
        name: "lab".to_owned(),
        key: "lab-key".to_owned(),
        sessions: 1,
        rate: AMPLE,
    }
}

/// A fleet with its operator interfaces. The folder is removed with [`Testbed::end`], and kept
/// after a failure.
#[derive(Debug)]
pub struct Testbed {
    fleet: Fleet,
    /// Operator interfaces.
    pub operator: Operator,
    directory: PathBuf,
}

impl Testbed {
    /// Puts accounts in force on all hosts, with access to all routes.
    pub async fn add_accounts(&self, accounts: Vec<client_account::Account>) -> io::Result<()> {
        let names = accounts.iter().map(|account| account.name.clone());
        let names: Vec<Name> = names.chain([Name::new(&lab_account().name)]).collect();
        let accounts = accounts.into_iter().map(Change::PutAccount);
        let routes = configuration::routes(&names).map(Change::PutRoute);
        let changes = accounts.chain(routes).collect();
        self.operator.change("accounts", changes).await
    }

    /// Ends all processes and removes their folder.
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
