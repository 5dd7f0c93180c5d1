//! Weighted fair queueing: divides the slots of a node that go to requests below the preferred dispatch rank
//! among the volumes.

use super::event::VolumeId;
use rustc_hash::FxHashMap;

/// The lower bound of a volume's weight, which is used as a divisor.
const MIN_WEIGHT: f64 = 1e-3;
/// The number of volumes that are kept in any case.
const MIN_VOLUMES: usize = 64;

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

    /// Returns the number of volumes with a recorded request.
    pub(super) fn len(&self) -> usize {
        self.finish_times.len()
    }

    /// Records that a request of the volume, selected from a lower rank, is sent to the node, and advances
    /// the virtual time. Keeps at most `max_volumes` volumes, or [`MIN_VOLUMES`] if that is more.
    pub(super) fn record_send(&mut self, volume: VolumeId, units: f64, weight: f64, max_volumes: usize) {
        if self.finish_times.len() >= max_volumes.max(MIN_VOLUMES) {
            self.drop_earliest_half();
        }
        let finish_time = self.finish_times.entry(volume).or_insert(0.0);
        self.virtual_time = finish_time.max(self.virtual_time);
        *finish_time = self.virtual_time + units / weight.max(MIN_WEIGHT);
    }

    /// Drops the volumes that finish in the earlier half, and advances the virtual time to the latest of
    /// them. These volumes are thus treated as if they had waited until then.
    fn drop_earliest_half(&mut self) {
        let mut times: Vec<f64> = self.finish_times.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        self.virtual_time = self.virtual_time.max(*median);
        self.finish_times.retain(|_, finish_time| *finish_time > self.virtual_time);
    }
}
