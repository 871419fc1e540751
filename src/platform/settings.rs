//! The settings file that the platform writes for a process.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use parking_lot::Mutex;
use serde_json::Value;
use smol_str::SmolStr;

use crate::control::service::SeedSource;
use crate::findings::{Findings, Place};
use crate::gateway::budget::BudgetConfig;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "BITTERNLEAD_SETTINGS";

/// Heartbeats of an endpoint that may be missed before it counts as silent.
const MISSED_HEARTBEATS: f64 = 3.5;

/// What the settings file says, under the project's names.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Name of this node.
    pub node: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Address of this host.
    pub ip: IpAddr,
    /// Address for callers; only entries have one.
    pub callers: Option<SocketAddr>,
    /// Address for readiness probes; only entries have one.
    pub ready: Option<SocketAddr>,
    /// Address for operators and announcements; only control has one.
    pub operators: Option<SocketAddr>,
    /// First port for the system's own processes, the same on all hosts.
    pub first_port: u16,
    /// Operators' addresses of some control replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Data folder, where there is a disk.
    pub data: Option<PathBuf>,
    /// Hosts with a disk that may be lost at once.
    pub tolerance: usize,
    /// Longest time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Shared budget of repeated sends.
    pub budget: BudgetConfig,
    /// Silence after which an announced endpoint counts as silent.
    pub endpoint_silence: Duration,
}

impl PlatformSettings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// All problems of the file, with their places.
    pub fn load() -> Result<(Self, PathBuf), Findings> {
        let mut findings = Findings::default();
        let Ok(path) = std::env::var(SETTINGS_VARIABLE) else {
            let place = Place::Variable(SETTINGS_VARIABLE.into());
            findings.add(place, "not set; it has to name the settings file");
            return Err(findings);
        };
        let path = PathBuf::from(path);
        Self::read(&path).map(|settings| (settings, path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// All problems of the file, with their places.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let name = path.display().to_string();
        let mut findings = Findings::default();
        let value = std::fs::read(path)
            .map_err(|e| e.to_string())
            .and_then(|data| serde_json::from_slice::<Value>(&data).map_err(|e| e.to_string()));
        let value = match value {
            Ok(value) => value,
            Err(reason) => {
                findings.add(Place::Whole(name), reason);
                return Err(findings);
            }
        };
        Self::decode(&name, &value)
    }

    /// Decodes the content of a settings file.
    ///
    /// # Errors
    /// All problems of the file, with their places.
    pub fn decode(name: &str, value: &Value) -> Result<Self, Findings> {
        let mut fields = Fields { name, value, findings: Findings::default() };
        let port = |range: &Value| range.get(0).and_then(Value::as_u64);
        let heartbeat = fields.number("/HeartbeatMs", 1200.0);
        let settings = Self {
            node: fields.text("/NodeName"),
            zone: fields.text("/Zone"),
            ip: fields.parse("/Ip").unwrap_or(IpAddr::from([127, 0, 0, 1])),
            callers: fields.parse_optional("/Listen/Frontend"),
            ready: fields.parse_optional("/Listen/Ready"),
            operators: fields.parse_optional("/Listen/ControlPlane"),
            first_port: fields.value.pointer("/PortRange").and_then(port).unwrap_or(0) as u16,
            seeds: fields.addresses("/Seeds"),
            first_start: fields.flag("/Bootstrap"),
            data: fields.optional_text("/DataDir").map(PathBuf::from),
            tolerance: fields.number("/FaultTolerance/Machines", 1.0) as usize,
            grace: Duration::from_secs_f64(fields.number("/Bounds/GraceS", 8.0)),
            budget: BudgetConfig {
                ratio: fields.number("/Bounds/RetryRatio", 0.2),
                slack: fields.number("/Bounds/RetrySlack", 50.0),
                window: Duration::from_secs_f64(fields.number("/Bounds/RetryWindowS", 10.0)),
            },
            endpoint_silence: Duration::from_secs_f64(heartbeat * MISSED_HEARTBEATS / 1000.0),
        };
        if settings.first_port == 0 {
            fields.add("/PortRange", "a list that begins with a port is needed");
        }
        if fields.findings.is_empty() { Ok(settings) } else { Err(fields.findings) }
    }

    /// Address of this host for the system's own processes to reach control.
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port)
    }

    /// Address at which an entry takes the load of others.
    pub fn load_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port + 1)
    }

    /// Address of the replica that counts the others when the whole system starts for the first
    /// time.
    pub fn counting_address(&self) -> Option<SocketAddr> {
        if self.first_start { self.seed_addresses().into_iter().min() } else { None }
    }

    /// Own-process addresses of the seeds.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), self.first_port)).collect()
    }
}

/// Seeds of the settings file, read anew when the file changes.
pub fn follow_seeds(path: PathBuf, first: PlatformSettings) -> SeedSource {
    let held = Mutex::new((None::<SystemTime>, first.seed_addresses()));
    Arc::new(move || {
        let mut held = held.lock();
        let changed_at = std::fs::metadata(&path).and_then(|m| m.modified()).ok();
        if changed_at != held.0 {
            // An unreadable file leaves the seeds as they were; it is read again next time.
            if let Ok(settings) = PlatformSettings::read(&path) {
                *held = (changed_at, settings.seed_addresses());
            }
        }
        held.1.clone()
    })
}

struct Fields<'a> {
    name: &'a str,
    value: &'a Value,
    findings: Findings,
}

impl Fields<'_> {
    fn add(&mut self, pointer: &str, text: &str) {
        let place = Place::Whole(format!("{}:{pointer}", self.name));
        self.findings.add(place, text);
    }

    fn optional_text(&self, pointer: &str) -> Option<String> {
        self.value.pointer(pointer).and_then(Value::as_str).map(str::to_owned)
    }

    fn text(&mut self, pointer: &str) -> SmolStr {
        let text = self.optional_text(pointer);
        if text.is_none() {
            self.add(pointer, "a text is needed");
        }
        SmolStr::new(text.unwrap_or_default())
    }

    fn parse<T: std::str::FromStr>(&mut self, pointer: &str) -> Option<T> {
        let parsed = self.optional_text(pointer).and_then(|t| t.parse().ok());
        if parsed.is_none() {
            self.add(pointer, "an address is needed");
        }
        parsed
    }

    fn parse_optional<T: std::str::FromStr>(&mut self, pointer: &str) -> Option<T> {
        self.optional_text(pointer)?;
        self.parse(pointer)
    }

    fn number(&mut self, pointer: &str, default: f64) -> f64 {
        match self.value.pointer(pointer) {
            None | Some(Value::Null) => default,
            Some(value) => {
                let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
                if number.is_none() {
                    self.add(pointer, "a number that is not negative is needed");
                }
                number.unwrap_or(default)
            }
        }
    }

    fn flag(&self, pointer: &str) -> bool {
        self.value.pointer(pointer).and_then(Value::as_bool).unwrap_or(false)
    }

    fn addresses(&mut self, pointer: &str) -> Vec<SocketAddr> {
        let Some(list) = self.value.pointer(pointer).and_then(Value::as_array) else {
            self.add(pointer, "a list of addresses is needed");
            return Vec::new();
        };
        let parsed: Vec<SocketAddr> =
            list.iter().filter_map(|v| v.as_str()?.parse().ok()).collect();
        if parsed.len() != list.len() {
            self.add(pointer, "each entry has to be IP:PORT");
        }
        parsed
    }
}
