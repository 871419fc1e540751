//! End-to-end test environment: runs the real binary, and stand-ins for engines and services.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

/// Timeout for a process to become ready or a condition to hold.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An API key of the test workspace.
pub const KEY: &str = "test-key-1";

/// Offset of the next port that `free_address` returns.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// First port and number of ports that tests listen on, below the range that the operating system
/// uses for outgoing connections.
const PORT_RANGE: (u16, u16) = (10_000, 20_000);

/// Returns a loopback address that no other test gets; the next port is reserved with it.
///
/// Each test process listens on an address of its own, so that several of them can run on one host at
/// the same time. The port is not probed: another thread's child process may inherit the probing
/// socket, and the address would stay in use for a moment.
pub fn free_address() -> SocketAddr {
    let step = NEXT_PORT.fetch_add(2, Ordering::Relaxed);
    let port = PORT_RANGE.0 + step % PORT_RANGE.1;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // 127.0.0.1 is left to other programs.
    SocketAddr::from(([127, 64 | high & 63, middle, low], port))
}

/// Attempts to start a process whose address is still in use.
const MAX_START_TRIES: usize = 10;

/// A running process, killed when dropped.
pub struct Process {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    command: Vec<String>,
    log_path: PathBuf,
}

impl Process {
    fn start(command: &[String], log_path: &Path) -> Self {
        let mut last_error = String::new();
        for _ in 0..MAX_START_TRIES {
            match Self::try_start(command, log_path) {
                Ok(process) => return process,
                Err(e) => last_error = e,
            }
            if !last_error.contains("in use") {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        panic!("not ready: {command:?}: {last_error}")
    }

    fn try_start(command: &[String], log_path: &Path) -> Result<Self, String> {
        let log = std::fs::File::options().create(true).append(true).open(log_path).unwrap();
        let mut child = Command::new(&command[0])
            .args(&command[1..])
            .env("RUST_BACKTRACE", "1")
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let out = child.stdout.take().unwrap();
        let (tx, rx) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let _ = tx.send(line);
            }
        });
        let Ok(line) = rx.recv_timeout(TEST_TIMEOUT) else {
            let _ = child.kill();
            let _ = child.wait();
            let log = std::fs::read_to_string(log_path).unwrap_or_default();
            return Err(log.lines().last().unwrap_or_default().to_owned());
        };
        let parts = line.strip_prefix("ready ").expect("a ready line").split(' ');
        let pairs = parts.filter_map(|p| p.split_once('='));
        let addresses = pairs.map(|(n, a)| (n.to_owned(), a.parse().unwrap())).collect();
        let (command, log_path) = (command.to_vec(), log_path.to_owned());
        Ok(Self { child, addresses, command, log_path })
    }

    /// Returns an address from the ready line by its name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Returns the log of all runs of the process.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has exited; the inner value is `None` after a signal.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|s| s.code())
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn wait_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "did not exit: {}", self.log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sets a flag of the command for the next start.
    pub fn set_flag(&mut self, flag: &str, value: &str) {
        match self.command.iter().position(|c| c == flag) {
            Some(at) => self.command[at + 1] = value.to_owned(),
            None => self.command.extend([flag.to_owned(), value.to_owned()]),
        }
    }

    /// Kills the process and starts it again with the same command and addresses.
    pub fn restart(&mut self) {
        self.kill();
        *self = Self::start(&self.command.clone(), &self.log_path.clone());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Size and settings of a test system.
#[derive(Clone, Debug)]
pub struct SystemConfig {
    pub controls: usize,
    pub agents: usize,
    pub entries: usize,
    pub kv_tokens: u64,
    pub prefill_rate: f64,
    pub speed: f64,
    pub service_delay_ms: u64,
    pub checks_orders: bool,
    pub deadline_ms: u64,
    pub entry_flags: Vec<String>,
}

impl Default for SystemConfig {
    fn default() -> Self {
        Self {
            controls: 1,
            agents: 2,
            entries: 1,
            kv_tokens: 450_000,
            prefill_rate: 200_000.0,
            speed: 1.0,
            service_delay_ms: 0,
            checks_orders: false,
            deadline_ms: 6000,
            entry_flags: Vec::new(),
        }
    }
}

/// A running system: control replicas, entries, and agents with one engine and one service each.
pub struct TestEnv {
    pub cfg: SystemConfig,
    pub folder: TempDir,
    pub stand_ins: Vec<Process>,
    pub controls: Vec<Process>,
    pub agents: Vec<Process>,
    pub entries: Vec<Process>,
    pub runtime: tokio::runtime::Runtime,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An HTTP response; all fields are empty if there was none.
#[derive(Clone, Debug, Default)]
pub struct HttpReply {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<u64>,
    pub replayed: bool,
    pub body: String,
}

impl HttpReply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

pub fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bitternlead"))
}

pub fn stand_in() -> PathBuf {
    binary().parent().unwrap().join("examples/stand_in")
}

/// Runs an operator command.
pub fn run(args: &[&str]) -> Output {
    Command::new(binary()).args(args).env_remove("BITTERNLEAD_OPERATORS").output().unwrap()
}

impl TestEnv {
    /// Starts a system and waits until it serves requests.
    pub fn start(cfg: SystemConfig) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        let folder = TempDir::new().unwrap();
        let mut env = Self {
            cfg,
            folder,
            stand_ins: Vec::new(),
            controls: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            runtime,
            client,
        };
        env.write_config(&env.rules(""));
        for at in 0..env.cfg.agents {
            env.start_stand_in(at);
        }
        env.start_controls();
        for at in 0..env.cfg.agents {
            env.start_agent(at);
        }
        for at in 0..env.cfg.entries {
            env.start_entry(at);
        }
        env.wait_serving();
        env
    }

    pub fn path(&self, name: &str) -> String {
        self.folder.path().join(name).to_str().unwrap().to_owned()
    }

    /// Returns the rules of the test system with `more` appended.
    pub fn rules(&self, more: &str) -> String {
        format!(
            "[[model]]\nname = \"m\"\n\n[[workspace]]\nname = \"w\"\nkeys = [\"{KEY}\"]\n\
             requests_per_s = 100000\nconcurrency = 10000\ndeadline_ms = {}\nobjective_ms = 60000\n\n\
             [[service]]\nname = \"orders\"\nidempotent = [\"GET /status*\"]\n\n{more}",
            self.cfg.deadline_ms
        )
    }

    pub fn write_config(&self, rules: &str) {
        let mut inventory = String::from("name,host,zone,region,kind,models,services\n");
        for at in 0..self.cfg.agents {
            inventory.push_str(&format!("e{at},h{at},z{},r,engine,m,\n", at % 3));
            inventory.push_str(&format!("s{at},h{at},z{},r,service,,orders\n", at % 3));
        }
        std::fs::write(self.path("inventory.csv"), inventory).unwrap();
        std::fs::write(self.path("rules.toml"), rules).unwrap();
    }

    fn start_stand_in(&mut self, at: usize) {
        let cfg = &self.cfg;
        let addr = free_address();
        let mut command = vec![
            stand_in().to_str().unwrap().to_owned(),
            "--services".into(),
            "1".into(),
            "--models".into(),
            "m".into(),
            "--kv-tokens".into(),
            cfg.kv_tokens.to_string(),
            "--prefill-rate".into(),
            cfg.prefill_rate.to_string(),
            "--speed".into(),
            cfg.speed.to_string(),
            "--service-delay-ms".into(),
            cfg.service_delay_ms.to_string(),
            "--host".into(),
            addr.ip().to_string(),
            "--port".into(),
            addr.port().to_string(),
            "--orders-file".into(),
            self.path(&format!("orders-{at}")),
            "--runs-file".into(),
            self.path(&format!("runs-{at}")),
        ];
        if cfg.checks_orders {
            command.push("--checks-orders".into());
        }
        let log_path = self.folder.path().join("stand-in.err");
        self.stand_ins.push(Process::start(&command, &log_path));
    }

    fn start_controls(&mut self) {
        for at in 0..self.cfg.controls {
            self.add_control(at);
        }
        let first = self.controls[0].address("operators").to_string();
        let formed = run(&["init", "--operators", &first]);
        assert!(formed.status.success(), "{}", String::from_utf8_lossy(&formed.stderr));
        let count = self.cfg.controls;
        self.wait("all replicas vote", |env| {
            let status = env.status();
            let voters = status["replicas"]
                .as_array()
                .map_or(0, |list| list.iter().filter(|r| r["voter"] == true).count());
            voters == count && status["confirmed"] == true
        });
        let applied = self.apply();
        assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    }

    /// Starts a control replica with the data folder of its number.
    pub fn add_control(&mut self, at: usize) {
        let join: Vec<String> =
            self.controls.iter().map(|c| c.address("control").to_string()).collect();
        let mut command = self.command("control", &format!("c{at}"), at);
        let settings = [
            ("--data", self.path(&format!("control-{at}"))),
            ("--operators-listen", free_address().to_string()),
            ("--election-ms", "400".to_owned()),
            ("--heartbeat-ms", "60".to_owned()),
            ("--settle-ms", "1200".to_owned()),
        ];
        for (flag, value) in settings {
            command.extend([flag.to_owned(), value]);
        }
        if !join.is_empty() {
            command.extend(["--join".to_owned(), join.join(",")]);
        }
        let log_path = self.folder.path().join(format!("control-{at}.err"));
        self.controls.push(Process::start(&command, &log_path));
    }

    fn command(&self, role: &str, node: &str, at: usize) -> Vec<String> {
        let zone = format!("z{}", at % 3);
        let mut command = vec![binary().to_str().unwrap().to_owned()];
        let (listen, admin) = (free_address().to_string(), free_address().to_string());
        command.extend([role, "--node", node, "--zone", &zone].map(str::to_owned));
        command.extend(["--listen", &listen, "--admin-listen", &admin].map(str::to_owned));
        command
    }

    pub fn control_addresses(&self) -> String {
        let all = self.controls.iter().map(|c| c.address("control").to_string());
        all.collect::<Vec<_>>().join(",")
    }

    pub fn operators(&self) -> String {
        let all = self.controls.iter().map(|c| c.address("operators").to_string());
        all.collect::<Vec<_>>().join(",")
    }

    fn start_agent(&mut self, at: usize) {
        let process = self.spawn_agent(at);
        self.agents.push(process);
    }

    /// Starts another process of an agent with the same node name.
    pub fn spawn_agent(&self, at: usize) -> Process {
        let mut command = self.command("agent", &format!("a{at}"), at);
        let engine = self.stand_ins[at].address("engine-0");
        let service = self.stand_ins[at].address("service-0");
        command.extend(["--control".to_owned(), self.control_addresses()]);
        command.extend(["--endpoints".to_owned(), format!("e{at}={engine},s{at}={service}")]);
        let log_path = self.folder.path().join(format!("agent-{at}.err"));
        Process::start(&command, &log_path)
    }

    fn start_entry(&mut self, at: usize) {
        let mut command = self.command("entry", &format!("n{at}"), at);
        command.extend(["--control".to_owned(), self.control_addresses()]);
        command.extend(["--seed".to_owned(), "7".to_owned()]);
        command.extend(self.cfg.entry_flags.clone());
        let log_path = self.folder.path().join(format!("entry-{at}.err"));
        self.entries.push(Process::start(&command, &log_path));
    }

    /// Waits until every entry serves the model and the service from every agent.
    pub fn wait_serving(&self) {
        let wanted = self.cfg.agents * 2;
        self.wait("all endpoints serve", |env| {
            let status = env.status();
            let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
            let serving = endpoints.iter().filter(|e| {
                let models = e["models"].as_array().is_some_and(|m| !m.is_empty());
                e["leaving"] == false && models
            });
            serving.count() == wanted
        });
        for at in 0..self.entries.len() {
            self.wait("the entry serves", |env| {
                let models = env.get(env.entries[at].address("callers"), "/v1/models");
                let order = env.call_service(at, "GET", "/status", None, "");
                models.body.contains("\"m\"") && order.status == 200
            });
        }
    }

    /// Waits until a condition holds; `what` describes it in the panic message.
    pub fn wait(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < TEST_TIMEOUT, "not in time: {what}\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Returns the last 8 lines of each log.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for process in self.controls.iter().chain(&self.agents).chain(&self.entries) {
            let log = process.log();
            let lines: Vec<&str> = log.lines().collect();
            text.push_str(&lines[lines.len().saturating_sub(8)..].join("\n"));
            text.push_str("\n---\n");
        }
        text
    }

    /// Returns the status from the confirmed leader, or null without one.
    pub fn status(&self) -> Value {
        for control in &self.controls {
            let answer = self.get(control.address("operators"), "/v1/status");
            let status = answer.json();
            if status["confirmed"] == true {
                return status;
            }
        }
        Value::Null
    }

    /// Returns the position of the control replica that leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controls.len()).find(|at| {
            let answer = self.get(self.controls[*at].address("operators"), "/v1/status");
            answer.json()["confirmed"] == true
        })
    }

    /// Applies the configuration files.
    pub fn apply(&self) -> Output {
        self.apply_with(&[])
    }

    /// Applies the configuration files with more flags.
    pub fn apply_with(&self, more: &[&str]) -> Output {
        let (inventory, rules) = (self.path("inventory.csv"), self.path("rules.toml"));
        let operators = self.operators();
        let mut args = vec!["apply", "--inventory", &inventory, "--rules", &rules];
        args.extend(["--operators", &operators]);
        args.extend(more);
        run(&args)
    }

    /// Sets a fail point of a running process; returns false if the process does not answer.
    pub fn try_set_fault(&self, process: &Process, step: &str, actions: &str) -> bool {
        let body = format!("{step}={actions}");
        let admin = process.address("admin");
        self.send(admin, "POST", "/faults", &[], body, TEST_TIMEOUT).status == 200
    }

    /// Sets a fail point of a running process.
    pub fn set_fault(&self, process: &Process, step: &str, actions: &str) {
        assert!(self.try_set_fault(process, step, actions), "{step}={actions}");
    }

    pub fn get(&self, addr: SocketAddr, path: &str) -> HttpReply {
        let key = format!("Bearer {KEY}");
        let headers = [("authorization", key.as_str())];
        self.send(addr, "GET", path, &headers, String::new(), Duration::from_secs(5))
    }

    /// Calls the test service through an entry.
    pub fn call_service(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> HttpReply {
        let bearer = format!("Bearer {KEY}");
        let mut headers = vec![("authorization", bearer.as_str())];
        if let Some(key) = key {
            headers.push(("idempotency-key", key));
        }
        let addr = self.entries[entry].address("callers");
        let path = format!("/services/orders{path}");
        self.send(addr, method, &path, &headers, body.to_owned(), TEST_TIMEOUT)
    }

    /// Requests a completion through an entry.
    pub fn complete(&self, entry: usize, prompt: &str, tokens: u64, stream: bool) -> HttpReply {
        let body = serde_json::json!({
            "model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let addr = self.entries[entry].address("callers");
        self.send(addr, "POST", "/v1/completions", &headers, body.to_string(), TEST_TIMEOUT)
    }

    pub fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
        limit: Duration,
    ) -> HttpReply {
        let mut builder = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(Full::new(Bytes::from(body))).unwrap();
        let whole = async {
            let response = self.client.request(req).await.ok()?;
            let header = |name: &str| {
                let value = response.headers().get(name)?;
                Some(value.to_str().unwrap_or_default().to_owned())
            };
            let mut answer = HttpReply {
                status: response.status().as_u16(),
                outcome: header("bitternlead-outcome").unwrap_or_default(),
                retry_after: header("retry-after").and_then(|v| v.parse().ok()),
                replayed: header("bitternlead-replayed").is_some(),
                body: String::new(),
            };
            let mut body = response.into_body();
            let mut data = Vec::new();
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    answer.outcome = "broken".into();
                    break;
                };
                data.extend_from_slice(frame.data_ref().map(Bytes::as_ref).unwrap_or_default());
            }
            answer.body = String::from_utf8_lossy(&data).into_owned();
            Some(answer)
        };
        let limited = async { tokio::time::timeout(limit, whole).await };
        let answer = self.runtime.block_on(limited);
        answer.ok().flatten().unwrap_or_default()
    }

    /// Returns how often each booking ran, summed over all services.
    pub fn run_counts(&self) -> HashMap<String, u64> {
        let mut run_counts = HashMap::new();
        for stand_in in &self.stand_ins {
            let answer = self.get(stand_in.address("service-0"), "/runs");
            let counts: HashMap<String, u64> =
                serde_json::from_str(&answer.body).unwrap_or_default();
            for (key, count) in counts {
                *run_counts.entry(key).or_default() += count;
            }
        }
        run_counts
    }

    /// KV memory that the engines actually use, in tokens.
    pub fn engine_kv(&self) -> u64 {
        let loads = self.stand_ins.iter().map(|s| self.get(s.address("engine-0"), "/true-load"));
        loads.map(|l| l.json()["kv_used"].as_u64().unwrap_or(u64::MAX / 64)).sum()
    }

    /// KV memory that the agents' ledgers have reserved, in tokens.
    pub fn ledger_kv(&self) -> u64 {
        let status = self.status();
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        endpoints.iter().map(|e| e["kv_reserved"].as_u64().unwrap_or(0)).sum()
    }
}

/// Checks that a text is one complete answer of the stand-in: `count` tokens with one prefix,
/// numbered without a gap.
pub fn check_tokens(text: &str, count: u64) -> Result<(), String> {
    let tokens: Vec<&str> = text.split_whitespace().collect();
    if tokens.len() as u64 != count {
        return Err(format!("{} tokens instead of {count}", tokens.len()));
    }
    let prefix = tokens[0].split('-').next().unwrap_or_default();
    for (number, token) in tokens.iter().enumerate() {
        if *token != format!("{prefix}-{number}") {
            return Err(format!("token {number} is {token}, the prefix is {prefix}"));
        }
    }
    Ok(())
}

/// Returns the text of a streamed answer if it is complete, so that its last event is `[DONE]`.
pub fn streamed_text(body: &str) -> Option<String> {
    let events: Vec<&str> = body.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    let (last, parts) = events.split_last()?;
    if *last != "[DONE]" {
        return None;
    }
    let mut text = String::new();
    for part in parts {
        let event: Value = serde_json::from_str(part).ok()?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Some(text)
}
