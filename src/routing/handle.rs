//! The handle through which other tasks send commands to the router.

use super::pending::PendingAnswer;
use super::router::Command;
use super::{AttemptResult, FinalAnswer, StartPermit};
use crate::scheduler::{EndpointUpdate, IncomingRequest, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Sends commands to a [`RequestRouter`](super::RequestRouter). `P` is the payload that a front end submits
/// with a request; `R` is a storage node's response.
pub struct RouterHandle<P, R> {
    commands: mpsc::UnboundedSender<Command<P, R>>,
    next_request: Rc<Cell<u32>>,
}

impl<P, R> Clone for RouterHandle<P, R> {
    fn clone(&self) -> Self {
        RouterHandle { commands: self.commands.clone(), next_request: self.next_request.clone() }
    }
}

impl<P, R> RouterHandle<P, R> {
    pub(super) fn new(commands: mpsc::UnboundedSender<Command<P, R>>) -> Self {
        RouterHandle { commands, next_request: Rc::default() }
    }

    /// Submits a request, whose id must come from [`next_request_id`](Self::next_request_id). The request is
    /// answered no later than `incoming.expires_at_us` plus the settings' `answer_grace_us`.
    pub fn submit(&self, incoming: IncomingRequest, payload: P) -> PendingAnswer<P, R> {
        let id = incoming.id;
        let (responder, answer) = oneshot::channel::<FinalAnswer<R>>();
        let start_permit = StartPermit::default();
        let permit = start_permit.clone();
        self.send(Command::Submit { incoming, payload, start_permit, responder });
        PendingAnswer::new(id, answer, permit, self.clone())
    }

    /// Returns the id for a request that is about to be submitted. Ids wrap around after 2^32 requests, so
    /// they are unique only among the requests in progress.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number.wrapping_add(1));
        RequestId(number)
    }

    /// Reports that a storage node's response to an attempt has started. The response becomes the request's
    /// final answer; the end of the attempt must still be reported.
    pub fn response_started(&self, request: RequestId, response: R) {
        self.send(Command::ResponseStarted { request, response });
    }

    /// Reports the end of an attempt. The report is ignored if the attempt with this index is not in flight.
    pub fn attempt_ended(&self, request: RequestId, attempt_index: u32, result: AttemptResult<R>) {
        self.send(Command::AttemptEnded { request, attempt_index, result });
    }

    /// Reports an update of the endpoint list, or a failed poll.
    pub fn endpoints_updated(&self, update: EndpointUpdate) {
        self.send(Command::EndpointsUpdated(update));
    }

    /// Reports that the client of a request has disconnected.
    pub(super) fn client_disconnected(&self, request: RequestId) {
        self.send(Command::ClientDisconnected(request));
    }

    /// Sends a command to the router. The error is ignored: sending fails only if the router has stopped,
    /// which happens only when the program exits.
    fn send(&self, command: Command<P, R>) {
        let _ = self.commands.send(command);
    }
}
