use super::recent_ids::{MIN_RETENTION, RecentIds};
use super::{DuplicateId, IdDigest, MAX_SENT_GENERATION_LEN, RequestIds};
use crate::routing::StartPermit;
use hyper::header::HeaderValue;
use std::time::Duration;
use tokio::time::{Instant, advance};

const ID: HeaderValue = HeaderValue::from_static("9b1f03aa5c7e2d41");
/// The longest time that the Terms of service give a client from connecting to its answer.
const LONGEST_STAY: Duration = Duration::from_secs(6);

/// The ids `0`, `1`, and so on.
fn numbered_id(number: usize) -> IdDigest {
    IdDigest::of(&HeaderValue::from(number))
}

/// A request is not run again by a copy of it, sent while it is in progress or at any time after its answer.
#[tokio::test(start_paused = true)]
async fn copies_of_a_request_are_rejected_for_as_long_as_they_keep_coming() {
    let ids = RequestIds::new();
    let mut request = ids.register(&ID).unwrap();
    assert_eq!(ids.register(&ID).err(), Some(DuplicateId::InProgress));
    request.mark_used(StartPermit::default());
    drop(request);
    for _ in 0..100 {
        assert_eq!(ids.register(&ID).err(), Some(DuplicateId::RecentlyUsed));
        advance(LONGEST_STAY).await;
    }
    advance(2 * MIN_RETENTION).await;
    assert!(ids.register(&ID).is_ok(), "ids are not kept forever");
}

/// A client may repeat a request that the gateway did not receive completely, unless a copy of it was seen.
#[tokio::test(start_paused = true)]
async fn an_id_remains_unused_until_its_request_is_complete() {
    let ids = RequestIds::new();
    drop(ids.register(&ID).unwrap());
    let request = ids.register(&ID).unwrap();
    assert_eq!(ids.register(&ID).err(), Some(DuplicateId::InProgress));
    drop(request);
    assert_eq!(ids.register(&ID).err(), Some(DuplicateId::RecentlyUsed));
}

#[tokio::test(start_paused = true)]
async fn used_ids_are_remembered_for_the_retention_time_and_then_removed() {
    let mut ids = RecentIds::new(MAX_SENT_GENERATION_LEN, Instant::now());
    let inserted_at = Instant::now() + MIN_RETENTION - Duration::from_millis(1);
    ids.insert(numbered_id(1), inserted_at);
    assert!(ids.contains(numbered_id(1), inserted_at + MIN_RETENTION));
    assert!(!ids.contains(numbered_id(1), inserted_at + 2 * MIN_RETENTION));
    assert_eq!(ids.len(), 0);
}

/// Clients cannot make the gateway use up its memory by sending many ids.
#[tokio::test(start_paused = true)]
async fn the_number_of_remembered_ids_is_limited() {
    let now = Instant::now();
    let mut ids = RecentIds::new(MAX_SENT_GENERATION_LEN, now);
    for number in 0..3 * MAX_SENT_GENERATION_LEN {
        ids.insert(numbered_id(number), now);
        assert!(ids.len() <= 2 * MAX_SENT_GENERATION_LEN);
        assert!(ids.contains(numbered_id(number.saturating_sub(MAX_SENT_GENERATION_LEN - 1)), now));
    }
}

/// A client whose requests are rejected at full speed made the gateway forget the ids of other requests,
/// which then ran twice.
#[tokio::test(start_paused = true)]
async fn ids_of_rejected_requests_do_not_replace_those_that_were_sent() {
    let ids = RequestIds::new();
    let sent = StartPermit::default();
    assert!(sent.try_start());
    ids.register(&ID).unwrap().mark_used(sent);
    for number in 0..3 * MAX_SENT_GENERATION_LEN {
        ids.register(&HeaderValue::from(number)).unwrap().mark_used(StartPermit::default());
    }
    assert_eq!(ids.register(&ID).err(), Some(DuplicateId::RecentlyUsed));
}
