//! Sizes and latencies of the deployments that are in use today.

use crate::{fleet::layout::Options, load::plan::Account};
use std::{io, path::PathBuf, str::FromStr, time::Duration};

/// A deployment that is in use today, with the sizes of section 1.3 of the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Deployment {
    /// kalogeropoulos
    Kalogeropoulos,
    /// wattlebird
    Wattlebird,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "kalogeropoulos" => Ok(Self::Kalogeropoulos),
            "wattlebird" => Ok(Self::Wattlebird),
            _ => Err(format!("there is no deployment {text:?}")),
        }
    }
}

impl Deployment {
    /// Returns the options of a fleet with one service, whose size is that of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the path of the running program is unknown.
    pub fn options(self, directory: PathBuf, accounts: Vec<Account>) -> io::Result<Options> {
        let program = std::env::current_exe()?;
        let program_directory = program.parent().map(PathBuf::from).unwrap_or_default();
        let options = Options {
            program_directory,
            ..Options::new(directory, accounts)?
        };
        Ok(match self {
            Self::Kalogeropoulos => Options {
                slots: 2,
                max_connections: 16,
                connect_time: Duration::from_millis(10),
                network_delay: Duration::from_micros(1500),
                ..options
            },
            Self::Wattlebird => Options {
                slots: 5,
                max_connections: 60,
                connect_time: Duration::from_millis(30),
                network_delay: Duration::from_micros(500),
                ..options
            },
        })
    }
}
