//! A simulated server that writes its responses byte by byte, as a test says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use parking_lot::Mutex;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::deployment::call;

/// What a server does with a request.
#[derive(Clone, Debug)]
pub struct Script {
    /// Time from the arrival of the request to the response.
    pub work: Duration,
    /// Bytes of the response; `{id}` stands for the id of the request.
    pub response: String,
    /// Number of bytes that are written of it; all if there are fewer.
    pub cut_at: usize,
    /// How the connection ends after a response that was cut.
    pub end: End,
}

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Close,
    Reset,
}

/// A running server; stopped when dropped.
pub struct RawServer {
    pub script: Arc<Mutex<Script>>,
    /// Ids of the requests that arrived.
    pub arrived: Arc<Mutex<Vec<String>>>,
    tasks: [JoinHandle<()>; 2],
}

impl RawServer {
    /// Starts a server that announces itself to a replica of control.
    pub async fn start(
        service: &'static str,
        addr: SocketAddr,
        control: SocketAddr,
        script: Script,
    ) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let (script, arrived) = (Arc::new(Mutex::new(script)), Arc::default());
        let serving = tokio::spawn(accept(listener, Arc::clone(&script), Arc::clone(&arrived)));
        let announcing = tokio::spawn(announce(service, addr, control));
        Self { script, arrived, tasks: [serving, announcing] }
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(|task| task.abort());
    }
}

/// Announces a server to a replica of control every 300 ms.
pub async fn announce(service: &'static str, addr: SocketAddr, control: SocketAddr) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    for seq in 1.. {
        let body = json!({
            "Backend": service, "Address": addr.to_string(), "Zone": "zone-a", "Version": "v1",
            "Slots": 16, "State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": born,
        });
        let body = Full::new(Bytes::from(body.to_string()));
        let _ = call(control, Request::put("/api/instances/raw").body(body).unwrap()).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

async fn accept(
    listener: TcpListener,
    script: Arc<Mutex<Script>>,
    arrived: Arc<Mutex<Vec<String>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (script, arrived) = (Arc::clone(&script), Arc::clone(&arrived));
        tokio::spawn(async move { serve(stream, &script, &arrived).await });
    }
}

/// Serves requests on one connection until a response is cut.
async fn serve(
    mut stream: TcpStream,
    script: &Mutex<Script>,
    arrived: &Mutex<Vec<String>>,
) -> Option<()> {
    let mut buf = Vec::new();
    loop {
        let id = read_request(&mut stream, &mut buf).await?;
        arrived.lock().push(id.clone());
        let Script { work, response, cut_at, end } = script.lock().clone();
        tokio::time::sleep(work).await;
        let response = response.replace("{id}", &id);
        let written = &response.as_bytes()[..cut_at.min(response.len())];
        stream.write_all(written).await.ok()?;
        if cut_at < response.len() {
            // What was written arrives before the end of the connection.
            tokio::time::sleep(Duration::from_millis(2)).await;
            if end == End::Reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()?;
            }
            return None;
        }
    }
}

/// Reads one request with its body, and returns its id.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.to_owned())
            };
            let len = field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if rest.len() >= len {
                buf.drain(..head.len() + 4 + len);
                return field("attempt-id");
            }
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}
