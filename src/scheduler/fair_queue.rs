//! Weighted fair queueing of background and surplus work among the volumes at a node.

use super::event::VolumeId;
use rustc_hash::FxHashMap;

/// The smallest weight that units are divided by.
const MIN_WEIGHT: f64 = 1e-3;

/// The virtual time of a node, and when each volume's last request finishes in it.
#[derive(Default)]
pub(super) struct FairQueue {
    virtual_time: f64,
    /// Units served for each volume, over its weight.
    finish_times: FxHashMap<VolumeId, f64>,
}

impl FairQueue {
    /// The virtual time at which the volume's next request starts.
    pub(super) fn start_time(&self, volume: VolumeId) -> f64 {
        self.finish_times.get(&volume).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Records that a request of the volume is served.
    pub(super) fn serve(&mut self, volume: VolumeId, units: f64, weight: f64) {
        let finish_time = self.finish_times.entry(volume).or_insert(0.0);
        self.virtual_time = finish_time.max(self.virtual_time);
        *finish_time = self.virtual_time + units / weight.max(MIN_WEIGHT);
    }
}
