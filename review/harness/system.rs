//! A small deployment: three machines that each run control and an entry, with the settings that
//! the provider would write. Every machine is a loopback address of its own.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, call, call_control};

/// Processes that this case has started.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Temporary folder of this case, removed at its end.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub const MACHINES: usize = 3;
pub const ZONES: [&str; MACHINES] = ["sofia-a", "sofia-b", "sofia-c"];
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// Bounds of the site `stoyanovi-manuals`, as far as the cases use them.
pub const CONTACT: Duration = Duration::from_millis(3000);
pub const DRAIN: Duration = Duration::from_millis(2000);
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Ends every process that this case has started, and removes its folder.
pub fn end_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
}

pub struct System {
    folder: PathBuf,
    base_port: u16,
    net: u32,
}

impl System {
    /// Starts control and an entry on every machine.
    pub fn start() -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("bitternlead-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let mut system = Self { folder, base_port: 0, net: pid };
        system.base_port = (0..200u16)
            .map(|n| 20_000 + n * 40)
            .find(|base| system.is_free(*base))
            .expect("free ports");
        for machine in 0..MACHINES {
            system.start_process(machine, "control", "control", true);
            system.start_process(machine, "entry", "edge", true);
        }
        system
    }

    fn is_free(&self, base: u16) -> bool {
        let ports: Vec<u16> = (base..base + 20).chain([9464, 9465]).collect();
        (0..MACHINES).all(|machine| {
            let ip = self.ip(machine);
            ports.iter().all(|port| {
                TcpListener::bind((ip.as_str(), *port)).is_ok()
                    && UdpSocket::bind((ip.as_str(), *port)).is_ok()
            })
        })
    }

    /// Address of a machine; those of servers follow the machines.
    pub fn ip(&self, machine: usize) -> String {
        format!("127.{}.{}.{}", 64 + self.net % 64, self.net / 64 % 256, machine + 1)
    }

    fn address(&self, machine: usize, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip(machine), self.base_port + offset).parse().unwrap()
    }

    pub fn frontend(&self, machine: usize) -> SocketAddr {
        self.address(machine, 16)
    }

    fn ready(&self, machine: usize) -> SocketAddr {
        self.address(machine, 17)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(machine, 18)
    }

    pub fn server_address(&self, server: usize) -> SocketAddr {
        self.address(MACHINES + server, 19)
    }

    fn write_settings(&self, machine: usize, role: &str, serves: &str, first: bool) -> PathBuf {
        let (ip, zone) = (self.ip(machine), ZONES[machine]);
        let listen = match role {
            "entry" => format!(
                r#"{{"Frontend":"{}","Ready":"{}"}}"#,
                self.frontend(machine),
                self.ready(machine)
            ),
            _ => format!(r#"{{"ControlPlane":"{}"}}"#, self.control(machine)),
        };
        let seeds: Vec<String> =
            (0..MACHINES).map(|m| format!("\"{}\"", self.control(m))).collect();
        let zones: Vec<String> = ZONES.iter().map(|z| format!("\"{z}\":\"sofia\"")).collect();
        let (seeds, zones) = (seeds.join(","), zones.join(","));
        let (port, last_port) = (self.base_port, self.base_port + 15);
        let data = self.folder.join(format!("data-{role}-{machine}"));
        fs::create_dir_all(&data).expect("a data folder");
        let data = data.display();
        let text = format!(
            r#"{{"NodeName":"edge-{zone}-1","Role":"{role}","MachineClass":"edge",
            "Serves":["{serves}"],"Ip":"{ip}","Zone":"{zone}","Region":"sofia","Zones":{{{zones}}},
            "Listen":{listen},"PortRange":[{port},{last_port}],"Seeds":[{seeds}],
            "Bootstrap":{first},"FaultCounted":true,
            "Limits":{{"CpuQuota":0.45,"Cpus":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,
            "DiskMb":64}},"DataDir":"{data}","Discovery":"registration","Entry":"vip",
            "HeartbeatMs":1200,"Contracts":["base","drain","config","cost","retry","recover",
            "engine","stream","tenants","spans"],
            "FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},
            "Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,
            "DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,
            "DowngradeSlackMs":250,"SkewMaxMs":5000,"RevokeStrict":false,"RevokeMs":5000,
            "RetryRatio":0.2,"RetryWindowS":10,"RetrySlack":106,"RecoverS":12,"DeliveryMs":120,
            "RetryAfterS":0,"stall_ms":1500,"HoldMaxMs":20000,"FreeMs":4000,"IdleMaxMs":9000}},
            "ConfigMode":"highest"}}"#
        );
        let path = self.folder.join(format!("{role}-{machine}.json"));
        fs::write(&path, text).expect("a settings file");
        path
    }

    /// Starts a process with the command of the deploy file.
    fn start_process(&self, machine: usize, role: &str, serves: &str, first: bool) {
        let settings = self.write_settings(machine, role, serves, first);
        let log = self.folder.join(format!("{role}-{machine}.log"));
        let log = fs::File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/bitternlead")
            .args(["platform", role])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BITTERNLEAD_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        CHILDREN.lock().unwrap().push((format!("{role}-{machine}"), child));
    }

    /// Kills the processes of a machine.
    pub fn kill_machine(&self, machine: usize) {
        let names = [format!("control-{machine}"), format!("entry-{machine}")];
        for (_, child) in CHILDREN.lock().unwrap().iter_mut().filter(|(n, _)| names.contains(n)) {
            child.kill().expect("the process runs");
        }
    }

    /// Sends a desired state until it is acknowledged.
    pub fn put_config(&self, document: &str) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in (0..MACHINES).cycle() {
            let answer = call_control(self.control(machine), "PUT", "/api/config", document);
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                return;
            }
            assert!(Instant::now() < deadline, "the desired state was not acknowledged");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until every entry says that it is ready and serves a request.
    pub fn wait_serving(&self, path: &str) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in 0..MACHINES {
            let is_ready = || {
                let limit = Duration::from_secs(1);
                let answer = call(self.ready(machine), "GET", "/api/readyz", "", limit);
                answer.is_ok_and(|(head, _)| head.status() == 200)
            };
            let serves = || {
                let mut client = Client::new(self.frontend(machine));
                let outcome = client.send("GET", path, &format!("warm-up-{machine}"), &[], 2000);
                matches!(outcome, Outcome::Answered(200))
            };
            while !(is_ready() && serves()) {
                assert!(Instant::now() < deadline, "machine {machine} does not serve");
                thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// A machine whose control answers with a redirect, so that it does not lead.
    pub fn find_follower(&self) -> usize {
        let limit = Duration::from_secs(1);
        let answers = |m: &usize| call(self.control(*m), "GET", "/api/config", "", limit);
        let is_follower = |m: &usize| answers(m).is_ok_and(|(head, _)| head.status() == 307);
        (0..MACHINES).find(is_follower).expect("a machine that follows")
    }
}

/// What a client saw of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered(u16),
    /// Nothing came until the client's time limit.
    NoAnswer,
    Closed(String),
}

/// A client that keeps its channel.
pub struct Client {
    addr: SocketAddr,
    channel: Option<Channel>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, channel: None }
    }

    /// Sends one request, and leaves when its time limit has passed.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        body: &[u8],
        limit_ms: u64,
    ) -> Outcome {
        let deadline = Some(Instant::now() + Duration::from_millis(limit_ms));
        let outcome = self.exchange(method, path, id, body, limit_ms, deadline);
        outcome.unwrap_or_else(|e| {
            self.channel = None;
            match e.kind() {
                std::io::ErrorKind::TimedOut => Outcome::NoAnswer,
                _ => Outcome::Closed(e.to_string()),
            }
        })
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        body: &[u8],
        limit_ms: u64,
        deadline: Option<Instant>,
    ) -> std::io::Result<Outcome> {
        if self.channel.is_none() {
            self.channel = Some(Channel::connect(self.addr)?);
        }
        let channel = self.channel.as_mut().expect("just made");
        let len = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {limit_ms}\r\nApi-Key: {KEY}\r\nContent-Length: {len}\r\n\r\n"
        );
        channel.write(head.as_bytes())?;
        channel.write(body)?;
        let head = channel.read_head(deadline)?;
        channel.read_body(head.content_length(), deadline)?;
        if head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            self.channel = None;
        }
        Ok(Outcome::Answered(head.status()))
    }
}

/// A desired state with the routes that are given.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}"#
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Backends":[{}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
        "IdleTimeoutMs":15000}},
        "Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"Prio":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A route with the figures of the site's kinds `stand-order` and `order-status`.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32) -> String {
    format!(
        r#"{{"Name":"r-{name}","Hostname":"{HOST}","PathPrefix":"/{name}/","Type":"{kind}",
        "TimeoutMs":2000,"GoalMs":300,"Prio":2,"Backend":"{service}","MaxAttempts":{attempts},
        "Public":false}}"#
    )
}
