//! Budget of the bytes that an entry holds for bodies and answers.
//!
//! Each kind has a share of its own, so that no kind can take the room that requests of another kind
//! need to end. What finds no room waits, first come first served within its kind.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Memory of the process that is not bodies and answers, in bytes: code, configuration, buffers of
/// connections and what the allocator keeps.
const PROCESS_RESERVE_BYTES: u64 = 64_000_000;

/// Minimum size of the budget in bytes; one body and one answer of the default maximum size then fit
/// into their shares.
const MIN_BUDGET_BYTES: u64 = 24 * 1024 * 1024;

/// Size up to which a body or an answer counts as one of the usual size, in bytes. Larger ones have
/// shares of their own, so that they neither refuse nor delay those of the usual size.
pub const MAX_USUAL_BYTES: usize = 256 * 1024;

/// Maximum number of bodies that wait for room. Answers and streams are not limited, because their
/// requests were admitted.
const MAX_WAITING_BODIES: usize = 256;

const KIND_COUNT: usize = HeldKind::ALL.len();

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeldKind {
    /// Body of a request, of at most [`MAX_USUAL_BYTES`].
    Body,
    /// Larger body of a request.
    LargeBody,
    /// Answer of at most [`MAX_USUAL_BYTES`] that is collected before it is passed on.
    Answer,
    /// Larger answer that is collected.
    LargeAnswer,
    /// Events of a stream on their way to a caller.
    Stream,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::Body, Self::LargeBody, Self::Answer, Self::LargeAnswer, Self::Stream];

    /// Kind of a body with this size.
    pub fn of_body(bytes: usize) -> Self {
        if bytes <= MAX_USUAL_BYTES { Self::Body } else { Self::LargeBody }
    }

    /// Kind of an answer with this size.
    pub fn of_answer(bytes: usize) -> Self {
        if bytes <= MAX_USUAL_BYTES { Self::Answer } else { Self::LargeAnswer }
    }

    /// Label in metrics and in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::LargeBody => "large-body",
            Self::Answer => "answer",
            Self::LargeAnswer => "large-answer",
            Self::Stream => "stream",
        }
    }

    /// Share of the budget, in twelfths. Answers need the least, because those without room are passed
    /// on as they arrive; a body without room is refused.
    fn share_twelfths(self) -> u64 {
        match self {
            Self::Answer => 1,
            Self::Body | Self::LargeAnswer | Self::Stream => 2,
            Self::LargeBody => 5,
        }
    }

    fn max_waiting(self) -> usize {
        match self {
            Self::Body | Self::LargeBody => MAX_WAITING_BODIES,
            Self::Answer | Self::LargeAnswer | Self::Stream => usize::MAX,
        }
    }
}

/// Size of the budget of a process that may use this much memory, in bytes.
///
/// ```
/// use bitternlead::gateway::memory_budget::budget_bytes;
///
/// assert_eq!(budget_bytes(160_000_000), 96_000_000);
/// assert_eq!(budget_bytes(50_000_000), 24 * 1024 * 1024, "never less than this");
/// ```
pub fn budget_bytes(memory_limit: u64) -> u64 {
    memory_limit.saturating_sub(PROCESS_RESERVE_BYTES).max(MIN_BUDGET_BYTES)
}

/// Identity of a charge that waits for room.
pub type WaiterId = u64;

/// Bytes held and charges that wait for one kind.
#[derive(Clone, Debug, Default)]
struct Share {
    held: u64,
    waiting: VecDeque<(WaiterId, u64)>,
}

/// State of the budget, without I/O.
///
/// ```
/// use bitternlead::gateway::memory_budget::{BudgetState, HeldKind};
///
/// let mut budget = BudgetState::new(Some(1200));
/// assert!(budget.try_charge(HeldKind::Answer, 90));
/// assert!(!budget.try_charge(HeldKind::Answer, 20), "its share is a twelfth");
/// let waiter = budget.enqueue(HeldKind::Answer, 20).unwrap();
/// assert_eq!(budget.release(HeldKind::Answer, 90), [waiter]);
/// assert_eq!(budget.held(HeldKind::Answer), 20);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BudgetState {
    budget: Option<u64>,
    shares: [Share; KIND_COUNT],
    last_id: WaiterId,
}

impl BudgetState {
    /// Builds an empty budget of this size in bytes; `None` for one that only counts.
    pub fn new(budget: Option<u64>) -> Self {
        Self { budget, ..Self::default() }
    }

    /// Bytes held of one kind.
    pub fn held(&self, kind: HeldKind) -> u64 {
        self.shares[kind as usize].held
    }

    /// Number of charges of one kind that wait.
    pub fn waiting_count(&self, kind: HeldKind) -> usize {
        self.shares[kind as usize].waiting.len()
    }

    /// Charges bytes if there is room and no earlier charge of the kind waits.
    pub fn try_charge(&mut self, kind: HeldKind, bytes: u64) -> bool {
        let granted = self.shares[kind as usize].waiting.is_empty() && self.has_room(kind, bytes);
        if granted {
            self.shares[kind as usize].held += bytes;
        }
        granted
    }

    /// Adds a charge to those that wait; `None` if too many do.
    pub fn enqueue(&mut self, kind: HeldKind, bytes: u64) -> Option<WaiterId> {
        if self.waiting_count(kind) >= kind.max_waiting() {
            return None;
        }
        self.last_id += 1;
        self.shares[kind as usize].waiting.push_back((self.last_id, bytes));
        Some(self.last_id)
    }

    /// Gives bytes back and returns the waiting charges that are granted by that, in their order.
    pub fn release(&mut self, kind: HeldKind, bytes: u64) -> Vec<WaiterId> {
        let share = &mut self.shares[kind as usize];
        share.held = share.held.saturating_sub(bytes);
        self.grant_waiting(kind)
    }

    /// Removes a charge that waits and returns those that are granted by that; `None` if it does not
    /// wait, because it was granted.
    pub fn cancel(&mut self, kind: HeldKind, id: WaiterId) -> Option<Vec<WaiterId>> {
        let waiting = &mut self.shares[kind as usize].waiting;
        let position = waiting.iter().position(|(waiter, _)| *waiter == id)?;
        waiting.remove(position);
        Some(self.grant_waiting(kind))
    }

    fn grant_waiting(&mut self, kind: HeldKind) -> Vec<WaiterId> {
        let mut granted = Vec::new();
        while let Some((id, bytes)) = self.shares[kind as usize].waiting.front().copied() {
            if !self.has_room(kind, bytes) {
                break;
            }
            let share = &mut self.shares[kind as usize];
            share.waiting.pop_front();
            share.held += bytes;
            granted.push(id);
        }
        granted
    }

    /// Whether bytes fit beside those that are held. More than a whole share fits on its own, so that
    /// no permitted size can never pass.
    fn has_room(&self, kind: HeldKind, bytes: u64) -> bool {
        let held = self.held(kind);
        let share = self.budget.map(|budget| budget * kind.share_twelfths() / 12);
        share.is_none_or(|share| held == 0 || held + bytes <= share)
    }
}

/// There is no room in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Debug, Default)]
struct Inner {
    state: BudgetState,
    grants: HashMap<WaiterId, oneshot::Sender<()>>,
}

impl Inner {
    fn notify(&mut self, granted: Vec<WaiterId>) {
        for id in granted {
            if let Some(grant) = self.grants.remove(&id) {
                // A receiver that is gone gives its bytes back when its `Waiting` is dropped.
                let _ = grant.send(());
            }
        }
    }
}

/// Budget that all requests of an entry share.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    inner: Mutex<Inner>,
}

impl MemoryBudget {
    /// Builds an empty budget of this size in bytes; `None` for one that only counts.
    pub fn new(budget: Option<u64>) -> Self {
        let state = BudgetState::new(budget);
        Self { inner: Mutex::new(Inner { state, ..Inner::default() }) }
    }

    /// Whether the budget has a bound.
    pub fn is_bounded(&self) -> bool {
        self.inner.lock().state.budget.is_some()
    }

    /// Bytes held of one kind.
    pub fn held(&self, kind: HeldKind) -> u64 {
        self.inner.lock().state.held(kind)
    }

    /// Charges bytes, after a wait of at most `limit` if there is no room.
    ///
    /// # Errors
    /// There was no room within `limit`, or too many charges wait.
    pub async fn charge(
        self: &Arc<Self>,
        kind: HeldKind,
        bytes: usize,
        limit: Duration,
    ) -> Result<Charge, NoRoom> {
        let bytes = bytes as u64;
        let (mut waiting, granted) = {
            let mut inner = self.inner.lock();
            if inner.state.try_charge(kind, bytes) {
                return Ok(Charge { budget: Arc::clone(self), kind, bytes });
            }
            let id = inner.state.enqueue(kind, bytes).ok_or(NoRoom)?;
            let (tx, rx) = oneshot::channel();
            inner.grants.insert(id, tx);
            (Waiting { budget: self, kind, bytes, id, is_taken: false }, rx)
        };
        match timeout(limit, granted).await {
            Ok(Ok(())) => {
                waiting.is_taken = true;
                Ok(Charge { budget: Arc::clone(self), kind, bytes })
            }
            _ => Err(NoRoom),
        }
    }

    fn release(&self, kind: HeldKind, bytes: u64) {
        let mut inner = self.inner.lock();
        let granted = inner.state.release(kind, bytes);
        inner.notify(granted);
    }
}

/// A charge that waits; dropping it leaves the queue, or gives back what was granted meanwhile.
struct Waiting<'a> {
    budget: &'a MemoryBudget,
    kind: HeldKind,
    bytes: u64,
    id: WaiterId,
    is_taken: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let mut inner = self.budget.inner.lock();
        inner.grants.remove(&self.id);
        let granted = match inner.state.cancel(self.kind, self.id) {
            Some(granted) => granted,
            None => inner.state.release(self.kind, self.bytes),
        };
        inner.notify(granted);
    }
}

/// Bytes charged to the budget, given back when dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<MemoryBudget>,
    kind: HeldKind,
    bytes: u64,
}

impl Charge {
    /// Bytes that are charged.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Charges further bytes, after a wait of at most `limit` if there is no room.
    ///
    /// # Errors
    /// There was no room within `limit`, or too many charges wait; the charge stays as it was.
    pub async fn grow(&mut self, bytes: usize, limit: Duration) -> Result<(), NoRoom> {
        let mut more = self.budget.charge(self.kind, bytes, limit).await?;
        self.bytes += std::mem::take(&mut more.bytes);
        Ok(())
    }

    /// Gives back all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes as u64);
        self.bytes -= surplus;
        self.budget.release(self.kind, surplus);
    }

    /// Ties the charge to the bytes that it is for: it ends when the last copy of them is dropped,
    /// which for an answer is when they were written to the connection.
    pub fn hold(self, data: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldBytes { data, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(self.kind, self.bytes);
        }
    }
}

struct HeldBytes<T> {
    data: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
