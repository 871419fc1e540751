//! The platform: hosts are loopback addresses, each process gets a settings file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call_once;
use crate::record::Record;

const FRONTEND_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
const SERVER_PORT: u16 = 8488;
const FIRST_PORT: u16 = 7340;

/// Availability zones.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Bounds of the sheet that the scripts use.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const CONTACT: Duration = Duration::from_millis(4000);
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
pub const GRACE: Duration = Duration::from_secs(8);
pub const CATCH_UP: Duration = Duration::from_secs(6);
pub const RECOVER: Duration = Duration::from_secs(15);

/// A process of the system; killed when dropped.
pub struct Process {
    child: Child,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Process {
    fn spawn(role: &'static str, settings: &Path, log: &Path) -> Child {
        let out = File::options().create(true).append(true).open(log).unwrap();
        Command::new("target/release/bitternlead")
            .args(["platform", role])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("BITTERNLEAD_SETTINGS", settings)
            .stderr(out.try_clone().unwrap())
            .stdout(out)
            .stdin(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -s {name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the settings that it had.
    pub fn start_again(&mut self) {
        self.child = Self::spawn(self.role, &self.settings, &self.log);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hosts with a process of each role.
pub struct System {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    folder: PathBuf,
    network: String,
    hosts: usize,
}

impl System {
    /// Starts control with a disk and an entry on each of `hosts` hosts.
    pub fn start(folder: &Path, hosts: usize) -> Self {
        let mut system = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            folder: folder.to_owned(),
            network: free_network(),
            hosts,
        };
        for host in 0..hosts {
            for role in ["control", "entry"] {
                let settings = system.write_settings(role, host, true);
                let log = system.folder.join(format!("{role}-{host}.log"));
                let child = Process::spawn(role, &settings, &log);
                let process = Process { child, role, settings, log };
                match role {
                    "control" => system.controls.push(process),
                    _ => system.entries.push(process),
                }
            }
        }
        system
    }

    /// Starts control on a further host, at a new address and with an empty disk; returns its number.
    pub fn add_control(&mut self) -> usize {
        let host = self.controls.len();
        let settings = self.write_settings("control", host, false);
        let log = self.folder.join(format!("control-{host}.log"));
        let child = Process::spawn("control", &settings, &log);
        self.controls.push(Process { child, role: "control", settings, log });
        host
    }

    /// Removes a host for good, without a signal to its processes first.
    pub fn remove(&mut self, host: usize) {
        self.controls[host].kill();
        self.entries[host].kill();
    }

    /// Lets a host lose its disk and restart after some time.
    pub fn lose_disk(&mut self, host: usize, down: Duration) {
        self.remove(host);
        fs::remove_dir_all(self.folder.join(format!("data-{host}"))).unwrap();
        std::thread::sleep(down);
        self.write_settings("control", host, false);
        self.write_settings("entry", host, false);
        self.controls[host].start_again();
        self.entries[host].start_again();
    }

    fn ip(&self, host: usize) -> String {
        format!("{}.{}", self.network, host + 1)
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(host)).parse().unwrap()
    }

    /// Address of control on a host, for operators and servers.
    pub fn control(&self, host: usize) -> SocketAddr {
        self.address(host, CONTROL_PORT)
    }

    /// Address of the entry on a host, for clients.
    pub fn frontend(&self, host: usize) -> SocketAddr {
        self.address(host, FRONTEND_PORT)
    }

    /// Address of a server.
    pub fn server(&self, number: usize) -> SocketAddr {
        self.address(100 + number, SERVER_PORT)
    }

    /// Number of hosts.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Writes the settings of a process; `first` says that the whole system starts for the first time.
    pub fn write_settings(&self, role: &str, host: usize, first: bool) -> PathBuf {
        let ip = self.ip(host);
        let listen = match role {
            "entry" => {
                format!(r#"{{"Frontend":"{ip}:{FRONTEND_PORT}","Ready":"{ip}:{READY_PORT}"}}"#)
            }
            _ => format!(r#"{{"ControlPlane":"{ip}:{CONTROL_PORT}"}}"#),
        };
        let seeds: Vec<String> =
            (0..self.hosts.min(3)).map(|at| format!(r#""{}""#, self.control(at))).collect();
        let data = self.folder.join(format!("data-{host}"));
        let data_dir = match role {
            "control" => format!(r#""DataDir":"{}","#, data.display()),
            _ => String::new(),
        };
        let text = format!(
            r#"{{"NodeName":"{role}-{host}","Role":"{role}","MachineClass":"edge","Ip":"{ip}",
"Zone":"{zone}","Region":"here","Zones":{{"zone-a":"here","zone-b":"here","zone-c":"here"}},
"Listen":{listen},"PortRange":[{FIRST_PORT},{last}],"Seeds":[{seeds}],"Bootstrap":{first},
"FaultCounted":true,"Limits":{{"CpuQuota":0.32,"Cpus":1,"MemoryMb":160,"MaxFds":4100,"LinkMbps":100.0,"DiskMb":64}},
{data_dir}"Discovery":"registration","Entry":"vip","HeartbeatMs":{heartbeat},
"Contracts":["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","places","pressure","spans"],
"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":{contact},"AckMs":5000,"CatchUpS":{catch_up},"DrainMs":{drain},"GraceS":{grace},"LossSlackMs":200,"ConfigApplyMs":2500,"DowngradeSlackMs":250,"SkewMaxMs":6000,"RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":132,"ColdOverage":1.5,"ColdSlack":5,"EvacuateMs":5000,"RecoverS":{recover},"DeliveryMs":200,"RetryAfterS":0,"stall_ms":1500,"HoldMaxMs":20000,"FreeMs":4000,"IdleMaxMs":9000}},
"ConfigMode":"highest"}}"#,
            zone = ZONES[host % ZONES.len()],
            last = FIRST_PORT + 15,
            seeds = seeds.join(","),
            heartbeat = HEARTBEAT.as_millis(),
            contact = CONTACT.as_millis(),
            drain = DRAIN.as_millis(),
            grace = GRACE.as_secs(),
            catch_up = CATCH_UP.as_secs(),
            recover = RECOVER.as_secs(),
        );
        let path = self.folder.join(format!("{role}-{host}.json"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Sends a desired state to the hosts of control in turn until one acknowledges it.
    pub fn put_config(&self, config: &str, record: &Record) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        for host in (0..self.hosts).cycle() {
            let second = Duration::from_secs(1);
            let addr = self.control(host);
            let answer = call_once(addr, "PUT", "/api/config", config.as_bytes(), second);
            let status = answer.map_or(0, |a| a.status());
            record.note(&format!("operator sends the desired state to {addr}: {status}"));
            if status == 200 {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until every entry reports that it is ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let second = Duration::from_secs(1);
        let is_ready = |host: usize| {
            let addr = self.address(host, READY_PORT);
            call_once(addr, "GET", "/api/readyz", b"", second).is_ok_and(|a| a.status() == 200)
        };
        while !(0..self.hosts).all(is_ready) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

/// The first three numbers of loopback addresses that no other run uses.
fn free_network() -> String {
    let process = std::process::id();
    (0..100)
        .map(|n| format!("127.{}.{}", 65 + process % 120, (process / 120 + n) % 250 + 1))
        .find(|net| std::net::TcpListener::bind(format!("{net}.1:{CONTROL_PORT}")).is_ok())
        .expect("no free loopback addresses")
}
