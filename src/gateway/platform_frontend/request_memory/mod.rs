//! Limits the memory that the requests of all clients hold together.
//!
//! Each request may hold [`FREE_REQUEST_LEN`] bytes without a reservation; the limit on connections bounds
//! the sum of these. Longer requests reserve the rest from a budget as their bytes arrive. If the budget is
//! used up, the oldest body that is still incomplete is evicted, so that clients that stop within a body
//! cannot keep others from sending theirs.

use crate::gateway::body_reader::BodyError;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory that each request may hold without a reservation, in bytes.
pub(super) const FREE_REQUEST_LEN: usize = 4 * 1024;
/// Smallest capacity of the buffer of a body, in bytes.
const MIN_BODY_CAPACITY: usize = 256;
/// Age at which an incomplete body can be evicted. Clients that send without pauses need less time.
const MIN_AGE_BEFORE_EVICTION: Duration = Duration::from_millis(100);

/// The budget for the memory of requests, and the bodies that are being received. Clones share both.
#[derive(Clone)]
pub struct RequestMemory(Rc<RefCell<Ledger>>);

struct Ledger {
    /// Bytes of the budget that are not reserved.
    available: usize,
    next_number: u64,
    /// The bodies that are being received, ordered by when their requests began.
    incomplete: BTreeMap<u64, IncompleteBody>,
}

struct IncompleteBody {
    data: Vec<u8>,
    /// Memory of the request's head, in bytes.
    head_len: usize,
    max_len: usize,
    reserved: usize,
    started_at: Instant,
    evicted: Rc<Notify>,
}

impl IncompleteBody {
    /// Returns the bytes that must be reserved if the buffer has this capacity.
    fn required(&self, capacity: usize) -> usize {
        (self.head_len + capacity).saturating_sub(FREE_REQUEST_LEN)
    }
}

/// The budget does not allow a body to grow, or the body has been evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        BodyError::OutOfMemory
    }
}

/// A body that is being received. Dropping it releases its memory.
pub struct BodyBuffer {
    memory: RequestMemory,
    number: u64,
    evicted: Rc<Notify>,
}

/// Memory that a complete request has reserved, which is released when the reservation is dropped.
pub struct Reservation {
    memory: RequestMemory,
    bytes: usize,
}

impl RequestMemory {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        let ledger = Ledger { available: bytes, next_number: 0, incomplete: BTreeMap::new() };
        RequestMemory(Rc::new(RefCell::new(ledger)))
    }

    /// Starts a body of at most `max_len` bytes. `head_len` is the memory that the head of its request holds,
    /// in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget does not allow for the head.
    pub fn start_body(&self, head_len: usize, max_len: usize) -> Result<BodyBuffer, OutOfMemory> {
        let evicted = Rc::new(Notify::new());
        let number = self.0.borrow_mut().insert(head_len, max_len, evicted.clone());
        let body = BodyBuffer { memory: self.clone(), number, evicted };
        self.0.borrow_mut().reserve_capacity(number, 0)?;
        Ok(body)
    }

    /// Returns the bytes of the budget that are not reserved.
    #[cfg(test)]
    fn available(&self) -> usize {
        self.0.borrow().available
    }
}

impl BodyBuffer {
    /// Appends data to the body, whose length must not exceed its maximum. Evicts older incomplete bodies if
    /// their memory is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget does not allow for the data, or if this body has been evicted.
    pub fn append(&mut self, data: &[u8]) -> Result<(), OutOfMemory> {
        self.memory.0.borrow_mut().append(self.number, data)
    }

    /// Returns a future that resolves once the body has been evicted.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = self.evicted.clone();
        async move { evicted.notified().await }
    }

    /// Returns the complete body and the reservation of the memory of its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body has been evicted.
    pub fn finish(self) -> Result<(Bytes, Reservation), OutOfMemory> {
        let mut ledger = self.memory.0.borrow_mut();
        let mut body = ledger.incomplete.remove(&self.number).ok_or(OutOfMemory)?;
        body.data.shrink_to_fit();
        let bytes = body.required(body.data.len());
        ledger.available += body.reserved - bytes;
        drop(ledger);
        Ok((body.data.into(), Reservation { memory: self.memory.clone(), bytes }))
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().remove(self.number);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().available += self.bytes;
    }
}

impl Ledger {
    fn insert(&mut self, head_len: usize, max_len: usize, evicted: Rc<Notify>) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let body = IncompleteBody {
            data: Vec::new(),
            head_len,
            max_len,
            reserved: 0,
            started_at: Instant::now(),
            evicted,
        };
        self.incomplete.insert(number, body);
        number
    }

    fn remove(&mut self, number: u64) -> Option<IncompleteBody> {
        let body = self.incomplete.remove(&number)?;
        self.available += body.reserved;
        Some(body)
    }

    fn append(&mut self, number: u64, data: &[u8]) -> Result<(), OutOfMemory> {
        let body = self.incomplete.get(&number).ok_or(OutOfMemory)?;
        let len = body.data.len() + data.len();
        if len > body.data.capacity() {
            let doubled = (2 * body.data.capacity()).max(MIN_BODY_CAPACITY);
            let capacity = doubled.min(body.max_len).max(len);
            self.reserve_capacity(number, capacity)?;
        }
        let body = self.incomplete.get_mut(&number).ok_or(OutOfMemory)?;
        body.data.extend_from_slice(data);
        Ok(())
    }

    /// Reserves the memory for a body's buffer and gives the buffer this capacity.
    fn reserve_capacity(&mut self, number: u64, capacity: usize) -> Result<(), OutOfMemory> {
        let body = self.incomplete.get(&number).ok_or(OutOfMemory)?;
        let required = body.required(capacity);
        let additional = required.saturating_sub(body.reserved);
        self.make_available(additional, number)?;
        let body = self.incomplete.get_mut(&number).ok_or(OutOfMemory)?;
        self.available -= additional;
        body.reserved = required;
        body.data.reserve_exact(capacity - body.data.len());
        Ok(())
    }

    /// Evicts the oldest incomplete bodies, except the one with the number `requester`, until this many bytes
    /// are available.
    fn make_available(&mut self, bytes: usize, requester: u64) -> Result<(), OutOfMemory> {
        while self.available < bytes {
            let victim = self.oldest_evictable(requester).ok_or(OutOfMemory)?;
            if let Some(body) = self.remove(victim) {
                body.evicted.notify_one();
            }
        }
        Ok(())
    }

    fn oldest_evictable(&self, requester: u64) -> Option<u64> {
        let mut old = self
            .incomplete
            .iter()
            .take_while(|(_, body)| body.started_at.elapsed() >= MIN_AGE_BEFORE_EVICTION);
        old.find(|(number, body)| **number != requester && body.reserved > 0).map(|(number, _)| *number)
    }
}

#[cfg(test)]
mod tests;
