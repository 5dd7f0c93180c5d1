//! The volumes whose state is kept, limited in number.
//!
//! Clients choose the names of volumes, so that a client can name ever new ones. If there are too many, the
//! state of those that have not been sent to any node is dropped first: none of their units were charged.

use super::event::VolumeId;
use super::volume::Volume;
use rustc_hash::FxHashMap;

/// The maximum number of volumes if the settings do not limit it.
const DEFAULT_MAX_VOLUMES: usize = 65_536;
/// The fraction of the volumes that is dropped at once is 1 divided by this number.
const DROPPED_FRACTION_DIVISOR: usize = 4;

/// A volume, and what determines whether its state can be dropped.
struct Entry {
    volume: Volume,
    /// The number of the volume's requests that have not been removed.
    requests: u32,
    /// Whether an attempt of the volume has been sent since its state was created.
    has_been_sent: bool,
    last_request_at_us: u64,
}

/// The volumes whose state is kept.
pub(super) struct VolumeTable {
    entries: FxHashMap<VolumeId, Entry>,
    max_volumes: usize,
}

impl VolumeTable {
    /// Creates an empty table. Volumes that have unfinished requests are kept even beyond `max_volumes`.
    pub(super) fn new(max_volumes: Option<usize>) -> Self {
        VolumeTable { entries: FxHashMap::default(), max_volumes: max_volumes.unwrap_or(DEFAULT_MAX_VOLUMES) }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the maximum number of volumes whose state is kept.
    pub(super) fn max_len(&self) -> usize {
        self.max_volumes
    }

    pub(super) fn get(&self, id: VolumeId) -> Option<&Volume> {
        self.entries.get(&id).map(|entry| &entry.volume)
    }

    pub(super) fn get_mut(&mut self, id: VolumeId) -> Option<&mut Volume> {
        self.entries.get_mut(&id).map(|entry| &mut entry.volume)
    }

    /// Returns the volume of a request that arrives, which `create` creates if its state is not kept.
    pub(super) fn get_or_create(
        &mut self,
        id: VolumeId,
        now_us: u64,
        create: impl FnOnce() -> Volume,
    ) -> &mut Volume {
        if self.entries.len() >= self.max_volumes && !self.entries.contains_key(&id) {
            self.drop_least_needed();
        }
        let entry = self.entries.entry(id).or_insert_with(|| Entry {
            volume: create(),
            requests: 0,
            has_been_sent: false,
            last_request_at_us: now_us,
        });
        entry.last_request_at_us = now_us;
        &mut entry.volume
    }

    /// Records that a request of the volume has been queued. The volume is kept until it is removed.
    pub(super) fn record_queued(&mut self, id: VolumeId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests += 1;
        }
    }

    /// Records that a queued request of the volume has been removed.
    pub(super) fn record_removed(&mut self, id: VolumeId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests = entry.requests.saturating_sub(1);
        }
    }

    /// Records that an attempt of the volume is sent.
    pub(super) fn record_sent(&mut self, id: VolumeId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.has_been_sent = true;
        }
    }

    /// Drops a part of the volumes without unfinished requests: first those without a sent attempt, then
    /// those whose last request is the oldest.
    fn drop_least_needed(&mut self) {
        let unused = self.entries.iter().filter(|(_, entry)| entry.requests == 0);
        let mut candidates: Vec<_> =
            unused.map(|(id, entry)| (entry.has_been_sent, entry.last_request_at_us, id.0)).collect();
        candidates.sort_unstable();
        let count = (self.max_volumes / DROPPED_FRACTION_DIVISOR).max(1);
        for (_, _, id) in candidates.into_iter().take(count) {
            self.entries.remove(&VolumeId(id));
        }
    }
}
