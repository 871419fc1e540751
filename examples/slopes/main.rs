//! Measures what control costs as nodes, claims and endpoints grow, and fits lines through it.

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

/// Nodes of the runs, up to the size to design for.
const SIZES: [usize; 4] = [40, 120, 220, 340];

/// Time of one measurement.
const MEASURE: Duration = Duration::from_secs(8);

/// Time before it, for all nodes to be heard and all members to be handed out.
const WARM_UP: Duration = Duration::from_secs(5);

/// Clock ticks a second in the process accounts of the system.
const TICKS: f64 = 100.0;

/// Figures of one size.
#[derive(Clone, Debug, Default)]
struct Point {
    size: f64,
    values: BTreeMap<&'static str, f64>,
}

fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after.split(' ').filter_map(|f| f.parse().ok()).collect();
    // The state is no number, so user and system time are the 11th and 12th that parse.
    fields.get(10).unwrap_or(&0.0) / TICKS + fields.get(11).unwrap_or(&0.0) / TICKS
}

fn memory_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kb: f64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0.0);
    kb / 1024.0
}

/// Three control replicas with the inventory and rules of the size to design for.
struct Control {
    replicas: Vec<Process>,
    operators: String,
    folder: PathBuf,
}

impl Control {
    fn start() -> Result<Self, String> {
        let folder =
            std::env::temp_dir().join(format!("bitternlead-slopes-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut replicas: Vec<Process> = Vec::new();
        for number in 0..3 {
            let data = folder.join(format!("c{number}")).display().to_string();
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
                let operators = replicas[0].address("operators")?.to_string();
                run_command(&["init"], &operators)?;
            }
        }
        let operators = replicas[0].address("operators")?.to_string();
        let control = Self { replicas, operators, folder };
        control.write_config("")?;
        control.apply()?;
        Ok(control)
    }

    fn addresses(&self) -> Result<String, String> {
        let mut all = Vec::new();
        for replica in &self.replicas {
            all.push(replica.address("control")?.to_string());
        }
        Ok(all.join(","))
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

    /// An agent of the first engines of a stand-in.
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

    fn write_config(&self, more: &str) -> Result<(), String> {
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
        let mut rules = String::from(more);
        for n in 0..37 {
            rules.push_str(&format!("[[model]]\nname = \"model-{n}\"\n"));
        }
        for n in 0..2200 {
            rules.push_str(&format!(
                "[[workspace]]\nname = \"workspace-{n}\"\nkeys = [\"key-number-{n}\"]\n"
            ));
        }
        let write = |name: &str, text: &str| {
            std::fs::write(self.folder.join(name), text).map_err(|e| e.to_string())
        };
        write("inventory.csv", &inventory)?;
        write("rules.toml", &rules)
    }

    /// Processes of the replicas, that of the leader first.
    fn ids_leader_first(&self) -> Result<Vec<u32>, String> {
        let text = run_command(&["status", "--json"], &self.operators)?;
        let status: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let lines = status["replicas"].as_array().cloned().unwrap_or_default();
        let leader = lines.iter().find(|r| r["leader"] == true);
        let leader = leader.and_then(|r| r["operators"].as_str()).unwrap_or_default().to_owned();
        let mut ids: Vec<(bool, u32)> = Vec::new();
        for replica in &self.replicas {
            let leads = replica.address("operators")?.to_string() == leader;
            ids.push((!leads, replica.id()));
        }
        ids.sort_unstable();
        Ok(ids.into_iter().map(|(_, id)| id).collect())
    }

    fn apply(&self) -> Result<u64, String> {
        let file = |name: &str| self.folder.join(name).display().to_string();
        let (inventory, rules) = (file("inventory.csv"), file("rules.toml"));
        let args = ["apply", "--inventory", &inventory, "--rules", &rules];
        let text = run_command(&args, &self.operators)?;
        text.trim().rsplit(' ').next().and_then(|v| v.parse().ok()).ok_or(text)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.replicas.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn measure_nodes(size: usize) -> Result<Point, String> {
    let control = Control::start()?;
    let mut addresses = Vec::new();
    for replica in &control.replicas {
        addresses.push(replica.address("control")?);
    }
    let nodes = nodes::start(size, addresses);
    let entry = control.start_entry()?;
    tokio::time::sleep(WARM_UP).await;
    let entry_before = cpu_seconds(entry.id());
    let ids = control.ids_leader_first()?;
    let traffic =
        |t: &nodes::Traffic| [&t.calls, &t.up, &t.down].map(|c| c.load(Ordering::Relaxed) as f64);
    let before: Vec<f64> = ids.iter().map(|id| cpu_seconds(*id)).collect();
    let (entries, agents) = (traffic(&nodes.entries), traffic(&nodes.agents));
    tokio::time::sleep(MEASURE).await;
    let seconds = MEASURE.as_secs_f64();
    let cpu = |at: usize| (cpu_seconds(ids[at]) - before[at]) / seconds * 100.0;
    let count_entries = size.div_ceil(10) as f64;
    let count_agents = size as f64 - count_entries;
    let rate = |now: [f64; 3], then: [f64; 3], at: usize| (now[at] - then[at]) / seconds;
    let (entries_now, agents_now) = (traffic(&nodes.entries), traffic(&nodes.agents));
    let total_up = rate(entries_now, entries, 1) + rate(agents_now, agents, 1);
    let total_down = rate(entries_now, entries, 2) + rate(agents_now, agents, 2);
    let mut point = Point { size: size as f64, ..Point::default() };
    let mut set = |name, value| {
        point.values.insert(name, value);
    };
    set("leader, % of a core", cpu(0));
    set("follower, % of a core", cpu(1).max(cpu(2)));
    set("leader, MB", memory_mb(ids[0]));
    set("follower, MB", memory_mb(ids[1]));
    set("leader to and from nodes, KB/s", (total_up + total_down) / 1024.0);
    let up_down = |now, then| rate(now, then, 1) + rate(now, then, 2);
    set("one entry, KB/s", up_down(entries_now, entries) / count_entries / 1024.0);
    set("one agent, KB/s", up_down(agents_now, agents) / count_agents / 1024.0);
    let entry_cpu = (cpu_seconds(entry.id()) - entry_before) / seconds * 100.0;
    set("a real entry, % of a core", entry_cpu);
    set("a real entry, MB", memory_mb(entry.id()));
    let in_force = change_in_force(&control, &nodes, size).await?;
    point.values.insert("change in force on all nodes, ms", in_force);
    Ok(point)
}

async fn change_in_force(
    control: &Control,
    nodes: &nodes::Nodes,
    size: usize,
) -> Result<f64, String> {
    control.write_config("[[model]]\nname = \"one-more\"\n")?;
    let start = Instant::now();
    let version = control.apply()?;
    let accepted = start.elapsed();
    loop {
        let there = nodes.versions.lock().values().filter(|v| **v >= version).count();
        if there == size {
            return Ok((start.elapsed() - accepted).as_secs_f64() * 1000.0);
        }
        if start.elapsed() > Duration::from_secs(20) {
            return Err(format!("{there} of {size} nodes have version {version}"));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// An agent beside idle engines.
async fn measure_agent(engines: usize) -> Result<Point, String> {
    let control = Control::start()?;
    let count = engines.to_string();
    let stand_in = Process::start("stand_in", &["--engines", &count, "--models", "model-0"])?;
    let agent = control.start_agent(&stand_in, engines)?;
    tokio::time::sleep(WARM_UP).await;
    let before = cpu_seconds(agent.id());
    tokio::time::sleep(MEASURE).await;
    let cpu = (cpu_seconds(agent.id()) - before) / MEASURE.as_secs_f64() * 100.0;
    let mut point = Point { size: engines as f64, ..Point::default() };
    point.values.insert("agent, % of a core", cpu);
    point.values.insert("agent, MB", memory_mb(agent.id()));
    Ok(point)
}

/// Tokens of the prompt of each open request.
const OPEN_PROMPT: usize = 2_000;

/// Memory and processor time of an entry and an agent with open streams.
async fn measure_streams(streams: usize) -> Result<Point, String> {
    let control = Control::start()?;
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
    tokio::time::sleep(WARM_UP).await;
    let idle = [memory_mb(entry.id()), memory_mb(agent.id())];
    let addr = entry.address("callers")?;
    let client: streams::Http = streams::build_client();
    let open: Vec<_> = (0..streams)
        .map(|n| tokio::spawn(streams::open(client.clone(), addr, n, OPEN_PROMPT)))
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = [cpu_seconds(entry.id()), cpu_seconds(agent.id())];
    let tokens = streams::tokens();
    tokio::time::sleep(MEASURE).await;
    let seconds = MEASURE.as_secs_f64();
    let rate = (streams::tokens() - tokens) as f64 / seconds;
    let cpu = |id: u32, at: usize| (cpu_seconds(id) - before[at]) / seconds * 100.0;
    let mut point = Point { size: streams as f64, ..Point::default() };
    point.values.insert("tokens a second", rate);
    point.values.insert("entry, % of a core", cpu(entry.id(), 0));
    point.values.insert("agent, % of a core", cpu(agent.id(), 1));
    point.values.insert("entry, MB over idle", memory_mb(entry.id()) - idle[0]);
    point.values.insert("agent, MB over idle", memory_mb(agent.id()) - idle[1]);
    open.into_iter().for_each(|task| task.abort());
    Ok(point)
}

/// Memory and snapshot bytes of claims, in this process.
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
    let used = memory_mb(std::process::id()) - before;
    let snapshot: usize = claims.export().iter().map(prost::Message::encoded_len).sum();
    let mut point = Point { size: size as f64, ..Point::default() };
    point.values.insert("claims, MB of memory", used);
    point.values.insert("claims, MB of snapshot", snapshot as f64 / 1024.0 / 1024.0);
    point
}

/// Slope, intercept and the share of the spread that the line explains.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let (mx, my) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - my).powi(2)).sum();
    let slope = sxy / sxx.max(1e-12);
    let explained = if syy < 1e-12 { 1.0 } else { sxy * sxy / sxx / syy };
    (slope, my - slope * mx, explained)
}

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
        let pairs: Vec<(f64, f64)> = points.iter().map(|p| (p.size, p.values[name])).collect();
        let (slope, zero, explained) = fit(&pairs);
        let cells: Vec<String> = pairs.iter().map(|(_, v)| format!("{v:>10.2}")).collect();
        println!(
            "{name:<36} {} {slope:>12.6} {zero:>10.2} {explained:>6.2} {:>12.2}",
            cells.join(" "),
            zero + slope * target
        );
    }
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let claims: Vec<Point> = [50_000, 100_000, 200_000].map(measure_claims).to_vec();
    print_fits("claims of bookings, kept for a day", &claims, 1_000_000.0);
    let mut points = Vec::new();
    for size in SIZES {
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
