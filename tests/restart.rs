//! The first seconds after a restart: endpoints that control knew, documents that every replica
//! offers at once, and requests that arrive before the first configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bitternlead::clock::boot_now;
use bitternlead::control::core_config::Published;
use bitternlead::control::endpoint_file;
use bitternlead::control::hub::{Hub, HubSettings};
use bitternlead::control::subscriber::{ReplicaSubscriber, UpdateListener};
use bitternlead::events::discarding_logger;
use bitternlead::gateway::dialect::{CallerHead, DeclaredTokens};
use bitternlead::gateway::startup::wait_for_config;
use bitternlead::gateway::state::{Gateway, GatewaySettings};
use bitternlead::platform::headers::PlatformDialect;
use bitternlead::wire::envelope::Body;
use bitternlead::wire::link::LinkConfig;
use bitternlead::wire::server::{Conn, Handler, serve};
use bitternlead::wire::{Announcement, Document, DocumentPart, News, Standing, Subscribe};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

const OFFERED_VERSION: u64 = 7;

fn announcement(id: &str) -> Announcement {
    Announcement {
        id: id.into(),
        service: "engines".into(),
        address: format!("127.0.0.1:{}", 9000 + id.len()),
        standing: Standing::Ready.into(),
        born: 1,
        seq: 4,
        ..Announcement::default()
    }
}

fn build_hub(restored: Vec<Announcement>) -> Arc<Hub> {
    let (_, published) = watch::channel(Published::default());
    let (relay, _) = mpsc::unbounded_channel();
    let silence = Duration::from_secs(4);
    let cfg = HubSettings { silence_timeout: silence, restored, ..HubSettings::default() };
    Arc::new(Hub::new(cfg, published, relay, discarding_logger()))
}

#[tokio::test]
async fn a_replica_knows_the_endpoints_of_its_last_run() {
    let dir = tempfile::tempdir().unwrap();
    let (log, cx) = (discarding_logger(), CancellationToken::new());
    assert!(endpoint_file::load(dir.path(), &log).is_empty());
    let hub = build_hub(Vec::new());
    let saving =
        endpoint_file::keep_saved(dir.path().into(), Arc::clone(&hub), log.clone(), cx.clone());
    tokio::spawn(saving);
    hub.announce(announcement("i-1"));
    hub.announce(announcement("i-02"));
    let mut known = Vec::new();
    for _ in 0..100 {
        known = endpoint_file::load(dir.path(), &log);
        if known.len() == 2 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    cx.cancel();
    assert_eq!(known.len(), 2);
    assert_eq!(build_hub(known).announcements().len(), 2);
    let path = dir.path().join("endpoints");
    let mut content = std::fs::read(&path).unwrap();
    let last = content.len() - 1;
    content[last] ^= 1;
    std::fs::write(&path, content).unwrap();
    assert!(endpoint_file::load(dir.path(), &log).is_empty(), "a damaged file is left out");
}

/// A control replica that offers a document and counts how often it is fetched.
struct OfferingReplica {
    answers: bool,
    fetches: Arc<AtomicUsize>,
}

impl Handler for OfferingReplica {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        let reply = match body {
            Body::Subscribe(_) => {
                Body::News(News { offered_version: OFFERED_VERSION, ..News::default() })
            }
            Body::FetchDocument(_) => {
                self.fetches.fetch_add(1, Ordering::Relaxed);
                if !self.answers {
                    return;
                }
                Body::DocumentPart(DocumentPart {
                    version: OFFERED_VERSION,
                    ..DocumentPart::default()
                })
            }
            _ => return,
        };
        let conn = conn.clone();
        tokio::spawn(async move { conn.send(call, reply).await });
    }

    fn on_closed(&self, _conn: &Conn) {}
}

#[derive(Default)]
struct Listener {
    version: AtomicU64,
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
        if let Some(document) = update.document {
            self.version.store(document.version, Ordering::Relaxed);
        }
    }

    fn on_disconnected(&self, _control: SocketAddr) {}

    fn on_removed(&self, _control: SocketAddr) {}
}

/// Subscribes to replicas that answer fetches or not, and returns the number of fetches when the
/// document has arrived.
async fn fetch_from(replicas: &[bool]) -> usize {
    let cx = CancellationToken::new();
    let fetches = Arc::new(AtomicUsize::new(0));
    let mut seeds = Vec::new();
    for answers in replicas {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        seeds.push(listener.local_addr().unwrap());
        let handler = OfferingReplica { answers: *answers, fetches: Arc::clone(&fetches) };
        let log = discarding_logger();
        tokio::spawn(serve(listener, Arc::new(handler), LinkConfig::default(), log, cx.clone()));
    }
    let listener = Arc::new(Listener::default());
    let as_listener = Arc::clone(&listener) as Arc<dyn UpdateListener>;
    let subscriber = ReplicaSubscriber::new(as_listener, LinkConfig::default(), cx.clone());
    tokio::spawn(subscriber.run(Arc::new(move || seeds.clone())));
    let arrived = timeout(Duration::from_secs(10), async {
        while listener.held_version() != OFFERED_VERSION {
            sleep(Duration::from_millis(5)).await;
        }
    });
    arrived.await.expect("the document arrives");
    sleep(Duration::from_millis(400)).await;
    cx.cancel();
    fetches.load(Ordering::Relaxed)
}

#[tokio::test]
async fn a_document_that_all_replicas_offer_is_fetched_once() {
    assert_eq!(fetch_from(&[true; 6]).await, 1);
}

#[tokio::test]
async fn a_document_is_fetched_elsewhere_if_a_replica_does_not_answer() {
    assert!(fetch_from(&[false, false, true]).await <= 3);
}

fn build_gateway() -> Arc<Gateway> {
    let dialect = Arc::new(PlatformDialect);
    Arc::new(Gateway::new(GatewaySettings::default(), dialect, discarding_logger()))
}

fn document() -> Document {
    let body = json!({
        "Version": 1, "Routes": [], "Backends": [],
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000 },
    });
    Document::pack(1, body.to_string().into())
}

fn caller(timeout_ms: u64) -> CallerHead {
    let timeout = Some(Duration::from_millis(timeout_ms));
    CallerHead { id: "r-1".into(), timeout, ..CallerHead::default() }
}

#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_first_configuration_and_get_it() {
    let gateway = build_gateway();
    let waiting = tokio::spawn({
        let gateway = Arc::clone(&gateway);
        async move { wait_for_config(&gateway, &caller(10_000), boot_now()).await }
    });
    sleep(Duration::from_millis(300)).await;
    gateway.apply_document(&document(), "control");
    assert_eq!(waiting.await.unwrap().expect("a configuration").version, 1);
    assert_eq!(gateway.waiting_for_config.lock().len(), 0);
}

/// Sixteen callers return to an entry in the order of their prompts, the longest first.
#[tokio::test(start_paused = true)]
async fn a_returning_crowd_is_placed_one_by_one_and_the_shortest_prompts_first() {
    let gateway = build_gateway();
    let (tx, mut rx) = mpsc::unbounded_channel();
    for n in (1..=16).rev() {
        let (gateway, tx) = (Arc::clone(&gateway), tx.clone());
        let tokens = Some(DeclaredTokens { prompt: n * 1_000, output: 100 });
        let caller = CallerHead { tokens, ..caller(10_000) };
        tokio::spawn(async move {
            wait_for_config(&gateway, &caller, boot_now()).await.expect("a configuration");
            tx.send((n, Instant::now())).unwrap();
        });
    }
    sleep(Duration::from_millis(100)).await;
    gateway.apply_document(&document(), "control");
    let mut released = Vec::new();
    while released.len() < 16 {
        released.push(rx.recv().await.unwrap());
    }
    assert!(released.is_sorted_by_key(|(n, _)| *n), "{released:?}");
    assert!(released.windows(2).all(|pair| pair[1].1 - pair[0].1 >= Duration::from_millis(5)));
    assert!(released[15].1 - released[0].1 <= Duration::from_millis(250));
}

#[tokio::test(start_paused = true)]
async fn the_wait_for_a_configuration_is_bounded_and_ends_with_the_caller() {
    let gateway = build_gateway();
    let started = Instant::now();
    assert!(wait_for_config(&gateway, &caller(600), boot_now()).await.is_none());
    assert!(started.elapsed() <= Duration::from_millis(200), "{:?}", started.elapsed());
    let started = Instant::now();
    assert!(wait_for_config(&gateway, &caller(60_000), boot_now()).await.is_none());
    assert!(started.elapsed() <= Duration::from_millis(1000), "{:?}", started.elapsed());
    let leaving = tokio::spawn({
        let gateway = Arc::clone(&gateway);
        async move { wait_for_config(&gateway, &caller(10_000), boot_now()).await }
    });
    sleep(Duration::from_millis(20)).await;
    assert_eq!(gateway.waiting_for_config.lock().len(), 1);
    leaving.abort();
    let _ = leaving.await;
    assert_eq!(gateway.waiting_for_config.lock().len(), 0);
}
