//! The handle to the router's actor.

use super::pending::PendingResponse;
use super::router::Command;
use super::{AttemptResult, FinalAnswer};
use crate::scheduler::{EndpointUpdate, IncomingRequest, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Sends commands to a [`RequestRouter`](super::RequestRouter). `P` is what a front end submits with a
/// request, `R` a storage node's response to it.
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

    /// Submits a request, whose number is one of [`next_request_id`](Self::next_request_id). It is answered by
    /// `request.expires_at_us`, plus the grace that the settings give.
    pub fn submit(&self, request: IncomingRequest, payload: P) -> PendingResponse<P, R> {
        let id = request.id;
        let (responder, answer) = oneshot::channel::<FinalAnswer<R>>();
        self.send(Command::Submit { request, payload, responder });
        PendingResponse::new(id, answer, self.clone())
    }

    /// The number for a request that is about to be submitted; no two requests in flight have the same.
    pub fn next_request_id(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number.wrapping_add(1));
        RequestId(number)
    }

    /// An attempt's response has started and now belongs to the client; the attempt's end is still to be
    /// reported.
    pub fn response_started(&self, request: RequestId, response: R) {
        self.send(Command::ResponseStarted { request, response });
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, request: RequestId, attempt: u32, result: AttemptResult<R>) {
        self.send(Command::AttemptEnded { request, attempt, result });
    }

    /// The endpoint list or a part of it has arrived, or a poll has failed.
    pub fn endpoints_updated(&self, update: EndpointUpdate) {
        self.send(Command::EndpointsUpdated(update));
    }

    /// The client of a request has disconnected.
    pub(super) fn client_disconnected(&self, request: RequestId) {
        self.send(Command::ClientDisconnected(request));
    }

    /// The router outlives its handles; only at the very end of the program is there none to receive a
    /// command.
    fn send(&self, command: Command<P, R>) {
        let _ = self.commands.send(command);
    }
}
