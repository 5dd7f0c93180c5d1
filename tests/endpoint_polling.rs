//! Tests how the gateways of a fleet spread and retry their polls of the endpoint list.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// Idle gateways that only poll the endpoint list. Every poll fails immediately.
struct PollingFleet {
    gateways: Vec<Scheduler>,
    /// The time at which each gateway is next woken.
    wake_at_us: Vec<u64>,
    /// The times of the polls of each gateway.
    polls_at_us: Vec<Vec<u64>>,
}

impl PollingFleet {
    /// Starts all gateways at [`SIMULATION_START_US`].
    fn start(settings: &SchedulerSettings) -> Self {
        let fleet = SimulatedFleet::new(settings.clone());
        let count = settings.gateway_count;
        PollingFleet {
            gateways: fleet.gateways,
            wake_at_us: vec![SIMULATION_START_US; count],
            polls_at_us: vec![Vec::new(); count],
        }
    }

    fn run_until(&mut self, end_us: u64) {
        let mut now_us = SIMULATION_START_US;
        while now_us < end_us {
            for gateway in 0..self.gateways.len() {
                if self.wake_at_us[gateway] <= now_us {
                    self.wake(gateway, now_us);
                }
            }
            now_us += TICK;
        }
    }

    fn wake(&mut self, gateway: usize, now_us: u64) {
        for action in deliver(&mut self.gateways[gateway], now_us, &[Event::TimerFired(0)]) {
            match action {
                Action::WatchEndpoints => {
                    self.polls_at_us[gateway].push(now_us);
                    deliver(&mut self.gateways[gateway], now_us, &[poll_failed()]);
                }
                Action::SetTimer { after_us, .. } => self.wake_at_us[gateway] = now_us + after_us,
                other => panic!("unexpected action of an idle gateway: {other:?}"),
            }
        }
        self.wake_at_us[gateway] = self.wake_at_us[gateway].max(now_us + TICK);
    }

    /// Returns the maximum number of polls of all gateways in one second.
    fn max_polls_per_second(&self) -> usize {
        let second_of = |at_us: &u64| (at_us - SIMULATION_START_US) / SECOND;
        let mut seconds: Vec<u64> = self.polls_at_us.iter().flatten().map(second_of).collect();
        seconds.sort_unstable();
        seconds.chunk_by(|earlier, later| earlier == later).map(<[u64]>::len).max().unwrap_or(0)
    }
}

/// Gateways that start at the same time, and whose polls all fail, spread their polls over time. In any
/// second, they send no more polls than one discovery service can answer: at most 30 polls from 100 gateways.
/// Each gateway sends its first poll within the maximum poll interval, and the times between its polls are
/// shorter than four of these intervals.
#[test]
fn a_fleet_spreads_its_polls_of_the_endpoint_list() {
    let gateways = 100;
    let settings = SchedulerSettings { gateway_count: gateways, endpoints_on_request: true, ..settings() };
    let mut fleet = PollingFleet::start(&settings);
    fleet.run_until(SIMULATION_START_US + 30 * SECOND);
    let max_polls = fleet.max_polls_per_second();
    assert!(max_polls <= 30, "{max_polls} polls of {gateways} gateways in one second");
    for polls in &fleet.polls_at_us {
        assert!(
            polls[0] < SIMULATION_START_US + settings.max_poll_interval_us,
            "the first poll is sent after {} us",
            polls[0] - SIMULATION_START_US
        );
        assert!(polls.windows(2).all(|pair| pair[1] - pair[0] < 4 * settings.max_poll_interval_us));
        assert!(polls.len() > 1, "a failed poll must be retried");
    }
}

/// Returns the times of the first `polls` polls of one gateway in a fleet of `gateway_count` gateways, if
/// every poll fails.
fn failed_polls_at_us(gateway_count: usize, gateway_index: usize, polls: usize) -> Vec<u64> {
    let settings = SchedulerSettings { gateway_count, endpoints_on_request: true, ..settings() };
    let mut now_us = SIMULATION_START_US;
    let mut scheduler = scheduler(&settings, gateway_index, SEED_OFFSET, now_us);
    let mut polls_at_us = Vec::new();
    while polls_at_us.len() < polls {
        let actions = deliver(&mut scheduler, now_us, &[Event::TimerFired(0)]);
        if actions.contains(&Action::WatchEndpoints) {
            polls_at_us.push(now_us);
            deliver(&mut scheduler, now_us, &[poll_failed()]);
        }
        now_us += TICK;
    }
    polls_at_us
}

/// For fleets of any size, and after any number of failures, a failed poll is retried within 4.5 s. The
/// platform considers a gateway notified of a change 6 s after discovery is reachable. A poll takes at most
/// 1.5 s, so the retry can return the change before then.
#[test]
fn failed_polls_are_retried_before_missed_changes_count_as_announced() {
    let fleets = [4, 30, 300].into_iter();
    for (gateways, gateway) in fleets.flat_map(|count| [0, count / 2, count - 1].map(|index| (count, index)))
    {
        let polls_at_us = failed_polls_at_us(gateways, gateway, 8);
        let longest_us = polls_at_us.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(
            longest_us <= 4_500_000 + TICK,
            "gateway {gateway} of {gateways} polls again only after {longest_us} us"
        );
    }
}

/// Pushed lists count as announced once discovery can be reached. Without a grace for draining nodes, a
/// gateway polled a discovery that was down ever more rarely.
#[test]
fn failed_polls_of_pushed_lists_are_always_retried_soon() {
    const FAILURES: usize = 8;
    let settings = SchedulerSettings { endpoints_on_request: false, drain_grace_us: 0, ..settings() };
    let latest_us = settings.max_poll_interval_us / 32 + 2 * TICK;
    let mut now_us = SIMULATION_START_US;
    let mut scheduler = scheduler(&settings, 0, SEED_OFFSET, now_us);
    for _ in 0..FAILURES {
        let failed = EndpointUpdate::PollFailed { announced_by_us: Some(now_us) };
        let mut actions = deliver(&mut scheduler, now_us, &[Event::EndpointsUpdated(failed)]);
        let failed_at_us = now_us;
        while !actions.contains(&Action::WatchEndpoints) {
            now_us += TICK;
            actions = deliver(&mut scheduler, now_us, &[Event::TimerFired(0)]);
            assert!(now_us - failed_at_us <= latest_us, "no poll for {} us", now_us - failed_at_us);
        }
    }
}
