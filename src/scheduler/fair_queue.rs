//! Weighted fair queueing: divides the slots of a node that go to requests below the preferred dispatch rank
//! among the volumes.

use super::event::VolumeId;
use rustc_hash::FxHashMap;

/// The lower bound of a volume's weight, which is used as a divisor.
const MIN_WEIGHT: f64 = 1e-3;

/// The fair queue of one node. Virtual time advances by the units of a request divided by the weight of its
/// volume. Only requests that were selected from a rank below the preferred dispatch rank are recorded.
#[derive(Default)]
pub(super) struct FairQueue {
    /// The virtual start time of the latest recorded request.
    virtual_time: f64,
    /// The virtual time at which the latest recorded request of each volume finishes.
    finish_times: FxHashMap<VolumeId, f64>,
}

impl FairQueue {
    /// Returns the virtual time at which the volume's next request starts.
    pub(super) fn start_time(&self, volume: VolumeId) -> f64 {
        self.finish_times.get(&volume).copied().unwrap_or(0.0).max(self.virtual_time)
    }

    /// Records that a request of the volume, selected from a lower rank, is sent to the node, and advances
    /// the virtual time.
    pub(super) fn record_send(&mut self, volume: VolumeId, units: f64, weight: f64) {
        let finish_time = self.finish_times.entry(volume).or_insert(0.0);
        self.virtual_time = finish_time.max(self.virtual_time);
        *finish_time = self.virtual_time + units / weight.max(MIN_WEIGHT);
    }
}
