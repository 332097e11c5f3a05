//! Command line arguments and their help texts.

use crate::exit::Exit;
use argh::{EarlyExit, FromArgs};
use std::{ffi::OsString, path::PathBuf};

/// Name of the program in its help texts.
const PROGRAM: &str = "fulmargw";

/// A database proxy with session consistency.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    example = "fulmargw serve --settings /etc/fulmargw/fulmargw.toml",
    note = "--version prints the version, as the command does. Exit codes: 0 done, 1 failed, 2 usage, 3 stale patch refused, 4 invalid settings or \
            patch, 5 unreachable, 6 stop not ended in time."
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

/// Subcommands of the program.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Serves callers with the configuration that hosts agree on.
    Serve(Serve),
    /// Proxies callers to the database groups of a platform.
    Pool(Pool),
    /// Prints the log lines of a request.
    Explain(Explain),
    /// Checks a settings file.
    Check(Check),
    /// Submits a configuration patch.
    Patch(Patch),
    /// Prints the configuration in force.
    Config(Config),
    /// Prints the state of a host.
    State(State),
    /// Generates a key.
    Key(Key),
    /// Prints the version and the commit.
    Version(Version),
}

/// serve callers until SIGTERM or SIGINT
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "serve",
    example = "fulmargw serve --settings /etc/fulmargw/fulmargw.toml"
)]
pub struct Serve {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// proxy callers to the database groups of a platform until SIGTERM or SIGINT
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "pool",
    example = "fulmargw pool --settings /etc/fulmargw/pool.toml",
    note = "Without the option the platform says where the settings file is."
)]
pub struct Pool {
    /// settings file
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// print the log lines of a request and the state changes of its host around them
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "fulmargw explain 5c0e7a21d94b36f8 host-a.log host-b.log"
)]
pub struct Explain {
    /// identifier of the request
    #[argh(positional)]
    pub request: String,
    /// log files of `fulmargw pool`
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// time before and after the request in which state changes are printed, in milliseconds
    #[argh(option, default = "3000")]
    pub around_ms: u64,
}

/// check a settings file and report each problem with its file, line and key
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "fulmargw check --settings /etc/fulmargw/fulmargw.toml"
)]
pub struct Check {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// check a settings file of `fulmargw pool`
    #[argh(switch)]
    pub pool: bool,
    /// print problems as JSON on standard output
    #[argh(switch)]
    pub json: bool,
}

/// submit a configuration patch to a host
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "patch",
    example = "fulmargw patch --operator http://10.0.0.1:9100 --credential-file credential \
               accounts.toml",
    note = "A file whose name ends in .json is read as JSON, any other file as TOML."
)]
pub struct Patch {
    /// URL of the operator interface
    #[argh(option)]
    pub operator: String,
    /// file with the operator credential
    #[argh(option)]
    pub credential_file: PathBuf,
    /// print the response as JSON
    #[argh(switch)]
    pub json: bool,
    /// patch file, TOML or JSON
    #[argh(positional)]
    pub patch: PathBuf,
}

/// print the configuration in force on a host, with shortened key digests
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "config",
    example = "fulmargw config --operator http://10.0.0.1:9100 --credential-file credential"
)]
pub struct Config {
    /// URL of the operator interface
    #[argh(option)]
    pub operator: String,
    /// file with the operator credential
    #[argh(option)]
    pub credential_file: PathBuf,
    /// print JSON on one line
    #[argh(switch)]
    pub json: bool,
}

/// print the state dump of a host
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "state",
    example = "fulmargw state --operator http://10.0.0.1:9100 --credential-file credential \
               --service notes",
    note = "A host keeps its last 1024 routing decisions and its last 64 promotions."
)]
pub struct State {
    /// URL of the operator interface
    #[argh(option)]
    pub operator: String,
    /// file with the operator credential
    #[argh(option)]
    pub credential_file: PathBuf,
    /// print only the routing decisions on the request with this identifier
    #[argh(option)]
    pub request: Option<String>,
    /// print only this service with its routing decisions and promotions
    #[argh(option)]
    pub service: Option<String>,
    /// print JSON on one line
    #[argh(switch)]
    pub json: bool,
}

/// print a new random key and its digest
#[derive(Debug, PartialEq, FromArgs)]
#[argh(
    subcommand,
    name = "key",
    example = "fulmargw key --json",
    example = "fulmargw key --stdin < key"
)]
pub struct Key {
    /// read the key from standard input and print only its digest
    #[argh(switch)]
    pub stdin: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// print the version and the commit from which the program was built
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "version", example = "fulmargw version --json")]
pub struct Version {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Parses the command line. Prints help to standard output and usage errors to standard error.
///
/// # Errors
///
/// Returns how the program ends if there is no command to run.
pub fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Command, Exit> {
    let arguments: Result<Vec<String>, OsString> =
        arguments.skip(1).map(OsString::into_string).collect();
    let arguments = arguments.map_err(|argument| {
        eprintln!("fulmargw: argument {} is not UTF-8", argument.display());
        Exit::Usage
    })?;
    let mut arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    // People expect the option that most programs have.
    if let [option @ ("--version" | "-V"), ..] = arguments.as_mut_slice() {
        *option = "version";
    }
    Arguments::from_args(&[PROGRAM], &arguments)
        .map(|arguments| arguments.command)
        .map_err(exit_early)
}

fn exit_early(early: EarlyExit) -> Exit {
    let EarlyExit { output, status } = early;
    if status.is_ok() {
        println!("{}", output.trim_end());
        return Exit::Done;
    }
    eprintln!("fulmargw: {}", output.trim_end());
    eprintln!("Run 'fulmargw --help' for usage.");
    Exit::Usage
}
