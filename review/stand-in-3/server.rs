//! A server of a plain service, and its calls to control.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call_once, read_message};
use crate::record::Record;

/// A request that the server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it arrived.
    pub at: Duration,
    /// Id of the client's attempt.
    pub attempt: String,
}

/// A server of the service; it serves until the script ends.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    seq: AtomicU64,
    /// Whether it is about to leave: its health check fails, all its answers say so, and it announces
    /// itself no more.
    leaving: AtomicBool,
    /// Whether its health check passes all the same.
    lying: AtomicBool,
    work: Duration,
    /// Size of its answers in bytes.
    answer_bytes: usize,
    runs: Mutex<Vec<Run>>,
    /// Number of answers whose last byte was written.
    answered: AtomicUsize,
    record: Arc<Record>,
}

impl Server {
    /// Starts to serve.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        addr: SocketAddr,
        work: Duration,
        answer_bytes: usize,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let server = Arc::new(Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            seq: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            lying: AtomicBool::new(false),
            work,
            answer_bytes,
            runs: Mutex::default(),
            answered: AtomicUsize::new(0),
            record,
        });
        let listener = TcpListener::bind(addr).unwrap();
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Number of answers that it has written completely.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Lets its health check fail, its answers say that it leaves, and its announcements end.
    pub fn begin_to_leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Sets whether its health check passes, whatever its state is.
    pub fn set_lying(&self, lying: bool) {
        self.lying.store(lying, Ordering::SeqCst);
    }

    /// Body of the next announcement.
    pub fn next_beat(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { service, addr, zone, born, .. } = self;
        format!(
            r#"{{"Backend":"{service}","Address":"{addr}","Zone":"{zone}","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Phase":"mixed","Models":[],"Seq":{seq},"born":{born}}}"#
        )
    }

    /// Sends an announcement; true if it is acknowledged within a second.
    pub fn send_beat(&self, control: SocketAddr, beat: &str) -> bool {
        let path = format!("/api/instances/{}", self.id);
        let second = Duration::from_secs(1);
        let answer = call_once(control, "PUT", &path, beat.as_bytes(), second);
        answer.is_ok_and(|a| a.status() / 100 == 2)
    }

    /// Tells control that it is gone; returns when that was acknowledged.
    pub fn depart(&self, controls: &[SocketAddr]) -> Option<Duration> {
        let path = format!("/api/instances/{}", self.id);
        controls.iter().find_map(|addr| {
            let answer = call_once(*addr, "DELETE", &path, b"", Duration::from_secs(1));
            let status = answer.map_or(0, |a| a.status());
            let now = self.record.now();
            self.record.say(&format!("{} sends DELETE to {addr}: {status}", self.id));
            (status / 100 == 2).then_some(now)
        })
    }

    /// Announces itself to the hosts of control in turn until it leaves.
    pub fn announce(self: &Arc<Self>, controls: Vec<SocketAddr>, interval: Duration) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            let mut at = 0;
            while !server.leaving.load(Ordering::SeqCst) {
                let beat = server.next_beat();
                for _ in 0..controls.len() {
                    if server.send_beat(controls[at % controls.len()], &beat) {
                        break;
                    }
                    at += 1;
                }
                thread::sleep(interval);
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (_, target) = request.target();
        if target == "/healthz" {
            let fails = self.leaving.load(Ordering::SeqCst) && !self.lying.load(Ordering::SeqCst);
            let status = match fails {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            self.record.note(&format!("{} answers a health check: {status}", self.id));
            let id = &self.id;
            let head = format!("HTTP/1.1 {status}\r\nInstance-Id: {id}\r\n");
            return format!("{head}Content-Length: 0\r\n\r\n").into_bytes();
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n");
            return format!("{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        let at = self.record.now();
        self.record.note(&format!("{} runs {attempt}", self.id));
        self.runs.lock().unwrap().push(Run { at, attempt: attempt.clone() });
        thread::sleep(self.work);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}.{attempt}\r\n",
            self.id
        );
        let leaves = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let mut answer =
            format!("{head}{leaves}Content-Length: {}\r\n\r\n", self.answer_bytes).into_bytes();
        answer.resize(answer.len() + self.answer_bytes, b'x');
        answer
    }
}
