use super::{FREE_REQUEST_LEN, MIN_AGE_BEFORE_EVICTION, OutOfMemory, RequestMemory};
use tokio::time::advance;

const MAX_BODY_LEN: usize = 64 * 1024;
/// A budget for two bodies of the maximum length.
const BUDGET: usize = 2 * MAX_BODY_LEN;
const HEAD_LEN: usize = 300;

/// A body that arrived one byte at a time occupied memory in proportion to the number of its parts.
#[tokio::test(start_paused = true)]
async fn the_memory_of_a_body_does_not_depend_on_its_parts() {
    let memory = RequestMemory::new(BUDGET);
    let mut body = memory.start_body(HEAD_LEN, MAX_BODY_LEN).unwrap();
    for _ in 0..MAX_BODY_LEN {
        body.append(b"x").unwrap();
    }
    assert_eq!(BUDGET - memory.available(), HEAD_LEN + MAX_BODY_LEN - FREE_REQUEST_LEN);
    let (bytes, reservation) = body.finish().unwrap();
    assert_eq!(bytes.len(), MAX_BODY_LEN);
    drop(reservation);
    assert_eq!(memory.available(), BUDGET);
}

/// Clients that stop within a long body do not use up the memory for the bodies of others.
#[tokio::test(start_paused = true)]
async fn the_oldest_incomplete_body_is_evicted_for_a_new_one() {
    let memory = RequestMemory::new(BUDGET);
    let long = vec![0; MAX_BODY_LEN - 1];
    let mut stopped: Vec<_> = (0..2).map(|_| memory.start_body(0, MAX_BODY_LEN).unwrap()).collect();
    stopped.iter_mut().for_each(|body| body.append(&long).unwrap());
    let mut next = memory.start_body(0, MAX_BODY_LEN).unwrap();
    assert_eq!(next.append(&long), Err(OutOfMemory), "bodies that have just begun are not evicted");
    advance(MIN_AGE_BEFORE_EVICTION).await;
    assert_eq!(next.append(&long), Ok(()));
    stopped[0].evicted().await;
    assert_eq!(stopped[0].append(b"x"), Err(OutOfMemory));
    assert_eq!(stopped[1].append(b"x"), Ok(()));
    drop((stopped, next));
    assert_eq!(memory.available(), BUDGET);
}

/// Short requests need no reservation, and requests that are complete keep theirs.
#[tokio::test(start_paused = true)]
async fn short_requests_are_received_when_complete_ones_hold_the_budget() {
    let memory = RequestMemory::new(BUDGET);
    let complete = |_| {
        let mut body = memory.start_body(0, MAX_BODY_LEN).unwrap();
        body.append(&vec![0; MAX_BODY_LEN]).unwrap();
        body.finish().unwrap()
    };
    let held: Vec<_> = (0..2).map(complete).collect();
    advance(MIN_AGE_BEFORE_EVICTION).await;
    let half = vec![0; MAX_BODY_LEN / 2];
    let mut short = memory.start_body(HEAD_LEN, MAX_BODY_LEN).unwrap();
    assert_eq!(short.append(&[0; 1024]), Ok(()));
    assert_eq!(short.append(&half), Err(OutOfMemory));
    assert!(memory.start_body(4 * FREE_REQUEST_LEN, MAX_BODY_LEN).is_err());
    drop(held);
    assert_eq!(short.append(&half), Ok(()));
}
