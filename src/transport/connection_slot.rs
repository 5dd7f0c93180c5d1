//! The state of one client connection, and the timeouts that depend on it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum time from the acceptance of a connection to the first byte of its first request, and from the
/// first byte of a request to the end of its head. The platform requires that a client that never completes a
/// request head is disconnected within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Maximum time from the acceptance of a connection to its first byte that is not deducted from the time for
/// its first request. The platform requires that a client that stops within its first request receives an
/// error or is disconnected within 3 s of connecting, however long it was silent before.
const MAX_INITIAL_SILENCE: Duration = Duration::from_millis(200);
/// Maximum time in which a request whose body has been abandoned is rejected. The connection is then closed.
const ABANDONED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Duration after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The part of its life cycle that a client connection has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection is open, and its client has not sent anything yet.
    AwaitingFirstByte,
    /// The head of a request has been received in part.
    ReadingHead,
    /// The head of a request has been received, and its body in part.
    ReadingBody,
    /// The rest of the body is no longer awaited, because the connection is needed. The request is about to
    /// be rejected.
    AbandonedBody,
    /// A request is in progress; its response has not been written completely.
    ServingRequest,
    /// A response has been written, and the next request has not begun.
    Idle,
    /// The last response has been written. Until the connection is closed, further input is discarded.
    Lingering,
    /// The connection has been evicted and is about to be closed.
    Evicted,
}

/// The state of a connection and the time at which this state began.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotStatus {
    pub(super) state: ConnectionState,
    pub(super) since: Instant,
    /// The time at which bytes of a request were last received, or at which the state began if that is later.
    pub(super) last_progress_at: Instant,
}

impl SlotStatus {
    fn starting_now(state: ConnectionState) -> Self {
        SlotStatus::starting_at(state, Instant::now())
    }

    fn starting_at(state: ConnectionState, since: Instant) -> Self {
        SlotStatus { state, since, last_progress_at: since }
    }

    /// Returns whether the connection has been in `state` for at least `duration` at the time `now`.
    pub(super) fn has_been(self, state: ConnectionState, duration: Duration, now: Instant) -> bool {
        self.state == state && now.saturating_duration_since(self.since) >= duration
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
    /// Whether the connection has been evicted. Its state is then [`ConnectionState::Evicted`], until it
    /// enters another state or the eviction is revoked.
    evicted: AtomicBool,
    /// Whether the bytes received so far end within the head of a request.
    has_partial_head: AtomicBool,
    /// Notified when the connection may have to be closed earlier than its previous state required.
    changed: Notify,
    /// Notified when the body of the request in progress is abandoned.
    body_abandoned: Notify,
}

/// A request whose head has just been received.
pub(super) struct StartedRequest {
    /// See [`RequestContext::started_at`](super::RequestContext::started_at).
    pub(super) started_at: Instant,
    /// Marks the request as in progress; must be dropped only once the response has been written.
    pub(super) guard: RequestGuard,
}

impl ConnectionSlot {
    /// Creates the slot of a connection that has just been accepted. `id` must be unique in its table.
    pub(super) fn new(id: u64) -> Self {
        ConnectionSlot {
            id,
            status: Mutex::new(SlotStatus::starting_now(ConnectionState::AwaitingFirstByte)),
            admitted: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            has_partial_head: AtomicBool::new(false),
            changed: Notify::new(),
            body_abandoned: Notify::new(),
        }
    }

    /// Returns the id of the connection.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Admits the connection: all its further requests are served.
    pub(super) fn admit(&self) {
        self.admitted.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection has been admitted.
    pub(super) fn is_admitted(&self) -> bool {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Returns the connection's state and when it began.
    pub(super) fn status(&self) -> SlotStatus {
        let status = *self.lock_status();
        if self.evicted.load(Ordering::Relaxed) {
            SlotStatus { state: ConnectionState::Evicted, ..status }
        } else {
            status
        }
    }

    fn lock_status(&self) -> MutexGuard<'_, SlotStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection's state.
    pub(super) fn state(&self) -> ConnectionState {
        self.status().state
    }

    fn set_state(&self, state: ConnectionState) {
        *self.lock_status() = SlotStatus::starting_now(state);
        self.evicted.store(false, Ordering::Relaxed);
    }

    /// Records that bytes have been received from the client. `has_partial_head` states whether the bytes
    /// received so far end within the head of a request.
    pub(super) fn record_received_bytes(&self, has_partial_head: bool) {
        self.has_partial_head.store(has_partial_head, Ordering::Relaxed);
        let SlotStatus { state, since, .. } = self.status();
        let now = Instant::now();
        match state {
            ConnectionState::AwaitingFirstByte => self.start_head(now.min(since + MAX_INITIAL_SILENCE)),
            ConnectionState::Idle => self.start_head(now),
            ConnectionState::ReadingHead | ConnectionState::ReadingBody => {
                self.lock_status().last_progress_at = now;
            }
            ConnectionState::AbandonedBody
            | ConnectionState::ServingRequest
            | ConnectionState::Lingering
            | ConnectionState::Evicted => {}
        }
    }

    fn start_head(&self, since: Instant) {
        *self.lock_status() = SlotStatus::starting_at(ConnectionState::ReadingHead, since);
        self.changed.notify_one();
    }

    /// Records that the response to the request in progress has been written.
    fn end_request(&self) {
        let is_reading_next_head = self.has_partial_head.load(Ordering::Relaxed);
        self.set_state(match is_reading_next_head {
            true => ConnectionState::ReadingHead,
            false => ConnectionState::Idle,
        });
    }

    /// Records that the head of a request is complete and the request is now in progress. `has_body` states
    /// whether a body follows.
    pub(super) fn start_request(self: &Arc<Self>, has_body: bool) -> StartedRequest {
        let previous = self.status();
        self.set_state(match has_body {
            true => ConnectionState::ReadingBody,
            false => ConnectionState::ServingRequest,
        });
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
        matches!(
            self.state(),
            ConnectionState::ReadingBody | ConnectionState::AbandonedBody | ConnectionState::ServingRequest
        )
    }

    /// Records that the body of the request in progress has been received completely.
    fn end_body(&self) {
        if matches!(self.state(), ConnectionState::ReadingBody | ConnectionState::AbandonedBody) {
            self.set_state(ConnectionState::ServingRequest);
        }
    }

    /// Resolves once the body of the request in progress has been abandoned.
    async fn body_abandoned(&self) {
        while self.state() != ConnectionState::AbandonedBody {
            self.body_abandoned.notified().await;
        }
    }

    /// Records that the last response has been written. The connection no longer counts towards the serving
    /// limit.
    pub(super) fn start_lingering(&self) {
        self.set_state(ConnectionState::Lingering);
    }

    /// Causes [`must_close`](Self::must_close) and [`evicted`](Self::evicted) to resolve, unless a request is
    /// in progress by then. If the body of a request is being received, abandons it instead.
    pub(super) fn evict(&self) {
        if self.state() == ConnectionState::ReadingBody {
            self.set_state(ConnectionState::AbandonedBody);
            self.body_abandoned.notify_one();
        } else {
            self.evicted.store(true, Ordering::Relaxed);
        }
        self.changed.notify_one();
    }

    /// Returns the connection to the state that it had before it was evicted. Returns whether it had been
    /// evicted.
    pub(super) fn revoke_eviction(&self) -> bool {
        self.evicted.swap(false, Ordering::Relaxed)
    }

    /// Resolves once the connection has been evicted.
    pub(super) async fn evicted(&self) {
        while self.state() != ConnectionState::Evicted {
            self.changed.notified().await;
        }
    }

    /// Resolves once the connection must be closed, because its client has taken too long or because it has
    /// been evicted.
    pub(super) async fn must_close(&self) {
        loop {
            let SlotStatus { state, since, .. } = self.status();
            let deadline = match state {
                ConnectionState::AwaitingFirstByte | ConnectionState::ReadingHead => since + HEAD_TIMEOUT,
                ConnectionState::Idle => since + IDLE_TIMEOUT,
                ConnectionState::AbandonedBody => since + ABANDONED_BODY_TIMEOUT,
                // A request has its own deadline. This is only the time of the next check.
                ConnectionState::ReadingBody | ConnectionState::ServingRequest => {
                    Instant::now() + HEAD_TIMEOUT
                }
                ConnectionState::Lingering | ConnectionState::Evicted => return,
            };
            if deadline <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// The reception of the body of a request in progress.
#[derive(Clone)]
pub struct BodyReception(Arc<ConnectionSlot>);

impl BodyReception {
    pub(super) fn new(slot: Arc<ConnectionSlot>) -> Self {
        BodyReception(slot)
    }

    /// Records that the body has been received completely. Until then, the connection may be taken from a
    /// client that stops sending.
    pub fn complete(&self) {
        self.0.end_body();
    }

    /// Resolves once the connection is needed for other clients. The request must then be rejected at once.
    pub async fn abandoned(&self) {
        self.0.body_abandoned().await;
    }
}

/// Keeps a connection in the state of serving a request until the guard is dropped.
pub(super) struct RequestGuard(Arc<ConnectionSlot>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.is_serving_request() {
            self.0.end_request();
        }
    }
}
