//! A sound server of a service: it registers, sends heartbeats, and answers what it is sent.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Channel, Head, call_control};
use crate::record::Record;
use crate::system::{HEARTBEAT, System, ZONES};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(10);

/// Size above which a request counts as long, in bytes.
const LONG_BYTES: usize = 1_000_000;

/// Size of the pieces in which the rest of a long request is read, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Bytes a second at which the rest of a long request is read after an early answer.
const READ_RATE: usize = 512 * 1024;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
}

pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: usize,
    born: AtomicU64,
    seq: AtomicU64,
    controls: Vec<SocketAddr>,
    /// Index of the control that is called first.
    at: AtomicU64,
    beats: AtomicBool,
    /// Whether long requests are rejected before they are in.
    pub early: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// Time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Server {
    pub fn start(
        system: &System,
        number: usize,
        service: &str,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Arc<Self> {
        let addr = system.server_address(number);
        let zone = number % ZONES.len();
        let server = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            addr,
            service: service.to_owned(),
            zone,
            born: AtomicU64::new(unix_ms()),
            seq: AtomicU64::new(0),
            controls: (0..ZONES.len()).map(|m| system.control(m)).collect(),
            at: AtomicU64::new(zone as u64),
            beats: AtomicBool::new(true),
            early: AtomicBool::new(false),
            runs: Arc::clone(runs),
            record: record.clone(),
        });
        let listener = TcpListener::bind(addr).expect("the address of a server is free");
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                if beating.beats.load(Ordering::SeqCst) {
                    beating.beat();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Sends one heartbeat, to the next control if one does not acknowledge it.
    pub fn beat(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"Backend":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":6,
            "State":"ready","ColdLeftMs":0,"Seq":{seq},"born":{}}}"#,
            self.service,
            self.addr,
            ZONES[self.zone],
            self.born.load(Ordering::SeqCst)
        );
        let path = format!("/api/instances/{}", self.id);
        for _ in 0..self.controls.len() {
            let control = self.controls[self.at.load(Ordering::SeqCst) as usize % 3];
            let answer = call_control(control, "PUT", &path, &body);
            let status = answer.map(|(head, _)| head.status()).map_err(|e| e.kind());
            self.record.note(&format!("heartbeat of {}: {status:?}", self.id));
            if status == Ok(200) {
                return;
            }
            self.at.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Makes control on this machine the one that is called first.
    pub fn call_first(&self, machine: usize) {
        self.at.store(machine as u64, Ordering::SeqCst);
    }

    /// Ends the heartbeats, as a server does before it says that it is gone.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Starts again under the same id, with a new start and a count that begins anew.
    pub fn restart(&self) {
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.seq.store(0, Ordering::SeqCst);
        self.beats.store(true, Ordering::SeqCst);
        self.beat();
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(head) = channel.read_head(None) {
            if self.answer(&mut channel, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, channel: &mut Channel, head: &Head) -> std::io::Result<()> {
        let len = head.content_length();
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            channel.read_body(len, None)?;
            return self.respond(channel, &id, "421 Misdirected Request", "Not-Executed: 1\r\n");
        }
        if len > LONG_BYTES && self.early.load(Ordering::SeqCst) {
            self.record.note(&format!("{} rejects {id} early", self.id));
            self.respond(channel, &id, "413 Content Too Large", "")?;
            return self.read_slowly(channel, len, &id);
        }
        channel.read_body(len, None)?;
        self.runs.lock().unwrap().push(Run { id: id.clone(), server: self.id.clone() });
        self.record.note(&format!("{} runs {id}", self.id));
        thread::sleep(WORK);
        self.respond(channel, &id, "200 OK", "")
    }

    fn respond(
        &self,
        channel: &mut Channel,
        id: &str,
        status: &str,
        more: &str,
    ) -> std::io::Result<()> {
        let body = "the server's bytes";
        let text = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\n\
             Keep-Alive: timeout=10\r\nContent-Length: {}\r\n{more}\r\n{body}",
            self.id,
            body.len()
        );
        channel.write(text.as_bytes())
    }

    /// Reads the rest of a request that was answered early, and keeps the channel.
    fn read_slowly(&self, channel: &mut Channel, len: usize, id: &str) -> std::io::Result<()> {
        let mut left = len;
        while left > 0 {
            let piece = left.min(PIECE_BYTES);
            channel.read_body(piece, None)?;
            left -= piece;
            thread::sleep(Duration::from_secs_f64(piece as f64 / READ_RATE as f64));
        }
        self.record.note(&format!("{} has read all of {id}", self.id));
        Ok(())
    }
}
