//! Registers the ids of requests, so that each id is used for one request only.

mod recent_ids;

use crate::gateway::hashing::hash_fields;
use crate::routing::StartPermit;
use hyper::header::HeaderValue;
use recent_ids::RecentIds;
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use tokio::time::Instant;

/// Maximum number of ids in a generation of those that were sent to nodes. Two generations of this size
/// occupy about 2 MB. This suffices for three times the highest request rate in the Terms of service, 600
/// requests per second.
const MAX_SENT_GENERATION_LEN: usize = 56 * 1024;
/// Maximum number of ids in a generation of those that were not sent.
const MAX_UNSENT_GENERATION_LEN: usize = 14 * 1024;
/// Length of an [`IdDigest`], in bytes. Digests of different ids do not collide in practice.
const DIGEST_LEN: usize = 16;

/// A digest of a request id. Ids come from clients and may be as long as a request head; digests have a fixed
/// size, and do not share memory with the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IdDigest([u8; DIGEST_LEN]);

impl IdDigest {
    fn of(id: &HeaderValue) -> Self {
        let hash = hash_fields(&[id.as_bytes()]);
        IdDigest(*hash.first_chunk().expect("the hash is longer than the digest"))
    }
}

/// Reasons why a request id cannot be registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DuplicateId {
    /// A request with the same id is in progress.
    InProgress,
    /// A request with the same id was in progress a short time ago.
    RecentlyUsed,
}

/// The ids of the requests in progress and of those that ended a short time ago.
///
/// Storage nodes and the platform's rules identify a request by its id, and every request of a client, also a
/// retry, has a new id. A request whose id has been used is therefore a copy of another request, possibly of
/// another client. Forwarding the copy could run the request twice.
pub struct RequestIds(RefCell<RegisteredIds>);

struct RegisteredIds {
    in_progress: FxHashSet<IdDigest>,
    /// Ids of requests that a storage node may have run.
    sent: RecentIds,
    /// Ids of requests that were complete and not sent to any node, and of copies of requests. Clients can
    /// use up this set at any speed, the other one only as fast as nodes are sent requests.
    unsent: RecentIds,
}

impl RequestIds {
    /// Creates a registry without ids.
    pub fn new() -> Self {
        let now = Instant::now();
        RequestIds(RefCell::new(RegisteredIds {
            in_progress: FxHashSet::default(),
            sent: RecentIds::new(MAX_SENT_GENERATION_LEN, now),
            unsent: RecentIds::new(MAX_UNSENT_GENERATION_LEN, now),
        }))
    }

    /// Registers the id of a request, which is in progress until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the id has been used. It then counts as used from now on, so that a client cannot
    /// get a copy accepted by repeating it.
    pub(super) fn register(&self, id: &HeaderValue) -> Result<RequestIdGuard<'_>, DuplicateId> {
        let RequestIds(ids) = self;
        let id = IdDigest::of(id);
        ids.borrow_mut().insert(id, Instant::now())?;
        Ok(RequestIdGuard { ids, id, start_permit: None })
    }
}

impl RegisteredIds {
    fn insert(&mut self, id: IdDigest, now: Instant) -> Result<(), DuplicateId> {
        if self.in_progress.contains(&id) {
            self.unsent.insert(id, now);
            return Err(DuplicateId::InProgress);
        }
        for recent in [&mut self.sent, &mut self.unsent] {
            if recent.contains(id, now) {
                recent.insert(id, now);
                return Err(DuplicateId::RecentlyUsed);
            }
        }
        self.in_progress.insert(id);
        Ok(())
    }

    /// Removes the id of a request that has ended. `start_permit` is its permit to start attempts; `None` if
    /// the request was not received completely.
    fn remove(&mut self, id: IdDigest, start_permit: Option<&StartPermit>) {
        self.in_progress.remove(&id);
        match start_permit.map(StartPermit::has_started) {
            Some(true) => self.sent.insert(id, Instant::now()),
            Some(false) => self.unsent.insert(id, Instant::now()),
            None => {}
        }
    }
}

/// Keeps a request id registered while its request is in progress.
pub(super) struct RequestIdGuard<'a> {
    ids: &'a RefCell<RegisteredIds>,
    id: IdDigest,
    start_permit: Option<StartPermit>,
}

impl RequestIdGuard<'_> {
    /// Marks the id as used: the request may be forwarded from now on, with this permit, which must be
    /// revoked before the guard is dropped. When the guard is dropped, the id remains registered for some
    /// time. Otherwise, another request may have the id, for example if a client repeats a request that was
    /// not received completely.
    pub(super) fn mark_used(&mut self, start_permit: StartPermit) {
        self.start_permit = Some(start_permit);
    }
}

impl Drop for RequestIdGuard<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(self.id, self.start_permit.as_ref());
    }
}

#[cfg(test)]
mod tests;
