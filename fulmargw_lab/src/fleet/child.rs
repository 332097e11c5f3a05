//! Child processes that are killed when their handle is dropped.

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

    /// Sends a signal, unless the process has exited.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // A child that has exited is reaped by this call. The id of a child that is not reaped
        // cannot belong to another process.
        if self.has_exited()? {
            return Ok(());
        }
        let id = i32::try_from(self.0.id()).map_err(io::Error::other)?;
        signal::kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Pauses the process until it receives `SIGCONT`, and returns when all its threads have
    /// stopped.
    ///
    /// Sending `SIGSTOP` is not enough, because it takes effect later: on a busy machine the
    /// process could still respond.
    pub fn pause(&mut self) -> io::Result<()> {
        if self.has_exited()? {
            return Ok(());
        }
        self.signal(Signal::SIGSTOP)?;
        let id = i32::try_from(self.0.id()).map_err(io::Error::other)?;
        // Without WNOWAIT a child that has exited would be reaped here, and `try_wait` would fail.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        wait::waitid(Id::Pid(Pid::from_raw(id)), flags)?;
        Ok(())
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        self.0.try_wait().map(|status| status.is_some())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) -> io::Result<()> {
        if !self.has_exited()? {
            self.0.kill()?;
            self.0.wait()?;
        }
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // A destructor cannot report that the child could not be killed.
        let _ = self.kill();
    }
}
