//! Documents and announcements over links that are nearly full.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bitternlead::control::bootstrap::BootstrapService;
use bitternlead::control::core_config::Published;
use bitternlead::control::hub::{Hub, HubSettings};
use bitternlead::control::hub_handler::HubHandler;
use bitternlead::control::subscriber::{ReplicaSubscriber, UpdateListener};
use bitternlead::events::discarding_logger;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::link::{Link, LinkConfig};
use bitternlead::wire::server::{Conn, Handler, serve};
use bitternlead::wire::{Announcement, Document, News, Standing, Subscribe, ZoneDrains};
use bytes::Bytes;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time within which a change has to be in force, the smallest of the deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// What is left of a link of 20 Mbit/s that is three quarters full, in bytes per second.
const THIN_LINK: f64 = 625_000.0;

struct NoFallback;

impl Handler for NoFallback {
    fn on_message(&self, _conn: &Conn, _call: u64, _body: Body) {}
    fn on_closed(&self, _conn: &Conn) {}
}

/// Sends every message back.
struct Echo;

impl Handler for Echo {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        let conn = conn.clone();
        tokio::spawn(async move { conn.send(call, body).await });
    }

    fn on_closed(&self, _conn: &Conn) {}
}

/// A control replica that holds a document, reached over a link with a limited rate.
struct ThinReplica {
    hub: Arc<Hub>,
    published: watch::Sender<Published>,
    addr: SocketAddr,
    /// Bytes that left the replica.
    sent: Arc<AtomicUsize>,
    cx: CancellationToken,
}

impl ThinReplica {
    async fn start(bytes_per_s: f64) -> Self {
        let cx = CancellationToken::new();
        let state = Published { has_leader: true, ..Published::default() };
        let (published, watcher) = watch::channel(state);
        let (relay, _) = mpsc::unbounded_channel();
        let cfg =
            HubSettings { silence_timeout: Duration::from_secs(60), ..HubSettings::default() };
        let hub = Arc::new(Hub::new(cfg, watcher, relay, discarding_logger()));
        tokio::spawn(Arc::clone(&hub).run(cx.clone()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let behind = listener.local_addr().unwrap();
        let bootstrap = BootstrapService::new(None, behind, 0);
        let fallback = Arc::new(NoFallback);
        let handler = Arc::new(HubHandler { hub: Arc::clone(&hub), bootstrap, fallback });
        tokio::spawn(serve(listener, handler, link(), discarding_logger(), cx.clone()));
        let sent = Arc::new(AtomicUsize::new(0));
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = front.local_addr().unwrap();
        tokio::spawn(forward_slowly(front, behind, bytes_per_s, Arc::clone(&sent)));
        Self { hub, published, addr, sent, cx }
    }

    fn publish(&self, document: Document) {
        self.published.send_modify(|state| state.document = document);
    }
}

impl Drop for ThinReplica {
    fn drop(&mut self) {
        self.cx.cancel();
    }
}

/// Forwards connections; what `behind` sends passes at the given rate.
async fn forward_slowly(
    front: TcpListener,
    behind: SocketAddr,
    bytes_per_s: f64,
    sent: Arc<AtomicUsize>,
) {
    while let Ok((client, _)) = front.accept().await {
        let server = TcpStream::connect(behind).await.unwrap();
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_server).await });
        let sent = Arc::clone(&sent);
        tokio::spawn(async move {
            let mut buf = vec![0; 4096];
            let mut due = Instant::now();
            while let Ok(len @ 1..) = from_server.read(&mut buf).await {
                due = due.max(Instant::now()) + Duration::from_secs_f64(len as f64 / bytes_per_s);
                sleep(due.saturating_duration_since(Instant::now())).await;
                sent.fetch_add(len, Ordering::Relaxed);
                if to_client.write_all(&buf[..len]).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn link() -> LinkConfig {
    bitternlead::control::service::build_link_config("test", "entry")
}

#[derive(Default)]
struct Listener {
    version: AtomicU64,
    lost: AtomicUsize,
    announced_at: Mutex<Option<Instant>>,
    /// Drained zones as they arrived, with the version held then.
    drains: Mutex<Vec<(ZoneDrains, u64, Instant)>>,
}

impl UpdateListener for Listener {
    fn subscription(&self) -> Subscribe {
        Subscribe { fetches_documents: true, ..Subscribe::default() }
    }

    fn held_version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    fn on_connected(&self, _control: SocketAddr) {}

    fn on_update(&self, _control: SocketAddr, update: News) {
        if let Some(drains) = update.zone_drains {
            self.drains.lock().push((drains, self.held_version(), Instant::now()));
        }
        if let Some(document) = update.document {
            self.version.store(document.version, Ordering::Relaxed);
        }
        if !update.announcements.is_empty() {
            self.announced_at.lock().get_or_insert_with(Instant::now);
        }
    }

    fn on_disconnected(&self, _control: SocketAddr) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    fn on_removed(&self, _control: SocketAddr) {}
}

/// Subscribes to replicas and waits until that has reached them.
async fn subscribe_to(replicas: &[ThinReplica]) -> Arc<Listener> {
    let listener = Arc::new(Listener::default());
    let as_listener = Arc::clone(&listener) as Arc<dyn UpdateListener>;
    let subscriber = ReplicaSubscriber::new(as_listener, link(), replicas[0].cx.clone());
    let seeds: Vec<SocketAddr> = replicas.iter().map(|r| r.addr).collect();
    tokio::spawn(subscriber.run(Arc::new(move || seeds.clone())));
    sleep(Duration::from_millis(400)).await;
    listener
}

/// Waits until a version is held and returns how long that took; `None` after `limit`.
async fn wait_for(listener: &Listener, version: u64, limit: Duration) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if listener.held_version() == version {
            return Some(started.elapsed());
        }
        sleep(Duration::from_millis(5)).await;
    }
    None
}

/// Document of an operator with 4,200 routes, 1.1 MB.
fn large_document(version: u64) -> Document {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    let routes: Vec<_> = (0..4200)
        .map(|_| {
            json!({
                "Name": format!("r-{:08x}", rng.next_u32()), "Hostname": "halls.example",
                "PathPrefix": format!("/{:08x}/", rng.next_u32()), "Type": "streaming",
                "TimeoutMs": 10000, "GoalMs": 300, "Prio": 1, "Backend": "engines",
                "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true,
                "ItlTargetMs": 200,
            })
        })
        .collect();
    let body = json!({ "Version": version, "Routes": routes }).to_string();
    Document::pack(version, body.into())
}

/// Document of 1 MB that no compression makes smaller. Tests build it before they open a link: to
/// compress it without optimization may take longer than an idle link lives.
fn random_document(version: u64) -> Document {
    random_document_of(version, 1_000_000)
}

fn random_document_of(version: u64, len: usize) -> Document {
    let mut body = vec![0; len];
    ChaCha8Rng::seed_from_u64(version).fill_bytes(&mut body);
    Document::pack(version, Bytes::from(body))
}

#[tokio::test]
async fn a_large_document_is_in_force_in_time_over_thin_links() {
    let document = large_document(7);
    let replica = ThinReplica::start(THIN_LINK).await;
    let listener = subscribe_to(std::slice::from_ref(&replica)).await;
    replica.publish(document);
    assert!(wait_for(&listener, 7, APPLY_LIMIT).await.is_some(), "not in force in time");
}

#[tokio::test]
async fn a_document_on_its_way_holds_up_no_announcement_and_is_not_begun_anew() {
    let document = random_document(7);
    let replica = ThinReplica::start(THIN_LINK / 2.0).await;
    let listener = subscribe_to(std::slice::from_ref(&replica)).await;
    replica.publish(document);
    sleep(Duration::from_millis(600)).await;
    let announced = Instant::now();
    replica.hub.announce(Announcement {
        id: "i-1".into(),
        address: "127.0.0.1:9000".into(),
        standing: Standing::Draining.into(),
        born: 1,
        seq: 1,
        ..Announcement::default()
    });
    let arrived = wait_for(&listener, 7, Duration::from_secs(20)).await;
    let announced_at = listener.announced_at.lock().expect("the announcement arrives");
    let delay = announced_at.saturating_duration_since(announced);
    assert!(delay < Duration::from_secs(1), "the announcement took {delay:?}");
    assert!(arrived.is_some(), "the document never arrived");
    assert_eq!(listener.lost.load(Ordering::Relaxed), 0, "the subscription was lost");
    let sent = replica.sent.load(Ordering::Relaxed);
    assert!(sent < 1_300_000, "{sent} bytes were sent for 1,000,000");
}

/// Guards against a drain that waits for the parts of a document.
#[tokio::test]
async fn a_document_on_its_way_holds_up_no_drain() {
    let document = random_document(7);
    let replica = ThinReplica::start(THIN_LINK / 2.0).await;
    let listener = subscribe_to(std::slice::from_ref(&replica)).await;
    replica.publish(document);
    sleep(Duration::from_millis(600)).await;
    let drained = Instant::now();
    let drains = ZoneDrains { revision: 3, zones: vec!["north".into()] };
    replica.published.send_modify(|state| state.zone_drains = drains.clone());
    assert!(wait_for(&listener, 7, Duration::from_secs(20)).await.is_some());
    let arrived = listener.drains.lock().iter().find(|(d, ..)| *d == drains).map(|(.., at)| *at);
    let delay = arrived.expect("the drain arrives").saturating_duration_since(drained);
    println!("the drain took {delay:?}");
    assert!(delay < Duration::from_millis(300), "the drain took {delay:?}");
}

/// Guards against an entry that gets a document from a replica which does not know yet which zones
/// were drained: one that knows no leader, or less than its leader has committed.
#[tokio::test]
async fn a_replica_that_lags_sends_neither_drains_nor_a_document() {
    let document = large_document(7);
    let replica = ThinReplica::start(THIN_LINK).await;
    replica.published.send_modify(|state| {
        state.lags = true;
        state.zone_drains = ZoneDrains { revision: 1, zones: vec![] };
    });
    let listener = subscribe_to(std::slice::from_ref(&replica)).await;
    replica.publish(document);
    assert!(wait_for(&listener, 7, Duration::from_millis(700)).await.is_none());
    replica.published.send_modify(|state| (state.lags, state.has_leader) = (false, false));
    assert!(wait_for(&listener, 7, Duration::from_millis(700)).await.is_none());
    assert!(listener.drains.lock().is_empty(), "{:?}", listener.drains.lock());
    let drains = ZoneDrains { revision: 2, zones: vec!["north".into()] };
    replica.published.send_modify(|state| {
        state.has_leader = true;
        state.zone_drains = drains.clone();
    });
    assert!(wait_for(&listener, 7, APPLY_LIMIT).await.is_some());
    let received = listener.drains.lock().clone();
    assert_eq!(received.len(), 1, "each state is sent once");
    assert_eq!((&received[0].0, received[0].1), (&drains, 0), "the drains come first");
}

#[tokio::test]
async fn a_link_is_not_lost_while_a_large_frame_arrives() {
    let document = random_document(7);
    let cx = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (behind, addr) = (listener.local_addr().unwrap(), front.local_addr().unwrap());
    tokio::spawn(serve(listener, Arc::new(Echo), link(), discarding_logger(), cx.clone()));
    tokio::spawn(forward_slowly(front, behind, THIN_LINK / 2.0, Arc::default()));
    let link = Link::connect(addr, &link(), &cx).await.unwrap();
    let reply = link.request(Body::Document(document.clone()), Duration::from_secs(20)).await;
    assert!(reply.is_ok_and(|reply| reply == Body::Document(document)), "the link was lost");
    cx.cancel();
}

/// Changes follow each other faster than the link carries a document.
#[tokio::test]
async fn changes_in_quick_succession_are_in_force_in_time_over_thin_links() {
    let documents: Vec<Document> = (1..=40).map(|v| random_document_of(v, 150_000)).collect();
    let replica = ThinReplica::start(THIN_LINK / 2.0).await;
    let listener = subscribe_to(std::slice::from_ref(&replica)).await;
    let started = Instant::now();
    let mut published = Vec::new();
    for document in documents {
        replica.publish(document);
        published.push(Instant::now());
        sleep(Duration::from_millis(150)).await;
        let held = listener.held_version() as usize;
        let overdue = published.iter().skip(held).find(|at| at.elapsed() > APPLY_LIMIT);
        assert!(
            overdue.is_none(),
            "version {held} is held {:?} after the start",
            started.elapsed()
        );
    }
    assert!(wait_for(&listener, 40, APPLY_LIMIT).await.is_some());
}

#[tokio::test]
async fn a_document_that_many_replicas_offer_over_thin_links_is_sent_once() {
    let document = random_document(7);
    let mut replicas = Vec::new();
    for _ in 0..4 {
        replicas.push(ThinReplica::start(THIN_LINK / 2.0).await);
    }
    let listener = subscribe_to(&replicas).await;
    for replica in &replicas {
        replica.publish(document.clone());
    }
    assert!(wait_for(&listener, 7, Duration::from_secs(20)).await.is_some());
    sleep(Duration::from_millis(300)).await;
    let sent: usize = replicas.iter().map(|r| r.sent.load(Ordering::Relaxed)).sum();
    assert!(sent < 1_300_000, "{sent} bytes were sent for 1,000,000");
}
