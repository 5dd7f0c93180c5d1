//! A set of recently used request ids, which is limited in time and in size.

use super::IdDigest;
use rustc_hash::FxHashSet;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time for which an id is remembered. It is longer than a client may take from one copy of a request
/// to the next: according to the Terms of service, a client is answered within 6 s of connecting.
pub(super) const MIN_RETENTION: Duration = Duration::from_secs(30);

/// A set of ids, each of which is removed some time after it was last inserted.
///
/// The set consists of two generations. Ids are inserted into the current generation. Once this has become
/// [`MIN_RETENTION`] old or contains the maximum number of ids, it becomes the previous generation, and the
/// ids that were last inserted into the one before are removed. An id is therefore remembered for one to two
/// retention times, or for a shorter time if very many ids are inserted.
pub(super) struct RecentIds {
    current: FxHashSet<IdDigest>,
    previous: FxHashSet<IdDigest>,
    current_since: Instant,
    max_generation_len: usize,
}

impl RecentIds {
    /// Creates an empty set with this maximum number of ids in a generation.
    pub(super) fn new(max_generation_len: usize, now: Instant) -> Self {
        RecentIds {
            current: FxHashSet::default(),
            previous: FxHashSet::default(),
            current_since: now,
            max_generation_len,
        }
    }

    /// Inserts an id, or renews it.
    pub(super) fn insert(&mut self, id: IdDigest, now: Instant) {
        self.remove_expired(now);
        if self.current.len() >= self.max_generation_len {
            self.start_generation(now);
        }
        self.current.insert(id);
    }

    /// Returns whether the set contains an id.
    pub(super) fn contains(&mut self, id: IdDigest, now: Instant) -> bool {
        self.remove_expired(now);
        self.current.contains(&id) || self.previous.contains(&id)
    }

    /// Returns the number of ids in the set. Those that were renewed may be counted twice.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn remove_expired(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.current_since);
        if age >= MIN_RETENTION {
            self.start_generation(self.current_since + MIN_RETENTION);
        }
        if age >= 2 * MIN_RETENTION {
            self.start_generation(now);
        }
    }

    fn start_generation(&mut self, since: Instant) {
        self.previous = std::mem::take(&mut self.current);
        self.current_since = since;
    }
}
