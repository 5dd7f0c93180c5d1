//! How the gateways of a fleet poll discovery for the endpoint list.

mod common;
use common::*;
use storage_gateway::scheduler::*;

/// Gateways with nothing to do but to poll; every poll fails at once.
struct PollingFleet {
    gateways: Vec<Scheduler>,
    /// When each gateway's timer is due.
    wake_at_us: Vec<u64>,
    /// When each gateway polled.
    polls_at_us: Vec<Vec<u64>>,
}

impl PollingFleet {
    /// Gateways that start together.
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
                other => panic!("nothing else is expected of a gateway: {other:?}"),
            }
        }
        self.wake_at_us[gateway] = self.wake_at_us[gateway].max(now_us + TICK);
    }

    /// The largest number of polls in one second.
    fn busiest_second(&self) -> usize {
        let second_of = |at_us: &u64| (at_us - SIMULATION_START_US) / SECOND;
        let mut seconds: Vec<u64> = self.polls_at_us.iter().flatten().map(second_of).collect();
        seconds.sort_unstable();
        seconds.chunk_by(|earlier, later| earlier == later).map(<[u64]>::len).max().unwrap_or(0)
    }
}

/// Gateways that start together, and whose polls fail together, poll one by one: in no second do more of them
/// poll than one such service answers, and none goes without a poll for longer than the rules allow.
#[test]
fn a_fleet_spreads_its_polls_of_the_endpoint_list() {
    let gateways = 100;
    let settings = SchedulerSettings { gateway_count: gateways, endpoints_on_request: true, ..settings() };
    let mut fleet = PollingFleet::start(&settings);
    fleet.run_until(SIMULATION_START_US + 30 * SECOND);
    let max_polls = fleet.busiest_second();
    assert!(max_polls <= 30, "{max_polls} polls of {gateways} gateways in one second");
    for polls in &fleet.polls_at_us {
        assert!(
            polls[0] < SIMULATION_START_US + settings.max_poll_interval_us,
            "the first poll comes after {} us",
            polls[0] - SIMULATION_START_US
        );
        assert!(polls.windows(2).all(|pair| pair[1] - pair[0] < 4 * settings.max_poll_interval_us));
        assert!(polls.len() > 1, "polled again");
    }
}

/// When one gateway of a fleet of this size polls, if every poll fails.
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

/// Whatever the number of gateways and of failures, a failed poll is retried so soon that the retry, which
/// takes 1.5 s at most, can bring a change before the gateway counts as notified of it: 6 s after discovery
/// can be reached.
#[test]
fn failed_polls_are_retried_before_the_changes_they_missed_are_in_force() {
    let fleets = [4, 30, 300].into_iter();
    for (gateways, gateway) in fleets.flat_map(|count| [0, count / 2, count - 1].map(|index| (count, index)))
    {
        let polls_at_us = failed_polls_at_us(gateways, gateway, 8);
        let longest_us = polls_at_us.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(
            longest_us <= 4_500_000 + TICK,
            "gateway {gateway} of {gateways} polls after {longest_us} us"
        );
    }
}
