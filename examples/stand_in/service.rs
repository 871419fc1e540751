//! A stand-in for a plain service that counts how often each call ran.

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

/// A service.
#[derive(Default)]
pub struct StandInService {
    runs: Mutex<BTreeMap<String, u64>>,
    delay: Duration,
    runs_file: Option<PathBuf>,
}

impl StandInService {
    /// Builds a service that remembers its runs in a file, if one is named.
    pub fn new(delay: Duration, runs_file: Option<PathBuf>) -> Self {
        let mut runs = BTreeMap::new();
        if let Some(path) = &runs_file {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            text.lines().for_each(|key| *runs.entry(key.to_owned()).or_default() += 1);
        }
        Self { runs: Mutex::new(runs), delay, runs_file }
    }

    /// Counts a run, in the file first.
    fn count(&self, key: &str) -> u64 {
        let mut runs = self.runs.lock();
        let file = self.runs_file.as_ref();
        let file = file.and_then(|p| File::options().create(true).append(true).open(p).ok());
        if let Some(mut file) = file {
            let _ = writeln!(file, "{key}");
        }
        let run = runs.entry(key.to_owned()).or_default();
        *run += 1;
        *run
    }

    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        if req.uri().path() == "/runs" {
            return json(StatusCode::OK, &*self.runs.lock());
        }
        let limit = Duration::from_secs(10);
        let body = read_body(&mut req, 16 * 1024 * 1024, limit).await.unwrap_or_default();
        let key: String = req.header("idempotency-key").unwrap_or_default();
        let run = self.count(&key);
        tokio::time::sleep(self.delay).await;
        let echo = String::from_utf8_lossy(&body).into_owned();
        json(StatusCode::OK, &json!({ "run": run, "key": key, "echo": echo }))
    }
}

/// Builds the routes of a service.
pub fn build_router(service: Arc<StandInService>) -> Router {
    let handler = move |req: Request| {
        let service = Arc::clone(&service);
        async move { viz::Result::Ok(service.answer(req).await) }
    };
    Router::new().any("/", handler.clone()).any("/*", handler)
}
