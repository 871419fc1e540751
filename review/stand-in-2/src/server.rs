//! A server of a service: registers itself, answers requests, notes what reaches it, and may leave.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::record::{elapsed_s, line};
use crate::{http, operator};

/// Interval of the heartbeats, `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time within which a call to a node has to be acknowledged before the next one is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Work of one request.
const WORK: Duration = Duration::from_millis(60);

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_s: f64,
    pub attempt: String,
    /// Whether the server ran it to its end.
    pub is_done: bool,
}

struct State {
    id: String,
    service: String,
    addr: SocketAddr,
    born: u64,
    seq: AtomicU64,
    controls: Vec<SocketAddr>,
    /// It says in its heartbeats that it is draining.
    leaves: AtomicBool,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Arrivals,
}

/// What reached a server in all its starts.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A running server.
pub struct Server {
    state: Arc<State>,
}

impl Server {
    /// Starts a server at an address, where port 0 is any free one. It registers with these nodes.
    /// `clock_ms` is what the clock of its machine is ahead.
    pub fn start(
        id: &str,
        service: &str,
        addr: (Ipv4Addr, u16),
        controls: &[SocketAddr],
        clock_ms: i64,
        arrivals: &Arrivals,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind(addr).map_err(|e| e.to_string())?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let state = Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            born: (now as i64 + clock_ms) as u64,
            seq: AtomicU64::new(0),
            controls: controls.to_vec(),
            leaves: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            arrivals: Arc::clone(arrivals),
        });
        line(&format!("server {id}: starts at {}, born {}", state.addr, state.born));
        let accepting = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                accepting.connections.lock().unwrap().extend(stream.try_clone());
                let state = Arc::clone(&accepting);
                thread::spawn(move || state.serve(stream));
            }
        });
        let beating = Arc::clone(&state);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                beating.beat();
                sleep(HEARTBEAT);
            }
        });
        Ok(Self { state })
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.state.addr
    }

    /// Reports that the server is draining, until a node confirms it.
    pub fn drain(&self) -> Result<(), String> {
        self.state.leaves.store(true, Ordering::SeqCst);
        for _ in 0..10 {
            if let Some(node) = self.state.beat() {
                line(&format!("server {}: {node} confirms that it is draining", self.state.id));
                return Ok(());
            }
        }
        Err("nobody confirms that a server is draining".into())
    }

    /// Ends the server's process: its connections close, and nothing listens any more.
    pub fn end(&self) {
        self.state.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.state.addr);
        for connection in self.state.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        line(&format!("server {}: has exited", self.state.id));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
    }
}

impl State {
    /// Sends a heartbeat to the nodes in turn until one acknowledges it, which is returned.
    fn beat(&self) -> Option<SocketAddr> {
        let path = format!("/api/instances/{}", self.id);
        for node in &self.controls {
            let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
            let state = if self.leaves.load(Ordering::SeqCst) { "draining" } else { "ready" };
            let body = format!(
                r#"{{"Backend":"{}","Address":"{}","Zone":"zone-a","Version":"v1","Slots":6,"State":"{state}","ColdLeftMs":0,"Seq":{seq},"born":{}}}"#,
                self.service, self.addr, self.born
            );
            let answer = operator::call_path(*node, "PUT", &path, &body, CALL_TIMEOUT);
            let status = answer.map(|response| response.status);
            line(&format!("server {}: {state}, Seq {seq}, at {node}: {status:?}", self.id));
            if status == Ok(200) {
                return Some(*node);
            }
        }
        None
    }

    /// Answers the requests of one connection.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut data = Vec::new();
        let mut buf = [0; 16 * 1024];
        loop {
            let Some(request) = take_request(&mut data) else {
                match stream.read(&mut buf) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => data.extend_from_slice(&buf[..count]),
                }
                continue;
            };
            let Some(response) = self.answer(&request) else { return };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request; `None` if the process has ended meanwhile.
    fn answer(&self, head: &str) -> Option<String> {
        let attempt = http::header(head, "attempt-id").unwrap_or_default();
        let leaving = || match self.leaves.load(Ordering::SeqCst) {
            true => "Connection: close\r\n",
            false => "",
        };
        if http::header(head, "expect-instance").is_some_and(|id| id != self.id) {
            let leaving = leaving();
            return Some(format!(
                "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n{leaving}Content-Length: 0\r\n\r\n"
            ));
        }
        let at = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { at_s: elapsed_s(), attempt: attempt.clone(), is_done: false });
            arrivals.len() - 1
        };
        sleep(WORK);
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        self.arrivals.lock().unwrap()[at].is_done = true;
        let (body, leaving) = (format!("done by {}", self.id), leaving());
        Some(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}.{attempt}\r\n{leaving}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        ))
    }
}

/// Takes a whole request off the front of what was received, and returns its head.
fn take_request(data: &mut Vec<u8>) -> Option<String> {
    let end = data.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..end]).into_owned();
    let length =
        http::header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    if data.len() < end + length {
        return None;
    }
    data.drain(..end + length);
    Some(head)
}
