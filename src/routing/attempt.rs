//! An attempt at a request: what the transport is given, and what it reports back.

use crate::scheduler::{AttemptOutcome, LoadReport, NodeId, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Carries attempts to the storage nodes and watches their endpoint list.
pub trait AttemptTransport<P> {
    /// Starts an attempt; its end comes back through
    /// [`RouterHandle::attempt_ended`](super::RouterHandle::attempt_ended).
    fn start(&mut self, attempt: Attempt<P>);
    /// Watches the endpoint list from now on.
    fn watch_endpoints(&mut self);
}

/// One attempt at a request, on its way to a storage node.
#[derive(Debug)]
pub struct Attempt<P> {
    /// The request.
    pub request: RequestId,
    /// The attempt's number among those of the request, from 0.
    pub number: u32,
    /// The storage node.
    pub node: NodeId,
    /// What the front end submitted with the request.
    pub payload: Rc<P>,
    /// When the attempt has timed out.
    pub deadline: Instant,
    /// Resolves once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Whether the attempt may still begin.
    pub interest: ClientInterest,
}

/// Whether a request still lacks its final answer and its client still waits for it.
///
/// An attempt asks this when its connection is established: that may have taken long, and an attempt must not
/// begin for a client that has left.
#[derive(Clone, Debug)]
pub struct ClientInterest(Rc<Cell<bool>>);

impl ClientInterest {
    pub(super) fn new() -> Self {
        ClientInterest(Rc::new(Cell::new(true)))
    }

    pub(super) fn end(&self) {
        self.0.set(false);
    }

    /// Whether an attempt may still begin.
    pub fn remains(&self) -> bool {
        self.0.get()
    }
}

/// How an attempt ended, as its transport saw it.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The storage node's response, if the attempt was served and its response has not started before.
    pub response: Option<R>,
    /// The volume's metered rate in percent of its plan's provisioned rate, where reported.
    pub volume_rate_percent: Option<f64>,
    /// Units that the node served the volume through other gateways; 0 where not reported.
    pub units_via_other_gateways: f64,
    /// The node's load report.
    pub load: LoadReport,
}

impl<R> AttemptResult<R> {
    /// The result of an attempt that brought no response.
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        AttemptResult {
            outcome,
            response: None,
            volume_rate_percent: None,
            units_via_other_gateways: 0.0,
            load: LoadReport::default(),
        }
    }
}
