//! Emulates a plain service that counts how often each idempotency key was executed.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bitternlead::http::{json, read_body};
use parking_lot::Mutex;
use serde_json::json;
use viz::{Request, RequestExt, Response, Router, StatusCode};

/// An emulated service.
///
/// Tests read the counts from `/runs` to find calls that were executed twice or not at all.
#[derive(Default)]
pub struct EmulatedService {
    /// Executions by idempotency key.
    run_counts: Mutex<BTreeMap<String, u64>>,
    /// Time between counting a call and responding.
    delay: Duration,
    runs_file: Option<PathBuf>,
}

impl EmulatedService {
    /// Creates a service; with a file, counts continue from those of earlier processes.
    pub fn new(delay: Duration, runs_file: Option<PathBuf>) -> Self {
        let mut run_counts = BTreeMap::new();
        if let Some(path) = &runs_file {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            text.lines().for_each(|key| *run_counts.entry(key.to_owned()).or_default() += 1);
        }
        Self { run_counts: Mutex::new(run_counts), delay, runs_file }
    }

    /// Counts an execution and returns the new count.
    ///
    /// The file is written before the count changes, so that a killed service forgets no call that
    /// it reported.
    fn record_run(&self, key: &str) -> u64 {
        let mut run_counts = self.run_counts.lock();
        let file = self.runs_file.as_ref();
        let file = file.and_then(|p| File::options().create(true).append(true).open(p).ok());
        if let Some(mut file) = file {
            let _ = writeln!(file, "{key}");
        }
        let run_count = run_counts.entry(key.to_owned()).or_default();
        *run_count += 1;
        *run_count
    }

    /// Returns the counts for `/runs`; counts any other call and echoes its body.
    async fn handle(self: Arc<Self>, mut req: Request) -> Response {
        if req.uri().path() == "/runs" {
            return json(StatusCode::OK, &*self.run_counts.lock());
        }
        let body_timeout = Duration::from_secs(10);
        let body = read_body(&mut req, 16 * 1024 * 1024, body_timeout).await.unwrap_or_default();
        let key: String = req.header("idempotency-key").unwrap_or_default();
        let run_count = self.record_run(&key);
        tokio::time::sleep(self.delay).await;
        let echo = String::from_utf8_lossy(&body).into_owned();
        json(StatusCode::OK, &json!({ "run": run_count, "key": key, "echo": echo }))
    }
}

/// Builds the HTTP routes of a service.
pub fn build_router(service: Arc<EmulatedService>) -> Router {
    let handler = move |req: Request| {
        let service = Arc::clone(&service);
        async move { viz::Result::Ok(service.handle(req).await) }
    };
    Router::new().any("/", handler.clone()).any("/*", handler)
}
