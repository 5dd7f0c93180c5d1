//! Tests how soon gateways receive changes of the endpoint list.

mod load;

use load::{FleetPosition, Gateway, TIGHT_LIMITS, read_message, start_node};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const FLEET: usize = 300;
/// The number of gateways that run. Their time slots for polls are spread evenly over those of the fleet.
const RUNNING: usize = 10;
/// A call waits for its turn at a crowded discovery for this long before it fails.
const CROWDED_WAIT: Duration = Duration::from_secs(2);
/// A change counts as announced this long after SIGHUP, and a node that it reports as draining may be sent
/// work for [`DRAIN_GRACE`] from then on.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(4);
/// `rules.drainGraceUs` of the configuration.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// `policyLimits.connectTimeoutUs` of the configuration, by which work may be delayed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A discovery at which each call waits and then fails. Records the times of the calls of one gateway.
#[derive(Default)]
struct CrowdedDiscovery {
    calls_at: RefCell<Vec<Instant>>,
}

impl CrowdedDiscovery {
    async fn run(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let Some(_) = read_message(&mut stream).await else { return };
        self.calls_at.borrow_mut().push(Instant::now());
        sleep(CROWDED_WAIT).await;
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
    }
}

/// After a call that had waited at a crowded discovery, the next call came only when the changes already
/// counted as announced, and work was sent to a draining node after its grace period.
#[tokio::test]
async fn a_poll_after_a_reload_is_repeated_before_missed_changes_count_as_announced() {
    let test = async {
        let (node, _) = start_node(b"").await;
        let mut discoveries: Vec<(SocketAddr, Rc<CrowdedDiscovery>)> = Vec::new();
        for _ in 0..RUNNING {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let discovery = Rc::<CrowdedDiscovery>::default();
            discoveries.push((listener.local_addr().unwrap(), discovery.clone()));
            spawn_local(discovery.run(listener));
        }
        let start = |number| {
            let position = FleetPosition { gateway_count: FLEET, gateway_index: number * FLEET / RUNNING };
            Gateway::start_in_fleet(&format!("discovery_reload_{number}"), TIGHT_LIMITS, node, position)
        };
        let mut gateways: Vec<_> = (0..RUNNING).map(start).collect();
        sleep(Duration::from_secs(1)).await;
        let reloaded_at = Instant::now();
        for (gateway, (address, _)) in gateways.iter_mut().zip(&discoveries) {
            gateway.move_discovery(*address);
        }
        let latest = (ANNOUNCEMENT_DELAY + DRAIN_GRACE).saturating_sub(CONNECT_TIMEOUT);
        sleep(latest).await;
        for (number, (_, discovery)) in discoveries.iter().enumerate() {
            let calls_at = discovery.calls_at.borrow();
            let calls_after: Vec<_> = calls_at.iter().map(|at| at.duration_since(reloaded_at)).collect();
            assert!(
                calls_after.len() > 1,
                "gateway {number} called only after {calls_after:?} of {latest:?}"
            );
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Pushed lists count as announced at once, but the gateway never called
/// discovery.
#[tokio::test]
async fn pushed_lists_are_watched_from_the_start_and_after_a_failure() {
    let call_timeout = DRAIN_GRACE.saturating_sub(CONNECT_TIMEOUT);
    let test = async {
        let (node, _) = start_node(b"").await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let discovery = listener.local_addr().unwrap().to_string();
        let _gateway = Gateway::start_with("discovery_pushed", TIGHT_LIMITS, node, |configuration| {
            configuration["settings"]["discovery"] = json!("pushed");
            configuration["discovery"] = json!(discovery);
        });
        for call in ["first", "second", "third", "fourth"] {
            let accepted = timeout(call_timeout, listener.accept()).await;
            let (mut stream, _) = accepted.unwrap_or_else(|_| panic!("no {call} call")).unwrap();
            let request = read_message(&mut stream).await.expect("a call");
            assert!(request.starts_with("GET /registry/instances?after=41&wait_ms="), "{request}");
        }
    };
    LocalSet::new().run_until(test).await;
}
