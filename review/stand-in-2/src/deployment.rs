//! Machines of a deployment: each has a loopback address, a settings file, a data folder and the
//! processes of its roles.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::line;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/bitternlead";
/// Ports of every machine.
const CONTROL_PORT: u16 = 8229;
const FRONTEND_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const FIRST_PORT: u16 = 7340;
/// Ports that the roles bind for their metrics.
const METRICS_PORTS: [u16; 2] = [9464, 9465];

/// Bounds and tolerance of a deployment, as its settings give them.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Machines that may be lost at the same time.
    pub machines: usize,
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub catch_up_s: u64,
    pub drain_ms: u64,
    pub grace_s: u64,
    pub config_apply_ms: u64,
    pub recover_s: u64,
}

/// A process of a role.
struct Process {
    role: &'static str,
    child: Child,
}

/// One machine.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    zone: usize,
    folder: PathBuf,
    processes: Vec<Process>,
}

/// All machines of a run; dropping it ends their processes and removes their files.
pub struct Deployment {
    pub bounds: Bounds,
    pub machines: Vec<Machine>,
    folder: PathBuf,
    network: (u8, u8),
    seeds: Vec<usize>,
}

impl Deployment {
    /// Prepares `count` machines in three zones; no process is started.
    pub fn new(count: usize, bounds: Bounds) -> Result<Self, String> {
        if !Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing; run the build of the deploy file"));
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut seed = u64::from(now.subsec_nanos()) ^ (u64::from(std::process::id()) << 20);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut deployment = Self {
            bounds,
            machines: Vec::new(),
            folder,
            network: (0, 0),
            seeds: (0..count.min(3)).collect(),
        };
        for _ in 0..50 {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            deployment.network = (64 + (seed >> 33) as u8 % 60, 1 + (seed >> 41) as u8 % 250);
            if (0..16).all(|at| deployment.is_free(at)) {
                break;
            }
        }
        for at in 0..count {
            deployment.add_machine(at % 3)?;
        }
        Ok(deployment)
    }

    fn ip(&self, at: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, 10 + at as u8)
    }

    fn is_free(&self, at: usize) -> bool {
        let ports = [CONTROL_PORT, FRONTEND_PORT, READY_PORT, FIRST_PORT, FIRST_PORT + 1];
        let mut ports = ports.iter().chain(&METRICS_PORTS);
        ports.all(|port| TcpListener::bind((self.ip(at), *port)).is_ok())
    }

    /// Adds a machine in a zone, without processes, and returns its number.
    pub fn add_machine(&mut self, zone: usize) -> Result<usize, String> {
        let at = self.machines.len();
        let name = format!("edge-{}-{at}", (b'a' + zone as u8) as char);
        let folder = self.folder.join(&name);
        fs::create_dir_all(folder.join("data")).map_err(|e| e.to_string())?;
        self.machines.push(Machine { name, ip: self.ip(at), zone, folder, processes: Vec::new() });
        Ok(at)
    }

    /// Address of the operators' interface of a machine.
    pub fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[at].ip), CONTROL_PORT)
    }

    /// Address for clients of a machine.
    pub fn frontend(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[at].ip), FRONTEND_PORT)
    }

    fn write_settings(&self, at: usize, role: &str, bootstrap: bool) -> Result<PathBuf, String> {
        let machine = &self.machines[at];
        let b = &self.bounds;
        let seeds: Vec<String> =
            self.seeds.iter().map(|s| format!("\"{}:{CONTROL_PORT}\"", self.ip(*s))).collect();
        let zone = (b'a' + machine.zone as u8) as char;
        let ip = machine.ip;
        let listen = match role {
            "control" => format!(r#"{{"ControlPlane": "{ip}:{CONTROL_PORT}"}}"#),
            _ => format!(
                r#"{{"Frontend": "{ip}:{FRONTEND_PORT}", "Ready": "{ip}:{READY_PORT}"}}"#
            ),
        };
        let serves = if role == "control" { "control" } else { "edge" };
        let data = machine.folder.join("data");
        let data = match role {
            "control" => format!("\"{}\"", data.display()),
            _ => "null".to_owned(),
        };
        let text = format!(
            r#"{{
"NodeName": "{name}", "Role": "{role}", "MachineClass": "edge", "Serves": ["{serves}"],
"Ip": "{ip}", "Zone": "zone-{zone}", "Region": "area",
"Zones": {{"zone-a": "area", "zone-b": "area", "zone-c": "area"}},
"Listen": {listen}, "PortRange": [{FIRST_PORT}, {last}], "Seeds": [{seeds}],
"Bootstrap": {bootstrap}, "FaultCounted": true,
"Limits": {{"CpuQuota": 0.45, "Cpus": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 64}},
"DataDir": {data}, "Discovery": "registration", "Entry": "vip", "HeartbeatMs": 1200,
"Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "spans"],
"FaultTolerance": {{"Machines": {machines}, "Zones": 0, "Regions": 0}},
"Bounds": {{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": {contact}, "AckMs": {ack}, "CatchUpS": {catch_up},
"DrainMs": {drain}, "GraceS": {grace}, "LossSlackMs": 200, "ConfigApplyMs": {apply}, "DowngradeSlackMs": 250,
"SkewMaxMs": 5000, "RevokeStrict": false, "RevokeMs": 5000, "RetryRatio": 0.2, "RetryWindowS": 10,
"RetrySlack": 106, "RecoverS": {recover}, "DeliveryMs": 120, "RetryAfterS": 0, "stall_ms": 1500,
"HoldMaxMs": 20000, "FreeMs": 4000, "IdleMaxMs": 9000}},
"ConfigMode": "highest"
}}
"#,
            name = machine.name,
            last = FIRST_PORT + 15,
            seeds = seeds.join(", "),
            machines = b.machines,
            contact = b.contact_ms,
            ack = b.ack_ms,
            catch_up = b.catch_up_s,
            drain = b.drain_ms,
            grace = b.grace_s,
            apply = b.config_apply_ms,
            recover = b.recover_s,
        );
        let path = machine.folder.join(format!("{role}.json"));
        fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path)
    }

    /// Starts the process of a role with the command of the deploy file.
    pub fn start(&mut self, at: usize, role: &'static str, bootstrap: bool) -> Result<(), String> {
        let settings = self.write_settings(at, role, bootstrap)?;
        let machine = &mut self.machines[at];
        let log = File::options()
            .create(true)
            .append(true)
            .open(machine.folder.join(format!("{role}.log")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .args(["platform", role])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &machine.folder)
            .env("BITTERNLEAD_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| e.to_string())?;
        line(&format!("{}: {role} started", machine.name));
        machine.processes.push(Process { role, child });
        self.note_processes();
        Ok(())
    }

    /// Writes the ids of all running processes to the file that the script ends them by.
    fn note_processes(&self) {
        let Some(path) = std::env::var_os("REVIEW_PIDS") else { return };
        let processes = self.machines.iter().flat_map(|machine| &machine.processes);
        let ids: Vec<String> = processes.map(|process| process.child.id().to_string()).collect();
        let _ = fs::write(path, ids.join("\n") + "\n");
    }

    /// Sends a signal to the processes of a machine.
    pub fn signal(&mut self, at: usize, name: &str) {
        let machine = &self.machines[at];
        line(&format!("{}: SIG{name}", machine.name));
        for process in &machine.processes {
            send_signal(process.child.id(), name);
        }
    }

    /// Kills the processes of a machine; its disk stays as it is.
    pub fn kill(&mut self, at: usize) {
        line(&format!("{}: killed", self.machines[at].name));
        for mut process in self.machines[at].processes.drain(..) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.note_processes();
    }

    /// Empties the data folder of a machine without processes.
    pub fn wipe(&mut self, at: usize) -> Result<(), String> {
        let data = self.machines[at].folder.join("data");
        fs::remove_dir_all(&data).map_err(|e| e.to_string())?;
        fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        line(&format!("{}: has lost its disk", self.machines[at].name));
        Ok(())
    }

    /// Stops the processes of a machine as the platform does: SIGTERM, and SIGKILL after `GraceS`.
    pub fn stop(&mut self, at: usize) {
        self.signal(at, "TERM");
        let start = Instant::now();
        let grace = Duration::from_secs(self.bounds.grace_s);
        let name = self.machines[at].name.clone();
        for mut process in self.machines[at].processes.drain(..) {
            while matches!(process.child.try_wait(), Ok(None)) && start.elapsed() < grace {
                std::thread::sleep(Duration::from_millis(10));
            }
            let _ = process.child.kill();
            let _ = process.child.wait();
            let ms = start.elapsed().as_millis();
            line(&format!("{name}: {} ended {ms} ms after SIGTERM", process.role));
        }
        self.note_processes();
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let processes = &mut self.machines[at].processes;
        processes.iter_mut().any(|p| !matches!(p.child.try_wait(), Ok(None)))
    }

    /// Whether the log of a role contains a text.
    pub fn log_contains(&self, at: usize, role: &str, text: &str) -> bool {
        let path = self.machines[at].folder.join(format!("{role}.log"));
        fs::read_to_string(path).is_ok_and(|log| log.contains(text))
    }

    /// Copies the lines of a role's log that contain one of these texts to the record.
    pub fn quote_log(&self, at: usize, role: &str, texts: &[&str]) {
        let path = self.machines[at].folder.join(format!("{role}.log"));
        let log = fs::read_to_string(path).unwrap_or_default();
        for text in log.lines().filter(|l| texts.iter().any(|t| l.contains(t))) {
            line(&format!("log of {}: {text}", self.machines[at].name));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for process in &mut machine.processes {
                send_signal(process.child.id(), "CONT");
                let _ = process.child.kill();
                let _ = process.child.wait();
            }
        }
        if std::env::var_os("KEEP_FILES").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}
