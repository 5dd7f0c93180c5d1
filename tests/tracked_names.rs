//! Tests that the scheduler keeps state for a limited number of the names that requests contain.

mod common;
use common::*;
use storage_gateway::scheduler::*;

const MAX_VOLUMES: usize = 100;
/// More names than the limits allow for all kinds of names together.
const REQUESTS: u32 = 50_000;
/// The limits of volumes, shards and ordered blocks, and of the volumes in the fair queues of two nodes.
const MAX_NAMES: usize = 8_192;

/// Returns the settings of the tests, in which every class requires order.
fn limited_settings() -> SchedulerSettings {
    let mut settings = SchedulerSettings { max_tracked_volumes: Some(MAX_VOLUMES), ..settings() };
    settings.classes.iter_mut().for_each(|class| class.ordered_by_block = true);
    settings
}

/// Sends requests with ever new names, one after the other, and returns the largest number of names that the
/// scheduler kept. `shard` chooses the shard of each request. Nodes serve each attempt at once.
fn most_tracked_names(shard: impl Fn(u32) -> u32) -> usize {
    let mut now_us = SIMULATION_START_US;
    let mut scheduler = scheduler(&limited_settings(), 0, SEED_OFFSET, now_us);
    deliver(&mut scheduler, now_us, &[snapshot(ready_endpoints(2))]);
    let mut most = 0;
    for number in 0..REQUESTS {
        now_us += TICK;
        let request = incoming_request(number, 0, shard(number), now_us + SECOND);
        for action in deliver(&mut scheduler, now_us, &[Event::RequestArrived(request)]) {
            if let Action::SendAttempt { request, node, .. } = action {
                let ended = attempt_ended(request.0, &node, AttemptOutcome::Succeeded, TICK);
                deliver(&mut scheduler, now_us, &[ended]);
            }
        }
        most = most.max(scheduler.tracked_names());
    }
    most
}

/// The scheduler kept state for each volume, shard and ordered block that any request had named.
#[test]
fn ever_new_names_do_not_make_the_state_grow() {
    let (served, rejected) = (most_tracked_names(|_| 0), most_tracked_names(|number| 1_000 + number));
    assert!(served <= MAX_NAMES, "{served} names of requests that are served");
    assert!(rejected <= MAX_NAMES, "{rejected} names of requests for shards that no node holds");
}
