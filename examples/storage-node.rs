//! An example storage node for trying out the object API. It stores objects and uploads in memory only, so
//! they are lost when the process exits.
//!
//! Pass the address to listen on as the argument, such as `storage-node 127.0.0.1:9001`. The node prints the
//! method and the URI of each request that it can decode.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE, ETAG};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::RangeInclusive;
use std::rc::Rc;
use storage_gateway::protocol::object::{self, ApiError, ByteRange, ListedPart, Operation, PartsList};
use storage_gateway::transport::{ConnectionLimits, LifecyclePhase, ResponseBody, full_body, serve};

/// The address to listen on if no argument is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:9001";
/// Connection limits that suffice for a few gateways.
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits { max_served: 100, max_rejected: 10 };

type NodeResponse = Result<Response<ResponseBody>, ApiError>;

/// A stored object, or a stored part of an upload.
#[derive(Clone)]
struct StoredObject {
    bytes: Bytes,
    content_type: Option<HeaderValue>,
    etag: String,
}

impl StoredObject {
    fn new(bytes: Bytes, content_type: Option<HeaderValue>) -> Self {
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        StoredObject { bytes, content_type, etag: format!("\"{:016x}\"", hasher.finish()) }
    }

    /// Returns the positions of the first and last byte of the range within the object, or `None` if the
    /// object contains no byte of the range.
    fn resolve(&self, range: &ByteRange) -> Option<RangeInclusive<usize>> {
        let size = self.bytes.len() as u64;
        let end = size.checked_sub(1)?;
        let (first, last) = match *range {
            ByteRange::Span(first, last) => (first, last.min(end)),
            ByteRange::From(first) => (first, end),
            ByteRange::Suffix(count) => (size.saturating_sub(count), end),
        };
        (first <= last).then_some(first as usize..=last as usize)
    }
}

/// The result of a write. The node stores it and returns it for later writes with the same idempotency key.
#[derive(Clone)]
struct WriteResult {
    status: StatusCode,
    body: String,
    etag: Option<String>,
}

impl WriteResult {
    fn stored(etag: String) -> Self {
        WriteResult { status: StatusCode::OK, body: String::new(), etag: Some(etag) }
    }

    fn removed() -> Self {
        WriteResult { status: StatusCode::NO_CONTENT, body: String::new(), etag: None }
    }

    fn into_response(self) -> Response<ResponseBody> {
        let mut response = response(self.status, self.body);
        if let Some(etag) = self.etag {
            response.headers_mut().insert(ETAG, object::header_value(etag));
        }
        response
    }
}

/// The parts of an upload, by part number.
type Parts = BTreeMap<u32, StoredObject>;

/// The state of the node.
#[derive(Default)]
struct Store {
    /// Objects by request path.
    objects: BTreeMap<String, StoredObject>,
    /// Parts of the uploads in progress, by upload id.
    uploads: BTreeMap<String, Parts>,
    /// Number of uploads initiated so far; the upload ids are derived from it.
    uploads_initiated: u64,
    /// Results of successful writes, by idempotency key; the key is empty for a write without one.
    results: BTreeMap<String, WriteResult>,
}

impl Store {
    fn read(&self, path: &str, head_only: bool, range: Option<ByteRange>) -> NodeResponse {
        let missing = || ApiError::new(StatusCode::NOT_FOUND, "NoSuchKey", "The key does not exist.");
        let object = self.objects.get(path).ok_or_else(missing)?;
        let size = object.bytes.len();
        let (status, bytes, content_range) = match range {
            None => (StatusCode::OK, object.bytes.clone(), None),
            Some(range) => {
                let span = object.resolve(&range).ok_or_else(|| unsatisfiable_range(size))?;
                let content_range = format!("bytes {}-{}/{size}", span.start(), span.end());
                (StatusCode::PARTIAL_CONTENT, object.bytes.slice(span), Some(content_range))
            }
        };
        let length = bytes.len();
        let mut response = response(status, if head_only { Bytes::new() } else { bytes });
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, length.into());
        headers.insert(ETAG, object::header_value(object.etag.clone()));
        headers.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
        if let Some(content_range) = content_range {
            headers.insert(CONTENT_RANGE, object::header_value(content_range));
        }
        if let Some(content_type) = object.content_type.clone() {
            headers.insert(CONTENT_TYPE, content_type);
        }
        Ok(response)
    }

    fn list_parts(&self, upload_id: &str) -> NodeResponse {
        let parts = self.uploads.get(upload_id).ok_or_else(ApiError::no_such_upload)?;
        let listed = parts.iter().map(|(number, part)| ListedPart {
            number: *number,
            last_modified: None,
            etag: part.etag.clone(),
            size: part.bytes.len() as u64,
        });
        let listing = PartsList::new(listed.collect());
        Ok(response(StatusCode::OK, object::encode_parts_list(listing, "", "", upload_id)))
    }

    /// Performs a write, or returns the result of an earlier write with the same idempotency key. All writes
    /// without a key share the empty key: after the first one succeeds, the others only return its result.
    fn write_once(
        &mut self,
        idempotency_key: &str,
        path: &str,
        operation: Operation,
        received: StoredObject,
    ) -> Result<WriteResult, ApiError> {
        if let Some(earlier) = self.results.get(idempotency_key) {
            return Ok(earlier.clone());
        }
        let result = self.write(path, operation, received)?;
        self.results.insert(idempotency_key.into(), result.clone());
        Ok(result)
    }

    fn write(
        &mut self,
        path: &str,
        operation: Operation,
        received: StoredObject,
    ) -> Result<WriteResult, ApiError> {
        match operation {
            Operation::Put => Ok(self.put(path, received)),
            Operation::Delete => {
                self.objects.remove(path);
                Ok(WriteResult::removed())
            }
            Operation::InitiateUpload => Ok(self.initiate_upload()),
            Operation::UploadPart { upload_id, number } => {
                let parts = self.uploads.get_mut(&upload_id).ok_or_else(ApiError::no_such_upload)?;
                let etag = received.etag.clone();
                parts.insert(number, received);
                Ok(WriteResult::stored(etag))
            }
            Operation::CompleteUpload { upload_id } => {
                self.complete_upload(path, &upload_id, &received.bytes)
            }
            Operation::AbortUpload { upload_id } => {
                self.uploads.remove(&upload_id).ok_or_else(ApiError::no_such_upload)?;
                Ok(WriteResult::removed())
            }
            Operation::Read { .. } | Operation::ListParts { .. } => unreachable!("not a write"),
        }
    }

    fn put(&mut self, path: &str, object: StoredObject) -> WriteResult {
        let etag = object.etag.clone();
        self.objects.insert(path.into(), object);
        WriteResult::stored(etag)
    }

    fn initiate_upload(&mut self) -> WriteResult {
        self.uploads_initiated += 1;
        let upload_id = format!("toy-{}", self.uploads_initiated);
        let body = object::encode_initiation_result("", "", &upload_id);
        self.uploads.insert(upload_id, Parts::new());
        WriteResult { status: StatusCode::OK, body, etag: None }
    }

    /// Assembles an object from the parts that the body lists, and ends the upload.
    fn complete_upload(&mut self, path: &str, upload_id: &str, body: &[u8]) -> Result<WriteResult, ApiError> {
        let parts = self.uploads.get(upload_id).ok_or_else(ApiError::no_such_upload)?;
        let mut bytes = Vec::new();
        for listed in object::decode_completion_request(body)? {
            let stored = parts.get(&listed.number).filter(|part| part.etag == listed.etag);
            let invalid = || ApiError::new(StatusCode::BAD_REQUEST, "InvalidPart", "No such part.");
            bytes.extend_from_slice(&stored.ok_or_else(invalid)?.bytes);
        }
        self.uploads.remove(upload_id);
        let assembled = StoredObject::new(bytes.into(), None);
        let etag = assembled.etag.clone();
        self.objects.insert(path.into(), assembled);
        let body = object::encode_completion_result("", "", "", &etag);
        Ok(WriteResult { status: StatusCode::OK, body, etag: Some(etag) })
    }
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

fn unsatisfiable_range(size: usize) -> ApiError {
    let message = "The range cannot be satisfied.";
    let mut error = ApiError::new(StatusCode::RANGE_NOT_SATISFIABLE, "InvalidRange", message);
    error.headers.insert(CONTENT_RANGE, object::header_value(format!("bytes */{size}")));
    error
}

/// Returns the idempotency key of the request, or an empty string if the request has none or the key is not
/// visible ASCII text.
fn idempotency_key(headers: &HeaderMap) -> &str {
    headers.get("idempotency-key").and_then(|key| key.to_str().ok()).unwrap_or("")
}

async fn handle_request(store: Rc<RefCell<Store>>, request: Request<Incoming>) -> NodeResponse {
    let (head, body) = request.into_parts();
    let operation = object::decode(&head)?.operation;
    let bytes =
        body.collect().await.map_err(|_| ApiError::invalid_argument("The body broke off."))?.to_bytes();
    let path = head.uri.path();
    println!("{} {}", head.method, head.uri);
    match operation {
        Operation::Read { head_only, range } => store.borrow().read(path, head_only, range),
        Operation::ListParts { upload_id, .. } => store.borrow().list_parts(&upload_id),
        operation => {
            let received = StoredObject::new(bytes, head.headers.get(CONTENT_TYPE).cloned());
            let key = idempotency_key(&head.headers);
            let result = store.borrow_mut().write_once(key, path, operation, received)?;
            Ok(result.into_response())
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or(DEFAULT_ADDRESS.into());
    let listener = tokio::net::TcpListener::bind(&address).await?;
    println!("storage node listening on {}", listener.local_addr()?);
    let store = Rc::new(RefCell::new(Store::default()));
    // Keeps the phase channel open: `serve` stops accepting connections once the sender is dropped.
    let (_serving, phase) = tokio::sync::watch::channel(LifecyclePhase::Serving);
    let service = move |request: Request<Incoming>, _| {
        let (store, path) = (store.clone(), request.uri().path().to_string());
        async move {
            handle_request(store, request)
                .await
                .unwrap_or_else(|error| response(error.status, object::encode_error(&error, &path, "")))
        }
    };
    tokio::task::LocalSet::new().run_until(serve(listener, CONNECTION_LIMITS, phase, service)).await;
    Ok(())
}
