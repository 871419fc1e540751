//! A stand-in for a plain service that counts how often each call ran.

use std::collections::BTreeMap;
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
}

impl StandInService {
    pub fn new(delay: Duration) -> Self {
        Self { runs: Mutex::default(), delay }
    }

    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        if req.uri().path() == "/runs" {
            return json(StatusCode::OK, &*self.runs.lock());
        }
        let limit = Duration::from_secs(10);
        let body = read_body(&mut req, 16 * 1024 * 1024, limit).await.unwrap_or_default();
        let key: String = req.header("idempotency-key").unwrap_or_default();
        let run = {
            let mut runs = self.runs.lock();
            let run = runs.entry(key.clone()).or_default();
            *run += 1;
            *run
        };
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
