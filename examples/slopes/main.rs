//! Measures the cost of control, entries and agents as nodes, claims, endpoints and streams grow,
//! and fits a line through each figure.

#[path = "../support/child.rs"]
mod child;
mod nodes;
mod streams;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bitternlead::control::claims::Claims;
use bitternlead::wire::{Claim, Settle};
use child::{Process, run_command};

/// Numbers of nodes to measure; the last is the size that the system is designed for.
const NODE_COUNTS: [usize; 4] = [40, 120, 220, 340];

/// Duration of one measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(8);

/// Time before a measurement, in which control learns of all nodes and sends all members to the
/// entries.
const WARM_UP_DURATION: Duration = Duration::from_secs(5);

/// Clock ticks per second of the processor times in `/proc/PID/stat` (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Values measured at one size, by name.
#[derive(Clone, Debug, Default)]
struct Point {
    size: f64,
    values: BTreeMap<&'static str, f64>,
}

/// Returns the processor time, user and system, that a process has used.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after_name.split(' ').filter_map(|f| f.parse().ok()).collect();
    // The state is a letter and does not parse, so user and system time are the 11th and 12th
    // numbers after the process name.
    fields.get(10).unwrap_or(&0.0) / CLOCK_TICKS_PER_S
        + fields.get(11).unwrap_or(&0.0) / CLOCK_TICKS_PER_S
}

/// Returns the resident memory of a process in MiB.
fn memory_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kb: f64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0.0);
    kb / 1024.0
}

/// Three control replicas with the inventory and rules of the size that the system is designed for.
struct ControlCluster {
    replicas: Vec<Process>,
    operators_addr: String,
    dir: PathBuf,
}

impl ControlCluster {
    /// Starts the replicas, initializes the cluster on the first one and applies the configuration.
    fn start() -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("bitternlead-slopes-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut replicas: Vec<Process> = Vec::new();
        for number in 0..3 {
            let data = dir.join(format!("c{number}")).display().to_string();
            let mut args = vec![
                "control",
                "--node",
                "c",
                "--zone",
                "z",
                "--data",
                &data,
                "--listen",
                "127.0.0.1:0",
                "--operators-listen",
                "127.0.0.1:0",
                "--log-level",
                "error",
            ];
            let join = match replicas.first() {
                Some(first) => first.address("control")?.to_string(),
                None => String::new(),
            };
            if !join.is_empty() {
                args.extend(["--join", &join]);
            }
            replicas.push(Process::start("bitternlead", &args)?);
            if number == 0 {
                let operators_addr = replicas[0].address("operators")?.to_string();
                run_command(&["init"], &operators_addr)?;
            }
        }
        let operators_addr = replicas[0].address("operators")?.to_string();
        let control = Self { replicas, operators_addr, dir };
        control.write_config("")?;
        control.apply()?;
        Ok(control)
    }

    fn addresses(&self) -> Result<String, String> {
        let mut addresses = Vec::new();
        for replica in &self.replicas {
            addresses.push(replica.address("control")?.to_string());
        }
        Ok(addresses.join(","))
    }

    fn start_entry(&self) -> Result<Process, String> {
        let control = self.addresses()?;
        Process::start(
            "bitternlead",
            &[
                "entry",
                "--node",
                "real-entry",
                "--zone",
                "zone-0",
                "--control",
                &control,
                "--listen",
                "127.0.0.1:0",
                "--log-level",
                "error",
            ],
        )
    }

    /// Starts an agent for the first engines of a `stand_in` process.
    fn start_agent(&self, stand_in: &Process, engines: usize) -> Result<Process, String> {
        let control = self.addresses()?;
        let mut endpoints = Vec::new();
        for n in 0..engines {
            endpoints.push(format!("e{n}={}", stand_in.address(&format!("engine-{n}"))?));
        }
        Process::start(
            "bitternlead",
            &[
                "agent",
                "--node",
                "real-agent",
                "--zone",
                "zone-0",
                "--control",
                &control,
                "--endpoints",
                &endpoints.join(","),
                "--log-level",
                "error",
            ],
        )
    }

    /// Writes the inventory and the rules, the latter after `extra_rules`.
    fn write_config(&self, extra_rules: &str) -> Result<(), String> {
        let mut inventory = String::from("name,host,zone,region,models\n");
        for n in 0..600 {
            let zone = n / 2 % 4;
            let model = n / 2 % 37;
            inventory.push_str(&format!(
                "e{n},h{},zone-{zone},r{},model-{model}\n",
                n / 2,
                zone / 2
            ));
        }
        let mut rules = String::from(extra_rules);
        for n in 0..37 {
            rules.push_str(&format!("[[model]]\nname = \"model-{n}\"\n"));
        }
        for n in 0..2200 {
            rules.push_str(&format!(
                "[[workspace]]\nname = \"workspace-{n}\"\nkeys = [\"key-number-{n}\"]\n"
            ));
        }
        let write = |name: &str, text: &str| {
            std::fs::write(self.dir.join(name), text).map_err(|e| e.to_string())
        };
        write("inventory.csv", &inventory)?;
        write("rules.toml", &rules)
    }

    /// Returns the process IDs of the replicas, the leader's first.
    fn process_ids_leader_first(&self) -> Result<Vec<u32>, String> {
        let text = run_command(&["status", "--json"], &self.operators_addr)?;
        let status: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let leader = replicas.iter().find(|r| r["leader"] == true);
        let leader = leader.and_then(|r| r["operators"].as_str()).unwrap_or_default().to_owned();
        let mut ids: Vec<(bool, u32)> = Vec::new();
        for replica in &self.replicas {
            let is_leader = replica.address("operators")?.to_string() == leader;
            ids.push((!is_leader, replica.id()));
        }
        ids.sort_unstable();
        Ok(ids.into_iter().map(|(_, id)| id).collect())
    }

    /// Applies the written configuration and returns its version.
    fn apply(&self) -> Result<u64, String> {
        let path = |name: &str| self.dir.join(name).display().to_string();
        let (inventory, rules) = (path("inventory.csv"), path("rules.toml"));
        let args = ["apply", "--inventory", &inventory, "--rules", &rules];
        let text = run_command(&args, &self.operators_addr)?;
        text.trim().rsplit(' ').next().and_then(|v| v.parse().ok()).ok_or(text)
    }
}

impl Drop for ControlCluster {
    fn drop(&mut self) {
        self.replicas.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Measures control and a real entry with a number of emulated nodes.
async fn measure_nodes(size: usize) -> Result<Point, String> {
    let control = ControlCluster::start()?;
    let mut addresses = Vec::new();
    for replica in &control.replicas {
        addresses.push(replica.address("control")?);
    }
    let nodes = nodes::start(size, addresses);
    let entry = control.start_entry()?;
    tokio::time::sleep(WARM_UP_DURATION).await;
    let entry_before = cpu_seconds(entry.id());
    let ids = control.process_ids_leader_first()?;
    let traffic =
        |t: &nodes::Traffic| [&t.calls, &t.tx, &t.rx].map(|c| c.load(Ordering::Relaxed) as f64);
    let before: Vec<f64> = ids.iter().map(|id| cpu_seconds(*id)).collect();
    let (entries_before, agents_before) = (traffic(&nodes.entries), traffic(&nodes.agents));
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let cpu = |index: usize| (cpu_seconds(ids[index]) - before[index]) / seconds * 100.0;
    let entry_count = size.div_ceil(10) as f64;
    let agent_count = size as f64 - entry_count;
    let rate = |now: [f64; 3], then: [f64; 3], index: usize| (now[index] - then[index]) / seconds;
    let (entries_now, agents_now) = (traffic(&nodes.entries), traffic(&nodes.agents));
    let total_to_control =
        rate(entries_now, entries_before, 1) + rate(agents_now, agents_before, 1);
    let total_from_control =
        rate(entries_now, entries_before, 2) + rate(agents_now, agents_before, 2);
    let mut point = Point { size: size as f64, ..Point::default() };
    let mut set = |name, value| {
        point.values.insert(name, value);
    };
    set("leader, % of a core", cpu(0));
    set("follower, % of a core", cpu(1).max(cpu(2)));
    set("leader, MB", memory_mb(ids[0]));
    set("follower, MB", memory_mb(ids[1]));
    set("leader to and from nodes, KB/s", (total_to_control + total_from_control) / 1024.0);
    let total_rate = |now, then| rate(now, then, 1) + rate(now, then, 2);
    set("one entry, KB/s", total_rate(entries_now, entries_before) / entry_count / 1024.0);
    set("one agent, KB/s", total_rate(agents_now, agents_before) / agent_count / 1024.0);
    let entry_cpu = (cpu_seconds(entry.id()) - entry_before) / seconds * 100.0;
    set("a real entry, % of a core", entry_cpu);
    set("a real entry, MB", memory_mb(entry.id()));
    let propagation_ms = measure_propagation(&control, &nodes, size).await?;
    point.values.insert("config change on all nodes, ms", propagation_ms);
    Ok(point)
}

/// Returns the time in milliseconds from the acceptance of a configuration change until all nodes
/// have it.
async fn measure_propagation(
    control: &ControlCluster,
    nodes: &nodes::EmulatedNodes,
    size: usize,
) -> Result<f64, String> {
    control.write_config("[[model]]\nname = \"one-more\"\n")?;
    let start = Instant::now();
    let version = control.apply()?;
    let accepted_after = start.elapsed();
    loop {
        let updated = nodes.config_versions.lock().values().filter(|v| **v >= version).count();
        if updated == size {
            return Ok((start.elapsed() - accepted_after).as_secs_f64() * 1000.0);
        }
        if start.elapsed() > Duration::from_secs(20) {
            return Err(format!("{updated} of {size} nodes have version {version}"));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Measures an agent whose engines are idle.
async fn measure_agent(engines: usize) -> Result<Point, String> {
    let control = ControlCluster::start()?;
    let count = engines.to_string();
    let stand_in = Process::start("stand_in", &["--engines", &count, "--models", "model-0"])?;
    let agent = control.start_agent(&stand_in, engines)?;
    tokio::time::sleep(WARM_UP_DURATION).await;
    let before = cpu_seconds(agent.id());
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let cpu = (cpu_seconds(agent.id()) - before) / MEASUREMENT_DURATION.as_secs_f64() * 100.0;
    let mut point = Point { size: engines as f64, ..Point::default() };
    point.values.insert("agent, % of a core", cpu);
    point.values.insert("agent, MB", memory_mb(agent.id()));
    Ok(point)
}

/// Prompt length of each open stream in tokens.
const STREAM_PROMPT_TOKENS: usize = 2_000;

/// Measures an entry and an agent with open streams.
async fn measure_streams(streams: usize) -> Result<Point, String> {
    let control = ControlCluster::start()?;
    let stand_in = Process::start(
        "stand_in",
        &[
            "--engines",
            "1",
            "--models",
            "model-0",
            "--kv-tokens",
            "10000000",
            "--prefill-rate",
            "100000000",
        ],
    )?;
    let agent = control.start_agent(&stand_in, 1)?;
    let entry = control.start_entry()?;
    tokio::time::sleep(WARM_UP_DURATION).await;
    let idle_memory_mb = [memory_mb(entry.id()), memory_mb(agent.id())];
    let addr = entry.address("callers")?;
    let client: streams::HttpClient = streams::build_client();
    let open_streams: Vec<_> = (0..streams)
        .map(|n| tokio::spawn(streams::read_stream(client.clone(), addr, n, STREAM_PROMPT_TOKENS)))
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = [cpu_seconds(entry.id()), cpu_seconds(agent.id())];
    let tokens_before = streams::received_tokens();
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let rate = (streams::received_tokens() - tokens_before) as f64 / seconds;
    let cpu = |id: u32, index: usize| (cpu_seconds(id) - before[index]) / seconds * 100.0;
    let mut point = Point { size: streams as f64, ..Point::default() };
    point.values.insert("tokens a second", rate);
    point.values.insert("entry, % of a core", cpu(entry.id(), 0));
    point.values.insert("agent, % of a core", cpu(agent.id(), 1));
    point.values.insert("entry, MB over idle", memory_mb(entry.id()) - idle_memory_mb[0]);
    point.values.insert("agent, MB over idle", memory_mb(agent.id()) - idle_memory_mb[1]);
    open_streams.into_iter().for_each(|task| task.abort());
    Ok(point)
}

/// Measures the memory and the snapshot size of claims, in this process.
fn measure_claims(size: usize) -> Point {
    let before = memory_mb(std::process::id());
    let mut claims = Claims::default();
    for n in 0..size as u64 {
        let claim = Claim {
            workspace: format!("workspace-{}", n % 2200),
            key: format!("service:orders/{n:032x}"),
            digest: n,
            request: format!("req-{n:020x}"),
            patience_ms: 10_000,
        };
        let number = claims.claim(n + 1, 0, claim.clone()).number;
        claims.settle(Settle {
            workspace: claim.workspace,
            key: claim.key,
            claim: number,
            outcome: "done".into(),
            status: 200,
            content_type: "application/json".into(),
            body: vec![b'x'; 200].into(),
        });
    }
    let used_mb = memory_mb(std::process::id()) - before;
    let snapshot_bytes: usize = claims.export().iter().map(prost::Message::encoded_len).sum();
    let mut point = Point { size: size as f64, ..Point::default() };
    point.values.insert("claims, MB of memory", used_mb);
    point.values.insert("claims, MB of snapshot", snapshot_bytes as f64 / 1024.0 / 1024.0);
    point
}

/// Fits a line by least squares; returns slope, intercept and coefficient of determination.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let (mean_x, mean_y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let slope = sxy / sxx.max(1e-12);
    let r_squared = if syy < 1e-12 { 1.0 } else { sxy * sxy / sxx / syy };
    (slope, mean_y - slope * mean_x, r_squared)
}

/// Prints the values of all sizes, the fitted lines and their values at `target`.
fn print_fits(title: &str, points: &[Point], target: f64) {
    println!("\n{title}");
    let sizes: Vec<String> = points.iter().map(|p| format!("{:>10}", p.size)).collect();
    println!(
        "{:<36} {} {:>12} {:>10} {:>6} {:>12}",
        "",
        sizes.join(" "),
        "slope",
        "at 0",
        "fit",
        format!("at {target}")
    );
    let names: Vec<&str> =
        points.first().map(|p| p.values.keys().copied().collect()).unwrap_or_default();
    for name in names {
        let samples: Vec<(f64, f64)> = points.iter().map(|p| (p.size, p.values[name])).collect();
        let (slope, intercept, r_squared) = fit_line(&samples);
        let formatted_values: Vec<String> =
            samples.iter().map(|(_, v)| format!("{v:>10.2}")).collect();
        println!(
            "{name:<36} {} {slope:>12.6} {intercept:>10.2} {r_squared:>6.2} {:>12.2}",
            formatted_values.join(" "),
            intercept + slope * target
        );
    }
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let claims: Vec<Point> = [50_000, 100_000, 200_000].map(measure_claims).to_vec();
    print_fits("claims of idempotency keys, retained for one day", &claims, 1_000_000.0);
    let mut points = Vec::new();
    for size in NODE_COUNTS {
        points.push(measure_nodes(size).await?);
    }
    print_fits("control, by number of nodes (600 servers, 2,200 workspaces)", &points, 340.0);
    let mut points = Vec::new();
    for engines in [1, 2, 4, 8] {
        points.push(measure_agent(engines).await?);
    }
    print_fits("an idle agent, by number of its engines", &points, 2.0);
    let mut points = Vec::new();
    for streams in [50, 100, 200] {
        points.push(measure_streams(streams).await?);
    }
    print_fits("open streams through one entry and one agent", &points, 200.0);
    Ok(())
}
