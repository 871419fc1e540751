//! Processes that an example starts and ends.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running process; it ends when dropped.
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
}

fn beside(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let examples = own.parent().map(Path::to_owned).unwrap_or_default();
    match name {
        "stand_in" => examples.join(name),
        _ => examples.parent().map(|p| p.join(name)).unwrap_or_default(),
    }
}

/// Runs an operator's command and returns what it prints.
pub fn run_command(args: &[&str], operators: &str) -> Result<String, String> {
    let output = Command::new(beside("bitternlead"))
        .args(args)
        .args(["--operators", operators])
        .output()
        .map_err(|e| e.to_string())?;
    match output.status.success() {
        true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
        false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
    }
}

impl Process {
    /// Starts a program that lies beside this one and waits for its ready line.
    pub fn start(program: &str, args: &[&str]) -> Result<Self, String> {
        let path = beside(program);
        let mut child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let out = child.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).map_err(|e| e.to_string())?;
        let Some(parts) = line.trim().strip_prefix("ready ") else {
            let _ = child.kill();
            return Err(format!("{program} {args:?} did not start: {line}"));
        };
        let pairs = parts.split(' ').filter_map(|p| p.split_once('='));
        let addresses = pairs.filter_map(|(n, a)| Some((n.to_owned(), a.parse().ok()?))).collect();
        Ok(Self { child, addresses })
    }

    /// An address of the ready line.
    pub fn address(&self, name: &str) -> Result<SocketAddr, String> {
        self.addresses.get(name).copied().ok_or_else(|| format!("no address {name}"))
    }

    /// Ends the process without notice.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Identity of the process.
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
