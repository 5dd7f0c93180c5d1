//! The client connections of a listener, and their eviction once a connection limit is reached.

use super::connection_slot::{ConnectionSlot, ConnectionState, SlotStatus};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Duration after which a new connection can be evicted if its client has not sent a byte.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Duration from the first byte of a request head after which the connection can be evicted if the head is
/// still incomplete.
const MIN_HEAD_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// Duration without a further byte after which a connection with an incomplete request can be evicted, if the
/// connections that can be evicted otherwise do not suffice.
const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Like [`MIN_STALL_BEFORE_EVICTION`], but measured from the first byte of the head, for clients that
/// keep sending parts of it.
const MIN_SLOW_TIME_BEFORE_EVICTION: Duration = Duration::from_millis(250);
/// Duration after which an idle connection can be evicted.
const MIN_IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// Duration after which a lingering connection can be evicted. Until then, its client can still read the last
/// response, which a close with unread input would discard.
const MIN_LINGER_TIME_BEFORE_EVICTION: Duration = Duration::from_millis(100);

/// Maximum numbers of open connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The serving limit: requests are served as long as no more connections than this are open, not counting
    /// lingering ones. A connection that has been admitted once is served until it is closed.
    pub max_served: usize,
    /// Maximum number of additional connections, whose requests are rejected because of overload.
    pub max_rejected: usize,
}

impl ConnectionLimits {
    /// Returns the maximum number of connections of any kind. Further connections are not accepted.
    pub(super) fn max_open(self) -> usize {
        self.max_served + self.max_rejected
    }
}

/// The connections of one listener.
pub(super) struct ConnectionTable {
    limits: ConnectionLimits,
    next_id: Cell<u64>,
    slots: RefCell<Vec<Arc<ConnectionSlot>>>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub(super) fn new(limits: ConnectionLimits) -> Self {
        ConnectionTable { limits, next_id: Cell::new(0), slots: RefCell::default() }
    }

    /// Adds a new connection to the table, even if a limit has been reached.
    pub(super) fn insert(&self) -> Arc<ConnectionSlot> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let slot = Arc::new(ConnectionSlot::new(id));
        self.slots.borrow_mut().push(slot.clone());
        slot
    }

    /// Removes a closed connection from the table.
    pub(super) fn remove(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().retain(|other| other.id() != slot.id());
    }

    /// Admits the connection if the number of serving connections is within the serving limit, or can be
    /// brought within it by giving up requests that have stalled. Returns
    /// whether the connection is admitted, now or by an earlier call, so that its requests are served.
    pub(super) fn try_admit(&self, slot: &ConnectionSlot) -> bool {
        if !slot.is_admitted() {
            let excess = self.serving_count().saturating_sub(self.limits.max_served);
            self.evict_stalled_requests(excess, Instant::now());
        }
        if self.serving_count() <= self.limits.max_served {
            slot.admit();
        }
        slot.is_admitted()
    }

    /// Returns whether one more connection would exceed a limit, so that its requests would be rejected or it
    /// would not be accepted.
    pub(super) fn is_limit_reached(&self) -> bool {
        self.is_serving_limit_reached() || self.slots.borrow().len() >= self.limits.max_open()
    }

    fn is_serving_limit_reached(&self) -> bool {
        self.serving_count() >= self.limits.max_served
    }

    /// Returns whether no more connections can be accepted, even once the evicted ones are closed.
    fn is_full_after_evictions(&self) -> bool {
        self.slots.borrow().len() >= self.limits.max_open()
            && self.count(|state| !is_leaving(state)) >= self.limits.max_open()
    }

    /// Returns the number of connections that have served a request, or may still do so.
    fn serving_count(&self) -> usize {
        self.count(|state| state != ConnectionState::Lingering && !is_leaving(state))
    }

    fn count(&self, matches: impl Fn(ConnectionState) -> bool) -> usize {
        self.slots.borrow().iter().filter(|slot| matches(slot.state())).count()
    }

    /// Evicts connections if a limit is reached.
    ///
    /// If no more connections can be accepted, first evicts every connection that has lingered for at least
    /// [`MIN_LINGER_TIME_BEFORE_EVICTION`]: its client has its response, and only keeps sending.
    ///
    /// If that does not suffice, or if the serving limit is reached, evicts every connection that was
    /// accepted at least [`MIN_SILENCE_BEFORE_EVICTION`] ago and has not received a byte, and every
    /// connection whose request head has been incomplete for at least [`MIN_HEAD_TIME_BEFORE_EVICTION`]. If
    /// the serving limit still does not allow one more connection, evicts the longest idle connections until
    /// it does, except those that have been idle for less than [`MIN_IDLE_TIME_BEFORE_EVICTION`]. If no more
    /// connections can be accepted even then, evicts connections whose request has stalled, at most half of
    /// all.
    pub(super) fn evict_stale(&self) {
        if !self.is_limit_reached() {
            return;
        }
        let now = Instant::now();
        if self.is_full_after_evictions() {
            self.evict_where(|status| {
                status.has_been(ConnectionState::Lingering, MIN_LINGER_TIME_BEFORE_EVICTION, now)
            });
        }
        if self.is_serving_limit_reached() || self.is_full_after_evictions() {
            self.evict_where(|status| {
                status.has_been(ConnectionState::AwaitingFirstByte, MIN_SILENCE_BEFORE_EVICTION, now)
                    || status.has_been(ConnectionState::ReadingHead, MIN_HEAD_TIME_BEFORE_EVICTION, now)
            });
            self.evict_longest_idle(now);
        }
        if self.is_full_after_evictions() {
            self.evict_stalled_requests(self.limits.max_open().div_ceil(2), now);
        }
    }

    /// Evicts at most `count` connections with an incomplete request that has stalled for at least
    /// [`MIN_STALL_BEFORE_EVICTION`], or that began at least [`MIN_SLOW_TIME_BEFORE_EVICTION`] ago. Those
    /// whose last byte is the oldest are evicted first. Requests with an incomplete body are rejected.
    ///
    /// Otherwise, other clients would wait, or be rejected, for as long as incomplete requests last.
    fn evict_stalled_requests(&self, count: usize, now: Instant) {
        self.evict_longest(
            count,
            |status| {
                let stalled_for = now.saturating_duration_since(status.last_progress_at);
                let slow = MIN_SLOW_TIME_BEFORE_EVICTION;
                matches!(status.state, ConnectionState::ReadingHead | ConnectionState::ReadingBody)
                    && (stalled_for >= MIN_STALL_BEFORE_EVICTION || status.has_been(status.state, slow, now))
            },
            |status| status.last_progress_at,
        );
    }

    fn evict_longest_idle(&self, now: Instant) {
        self.evict_longest(
            self.excess_of_serving_limit(),
            |status| status.has_been(ConnectionState::Idle, MIN_IDLE_TIME_BEFORE_EVICTION, now),
            |status| status.since,
        );
    }

    /// Returns how many connections must be evicted so that the serving limit allows one more.
    fn excess_of_serving_limit(&self) -> usize {
        (self.serving_count() + 1).saturating_sub(self.limits.max_served)
    }

    /// Evicts at most `count` of the connections that are evictable, those with the earliest time first.
    fn evict_longest(
        &self,
        count: usize,
        is_evictable: impl Fn(&SlotStatus) -> bool,
        time: impl Fn(&SlotStatus) -> Instant,
    ) {
        if count == 0 {
            return;
        }
        let slots = self.slots.borrow();
        let mut evictable: Vec<_> = slots.iter().map(|slot| (slot.status(), slot)).collect();
        evictable.retain(|(status, _)| is_evictable(status));
        evictable.sort_by_key(|(status, _)| time(status));
        evictable.into_iter().take(count).for_each(|(_, slot)| slot.evict());
    }

    fn evict_where(&self, is_evictable: impl Fn(SlotStatus) -> bool) {
        let slots = self.slots.borrow();
        slots.iter().filter(|slot| is_evictable(slot.status())).for_each(|slot| slot.evict());
    }
}

/// Returns whether a connection in this state is about to be closed.
fn is_leaving(state: ConnectionState) -> bool {
    matches!(state, ConnectionState::AbandonedBody | ConnectionState::Evicted)
}
