//! The future on which a front end awaits the final answer to a request.

use super::{FinalAnswer, RouterHandle, StartPermit};
use crate::scheduler::RequestId;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::oneshot;

/// Resolves with the final answer to a request, or with [`FinalAnswer::Failed`] if the router has stopped. If
/// dropped before it resolves, no attempt starts from then on, and the router is notified that the client has
/// disconnected.
pub struct PendingAnswer<P, R> {
    request: RequestId,
    answer: oneshot::Receiver<FinalAnswer<R>>,
    start_permit: StartPermit,
    router: RouterHandle<P, R>,
    answered: bool,
}

impl<P, R> PendingAnswer<P, R> {
    pub(super) fn new(
        request: RequestId,
        answer: oneshot::Receiver<FinalAnswer<R>>,
        start_permit: StartPermit,
        router: RouterHandle<P, R>,
    ) -> Self {
        PendingAnswer { request, answer, start_permit, router, answered: false }
    }

    /// Returns the permit to start attempts for the request.
    pub fn start_permit(&self) -> StartPermit {
        self.start_permit.clone()
    }
}

impl<P, R> Future for PendingAnswer<P, R> {
    type Output = FinalAnswer<R>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FinalAnswer<R>> {
        let answer = ready!(Pin::new(&mut self.answer).poll(cx));
        self.answered = true;
        Poll::Ready(answer.unwrap_or(FinalAnswer::Failed))
    }
}

impl<P, R> Drop for PendingAnswer<P, R> {
    fn drop(&mut self) {
        if !self.answered {
            self.start_permit.revoke();
            self.router.client_disconnected(self.request);
        }
    }
}
