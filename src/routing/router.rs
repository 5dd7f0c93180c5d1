//! The router: the actor that owns the scheduler and all requests in progress.

use super::{
    Attempt, AttemptResult, AttemptTransport, Clock, FinalAnswer, RequestMetrics, RouterHandle, StartPermit,
};
use crate::scheduler::{
    Action, AttemptOutcome, AttemptReport, EndpointUpdate, Event, IncomingRequest, NodeId, RequestId,
    Scheduler, SchedulerSettings,
};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of commands in one batch. Without a limit, a flood of commands could keep the scheduler
/// from running.
const MAX_BATCH_LEN: usize = 512;

/// A command sent by a [`RouterHandle`].
pub(super) enum Command<P, R> {
    Submit {
        incoming: IncomingRequest,
        payload: P,
        start_permit: StartPermit,
        responder: oneshot::Sender<FinalAnswer<R>>,
    },
    ClientDisconnected(RequestId),
    ResponseStarted {
        request: RequestId,
        response: R,
    },
    AttemptEnded {
        request: RequestId,
        attempt_index: u32,
        result: AttemptResult<R>,
    },
    EndpointsUpdated(EndpointUpdate),
}

/// A request in progress: it has no final answer yet, or it has an attempt in flight.
struct RequestInProgress<P, R> {
    payload: Rc<P>,
    /// Sends the final answer; `None` once the request has been answered or its client has disconnected.
    responder: Option<oneshot::Sender<FinalAnswer<R>>>,
    start_permit: StartPermit,
    expires_at_us: u64,
    /// The number of attempts handed to the transport, which is also the index of the next attempt. The
    /// scheduler uses the same indexes. It also counts an attempt that the router did not hand over, but it
    /// never sends another attempt after one of those.
    attempts_started: u32,
    /// The attempt in flight; the scheduler sends at most one at a time for each request.
    attempt: Option<InFlightAttempt>,
}

struct InFlightAttempt {
    /// The attempt's index among the request's attempts, from 0.
    index: u32,
    node: NodeId,
    sent_at_us: u64,
    /// Dropping the sender cancels the attempt; `None` once it has been cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

/// A timer set by the scheduler. Timers are ordered by the time at which they expire.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    expires_at_us: u64,
    token: u64,
}

/// The actor that owns the scheduler and all requests in progress, and gives each request exactly one final
/// answer. `P` is the payload that a front end submits with a request; `R` is a storage node's response.
pub struct RequestRouter<P, R> {
    clock: Clock,
    scheduler: Scheduler,
    commands: mpsc::UnboundedReceiver<Command<P, R>>,
    requests: FxHashMap<RequestId, RequestInProgress<P, R>>,
    timers: BinaryHeap<Reverse<Timer>>,
    metrics: Rc<RequestMetrics>,
}

impl<P, R> RequestRouter<P, R> {
    /// Creates the router of a gateway, and a handle to it. `seed` initializes the scheduler's random
    /// numbers.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        clock: Clock,
        metrics: Rc<RequestMetrics>,
    ) -> (Self, RouterHandle<P, R>) {
        let (sender, commands) = mpsc::unbounded_channel();
        let router = RequestRouter {
            clock,
            scheduler: Scheduler::new(settings, seed, clock.now_us()),
            commands,
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            metrics,
        };
        (router, RouterHandle::new(sender))
    }

    /// Handles commands and timers until the last handle is dropped.
    pub async fn run(mut self, mut transport: impl AttemptTransport<P>) {
        let mut commands = Vec::new();
        loop {
            let next_expiry = self.timers.peek().map(|timer| self.clock.instant_at(timer.0.expires_at_us));
            let timer_expired = async {
                match next_expiry {
                    Some(expiry) => tokio::time::sleep_until(expiry).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                received = self.commands.recv_many(&mut commands, MAX_BATCH_LEN) => {
                    if received == 0 {
                        return;
                    }
                }
                () = timer_expired => {}
            }
            let now_us = self.clock.now_us();
            let events =
                commands.drain(..).filter_map(|command| self.handle_command(command, now_us)).collect();
            self.run_scheduler(events, now_us, &mut transport);
        }
    }

    /// Runs the scheduler on `events` and the expired timers and applies its actions, until neither events
    /// nor expired timers remain. An attempt that must not be started produces an event for the next round.
    fn run_scheduler(
        &mut self,
        mut events: Vec<Event>,
        now_us: u64,
        transport: &mut impl AttemptTransport<P>,
    ) {
        while !events.is_empty() || self.has_expired_timer(now_us) {
            while self.has_expired_timer(now_us) {
                events.extend(self.timers.pop().map(|timer| Event::TimerFired(timer.0.token)));
            }
            let mut actions = Vec::new();
            self.scheduler.handle(now_us, &events, &mut actions);
            events = actions
                .into_iter()
                .filter_map(|action| self.apply_action(action, now_us, transport))
                .collect();
        }
    }

    fn has_expired_timer(&self, now_us: u64) -> bool {
        self.timers.peek().is_some_and(|timer| timer.0.expires_at_us <= now_us)
    }

    /// Handles a command and returns the event to pass to the scheduler, if any.
    fn handle_command(&mut self, command: Command<P, R>, now_us: u64) -> Option<Event> {
        match command {
            Command::Submit { incoming, payload, start_permit, responder } => {
                Some(self.register(incoming, payload, start_permit, responder))
            }
            Command::ClientDisconnected(request) => {
                self.take_responder(request)?;
                self.metrics.client_disconnected.increment();
                self.remove_if_complete(request);
                Some(Event::ClientDisconnected(request))
            }
            Command::ResponseStarted { request, response } => {
                self.answer(request, FinalAnswer::Served(response));
                Some(Event::ResponseStarted(request))
            }
            Command::AttemptEnded { request, attempt_index, result } => {
                self.end_attempt(request, attempt_index, result, now_us)
            }
            Command::EndpointsUpdated(update) => Some(Event::EndpointsUpdated(update)),
        }
    }

    fn register(
        &mut self,
        incoming: IncomingRequest,
        payload: P,
        start_permit: StartPermit,
        responder: oneshot::Sender<FinalAnswer<R>>,
    ) -> Event {
        self.metrics.received.increment();
        let entry = RequestInProgress {
            payload: Rc::new(payload),
            responder: Some(responder),
            start_permit,
            expires_at_us: incoming.expires_at_us,
            attempts_started: 0,
            attempt: None,
        };
        self.requests.insert(incoming.id, entry);
        Event::RequestArrived(incoming)
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt_index: u32,
        mut result: AttemptResult<R>,
        now_us: u64,
    ) -> Option<Event> {
        let entry = self.requests.get_mut(&request)?;
        let ended = entry.attempt.take_if(|in_flight| in_flight.index == attempt_index)?;
        self.metrics.count_attempt(result.outcome);
        if let Some(response) = result.response.take().filter(|_| result.outcome == AttemptOutcome::Succeeded)
        {
            self.answer(request, FinalAnswer::Served(response));
        }
        let event = self.attempt_ended_event(request, ended.node, ended.sent_at_us, &result, now_us);
        self.remove_if_complete(request);
        Some(event)
    }

    /// Returns the event that reports the end of an attempt to the scheduler.
    fn attempt_ended_event(
        &self,
        request: RequestId,
        node: NodeId,
        sent_at_us: u64,
        result: &AttemptResult<R>,
        now_us: u64,
    ) -> Event {
        Event::AttemptEnded(AttemptReport {
            request,
            outcome: result.outcome,
            latency_us: now_us.saturating_sub(sent_at_us),
            is_final: self.requests.get(&request).is_none_or(|entry| entry.responder.is_none()),
            node,
            volume_rate_percent: result.volume_rate_percent,
            units_via_other_gateways: result.units_via_other_gateways,
            load: result.load,
        })
    }

    /// Applies an action and returns the event that immediately follows from it, if any.
    fn apply_action(
        &mut self,
        action: Action,
        now_us: u64,
        transport: &mut impl AttemptTransport<P>,
    ) -> Option<Event> {
        match action {
            Action::SendAttempt { request, node, timeout_us } => {
                return self.send_attempt(request, node, timeout_us, now_us, transport);
            }
            Action::CancelAttempt { request, attempt_index } => self.cancel_attempt(request, attempt_index),
            Action::Reject { request, retry_after_us } => {
                self.answer(request, FinalAnswer::Rejected { retry_after_us });
                self.remove_if_complete(request);
            }
            Action::Fail { request } => {
                self.answer(request, FinalAnswer::Failed);
                self.remove_if_complete(request);
            }
            Action::SetTimer { after_us, token } => {
                self.timers.push(Reverse(Timer { expires_at_us: now_us + after_us, token }));
            }
            Action::WatchEndpoints => transport.watch_endpoints(),
        }
        None
    }

    /// Hands an attempt to the transport. If the request has been answered or has expired, or its client has
    /// disconnected, returns the event that reports the attempt as not sent instead.
    fn send_attempt(
        &mut self,
        request: RequestId,
        node: NodeId,
        timeout_us: Option<u64>,
        now_us: u64,
        transport: &mut impl AttemptTransport<P>,
    ) -> Option<Event> {
        let awaits_answer =
            |entry: &&mut RequestInProgress<P, R>| entry.responder.is_some() && now_us < entry.expires_at_us;
        let Some(entry) = self.requests.get_mut(&request).filter(awaits_answer) else {
            let result = AttemptResult::without_response(AttemptOutcome::NotSent);
            self.metrics.count_attempt(result.outcome);
            return Some(self.attempt_ended_event(request, node, now_us, &result, now_us));
        };
        self.metrics.attempts_started.increment();
        let index = entry.attempts_started;
        entry.attempts_started += 1;
        let (cancel, cancelled) = oneshot::channel();
        entry.attempt =
            Some(InFlightAttempt { index, node: node.clone(), sent_at_us: now_us, cancel: Some(cancel) });
        let expires_at_us = entry.expires_at_us;
        let deadline_us =
            timeout_us.map_or(expires_at_us, |timeout_us| expires_at_us.min(now_us + timeout_us));
        transport.start(Attempt {
            request,
            index,
            node,
            payload: entry.payload.clone(),
            deadline: self.clock.instant_at(deadline_us),
            cancelled,
            start_permit: entry.start_permit.clone(),
        });
        None
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt_index: u32) {
        let attempt = self.requests.get_mut(&request).and_then(|entry| entry.attempt.as_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.index == attempt_index) {
            attempt.cancel = None;
        }
    }

    /// Takes the sender for the final answer, and revokes the permit to start attempts for the request.
    /// Returns `None` if the request has already been answered, its client has disconnected, or it is
    /// unknown.
    fn take_responder(&mut self, request: RequestId) -> Option<oneshot::Sender<FinalAnswer<R>>> {
        let entry = self.requests.get_mut(&request)?;
        entry.start_permit.revoke();
        entry.responder.take()
    }

    /// Sends the final answer; does nothing if the request has been answered or its client has disconnected.
    fn answer(&mut self, request: RequestId, answer: FinalAnswer<R>) {
        let Some(responder) = self.take_responder(request) else { return };
        self.metrics.count_answer(&answer);
        // Sending fails only if the client has just disconnected and no longer needs an answer.
        let _ = responder.send(answer);
    }

    /// Removes the request if it no longer needs an answer and has no attempt in flight.
    fn remove_if_complete(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|entry| entry.responder.is_none() && entry.attempt.is_none())
        {
            self.requests.remove(&request);
        }
    }
}
