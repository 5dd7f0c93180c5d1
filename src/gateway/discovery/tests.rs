use super::ReceivedList;
use std::time::Duration;
use tokio::time::Instant;

/// After reloads in quick succession, the time until changes count as announced was counted from the last
/// one.
#[test]
fn the_first_reload_without_a_list_is_pending() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut received = ReceivedList::default();
    assert_eq!(received.pending_reload(None), None);
    assert_eq!(received.pending_reload(Some(at(1))), Some(at(1)));
    assert_eq!(received.pending_reload(Some(at(3))), Some(at(1)));
    received.record(42, at(4));
    assert_eq!(received.pending_reload(Some(at(3))), None);
    assert_eq!(received.pending_reload(Some(at(5))), Some(at(5)));
}
