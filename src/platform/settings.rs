//! Settings file, in JSON, that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use parking_lot::Mutex;
use serde_json::Value;
use smol_str::SmolStr;

use crate::clock::duration_from_s;
use crate::control::service::SeedSource;
use crate::findings::{Findings, Place};
use crate::gateway::budget::BudgetConfig;
use crate::gateway::eligibility::cold::ColdSettings;
use crate::ids::{RegionName, ZoneName};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "BITTERNLEAD_SETTINGS";

/// Silence after which an endpoint counts as silent, in heartbeat intervals.
const ENDPOINT_TIMEOUT_HEARTBEATS: f64 = 3.5;

/// Content of the settings file. Only the fields that are used are read.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Name of this node, in logs and towards other nodes.
    pub node: SmolStr,
    /// Availability zone of this host.
    pub zone: SmolStr,
    /// Availability zones with the region of each; empty if the file names none.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Address of this host; listeners without an address of their own bind to it.
    pub ip: IpAddr,
    /// Address for callers; set for entries only.
    pub callers_address: Option<SocketAddr>,
    /// Address for readiness probes; set for entries only.
    pub readiness_address: Option<SocketAddr>,
    /// Address for operators and announcements; set for control only.
    pub operators_address: Option<SocketAddr>,
    /// First of the ports for traffic between nodes, the same on all hosts.
    pub first_port: u16,
    /// Operators' addresses of some hosts of control, which may be replicas or relays.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time and has to form its cluster.
    pub bootstrap: bool,
    /// Data directory; `None` on a host without a disk.
    pub data_dir: Option<PathBuf>,
    /// Hosts with a disk that may fail at the same time without losing data.
    pub tolerance: usize,
    /// Time from the signal to stop until the process has to exit.
    pub grace: Duration,
    /// Retry budget that all requests share.
    pub budget: BudgetConfig,
    /// Bound on what cold endpoints receive.
    pub cold: ColdSettings,
    /// Time without an announcement after which an endpoint counts as silent.
    pub endpoint_timeout: Duration,
    /// Bandwidth of this host's link, in bytes per second.
    pub link_bytes_per_s: f64,
    /// Whether entries tell each other what they observe of endpoints.
    pub pooled_evidence: bool,
    /// Memory that a process on this host may use, in bytes; `None` if it is not limited.
    pub memory_limit: Option<u64>,
}

impl PlatformSettings {
    /// Reads the file that [`SETTINGS_VARIABLE`] names, and returns its path too.
    ///
    /// # Errors
    /// The variable is not set, or the file is invalid; see [`PlatformSettings::read`].
    pub fn load() -> Result<(Self, PathBuf), Findings> {
        let mut findings = Findings::default();
        let Ok(path) = std::env::var(SETTINGS_VARIABLE) else {
            let place = Place::Variable(SETTINGS_VARIABLE.into());
            findings.add(place, "not set; set it to the path of the settings file");
            return Err(findings);
        };
        let path = PathBuf::from(path);
        Self::read(&path).map(|settings| (settings, path))
    }

    /// Reads and decodes a settings file.
    ///
    /// # Errors
    /// The file cannot be read or is not JSON, or all invalid fields with their JSON pointers.
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

    /// Decodes the content of a settings file; `name` stands in front of every finding.
    ///
    /// # Errors
    /// All invalid fields, with their JSON pointers.
    pub fn decode(name: &str, value: &Value) -> Result<Self, Findings> {
        let mut fields = FieldReader { name, value, findings: Findings::default() };
        let heartbeat = fields.number("/HeartbeatMs", 1200.0);
        let settings = Self {
            node: fields.text("/NodeName"),
            zone: fields.text("/Zone"),
            zones: fields.text_table("/Zones"),
            ip: fields.parse("/Ip").unwrap_or(IpAddr::from([127, 0, 0, 1])),
            callers_address: fields.parse_optional("/Listen/Frontend"),
            readiness_address: fields.parse_optional("/Listen/Ready"),
            operators_address: fields.parse_optional("/Listen/ControlPlane"),
            first_port: fields.first_port("/PortRange"),
            seeds: fields.addresses("/Seeds"),
            bootstrap: fields.flag("/Bootstrap"),
            data_dir: fields.optional_text("/DataDir").map(PathBuf::from),
            tolerance: fields.count("/FaultTolerance/Machines", 1),
            grace: duration_from_s(fields.number("/Bounds/GraceS", 8.0)),
            budget: BudgetConfig {
                ratio: fields.number("/Bounds/RetryRatio", 0.2),
                slack: fields.number("/Bounds/RetrySlack", 50.0),
                window: duration_from_s(fields.number("/Bounds/RetryWindowS", 10.0)),
            },
            cold: ColdSettings {
                overage: fields.number("/Bounds/ColdOverage", 1.5),
                slack: fields.number("/Bounds/ColdSlack", 5.0),
            },
            link_bytes_per_s: fields.number("/Limits/LinkMbps", 1000.0) * 1e6 / 8.0,
            pooled_evidence: fields.list_contains("/Contracts", "places"),
            memory_limit: fields.memory_limit("/Limits/MemoryMb"),
            endpoint_timeout: duration_from_s(heartbeat * ENDPOINT_TIMEOUT_HEARTBEATS / 1000.0),
        };
        if fields.findings.is_empty() { Ok(settings) } else { Err(fields.findings) }
    }

    /// Address at which control on this host serves other nodes.
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port)
    }

    /// Address at which an entry receives the load of other entries.
    pub fn load_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port + 1)
    }

    /// Address of the host that replicas report to when the cluster is formed: the lowest of the
    /// seeds, so that all hosts agree on it. `None` unless the system starts for the first time.
    pub fn coordinator_address(&self) -> Option<SocketAddr> {
        if self.bootstrap { self.seed_addresses().into_iter().min() } else { None }
    }

    /// Addresses at which the seeds serve other nodes; all hosts use the same first port.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|s| SocketAddr::new(s.ip(), self.first_port)).collect()
    }
}

/// Returns a source of the seed addresses that reads the settings file again when its
/// modification time changes.
pub fn follow_seeds(path: PathBuf, first: PlatformSettings) -> SeedSource {
    let cache = Mutex::new((None::<SystemTime>, first.seed_addresses()));
    Arc::new(move || {
        let mut cache = cache.lock();
        let modified_at = std::fs::metadata(&path).and_then(|m| m.modified()).ok();
        if modified_at != cache.0 {
            // An invalid file, for instance one that is half written, keeps the seeds and is read
            // again on the next call.
            if let Ok(settings) = PlatformSettings::read(&path) {
                *cache = (modified_at, settings.seed_addresses());
            }
        }
        cache.1.clone()
    })
}

/// Reads fields by JSON pointer and collects what is invalid.
struct FieldReader<'a> {
    name: &'a str,
    value: &'a Value,
    findings: Findings,
}

impl FieldReader<'_> {
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
            self.add(pointer, "expected a string");
        }
        SmolStr::new(text.unwrap_or_default())
    }

    fn parse<T: std::str::FromStr>(&mut self, pointer: &str) -> Option<T> {
        let parsed = self.optional_text(pointer).and_then(|t| t.parse().ok());
        if parsed.is_none() {
            self.add(pointer, "expected an address");
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
                    self.add(pointer, "expected a number of at least 0");
                }
                number.unwrap_or(default)
            }
        }
    }

    /// Limit in megabytes, as bytes; missing or 0 is none.
    fn memory_limit(&mut self, pointer: &str) -> Option<u64> {
        let bytes = self.number(pointer, 0.0) * 1e6;
        (bytes > 0.0).then_some(bytes as u64)
    }

    fn count(&mut self, pointer: &str, default: usize) -> usize {
        match self.value.pointer(pointer) {
            None | Some(Value::Null) => default,
            Some(value) => {
                let whole = value.as_f64().filter(|n| n.fract() == 0.0 && *n >= 0.0);
                let count = whole.map(|n| n as usize);
                if count.is_none() {
                    self.add(pointer, "expected a whole number of at least 0");
                }
                count.unwrap_or(default)
            }
        }
    }

    /// First port of a range; the next one is used too.
    fn first_port(&mut self, pointer: &str) -> u16 {
        let first = self.value.pointer(pointer).and_then(|range| range.get(0)?.as_u64());
        let port = first.and_then(|n| u16::try_from(n).ok()).filter(|n| (1..u16::MAX).contains(n));
        if port.is_none() {
            self.add(pointer, "expected a list that begins with a port from 1 to 65534");
        }
        port.unwrap_or_default()
    }

    /// Table from names to strings; empty if missing.
    fn text_table(&mut self, pointer: &str) -> BTreeMap<SmolStr, SmolStr> {
        let table = match self.value.pointer(pointer) {
            None | Some(Value::Null) => return BTreeMap::new(),
            Some(value) => value.as_object(),
        };
        let Some(table) = table else {
            self.add(pointer, "expected a table of strings");
            return BTreeMap::new();
        };
        let mut read = BTreeMap::new();
        for (name, value) in table {
            match value.as_str() {
                Some(text) => {
                    read.insert(SmolStr::new(name), SmolStr::new(text));
                }
                None => self.add(&format!("{pointer}/{name}"), "expected a string"),
            }
        }
        read
    }

    fn flag(&self, pointer: &str) -> bool {
        self.value.pointer(pointer).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Whether a list of strings contains a word; a missing list contains none.
    fn list_contains(&self, pointer: &str, word: &str) -> bool {
        let list = self.value.pointer(pointer).and_then(Value::as_array);
        list.is_some_and(|list| list.iter().any(|item| item.as_str() == Some(word)))
    }

    fn addresses(&mut self, pointer: &str) -> Vec<SocketAddr> {
        let Some(list) = self.value.pointer(pointer).and_then(Value::as_array) else {
            self.add(pointer, "expected a list of addresses");
            return Vec::new();
        };
        let parsed: Vec<SocketAddr> =
            list.iter().filter_map(|v| v.as_str()?.parse().ok()).collect();
        if parsed.len() != list.len() {
            self.add(pointer, "every item must have the form IP:PORT");
        }
        parsed
    }
}
