//! Child processes of an example: the server and the emulated engines and services.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running child process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// Addresses that the process printed in its `ready` line, by name.
    addresses: HashMap<String, SocketAddr>,
}

/// Returns the path of a binary or example of the same build as this one.
fn executable_path(name: &str) -> PathBuf {
    let current_exe = std::env::current_exe().unwrap_or_default();
    let examples_dir = current_exe.parent().map(Path::to_owned).unwrap_or_default();
    match name {
        "stand_in" => examples_dir.join(name),
        _ => examples_dir.parent().map(|p| p.join(name)).unwrap_or_default(),
    }
}

/// Runs an operator command against the control replica at `operators_addr` and returns its output.
///
/// # Errors
///
/// Returns the command's standard error if it fails.
pub fn run_command(args: &[&str], operators_addr: &str) -> Result<String, String> {
    let output = Command::new(executable_path("bitternlead"))
        .args(args)
        .args(["--operators", operators_addr])
        .output()
        .map_err(|e| e.to_string())?;
    match output.status.success() {
        true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
        false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
    }
}

impl Process {
    /// Starts a binary or example of the same build and waits for its `ready` line.
    ///
    /// # Errors
    ///
    /// Returns a description if the program can't be run or prints another line first.
    pub fn start(program: &str, args: &[&str]) -> Result<Self, String> {
        let path = executable_path(program);
        let mut child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let stdout = child.stdout.take().ok_or("standard output is not captured")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).map_err(|e| e.to_string())?;
        let Some(addresses_text) = line.trim().strip_prefix("ready ") else {
            let _ = child.kill();
            return Err(format!("{program} {args:?} did not print a ready line: {line}"));
        };
        let pairs = addresses_text.split(' ').filter_map(|p| p.split_once('='));
        let addresses = pairs.filter_map(|(n, a)| Some((n.to_owned(), a.parse().ok()?))).collect();
        Ok(Self { child, addresses })
    }

    /// Returns an address from the `ready` line.
    ///
    /// # Errors
    ///
    /// Returns a description if the line has no such address.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        self.addresses
            .get(name)
            .copied()
            .ok_or_else(|| format!("the ready line has no address {name}"))
    }

    /// Kills the process with SIGKILL, without a chance to shut down.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
