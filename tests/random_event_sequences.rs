//! Property test: delivers random sequences of events to several gateways. The simulated fleet checks the
//! gateways' actions against the rules of the platform.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use storage_gateway::scheduler::*;

const GATEWAYS: usize = 3;
const NODES: u32 = 3;

/// One step of a sequence. A `choice` is taken modulo the number of attempts or requests to choose from.
#[derive(Clone, Debug)]
enum Step {
    SubmitRequest(RequestParameters),
    FinishAttempt { choice: usize, outcome: AttemptOutcome },
    UpdateEndpoint { gateway: usize, node: u32, state: EndpointState, restarted: bool },
    FailPoll { gateway: usize },
    DisconnectClient { choice: usize },
    RestartGateway { gateway: usize },
    Wait { ticks: u64 },
    SendUnknownReferences { gateway: usize },
}

#[derive(Clone, Debug)]
struct RequestParameters {
    gateway: usize,
    class: usize,
    plan: usize,
    volume: u64,
    block: u64,
    shard: Option<u32>,
    units: u8,
    /// Time from the arrival to the expiry. It is limited to the deadline of the class.
    expires_after_us: u64,
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        6 => Just(AttemptOutcome::Succeeded),
        1 => Just(AttemptOutcome::Failed),
        1 => Just(AttemptOutcome::Rejected),
        1 => Just(AttemptOutcome::ConnectFailed),
        1 => Just(AttemptOutcome::ConnectionReset),
    ]
}

fn endpoint_state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![
        3 => Just(EndpointState::Ready),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Removed),
    ]
}

fn request_parameters() -> impl Strategy<Value = RequestParameters> {
    let shard = prop_oneof![8 => (0u32..4).prop_map(Some), 1 => Just(None)];
    let fields = (0..GATEWAYS, 0usize..3, 0usize..2, 0u64..4, 0u64..6, shard, 1u8..9, 0u64..2_500_000);
    fields.prop_map(|(gateway, class, plan, volume, block, shard, units, expires_after_us)| {
        RequestParameters { gateway, class, plan, volume, block, shard, units, expires_after_us }
    })
}

fn step() -> impl Strategy<Value = Step> {
    let update = (0..GATEWAYS, 0..NODES, endpoint_state(), any::<bool>());
    prop_oneof![
        12 => request_parameters().prop_map(Step::SubmitRequest),
        12 => (any::<usize>(), outcome())
            .prop_map(|(choice, outcome)| Step::FinishAttempt { choice, outcome }),
        2 => update.prop_map(|(gateway, node, state, restarted)| {
            Step::UpdateEndpoint { gateway, node, state, restarted }
        }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::FailPoll { gateway }),
        1 => any::<usize>().prop_map(|choice| Step::DisconnectClient { choice }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::RestartGateway { gateway }),
        8 => (0u64..100).prop_map(|ticks| Step::Wait { ticks }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::SendUnknownReferences { gateway }),
    ]
}

/// A fleet on which a sequence of steps is run.
struct Sequence {
    fleet: SimulatedFleet,
    endpoints: Vec<Endpoint>,
    last_request_id: u32,
}

impl Sequence {
    fn new() -> Self {
        let fleet = SimulatedFleet::with_ready_nodes(settings(), NODES);
        Sequence { fleet, endpoints: ready_endpoints(NODES), last_request_id: 0 }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::SubmitRequest(parameters) => self.submit_request(parameters),
            Step::FinishAttempt { choice, outcome } => {
                let in_flight = self.fleet.in_flight();
                if !in_flight.is_empty() {
                    self.fleet.finish_attempt(in_flight[choice % in_flight.len()].request, outcome);
                }
            }
            Step::UpdateEndpoint { gateway, node, state, restarted } => {
                self.update_endpoint(gateway, node as usize, state, restarted);
            }
            Step::FailPoll { gateway } => self.fleet.queue_event(gateway, poll_failed()),
            Step::DisconnectClient { choice } => self.disconnect_client(choice),
            Step::RestartGateway { gateway } => self.fleet.restart_gateway(gateway, &self.endpoints),
            Step::Wait { ticks } => (0..ticks).for_each(|_| self.fleet.advance()),
            Step::SendUnknownReferences { gateway } => self.send_unknown_references(gateway),
        }
    }

    fn submit_request(&mut self, parameters: RequestParameters) {
        self.last_request_id += 1;
        let RequestParameters { gateway, class, plan, volume, block, shard, units, expires_after_us } =
            parameters;
        let deadline_us = self.fleet.settings.classes[class].deadline_us;
        let expires_at_us = self.fleet.now_us + expires_after_us.min(deadline_us);
        let request = IncomingRequest {
            plan: PlanIndex(plan),
            volume: VolumeId(volume * 2 + plan as u64),
            volume_gateway_count: GATEWAYS as f64,
            block: Some(BlockId(block)),
            shard: shard.map(ShardId),
            units: f64::from(units),
            ..incoming_request(self.last_request_id, class, 0, expires_at_us)
        };
        self.fleet.submit(gateway, request);
    }

    /// Changes the endpoint of a node and notifies the gateway. All gateways are notified of a restart,
    /// because the rule on slow start counts only the units sent by gateways that were notified, while the
    /// check counts the units sent by all gateways.
    fn update_endpoint(&mut self, gateway: usize, node: usize, state: EndpointState, restarted: bool) {
        let endpoint = &mut self.endpoints[node];
        endpoint.state = state;
        if restarted {
            endpoint.started_at_us = Some(self.fleet.now_us);
        }
        let endpoint = std::slice::from_ref(endpoint);
        for notified in (0..GATEWAYS).filter(|other| restarted || *other == gateway) {
            self.fleet.update_endpoints(notified, EndpointUpdate::Delta, endpoint);
        }
    }

    fn disconnect_client(&mut self, choice: usize) {
        self.fleet.advance();
        let is_open = |tracked: &TrackedRequest| !tracked.finished;
        let open = self.fleet.requests.iter().filter(|(_, tracked)| is_open(tracked));
        let open: Vec<u32> = open.map(|(id, _)| *id).collect();
        if !open.is_empty() {
            self.fleet.disconnect_client(open[choice % open.len()]);
        }
    }

    /// Sends events that refer to requests, nodes and timers that are unknown to the gateway.
    fn send_unknown_references(&mut self, gateway: usize) {
        let health_check = Event::HealthCheckCompleted {
            node: "nowhere".into(),
            outcome: AttemptOutcome::Succeeded,
            load: LoadReport::default(),
        };
        for event in [
            Event::TimerFired(9),
            Event::ClientDisconnected(RequestId(u32::MAX)),
            attempt_ended(u32::MAX, "nowhere", AttemptOutcome::Failed, 0),
            health_check,
            Event::GossipReceived { gateway: 1, message: "??".into() },
        ] {
            self.fleet.queue_event(gateway, event);
        }
    }

    fn finish(mut self) {
        self.fleet.run_for(4 * SECOND);
        let all_finished = self.fleet.requests.values().all(|tracked| tracked.finished);
        assert!(all_finished, "every request is finished at the end");
    }
}

#[test]
fn the_rules_hold_for_arbitrary_event_sequences() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, random);
    let check = |steps: Vec<Step>| {
        let mut sequence = Sequence::new();
        steps.into_iter().for_each(|step| sequence.run_step(step));
        sequence.finish();
        Ok(())
    };
    runner.run(&proptest::collection::vec(step(), 50..300), check).unwrap();
}
