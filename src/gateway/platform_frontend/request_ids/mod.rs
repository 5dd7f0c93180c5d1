//! Registers the ids of requests, so that each id is used for one request only.

mod recent_ids;

use crate::gateway::hashing::hash_fields;
use hyper::header::HeaderValue;
use recent_ids::RecentIds;
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use tokio::time::Instant;

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
    recent: RecentIds,
}

impl RequestIds {
    /// Creates a registry without ids.
    pub fn new() -> Self {
        let recent = RecentIds::new(Instant::now());
        RequestIds(RefCell::new(RegisteredIds { in_progress: FxHashSet::default(), recent }))
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
        Ok(RequestIdGuard { ids, id, used: false })
    }
}

impl RegisteredIds {
    fn insert(&mut self, id: IdDigest, now: Instant) -> Result<(), DuplicateId> {
        let duplicate = if self.in_progress.contains(&id) {
            DuplicateId::InProgress
        } else if self.recent.contains(id, now) {
            DuplicateId::RecentlyUsed
        } else {
            self.in_progress.insert(id);
            return Ok(());
        };
        self.recent.insert(id, now);
        Err(duplicate)
    }
}

/// Keeps a request id registered while its request is in progress.
pub(super) struct RequestIdGuard<'a> {
    ids: &'a RefCell<RegisteredIds>,
    id: IdDigest,
    used: bool,
}

impl RequestIdGuard<'_> {
    /// Marks the id as used: the request may be forwarded from now on. When the guard is dropped, the id
    /// remains registered for some time. Otherwise, another request may have the id, for example if a client
    /// repeats a request that was not received completely.
    pub(super) fn mark_used(&mut self) {
        self.used = true;
    }
}

impl Drop for RequestIdGuard<'_> {
    fn drop(&mut self) {
        let mut ids = self.ids.borrow_mut();
        ids.in_progress.remove(&self.id);
        if self.used {
            ids.recent.insert(self.id, Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
