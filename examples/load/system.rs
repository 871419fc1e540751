//! Starts the processes of a fleet on loopback and stops them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::child::{Process, run_command};

/// Size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPreset {
    /// Value of `--preset` that selects it.
    pub name: &'static str,
    /// Number of engines, distributed over the zones in turn.
    pub engines: usize,
    /// Number of availability zones, each with one agent.
    pub zones: usize,
    /// Number of workspaces that send requests.
    pub workspaces: usize,
}

/// The fleets of both users, and a small one for quick runs.
pub const PRESETS: [FleetPreset; 3] = [
    FleetPreset { name: "stoyanovi", engines: 15, zones: 3, workspaces: 10 },
    FleetPreset { name: "symud", engines: 20, zones: 3, workspaces: 10 },
    FleetPreset { name: "tiny", engines: 4, zones: 2, workspaces: 3 },
];

/// Configuration of a run's processes.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Size of the fleet.
    pub preset: FleetPreset,
    /// Routing policy of the entries.
    pub routing: String,
    /// Factor by which the engines' clock runs faster than real time.
    pub speed: f64,
    /// KV memory of an engine in tokens.
    pub kv_tokens: u64,
    /// Prefill rate of an engine in tokens per second of its clock.
    pub prefill_rate: f64,
    /// Number of entries.
    pub entries: usize,
}

/// Running processes of a fleet; they are killed when dropped.
pub struct Cluster {
    processes: Vec<Process>,
    /// Addresses of the entries for callers.
    pub caller_addrs: Vec<SocketAddr>,
    operators_addr: String,
    /// Temporary directory with the configuration and the control replica's data.
    pub dir: PathBuf,
}

impl Cluster {
    /// Starts all processes and waits until every engine serves the model.
    ///
    /// # Errors
    ///
    /// Returns a description if a process does not start or not all engines serve within a minute.
    pub fn start(cfg: &ClusterConfig) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("bitternlead-load-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let operators_addr = String::new();
        let mut cluster =
            Self { processes: Vec::new(), caller_addrs: Vec::new(), operators_addr, dir };
        cluster.start_all(cfg)?;
        Ok(cluster)
    }

    fn start_all(&mut self, cfg: &ClusterConfig) -> Result<(), String> {
        self.write_config(cfg)?;
        let data_dir = self.dir.join("control").display().to_string();
        let control = self.spawn(
            "bitternlead",
            &[
                "control",
                "--node",
                "c0",
                "--zone",
                "z0",
                "--data",
                &data_dir,
                "--listen",
                "127.0.0.1:0",
                "--operators-listen",
                "127.0.0.1:0",
                "--settle-ms",
                "1500",
                "--log-level",
                "warning",
            ],
        )?;
        let control_addr = self.processes[control].address("control")?.to_string();
        self.operators_addr = self.processes[control].address("operators")?.to_string();
        self.run_operator_command(&["init"])?;
        let path = |name: &str| self.dir.join(name).display().to_string();
        let (inventory, rules) = (path("inventory.csv"), path("rules.toml"));
        self.run_operator_command(&["apply", "--inventory", &inventory, "--rules", &rules])?;
        for zone in 0..cfg.preset.zones {
            self.start_zone(cfg, zone, &control_addr)?;
        }
        for n in 0..cfg.entries {
            let (node, zone) = (format!("n{n}"), format!("z{}", n % cfg.preset.zones));
            let entry = self.spawn(
                "bitternlead",
                &[
                    "entry",
                    "--node",
                    &node,
                    "--zone",
                    &zone,
                    "--control",
                    &control_addr,
                    "--listen",
                    "127.0.0.1:0",
                    "--routing",
                    &cfg.routing,
                    "--seed",
                    "7",
                    "--log-level",
                    "error",
                ],
            )?;
            self.caller_addrs.push(self.processes[entry].address("callers")?);
        }
        let all_serving = |s: &Self| {
            let status = s.run_operator_command(&["status"]).unwrap_or_default();
            let serving = |l: &&str| l.contains(" serving ") && l.contains(" draft");
            status.lines().filter(serving).count() == cfg.preset.engines
        };
        let start = Instant::now();
        while !all_serving(self) {
            if start.elapsed() > Duration::from_secs(60) {
                return Err(format!(
                    "not all engines are serving: {}",
                    self.run_operator_command(&["status"])?
                ));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// Starts the emulated engines of a zone in one process and the zone's agent in another.
    fn start_zone(
        &mut self,
        cfg: &ClusterConfig,
        zone: usize,
        control: &str,
    ) -> Result<(), String> {
        let engine_numbers: Vec<usize> =
            (0..cfg.preset.engines).filter(|e| e % cfg.preset.zones == zone).collect();
        let (engine_count, speed) = (engine_numbers.len().to_string(), cfg.speed.to_string());
        let (kv_tokens, prefill_rate) = (cfg.kv_tokens.to_string(), cfg.prefill_rate.to_string());
        let stand_in = self.spawn(
            "stand_in",
            &[
                "--engines",
                &engine_count,
                "--speed",
                &speed,
                "--kv-tokens",
                &kv_tokens,
                "--prefill-rate",
                &prefill_rate,
                "--models",
                "draft",
            ],
        )?;
        let engines = &self.processes[stand_in];
        let mut endpoints = Vec::new();
        for (index, e) in engine_numbers.iter().enumerate() {
            endpoints.push(format!("e{e}={}", engines.address(&format!("engine-{index}"))?));
        }
        let endpoints = endpoints.join(",");
        let (node, zone) = (format!("a{zone}"), format!("z{zone}"));
        self.spawn(
            "bitternlead",
            &[
                "agent",
                "--node",
                &node,
                "--zone",
                &zone,
                "--control",
                control,
                "--endpoints",
                &endpoints,
                "--max-waiting",
                "100000",
                "--log-level",
                "error",
            ],
        )?;
        Ok(())
    }

    /// Writes the inventory and the rules; rate and concurrency limits are too high to matter.
    fn write_config(&self, cfg: &ClusterConfig) -> Result<(), String> {
        let mut inventory = String::from("name,host,zone,region,kind,models\n");
        for e in 0..cfg.preset.engines {
            inventory.push_str(&format!("e{e},h{e},z{},r,engine,draft\n", e % cfg.preset.zones));
        }
        let mut rules = String::from("[[model]]\nname = \"draft\"\n");
        for w in 0..cfg.preset.workspaces {
            let deadline = (300_000.0 / cfg.speed) as u64;
            let objective = (790.0 / cfg.speed) as u64;
            rules.push_str(&format!(
                "\n[[workspace]]\nname = \"w{w}\"\nkeys = [\"key-of-w{w}\"]\n\
                 requests_per_s = 100000\nconcurrency = 100000\ndeadline_ms = {deadline}\n\
                 objective_ms = {objective}\n"
            ));
        }
        let write = |name: &str, text: &str| {
            std::fs::write(self.dir.join(name), text).map_err(|e| e.to_string())
        };
        write("inventory.csv", &inventory)?;
        write("rules.toml", &rules)
    }

    fn run_operator_command(&self, args: &[&str]) -> Result<String, String> {
        run_command(args, &self.operators_addr)
    }

    /// Starts a process and returns its index in `processes`.
    fn spawn(&mut self, program: &str, args: &[&str]) -> Result<usize, String> {
        self.processes.push(Process::start(program, args)?);
        Ok(self.processes.len() - 1)
    }

    /// Kills the agent of the first zone with SIGKILL.
    pub fn kill_agent(&mut self) {
        // Processes are in starting order: control, then the engines and the agent of each zone.
        if let Some(agent) = self.processes.get_mut(2) {
            agent.kill();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
