//! The interface to the transport, which receives attempts from the router and reports their results.

use crate::scheduler::{AttemptOutcome, LoadReport, NodeId, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Sends attempts to the storage nodes and watches the endpoint list.
pub trait AttemptTransport<P> {
    /// Starts an attempt. Its end must be reported through
    /// [`RouterHandle::attempt_ended`](super::RouterHandle::attempt_ended).
    fn start(&mut self, attempt: Attempt<P>);
    /// Starts a watch of the endpoint list. Updates and failed polls are reported through
    /// [`RouterHandle::endpoints_updated`](super::RouterHandle::endpoints_updated).
    fn watch_endpoints(&mut self);
}

/// One attempt to serve a request, to be sent to a storage node.
#[derive(Debug)]
pub struct Attempt<P> {
    /// Id of the request; unique among the requests in progress.
    pub request: RequestId,
    /// The attempt's index among the request's attempts, from 0.
    pub index: u32,
    /// The storage node that the attempt is sent to.
    pub node: NodeId,
    /// The payload that the front end submitted with the request; shared by all attempts for it.
    pub payload: Rc<P>,
    /// Time at which the attempt times out; no later than the expiry of the request.
    pub deadline: Instant,
    /// Resolves when the attempt is cancelled, always with an error, because the sender is dropped.
    pub cancelled: oneshot::Receiver<()>,
    /// Valid as long as the attempt may still start; must be taken before the request is sent.
    pub start_permit: StartPermit,
}

/// The permit to start attempts for a request. It is valid until the request has its final answer or its
/// client has disconnected.
///
/// The transport takes the permit once the connection for an attempt is established. Connecting may have
/// taken long, and an attempt must not start if the client has disconnected meanwhile.
#[derive(Clone, Debug, Default)]
pub struct StartPermit(Rc<PermitState>);

#[derive(Debug, Default)]
struct PermitState {
    revoked: Cell<bool>,
    started: Cell<bool>,
}

impl StartPermit {
    pub(super) fn revoke(&self) {
        self.0.revoked.set(true);
    }

    /// Returns whether an attempt may start: the request has no final answer, and its client is still
    /// connected. If so, records that an attempt has started.
    pub fn try_start(&self) -> bool {
        let may_start = !self.0.revoked.get();
        if may_start {
            self.0.started.set(true);
        }
        may_start
    }

    /// Returns whether any attempt has started, so that a storage node may have run the request.
    pub fn has_started(&self) -> bool {
        self.0.started.get()
    }
}

/// The result of an attempt, as reported by the transport.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The storage node's complete response; `None` if there is none or it has already been reported as
    /// started. Used only if `outcome` is [`AttemptOutcome::Succeeded`].
    pub response: Option<R>,
    /// The volume's metered rate in percent of its plan's provisioned rate; `None` if not reported.
    pub volume_rate_percent: Option<f64>,
    /// Units that the node served for the volume through other gateways since its previous response; 0 if not
    /// reported.
    pub units_via_other_gateways: f64,
    /// The node's load report; each value is `None` if the node did not report it.
    pub load: LoadReport,
}

impl<R> AttemptResult<R> {
    /// Returns the result of an attempt that received no response, without any reported values.
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
