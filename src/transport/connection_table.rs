//! Tracks the state of each client connection, and evicts connections once the serving limit is reached: the
//! maximum number of connections whose requests are served.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum time from the acceptance of a connection to the first byte of its first request, and from the
/// first byte of a request to the end of its head. The platform requires that a client that never completes a
/// request head is disconnected within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Duration after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Duration after which a new connection can be evicted if its client has not sent a byte.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Duration from the first byte of a request head after which the connection can be evicted if the head is
/// still incomplete.
const MIN_HEAD_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// Duration after which an idle connection can be evicted.
const MIN_IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// The connection is open, and its client has not sent anything yet.
    AwaitingFirstByte,
    /// The head of a request has been received in part.
    ReadingHead,
    /// A request is in progress; its response has not been written completely.
    ServingRequest,
    /// A response has been written, and the next request has not begun.
    Idle,
    /// The connection is about to be closed; further input is discarded.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct SlotStatus {
    state: ConnectionState,
    since: Instant,
}

impl SlotStatus {
    fn starting_now(state: ConnectionState) -> Self {
        SlotStatus { state, since: Instant::now() }
    }
}

/// An entry of the connection table: the state of one connection.
pub(super) struct ConnectionSlot {
    id: u64,
    /// The status is in a mutex because response bodies contain a [`RequestGuard`] and must be `Send`,
    /// although all connections run on one thread.
    status: Mutex<SlotStatus>,
    /// Whether the connection has been admitted, so that all its further requests are served as well.
    admitted: AtomicBool,
    /// Notified when the connection is evicted.
    evicted: Notify,
}

/// A request whose head has just been received.
pub(super) struct StartedRequest {
    /// Time at which hyper read the first byte of the request. If bytes of the request arrived before the
    /// previous response ended (pipelining), it is the time of hyper's first read after that response. If
    /// hyper had already read the complete head by then, it is the time at which the processing of the
    /// request started.
    pub(super) started_at: Instant,
    /// Marks the request as in progress; must be dropped only once the response has been written.
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
        *self.status() = SlotStatus::starting_now(state);
    }

    /// Records that bytes have been received from the client.
    pub(super) fn record_received_bytes(&self) {
        if matches!(self.state(), ConnectionState::AwaitingFirstByte | ConnectionState::Idle) {
            self.set_state(ConnectionState::ReadingHead);
        }
    }

    /// Records that the head of a request is complete and the request is now in progress.
    pub(super) fn start_request(self: &Arc<Self>) -> StartedRequest {
        let previous = *self.status();
        self.set_state(ConnectionState::ServingRequest);
        let started_at = match previous.state {
            ConnectionState::ReadingHead => previous.since,
            _ => Instant::now(),
        };
        StartedRequest { started_at, guard: RequestGuard(self.clone()) }
    }

    /// Returns whether the head of a request has been received in part.
    pub(super) fn is_reading_head(&self) -> bool {
        self.state() == ConnectionState::ReadingHead
    }

    /// Returns whether a request is in progress.
    pub(super) fn is_serving_request(&self) -> bool {
        self.state() == ConnectionState::ServingRequest
    }

    /// Records that the connection is about to be closed. It no longer counts towards the serving limit.
    pub(super) fn start_closing(&self) {
        self.set_state(ConnectionState::Closing);
    }

    fn evict(&self) {
        self.start_closing();
        self.evicted.notify_one();
    }

    /// Resolves once the connection must be closed, because its client has taken too long or because it has
    /// been evicted.
    pub(super) async fn must_close(&self) {
        loop {
            let SlotStatus { state, since } = *self.status();
            let deadline = match state {
                ConnectionState::AwaitingFirstByte | ConnectionState::ReadingHead => since + HEAD_TIMEOUT,
                ConnectionState::Idle => since + IDLE_TIMEOUT,
                // A request has its own deadline. This is only the time of the next check.
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

/// Keeps a connection in the state of serving a request until the guard is dropped.
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
    /// The serving limit: the maximum number of connections whose requests are served. The table may contain
    /// more connections.
    max_served: usize,
    next_id: Cell<u64>,
    slots: RefCell<Vec<Arc<ConnectionSlot>>>,
}

impl ConnectionTable {
    /// Creates an empty table with the serving limit `max_served`.
    pub(super) fn new(max_served: usize) -> Self {
        ConnectionTable { max_served, next_id: Cell::new(0), slots: RefCell::default() }
    }

    /// Adds a new connection to the table, even if the serving limit has been reached.
    pub(super) fn insert(&self) -> Arc<ConnectionSlot> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let slot = Arc::new(ConnectionSlot {
            id,
            status: Mutex::new(SlotStatus::starting_now(ConnectionState::AwaitingFirstByte)),
            admitted: AtomicBool::new(false),
            evicted: Notify::new(),
        });
        self.slots.borrow_mut().push(slot.clone());
        slot
    }

    /// Removes a closed connection from the table.
    pub(super) fn remove(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().retain(|other| other.id != slot.id);
    }

    /// Admits the connection if the number of open connections is within the serving limit. Returns whether
    /// the connection is admitted, now or by an earlier call, so that its requests are served.
    pub(super) fn try_admit(&self, slot: &ConnectionSlot) -> bool {
        if self.open_count() <= self.max_served {
            slot.admitted.store(true, Ordering::Relaxed);
        }
        slot.admitted.load(Ordering::Relaxed)
    }

    /// Returns whether one more connection would exceed the serving limit.
    pub(super) fn is_serving_limit_reached(&self) -> bool {
        self.open_count() >= self.max_served
    }

    /// Returns the number of connections that are not closing.
    fn open_count(&self) -> usize {
        self.slots.borrow().iter().filter(|slot| slot.state() != ConnectionState::Closing).count()
    }

    /// Evicts connections if the serving limit is reached.
    ///
    /// First evicts every connection that was accepted at least [`MIN_SILENCE_BEFORE_EVICTION`] ago and has
    /// not received a byte, and every connection whose request head has been incomplete for at least
    /// [`MIN_HEAD_TIME_BEFORE_EVICTION`]. If the serving limit still does not allow one more connection,
    /// evicts the longest idle connections until it does, except those that have been idle for less than
    /// [`MIN_IDLE_TIME_BEFORE_EVICTION`].
    pub(super) fn evict_stale(&self) {
        if !self.is_serving_limit_reached() {
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
        let excess = (self.open_count() + 1).saturating_sub(self.max_served);
        idle.into_iter().take(excess).for_each(|(_, slot)| slot.evict());
    }
}
