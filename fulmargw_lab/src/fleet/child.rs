//! Child processes that end with their owner.

use nix::{
    sys::{
        signal::{self, Signal},
        wait::{self, Id, WaitPidFlag},
    },
    unistd::Pid,
};
use std::{
    fs::OpenOptions,
    io,
    path::Path,
    process::{self, Command, Stdio},
};

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub struct Child(process::Child);

impl Child {
    /// Starts a process whose output is appended to a file.
    pub fn start(program: &Path, arguments: &[String], output: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(output)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Self(child))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // An ended child is reaped here, so its id cannot belong to another process below.
        if self.has_ended()? {
            return Ok(());
        }
        let id = i32::try_from(self.0.id()).map_err(io::Error::other)?;
        signal::kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Stops the process until it gets `SIGCONT`, and returns when all its threads have stopped.
    ///
    /// The signal alone takes effect later: on a busy machine the process could still answer.
    pub fn pause(&mut self) -> io::Result<()> {
        if self.has_ended()? {
            return Ok(());
        }
        self.signal(Signal::SIGSTOP)?;
        let id = i32::try_from(self.0.id()).map_err(io::Error::other)?;
        // Without WNOWAIT an ended child would be reaped here and be unknown to `try_wait`.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        wait::waitid(Id::Pid(Pid::from_raw(id)), flags)?;
        Ok(())
    }

    /// Reports whether the process has ended.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        self.0.try_wait().map(|status| status.is_some())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        if !self.has_ended()? {
            self.0.kill()?;
            self.0.wait()?;
        }
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Nothing more can be done for a child that cannot be killed.
        let _ = self.kill();
    }
}
