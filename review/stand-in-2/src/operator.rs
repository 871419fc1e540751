//! The operator: sends desired states and reads them back, as the pages describe.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::record::line;

/// Time after which the operator moves on to another node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A small desired state of this version.
pub fn document(version: u64, path_prefix: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-orders","Hostname":"shop.example","PathPrefix":"{path_prefix}","Type":"unsafe","TimeoutMs":4000,"GoalMs":300,"Prio":2,"Backend":"orders","MaxAttempts":1,"Public":true,"Sticky":false,"Resumable":false}}],"Backends":[{{"Name":"orders","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Version that a desired state names.
pub fn version_of(text: &str) -> Option<u64> {
    let rest = text.split_once("\"Version\":")?.1;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// Calls a node about the desired state.
pub fn call(node: SocketAddr, method: &str, body: &str) -> Result<Response, String> {
    call_path(node, method, "/api/config", body, RESPONSE_TIMEOUT)
}

/// Calls a node and follows up to two redirects.
pub fn call_path(
    node: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Response, String> {
    let (mut node, mut path) = (node, path.to_owned());
    for _ in 0..3 {
        let headers = "Content-Type: application/json\r\n";
        let response = http::call(node, method, &path, headers, body.as_bytes(), limit)?;
        if response.status != 307 {
            return Ok(response);
        }
        let target = response.header("location").ok_or("a redirect without a target")?;
        let rest = target.strip_prefix("http://").ok_or("a redirect to another scheme")?;
        let (addr, target_path) = rest.split_once('/').ok_or("a redirect without a path")?;
        node = addr.parse().map_err(|_| "a redirect to no address")?;
        path = format!("/{target_path}");
    }
    Err("redirected more than twice".into())
}

/// Sends a desired state to the nodes in turn until one acknowledges it.
pub fn put(nodes: &[SocketAddr], body: &str, limit: Duration) -> Result<Duration, String> {
    let version = version_of(body).unwrap_or_default();
    let (start, mut pause) = (Instant::now(), Duration::from_millis(50));
    let mut last = String::new();
    line(&format!("operator: sends version {version}"));
    for at in 0.. {
        if start.elapsed() >= limit {
            break;
        }
        let node = nodes[at % nodes.len()];
        let before = std::mem::take(&mut last);
        match call(node, "PUT", body) {
            Ok(response) if response.status == 200 => {
                let ms = start.elapsed().as_millis();
                line(&format!("operator: version {version} is confirmed after {ms} ms"));
                return Ok(start.elapsed());
            }
            Ok(response) => last = format!("status {}: {}", response.status, response.text().trim()),
            Err(reason) => last = reason,
        }
        if last != before {
            line(&format!("operator: {node} answers the change with {last}"));
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    line(&format!("operator: version {version} is not confirmed within {limit:?}; last: {last}"));
    Err(last)
}

/// Reads the desired state from the nodes in turn until one answers with it.
pub fn read(nodes: &[SocketAddr], limit: Duration) -> Result<String, String> {
    let start = Instant::now();
    let (mut calls, mut last) = (0, String::new());
    while start.elapsed() < limit {
        let node = nodes[calls % nodes.len()];
        calls += 1;
        let before = std::mem::take(&mut last);
        match call(node, "GET", "") {
            Ok(response) if response.status == 200 => {
                let text = response.text();
                let version = version_of(&text);
                line(&format!("operator: {node} answers a read with version {version:?}"));
                return Ok(text);
            }
            Ok(response) => {
                last = format!("status {}: {}", response.status, response.text().trim());
            }
            Err(reason) => last = reason,
        }
        if last != before {
            line(&format!("operator: {node} answers a read with {last}"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    line(&format!("operator: none of {calls} reads in {limit:?} was answered; last: {last}"));
    Err(last)
}

/// The node among these that answers a read itself, which is the leader.
pub fn find_leader(nodes: &[(usize, SocketAddr)], limit: Duration) -> Result<usize, String> {
    let start = Instant::now();
    while start.elapsed() < limit {
        for (at, node) in nodes {
            let answer = http::call(*node, "GET", "/api/config", "", b"", RESPONSE_TIMEOUT);
            if answer.is_ok_and(|response| response.status == 200) {
                return Ok(*at);
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err("no node answers reads itself".into())
}
