//! A request that the scheduler knows, from its arrival until nothing of it is in flight.

use super::event::{BlockId, ShardId, VolumeId};
use super::node::NodeIndex;
use super::settings::{ClassIndex, PlanIndex};

/// An attempt at a request that is in flight.
pub(super) struct AttemptInFlight {
    pub(super) node: NodeIndex,
    pub(super) sent_at_us: u64,
    /// How many attempts at the node had succeeded when this one was sent.
    pub(super) node_successes: u64,
    /// Whether the attempt no longer fills the node's window.
    pub(super) presumed_lost: bool,
}

/// An attempt that ended without proof that the request did not run.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    pub(super) node: NodeIndex,
    pub(super) sent_at_us: u64,
}

/// Where a request stands.
pub(super) enum RequestState {
    /// Waits to be sent.
    Queued,
    /// Has an attempt in flight.
    InFlight(AttemptInFlight),
    /// Has its final answer; an attempt that is still in flight is waited for, and nothing more is sent.
    Answered { in_flight: Option<AttemptInFlight> },
}

/// Which shard a request goes to.
#[derive(Clone, Copy)]
pub(super) enum Placement {
    /// The shard that holds the data.
    Bound(ShardId),
    /// A new object: any shard, which is chosen here; none if no node is in service.
    Free(Option<ShardId>),
}

/// Whether a request has been charged to its volume's rate limit.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RateLimitCharge {
    /// It will be when it is sent first.
    Pending,
    /// It has been, or its plan has no limit.
    Settled,
}

/// A request that the scheduler knows.
pub(super) struct Request {
    pub(super) class: ClassIndex,
    pub(super) plan: PlanIndex,
    pub(super) volume: VolumeId,
    pub(super) block: Option<BlockId>,
    pub(super) placement: Placement,
    pub(super) units: f64,
    pub(super) arrived_at_us: u64,
    /// When it is due to be sent: at its arrival, plus the queueing budget of its class.
    pub(super) due_at_us: u64,
    /// When an answer no longer earns the full priority weight.
    pub(super) objective_at_us: u64,
    /// When its client gives up.
    pub(super) expires_at_us: u64,
    pub(super) state: RequestState,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// The node of the latest attempt.
    pub(super) last_node: Option<NodeIndex>,
    /// The first attempt that may have run.
    pub(super) possible_execution: Option<PossibleExecution>,
    /// Whether a streamed response has begun, which then belongs to the client.
    pub(super) response_started: bool,
    /// Whether it is within its volume's reservation.
    pub(super) reserved: bool,
    /// Whether its latest attempt was sent with the background work, behind others.
    pub(super) sent_as_background: bool,
    pub(super) rate_limit_charge: RateLimitCharge,
}

impl Request {
    /// The shard that it goes to, if there is one.
    pub(super) fn shard(&self) -> Option<ShardId> {
        match self.placement {
            Placement::Bound(shard) => Some(shard),
            Placement::Free(chosen) => chosen,
        }
    }

    /// Whether its shard may still be chosen: it is a new object that cannot have run anywhere.
    pub(super) fn may_be_placed_anew(&self) -> bool {
        matches!(self.placement, Placement::Free(_)) && self.possible_execution.is_none()
    }

    /// Whether it is still to be charged to its volume's rate limit.
    pub(super) fn owes_rate_limit(&self) -> bool {
        self.rate_limit_charge == RateLimitCharge::Pending
    }

    pub(super) fn is_queued(&self) -> bool {
        matches!(self.state, RequestState::Queued)
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(self.state, RequestState::Answered { .. })
    }

    pub(super) fn attempt_in_flight(&self) -> Option<&AttemptInFlight> {
        match &self.state {
            RequestState::Queued => None,
            RequestState::InFlight(attempt) => Some(attempt),
            RequestState::Answered { in_flight } => in_flight.as_ref(),
        }
    }

    pub(super) fn attempt_in_flight_mut(&mut self) -> Option<&mut AttemptInFlight> {
        match &mut self.state {
            RequestState::Queued => None,
            RequestState::InFlight(attempt) => Some(attempt),
            RequestState::Answered { in_flight } => in_flight.as_mut(),
        }
    }

    /// Takes the attempt that is in flight, which has ended; a request without its final answer is queued
    /// again.
    pub(super) fn take_attempt(&mut self) -> Option<AttemptInFlight> {
        match &mut self.state {
            RequestState::Queued => None,
            RequestState::Answered { in_flight } => in_flight.take(),
            RequestState::InFlight(_) => match std::mem::replace(&mut self.state, RequestState::Queued) {
                RequestState::InFlight(attempt) => Some(attempt),
                RequestState::Queued | RequestState::Answered { .. } => None,
            },
        }
    }

    /// Records that the request has its final answer; returns whether it had none before.
    pub(super) fn mark_answered(&mut self) -> bool {
        if self.is_answered() {
            return false;
        }
        let in_flight = self.take_attempt();
        self.state = RequestState::Answered { in_flight };
        true
    }
}
