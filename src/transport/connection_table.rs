//! The client connections of a listener, and their eviction once the serving limit is reached: the maximum
//! number of connections whose requests are served.

use super::connection_slot::{ConnectionSlot, ConnectionState, SlotStatus};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

/// Duration after which a new connection can be evicted if its client has not sent a byte.
const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Duration from the first byte of a request head after which the connection can be evicted if the head is
/// still incomplete.
const MIN_HEAD_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// Duration after which an idle connection can be evicted.
const MIN_IDLE_TIME_BEFORE_EVICTION: Duration = Duration::from_secs(2);

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
        let slot = Arc::new(ConnectionSlot::new(id));
        self.slots.borrow_mut().push(slot.clone());
        slot
    }

    /// Removes a closed connection from the table.
    pub(super) fn remove(&self, slot: &ConnectionSlot) {
        self.slots.borrow_mut().retain(|other| other.id() != slot.id());
    }

    /// Admits the connection if the number of open connections is within the serving limit. Returns whether
    /// the connection is admitted, now or by an earlier call, so that its requests are served.
    pub(super) fn try_admit(&self, slot: &ConnectionSlot) -> bool {
        if self.open_count() <= self.max_served {
            slot.admit();
        }
        slot.is_admitted()
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
            let SlotStatus { state, since } = slot.status();
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
