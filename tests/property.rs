//! Arbitrary legal events, several gateways: the world checks every action against the rules.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use storage_gateway::scheduler::*;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        gateway: usize,
        class: usize,
        plan: usize,
        volume: u64,
        key: u64,
        shard: Option<u32>,
        units: u8,
        left: u64,
    },
    End {
        which: usize,
        ending: AttemptOutcome,
    },
    List {
        gateway: usize,
        node: u32,
        readiness: EndpointState,
        restarted: bool,
    },
    Failed {
        gateway: usize,
    },
    Gone {
        which: usize,
    },
    Restart {
        gateway: usize,
    },
    Wait {
        ticks: u64,
    },
    Odd {
        gateway: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        6 => Just(AttemptOutcome::Succeeded),
        1 => Just(AttemptOutcome::Failed),
        1 => Just(AttemptOutcome::Rejected),
        1 => Just(AttemptOutcome::ConnectFailed),
        1 => Just(AttemptOutcome::ConnectionReset),
    ];
    let readiness = prop_oneof![3 => Just(EndpointState::Ready), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)];
    let shard = prop_oneof![8 => (0u32..4).prop_map(Some), 1 => Just(None)];
    let arrive = (0usize..3, 0usize..3, 0usize..2, 0u64..4, 0u64..6, shard, 1u8..9, 0u64..2_500_000);
    prop_oneof![
        12 => arrive.prop_map(|(gateway, class, plan, volume, key, shard, units, left)| {
            Step::Arrive { gateway, class, plan, volume, key, shard, units, left }
        }),
        12 => (any::<usize>(), ending).prop_map(|(which, ending)| Step::End { which, ending }),
        2 => (0usize..3, 0u32..3, readiness, any::<bool>())
            .prop_map(|(gateway, node, readiness, restarted)| Step::List { gateway, node, readiness, restarted }),
        1 => (0usize..3).prop_map(|gateway| Step::Failed { gateway }),
        1 => any::<usize>().prop_map(|which| Step::Gone { which }),
        1 => (0usize..3).prop_map(|gateway| Step::Restart { gateway }),
        8 => (0u64..100).prop_map(|ticks| Step::Wait { ticks }),
        1 => (0usize..3).prop_map(|gateway| Step::Odd { gateway }),
    ]
}

fn play(steps: Vec<Step>) {
    let mut w = World::new(settings());
    let mut list: Vec<_> = (0..3).map(|s| endpoint(&format!("n{s}"), s, EndpointState::Ready, 0)).collect();
    w.list_all(EndpointUpdate::Cached, &list);
    let mut next = 0;
    for step in steps {
        match step {
            Step::Arrive { gateway, class, plan, volume, key, shard, units, left } => {
                next += 1;
                let deadline = w.set.classes[class].deadline_us;
                let base = incoming_request(next, class, 0, w.now + left.min(deadline));
                let volume = volume * 2 + plan as u64;
                w.arrive(
                    gateway,
                    IncomingRequest {
                        plan,
                        volume: VolumeId(volume),
                        volume_gateways: 3.0,
                        block: Some(BlockId(key)),
                        shard: shard.map(ShardId),
                        units: f64::from(units),
                        ..base
                    },
                );
            }
            Step::End { which, ending } => {
                let out = w.outstanding();
                if !out.is_empty() {
                    w.end(out[which % out.len()].0, ending);
                }
            }
            Step::List { gateway, node, readiness, restarted } => {
                let e = &mut list[node as usize];
                e.state = readiness;
                if restarted {
                    e.started_at_us = Some(w.now);
                }
                let e = list[node as usize].clone();
                // A start is told to all, as the rule on cold nodes counts those told.
                for h in 0..3 {
                    if restarted || h == gateway {
                        w.list(h, EndpointUpdate::Delta, std::slice::from_ref(&e));
                    }
                }
            }
            Step::Failed { gateway } => w.hear(gateway, poll_failed()),
            Step::Gone { which } => {
                w.step();
                let open: Vec<u32> =
                    w.requests.iter().filter(|(_, t)| !t.finished).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[which % open.len()];
                    let t = w.requests.get_mut(&id).unwrap();
                    t.finished = true;
                    let gateway = t.gateway;
                    w.hear(gateway, Event::ClientDisconnected(RequestId(id)));
                }
            }
            Step::Restart { gateway } => w.restart(gateway, &list),
            Step::Wait { ticks } => (0..ticks).for_each(|_| w.step()),
            Step::Odd { gateway } => {
                w.hear(gateway, Event::TimerFired(9));
                w.hear(gateway, Event::ClientDisconnected(RequestId(u32::MAX)));
                w.hear(
                    gateway,
                    Event::AttemptEnded(attempt_report(u32::MAX, "nowhere", AttemptOutcome::Failed, 0)),
                );
                w.hear(
                    gateway,
                    Event::HealthCheckCompleted {
                        node: "nowhere".into(),
                        outcome: AttemptOutcome::Succeeded,
                        load: LoadReport::default(),
                    },
                );
                w.hear(gateway, Event::GossipReceived { gateway: 1, message: "??".into() });
            }
        }
    }
    w.run(4 * SECOND);
    assert!(w.requests.values().all(|t| t.finished), "all are answered in the end");
}

#[test]
fn rules_hold_whatever_happens() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&proptest::collection::vec(step(), 50..300), |steps| {
            play(steps);
            Ok(())
        })
        .unwrap();
}
