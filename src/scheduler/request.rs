//! Tracks a request from its arrival until it needs no further attempt and has none in flight.

use super::event::{BlockId, ShardId, VolumeId};
use super::node::NodeIndex;
use super::settings::{ClassIndex, PlanIndex};

/// The state of an attempt from its sending until its end is reported.
pub(super) struct AttemptInFlight {
    pub(super) node: NodeIndex,
    pub(super) sent_at_us: u64,
    /// The node's count of successful attempts when this attempt was sent. If the count has grown since, the
    /// node has served other attempts in the meantime.
    pub(super) node_successes: u64,
    /// Whether the attempt is presumed lost. It then no longer occupies a slot of the node's concurrency
    /// window.
    pub(super) presumed_lost: bool,
}

/// An attempt that may have executed the request, because the attempt ended without proof that the request
/// was not executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    pub(super) node: NodeIndex,
    pub(super) sent_at_us: u64,
}

/// The progress of a request.
pub(super) enum RequestState {
    /// The request waits to be sent.
    Queued,
    /// One attempt of the request is in flight. There is never more than one at a time.
    InFlight(AttemptInFlight),
    /// The request has its final answer, or its client has disconnected. The request is not sent again. If an
    /// attempt is still in flight, the request is retained until the attempt ends.
    Answered { in_flight: Option<AttemptInFlight> },
}

/// The shard that a request is sent to.
#[derive(Clone, Copy)]
pub(super) enum Placement {
    /// The request needs the shard that holds its data.
    Fixed(ShardId),
    /// The request writes a new object, for which the scheduler chooses a shard; `None` if no node was ready
    /// at the time of the choice.
    AnyShard(Option<ShardId>),
}

/// Whether a request has been charged to its volume's rate limit.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RateLimitCharge {
    /// The request is charged when it is first sent.
    Pending,
    /// The request has been charged, or its plan has no rate limit.
    Settled,
}

/// A request that has arrived and has not been removed.
pub(super) struct Request {
    pub(super) class: ClassIndex,
    pub(super) plan: PlanIndex,
    pub(super) volume: VolumeId,
    pub(super) block: Option<BlockId>,
    pub(super) placement: Placement,
    pub(super) units: f64,
    pub(super) arrived_at_us: u64,
    /// The time by which the request should be sent: its arrival plus the queueing budget of its class.
    pub(super) queueing_deadline_us: u64,
    /// The time by which the request should be answered to meet its latency objective. A later answer counts
    /// only the late fraction of the priority weight. For a class without an objective, the time is computed
    /// with an objective of 0.
    pub(super) objective_at_us: u64,
    /// When the client times out.
    pub(super) expires_at_us: u64,
    pub(super) state: RequestState,
    /// The number of attempts sent so far.
    pub(super) attempts: u32,
    /// The node of the latest attempt; `None` before the first one.
    pub(super) last_node: Option<NodeIndex>,
    /// The first attempt that may have executed the request; `None` if no attempt may have.
    pub(super) possible_execution: Option<PossibleExecution>,
    /// Whether the response has started to stream to the client. The request then no longer expires.
    pub(super) response_started: bool,
    /// Whether the request is within its volume's reservation.
    pub(super) reserved: bool,
    /// Whether the latest attempt was selected from a rank below the preferred dispatch rank; its units were
    /// then charged to the node's fair queue. False before the first attempt.
    pub(super) sent_from_lower_rank: bool,
    pub(super) rate_limit_charge: RateLimitCharge,
}

impl Request {
    /// Returns the shard that the request is sent to; `None` if no shard has been chosen for a new object.
    pub(super) fn shard(&self) -> Option<ShardId> {
        match self.placement {
            Placement::Fixed(shard) => Some(shard),
            Placement::AnyShard(chosen) => chosen,
        }
    }

    /// Returns whether the scheduler may still choose another shard for the request. This is the case if the
    /// request writes a new object and cannot have been executed by any node.
    pub(super) fn may_change_shard(&self) -> bool {
        matches!(self.placement, Placement::AnyShard(_)) && self.possible_execution.is_none()
    }

    /// Returns whether the request still has to be charged to its volume's rate limit; false if its plan has
    /// no rate limit.
    pub(super) fn is_rate_limit_charge_pending(&self) -> bool {
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

    /// Removes and returns the attempt in flight, if there is one. A request in the state
    /// [`RequestState::InFlight`] returns to [`RequestState::Queued`].
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

    /// Changes the state to [`RequestState::Answered`]. Returns whether the request was in another state
    /// before.
    pub(super) fn mark_answered(&mut self) -> bool {
        if self.is_answered() {
            return false;
        }
        let in_flight = self.take_attempt();
        self.state = RequestState::Answered { in_flight };
        true
    }
}
