//! Starts the processes of a fleet on loopback and ends them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::child::{Process, run_command};

/// A fleet.
#[derive(Clone, Debug)]
pub struct Preset {
    pub name: &'static str,
    pub engines: usize,
    pub zones: usize,
    pub workspaces: usize,
}

/// Both users' fleets, and a small one for trials.
pub const PRESETS: [Preset; 3] = [
    Preset { name: "stoyanovi", engines: 15, zones: 3, workspaces: 10 },
    Preset { name: "symud", engines: 20, zones: 3, workspaces: 10 },
    Preset { name: "tiny", engines: 4, zones: 2, workspaces: 3 },
];

/// Settings of a run's processes.
#[derive(Clone, Debug)]
pub struct SystemConfig {
    pub preset: Preset,
    pub routing: String,
    pub speed: f64,
    pub kv_tokens: u64,
    pub prefill_rate: f64,
    pub entries: usize,
}

/// Running processes; they end when dropped.
pub struct System {
    processes: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    operators: String,
    pub folder: PathBuf,
}

impl System {
    /// Starts everything and waits until it serves.
    pub fn start(cfg: &SystemConfig) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("bitternlead-load-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let operators = String::new();
        let mut system = Self { processes: Vec::new(), callers: Vec::new(), operators, folder };
        system.start_all(cfg)?;
        Ok(system)
    }

    fn start_all(&mut self, cfg: &SystemConfig) -> Result<(), String> {
        self.write_config(cfg)?;
        let data = self.folder.join("control").display().to_string();
        let control = self.spawn(
            "bitternlead",
            &[
                "control",
                "--node",
                "c0",
                "--zone",
                "z0",
                "--data",
                &data,
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
        self.operators = self.processes[control].address("operators")?.to_string();
        self.command(&["init"])?;
        let file = |name: &str| self.folder.join(name).display().to_string();
        let (inventory, rules) = (file("inventory.csv"), file("rules.toml"));
        self.command(&["apply", "--inventory", &inventory, "--rules", &rules])?;
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
            self.callers.push(self.processes[entry].address("callers")?);
        }
        let ready = |s: &Self| {
            let status = s.command(&["status"]).unwrap_or_default();
            let serving = |l: &&str| l.contains(" serving ") && l.contains(" draft");
            status.lines().filter(serving).count() == cfg.preset.engines
        };
        let start = Instant::now();
        while !ready(self) {
            if start.elapsed() > Duration::from_secs(60) {
                return Err(format!("not serving: {}", self.command(&["status"])?));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// One zone's engines in one process, its agent in another.
    fn start_zone(&mut self, cfg: &SystemConfig, zone: usize, control: &str) -> Result<(), String> {
        let own: Vec<usize> =
            (0..cfg.preset.engines).filter(|e| e % cfg.preset.zones == zone).collect();
        let (count, speed) = (own.len().to_string(), cfg.speed.to_string());
        let (kv, rate) = (cfg.kv_tokens.to_string(), cfg.prefill_rate.to_string());
        let stand_in = self.spawn(
            "stand_in",
            &[
                "--engines",
                &count,
                "--speed",
                &speed,
                "--kv-tokens",
                &kv,
                "--prefill-rate",
                &rate,
                "--models",
                "draft",
            ],
        )?;
        let engines = &self.processes[stand_in];
        let mut endpoints = Vec::new();
        for (at, e) in own.iter().enumerate() {
            endpoints.push(format!("e{e}={}", engines.address(&format!("engine-{at}"))?));
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

    fn write_config(&self, cfg: &SystemConfig) -> Result<(), String> {
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
            std::fs::write(self.folder.join(name), text).map_err(|e| e.to_string())
        };
        write("inventory.csv", &inventory)?;
        write("rules.toml", &rules)
    }

    fn command(&self, args: &[&str]) -> Result<String, String> {
        run_command(args, &self.operators)
    }

    fn spawn(&mut self, program: &str, args: &[&str]) -> Result<usize, String> {
        self.processes.push(Process::start(program, args)?);
        Ok(self.processes.len() - 1)
    }

    /// Ends the agent of a zone without notice.
    pub fn kill_agent(&mut self) {
        // Control, then a stand-in and an agent for each zone: the first agent is the third.
        if let Some(agent) = self.processes.get_mut(2) {
            agent.kill();
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
