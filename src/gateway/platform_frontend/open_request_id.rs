//! Registers the ids of the requests in progress.

use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;
use std::cell::RefCell;

/// The ids of the requests in progress.
///
/// Storage nodes and the platform's rules identify a request by its id, so a request with the id of another
/// request in progress, possibly of another client, must be rejected.
#[derive(Default)]
pub struct OpenRequestIds(RefCell<FxHashSet<HeaderValue>>);

impl OpenRequestIds {
    /// Registers the id of a request until the returned guard is dropped. Returns `None` if a request with
    /// this id is in progress.
    pub(super) fn register(&self, id: &HeaderValue) -> Option<OpenRequestId<'_>> {
        let OpenRequestIds(open_ids) = self;
        open_ids.borrow_mut().insert(id.clone()).then(|| OpenRequestId { open_ids, id: id.clone() })
    }
}

/// A guard that keeps a request's id registered while the request is in progress.
pub(super) struct OpenRequestId<'a> {
    open_ids: &'a RefCell<FxHashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}
