//! Emulates a model engine: continuous batching, a prefix cache and KV memory counted in tokens.
//!
//! No model runs. The engine sleeps for the time that a step would take and answers with numbered
//! tokens, so that a client can tell a complete answer from one with gaps or repetitions. Load
//! reports are stale and cache events are delayed and partly lost, as with real engines.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlead::engine::{CacheEvent, EngineLoad, EngineOrder};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Configuration of an emulated engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// KV memory in tokens; a request reserves its prompt and its longest answer.
    pub kv_tokens: u64,
    /// Capacity of the prefix cache in tokens, in addition to the KV memory.
    pub cache_tokens: u64,
    /// Prefill rate in tokens per second, before `speed` is applied.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens that one step prefills, over all requests.
    pub max_prefill_tokens_per_step: u64,
    /// Duration of a step without prefill; each running request gets one token per step.
    pub step_time: Duration,
    /// Factor by which steps and model loads run faster than configured.
    pub speed: f64,
    /// Whether to reject orders whose fencing number is below the highest one accepted.
    pub checks_orders: bool,
    /// Models that are loaded at startup.
    pub models: Vec<String>,
    /// Time that a `load-model` order takes.
    pub model_load_time: Duration,
    /// File to which accepted orders are appended and from which they are read at startup.
    pub orders_file: Option<PathBuf>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            kv_tokens: 450_000,
            cache_tokens: 200_000,
            prefill_rate: 30_000.0,
            max_prefill_tokens_per_step: 512,
            step_time: Duration::from_millis(15),
            speed: 1.0,
            checks_orders: false,
            models: Vec::new(),
            model_load_time: Duration::from_millis(300),
            orders_file: None,
        }
    }
}

/// A completion request, as submitted to [`EmulatedEngine::submit`].
#[derive(Clone, Debug, Default)]
pub struct CompletionRequest {
    /// Request ID, by which the request is cancelled and its KV memory exported.
    pub id: String,
    /// Prompt text; four bytes count as one token.
    pub prompt: String,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Scheduling priority; lower values run first.
    pub priority: u32,
    /// Whether to keep the KV memory after prefill, for export, instead of generating tokens.
    pub hold_after_prefill: bool,
}

/// An event in the answer to a completion request.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// The text of one generated token.
    Token(String),
    /// The end of the answer, with the finish reason and the prompt tokens found in the cache.
    Finished { reason: &'static str, cached_tokens: u64 },
    /// The request was cancelled and its memory freed.
    Cancelled,
}

/// A request that waits or runs.
struct Sequence {
    id: String,
    /// Priority and arrival number; requests are admitted and prefilled in this order.
    queue_key: (u32, u64),
    /// Prompt tokens that are neither prefilled nor cached.
    remaining_prefill: u64,
    cached_tokens: u64,
    reserved_tokens: u64,
    remaining_output: u64,
    /// Text before the number in each token of the answer.
    token_prefix: String,
    /// Number of the next token.
    next_token: u64,
    hold_after_prefill: bool,
    /// Hashes of the prompt's blocks, which are cached after prefill.
    blocks: Vec<u64>,
    tx: mpsc::UnboundedSender<CompletionEvent>,
}

/// State of the engine: its queue, memory, cache and orders.
#[derive(Default)]
struct State {
    /// Number of requests submitted so far.
    arrival_count: u64,
    waiting: BTreeMap<(u32, u64), Sequence>,
    running: Vec<Sequence>,
    /// KV memory in tokens that running and held requests reserve.
    reserved_tokens: u64,
    /// Reserved tokens and exportable tokens of prefilled requests, by request ID.
    held: HashMap<String, (u64, u64)>,
    imported_tokens_by_id: HashMap<String, u64>,
    /// Hashes of the cached blocks; the oldest is evicted first.
    cache: VecDeque<u64>,
    /// Cache events with the time of their creation.
    events: VecDeque<(Instant, CacheEvent)>,
    last_event_sequence: u64,
    models: Vec<String>,
    /// Highest fencing number of an accepted order.
    highest_order_number: u64,
    accepted_orders: Vec<EngineOrder>,
    load_report: EngineLoad,
}

/// Size of a block of the prefix cache in tokens.
const BLOCK_TOKENS: usize = 1024;

/// Age from which a cache event can be read.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(300);

/// Cache events whose sequence number is a multiple of this are never delivered, so that readers
/// have to handle gaps.
const CACHE_EVENT_LOSS_INTERVAL: u64 = 7;

/// Interval at which the reported load is updated; reports are up to this old.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// An emulated engine.
pub struct EmulatedEngine {
    /// Configuration; fixed at startup.
    pub cfg: EngineConfig,
    state: Mutex<State>,
    work_available: Notify,
}

/// Hashes the complete blocks of a prompt; each hash covers the prompt up to the block's end.
fn hash_blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * 4);
    chunks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Returns the prefix of an answer's tokens and the number of its first token.
///
/// A prompt that ends in a token of an earlier answer continues that answer, as a request does that
/// is resumed on another engine.
fn continuation_of(prompt: &str) -> (String, u64) {
    let last = prompt.trim_end().rsplit(' ').next().unwrap_or_default();
    let fields = last.split_once('-').filter(|(token_prefix, _)| token_prefix.len() == 8);
    if let Some((token_prefix, number)) = fields
        && let Ok(number) = number.parse::<u64>()
    {
        return (token_prefix.to_owned(), number + 1);
    }
    let hash = xxh3_64_with_seed(prompt.as_bytes(), 7) as u32;
    (format!("{hash:08x}"), 0)
}

impl EmulatedEngine {
    /// Starts an engine, its scheduler and its load reports on the current runtime.
    pub fn start(cfg: EngineConfig) -> Arc<Self> {
        let models = cfg.models.clone();
        let accepted_orders = cfg.orders_file.as_deref().map(load_orders).unwrap_or_default();
        let state = State { models, accepted_orders, ..State::default() };
        let engine =
            Arc::new(Self { cfg, state: Mutex::new(state), work_available: Notify::new() });
        engine.update_load_report();
        tokio::spawn(Arc::clone(&engine).run_steps());
        tokio::spawn(Arc::clone(&engine).run_load_reports());
        engine
    }

    /// Queues a completion request and returns the stream of its events.
    ///
    /// # Errors
    ///
    /// Returns the reason if the prompt and the answer together exceed the KV memory.
    pub fn submit(
        &self,
        req: CompletionRequest,
    ) -> Result<mpsc::UnboundedReceiver<CompletionEvent>, String> {
        let prompt_tokens = (req.prompt.len() as u64).div_ceil(4).max(1);
        let reserved_tokens = prompt_tokens + req.output_tokens;
        if reserved_tokens > self.cfg.kv_tokens {
            return Err(format!("needs {reserved_tokens} tokens, has {}", self.cfg.kv_tokens));
        }
        let blocks = hash_blocks(&req.prompt);
        let (tx, rx) = mpsc::unbounded_channel();
        let (token_prefix, next_token) = continuation_of(&req.prompt);
        let mut state = self.state.lock();
        let cached_blocks: std::collections::HashSet<u64> = state.cache.iter().copied().collect();
        let cached_block_count =
            blocks.iter().take_while(|b| cached_blocks.contains(b)).count() as u64;
        let cached_tokens =
            (cached_block_count * BLOCK_TOKENS as u64).min(prompt_tokens.saturating_sub(1));
        state.arrival_count += 1;
        let queue_key = (req.priority, state.arrival_count);
        let sequence = Sequence {
            id: req.id,
            queue_key,
            remaining_prefill: prompt_tokens - cached_tokens,
            cached_tokens,
            reserved_tokens,
            remaining_output: req.output_tokens,
            token_prefix,
            next_token,
            hold_after_prefill: req.hold_after_prefill,
            blocks,
            tx,
        };
        state.waiting.insert(queue_key, sequence);
        drop(state);
        self.work_available.notify_one();
        Ok(rx)
    }

    /// Cancels a request, whether it waits, runs or is held, and frees its memory.
    ///
    /// An unknown ID is ignored.
    pub fn cancel(&self, id: &str) {
        let mut state = self.state.lock();
        let waiting = state.waiting.values().find(|s| s.id == id).map(|s| s.queue_key);
        if let Some(sequence) = waiting.and_then(|queue_key| state.waiting.remove(&queue_key)) {
            let _ = sequence.tx.send(CompletionEvent::Cancelled);
        }
        if let Some(index) = state.running.iter().position(|s| s.id == id) {
            let sequence = state.running.remove(index);
            state.reserved_tokens -= sequence.reserved_tokens;
            let _ = sequence.tx.send(CompletionEvent::Cancelled);
        }
        if let Some((reserved_tokens, _)) = state.held.remove(id) {
            state.reserved_tokens -= reserved_tokens;
        }
        drop(state);
        self.work_available.notify_one();
    }

    /// Returns the number of tokens that a request holds for export to other engines.
    pub fn held_tokens(&self, id: &str) -> Option<u64> {
        self.state.lock().held.get(id).map(|h| h.1)
    }

    /// Records that a request attends to KV memory of another engine.
    pub fn record_import(&self, id: &str, tokens: u64) {
        *self.state.lock().imported_tokens_by_id.entry(id.to_owned()).or_default() += tokens;
    }

    /// Returns the imported tokens by request ID.
    pub fn imported_tokens_by_id(&self) -> HashMap<String, u64> {
        self.state.lock().imported_tokens_by_id.clone()
    }

    /// Returns the last load report, which is up to [`LOAD_REPORT_INTERVAL`] old.
    pub fn reported_load(&self) -> EngineLoad {
        self.state.lock().load_report.clone()
    }

    /// Returns the current load, without the delay of the reports.
    pub fn current_load(&self) -> EngineLoad {
        let state = self.state.lock();
        let all = || state.waiting.values().chain(&state.running);
        EngineLoad {
            running: all().map(|s| &s.id).chain(state.held.keys()).cloned().collect(),
            kv_used: state.reserved_tokens,
            kv_capacity: self.cfg.kv_tokens,
            queued_prefill: all().map(|s| s.remaining_prefill).sum(),
            prefill_rate: self.cfg.prefill_rate * self.cfg.speed,
            models: state.models.clone(),
        }
    }

    fn update_load_report(&self) {
        let load_report = self.current_load();
        self.state.lock().load_report = load_report;
    }

    async fn run_load_reports(self: Arc<Self>) {
        loop {
            sleep(LOAD_REPORT_INTERVAL).await;
            self.update_load_report();
        }
    }

    /// Returns the cache events from a sequence number on that are old enough and not lost.
    pub fn events(&self, from: u64) -> Vec<CacheEvent> {
        let state = self.state.lock();
        let due_events =
            state.events.iter().filter(|(created_at, _)| created_at.elapsed() >= CACHE_EVENT_DELAY);
        let delivered = due_events
            .filter(|(_, e)| e.sequence >= from && e.sequence % CACHE_EVENT_LOSS_INTERVAL != 0);
        delivered.map(|(_, e)| e.clone()).collect()
    }

    /// Executes an order; returns false if its fencing number is stale.
    pub async fn order(&self, order: EngineOrder) -> bool {
        {
            let mut state = self.state.lock();
            if self.cfg.checks_orders && order.number < state.highest_order_number {
                return false;
            }
            state.highest_order_number = state.highest_order_number.max(order.number);
            if let Some(path) = &self.cfg.orders_file {
                append_order(path, &order);
            }
            state.accepted_orders.push(order.clone());
        }
        if order.kind == "load-model" {
            sleep(self.cfg.model_load_time.div_f64(self.cfg.speed)).await;
            let mut state = self.state.lock();
            if !state.models.contains(&order.argument) {
                state.models.push(order.argument);
            }
        }
        true
    }

    /// Returns all accepted orders, including those of earlier runs if there is an orders file.
    pub fn accepted_orders(&self) -> Vec<EngineOrder> {
        self.state.lock().accepted_orders.clone()
    }

    async fn run_steps(self: Arc<Self>) {
        let mut step_deadline = tokio::time::Instant::now();
        loop {
            let Some(prefill_by_id) = self.plan_step() else {
                self.work_available.notified().await;
                step_deadline = tokio::time::Instant::now();
                continue;
            };
            let step_prefill: u64 = prefill_by_id.values().sum();
            let step_seconds =
                self.cfg.step_time.as_secs_f64() + step_prefill as f64 / self.cfg.prefill_rate;
            step_deadline += Duration::from_secs_f64(step_seconds / self.cfg.speed);
            tokio::time::sleep_until(step_deadline).await;
            self.finish_step(&prefill_by_id);
        }
    }

    /// Admits waiting requests while their memory fits and assigns the prefill tokens of one step.
    ///
    /// Returns the prefill tokens by request ID, or `None` if there is nothing to run. Admission is
    /// strictly in queue order: a request that does not fit blocks those behind it.
    fn plan_step(&self) -> Option<HashMap<String, u64>> {
        let mut state = self.state.lock();
        while let Some((_, first)) = state.waiting.first_key_value() {
            if state.reserved_tokens + first.reserved_tokens > self.cfg.kv_tokens {
                break;
            }
            let Some((_, sequence)) = state.waiting.pop_first() else { break };
            state.reserved_tokens += sequence.reserved_tokens;
            state.running.push(sequence);
        }
        if state.running.is_empty() {
            return None;
        }
        state.running.sort_by_key(|s| s.queue_key);
        let mut remaining_tokens = self.cfg.max_prefill_tokens_per_step;
        let mut prefill_by_id = HashMap::new();
        for sequence in state.running.iter().filter(|s| s.remaining_prefill > 0) {
            let prefill_tokens = sequence.remaining_prefill.min(remaining_tokens);
            remaining_tokens -= prefill_tokens;
            if prefill_tokens > 0 {
                prefill_by_id.insert(sequence.id.clone(), prefill_tokens);
            }
        }
        Some(prefill_by_id)
    }

    /// Applies the results of a step: prefill progress, one token per running request, completions.
    fn finish_step(&self, prefill_by_id: &HashMap<String, u64>) {
        let mut state = self.state.lock();
        let mut finished_ids = Vec::new();
        let mut held = Vec::new();
        let mut prefilled_blocks = Vec::new();
        for sequence in &mut state.running {
            if sequence.remaining_prefill > 0 {
                let prefill_tokens = prefill_by_id.get(&sequence.id).copied().unwrap_or(0);
                sequence.remaining_prefill -= prefill_tokens.min(sequence.remaining_prefill);
                if sequence.remaining_prefill > 0 {
                    continue;
                }
                prefilled_blocks.extend(sequence.blocks.iter().copied());
            }
            if sequence.hold_after_prefill {
                let _ = sequence
                    .tx
                    .send(CompletionEvent::Finished { reason: "held", cached_tokens: 0 });
                held.push(sequence.id.clone());
                continue;
            }
            let token = format!("{}-{} ", sequence.token_prefix, sequence.next_token);
            sequence.next_token += 1;
            sequence.remaining_output -= 1;
            let _ = sequence.tx.send(CompletionEvent::Token(token));
            if sequence.remaining_output == 0 {
                let cached_tokens = sequence.cached_tokens;
                let _ =
                    sequence.tx.send(CompletionEvent::Finished { reason: "length", cached_tokens });
                finished_ids.push(sequence.id.clone());
            }
        }
        for id in held {
            let Some(index) = state.running.iter().position(|s| s.id == id) else { continue };
            let sequence = state.running.remove(index);
            state.held.insert(id, (sequence.reserved_tokens, sequence.reserved_tokens));
        }
        let freed: u64 = state
            .running
            .iter()
            .filter(|s| finished_ids.contains(&s.id))
            .map(|s| s.reserved_tokens)
            .sum();
        state.running.retain(|s| !finished_ids.contains(&s.id));
        state.reserved_tokens -= freed;
        self.cache_blocks(&mut state, prefilled_blocks);
    }

    /// Adds blocks to the prefix cache and evicts the oldest ones beyond its capacity.
    fn cache_blocks(&self, state: &mut State, blocks: Vec<u64>) {
        let cached_blocks: std::collections::HashSet<u64> = state.cache.iter().copied().collect();
        for block in blocks.into_iter().filter(|b| !cached_blocks.contains(b)) {
            state.cache.push_back(block);
            record_cache_event(state, block, true);
        }
        while state.cache.len() as u64 * BLOCK_TOKENS as u64 > self.cfg.cache_tokens {
            if let Some(block) = state.cache.pop_front() {
                record_cache_event(state, block, false);
            }
        }
    }
}

/// Reads the orders of earlier runs; a missing file or an invalid line counts as none.
fn load_orders(path: &Path) -> Vec<EngineOrder> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Appends an order to the file as a line of JSON.
fn append_order(path: &Path, order: &EngineOrder) {
    let line = serde_json::to_string(order).unwrap_or_default();
    let file = std::fs::File::options().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{line}");
    }
}

/// Appends a cache event; the oldest are dropped so that the list stays bounded.
fn record_cache_event(state: &mut State, block: u64, stored: bool) {
    state.last_event_sequence += 1;
    let event = CacheEvent { sequence: state.last_event_sequence, block, stored };
    state.events.push_back((Instant::now(), event));
    if state.events.len() > 10_000 {
        state.events.pop_front();
    }
}
