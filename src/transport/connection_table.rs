//! What the connection of each client is doing, and which are evicted when descriptors are short.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a client may take over the head of a request, from its connection or its first byte. The platform
/// requires that a client which never ends its head is disconnected within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// An idle connection is closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// When the table is full, a connection may be evicted once its client has sent nothing for this long.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// When the table is full, a connection may be evicted once its client has been sending a head for this long.
const MIN_HEAD_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// When the table is full, a connection may be evicted once it has been idle for this long.
const MIN_IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing has come yet.
    AwaitingFirstByte,
    /// A head has begun.
    ReadingHead,
    /// A request is in progress, until its response is written.
    ServingRequest,
    /// Between requests.
    Idle,
    /// To be closed; whatever is still read on it is discarded.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct SlotStatus {
    state: ConnectionState,
    since: Instant,
}

impl SlotStatus {
    fn now(state: ConnectionState) -> Self {
        SlotStatus { state, since: Instant::now() }
    }
}

/// The place of one connection in the table.
pub(super) struct ConnectionSlot {
    id: u64,
    /// Behind a mutex because bodies of responses, which hold a [`RequestGuard`], must be `Send`, though
    /// there is only one thread.
    status: Mutex<SlotStatus>,
    admitted: AtomicBool,
    evicted: Notify,
}

/// A request that has just begun on a connection.
pub(super) struct StartedRequest {
    /// When its first byte came.
    pub(super) started_at: Instant,
    /// To be held until its response is written.
    pub(super) guard: RequestGuard,
}

impl ConnectionSlot {
    fn status(&self) -> MutexGuard<'_, SlotStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> ConnectionState {
        self.status().state
    }

    fn set_state(&self, state: ConnectionState) {
        *self.status() = SlotStatus::now(state);
    }

    /// Records that bytes have come from the client.
    pub(super) fn record_received_bytes(&self) {
        if matches!(self.state(), ConnectionState::AwaitingFirstByte | ConnectionState::Idle) {
            self.set_state(ConnectionState::ReadingHead);
        }
    }

    /// Records that the head of a request is complete.
    pub(super) fn start_request(self: &Arc<Self>) -> StartedRequest {
        let previous = *self.status();
        self.set_state(ConnectionState::ServingRequest);
        let started_at = match previous.state {
            ConnectionState::ReadingHead => previous.since,
            _ => Instant::now(),
        };
        StartedRequest { started_at, guard: RequestGuard(self.clone()) }
    }

    /// Whether a request has begun to come.
    pub(super) fn is_reading_head(&self) -> bool {
        self.state() == ConnectionState::ReadingHead
    }

    /// Whether a request is in progress.
    pub(super) fn is_serving_request(&self) -> bool {
        self.state() == ConnectionState::ServingRequest
    }

    /// Records that the connection is about to be closed: it no longer counts.
    pub(super) fn start_closing(&self) {
        self.set_state(ConnectionState::Closing);
    }

    fn evict(&self) {
        self.start_closing();
        self.evicted.notify_one();
    }

    /// Resolves once the connection is to be closed: its client has taken too long, or it has been evicted.
    pub(super) async fn expired(&self) {
        loop {
            let SlotStatus { state, since } = *self.status();
            let deadline = match state {
                ConnectionState::AwaitingFirstByte | ConnectionState::ReadingHead => since + HEAD_TIMEOUT,
                ConnectionState::Idle => since + IDLE_TIMEOUT,
                // A request has its own deadline; this is when to look again.
                ConnectionState::ServingRequest => Instant::now() + HEAD_TIMEOUT,
                ConnectionState::Closing => return,
            };
            if deadline <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => {}
                () = self.evicted.notified() => {}
            }
        }
    }
}

/// Marks a connection as serving a request until it is dropped.
pub(super) struct RequestGuard(Arc<ConnectionSlot>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.is_serving_request() {
            self.0.set_state(ConnectionState::Idle);
        }
    }
}

/// The connections of one listener.
pub(super) struct ConnectionTable {
    /// How many connections are served.
    capacity: usize,
    next_id: Cell<u64>,
    slots: RefCell<Vec<Arc<ConnectionSlot>>>,
}

impl ConnectionTable {
    /// A table that serves at most `capacity` connections.
    pub(super) fn new(capacity: usize) -> Self {
        ConnectionTable { capacity, next_id: Cell::new(0), slots: RefCell::default() }
    }

    /// Adds a new connection.
    pub(super) fn insert(&self) -> Arc<ConnectionSlot> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let slot = Arc::new(ConnectionSlot {
            id,
            status: Mutex::new(SlotStatus::now(ConnectionState::AwaitingFirstByte)),
            admitted: AtomicBool::new(false),
            evicted: Notify::new(),
        });
        self.slots.borrow_mut().push(slot.clone());
        slot
    }

    /// Removes a connection that is closed.
    pub(super) fn remove(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().retain(|other| other.id != slot.id);
    }

    /// Whether a request on this connection is served. A connection that was admitted once stays admitted.
    pub(super) fn admits(&self, slot: &ConnectionSlot) -> bool {
        if self.open_count() <= self.capacity {
            slot.admitted.store(true, Ordering::Relaxed);
        }
        slot.admitted.load(Ordering::Relaxed)
    }

    /// Whether one more connection would exceed the capacity.
    pub(super) fn is_full(&self) -> bool {
        self.open_count() >= self.capacity
    }

    /// How many connections are not closing.
    fn open_count(&self) -> usize {
        self.slots.borrow().iter().filter(|slot| slot.state() != ConnectionState::Closing).count()
    }

    /// If the table is full, evicts every connection that has stayed silent, and every one that has been
    /// sending a head, for longer than the limits above; then, while there is no capacity for one more, those
    /// that have been idle longest.
    pub(super) fn evict_stale(&self) {
        if !self.is_full() {
            return;
        }
        let slots = self.slots.borrow();
        let mut idle = Vec::new();
        for slot in slots.iter() {
            let SlotStatus { state, since } = *slot.status();
            let elapsed = since.elapsed();
            match state {
                ConnectionState::AwaitingFirstByte if elapsed >= MIN_SILENCE_BEFORE_EVICTION => slot.evict(),
                ConnectionState::ReadingHead if elapsed >= MIN_HEAD_TIME_BEFORE_EVICTION => slot.evict(),
                ConnectionState::Idle if elapsed >= MIN_IDLE_TIME_BEFORE_EVICTION => idle.push((since, slot)),
                _ => {}
            }
        }
        idle.sort_by_key(|(since, _)| *since);
        let excess = (self.open_count() + 1).saturating_sub(self.capacity);
        idle.into_iter().take(excess).for_each(|(_, slot)| slot.evict());
    }
}
