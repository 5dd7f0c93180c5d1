//! The ids of the requests in progress.

use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;
use std::cell::RefCell;

/// Registers a request's id for as long as the request is in progress.
pub(super) struct OpenRequestId<'a> {
    open_ids: &'a RefCell<FxHashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenRequestId<'a> {
    /// None if a request with this id is in progress. Guards against clients that use another's id: storage
    /// nodes and the rules identify a request by it.
    pub fn register(open_ids: &'a RefCell<FxHashSet<HeaderValue>>, id: &HeaderValue) -> Option<Self> {
        open_ids.borrow_mut().insert(id.clone()).then(|| OpenRequestId { open_ids, id: id.clone() })
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}
