//! Converts a storage node's response to the client's response, with the bucket, key and upload id that the
//! client uses.

use super::Rejection;
use super::routed_request::RoutedRequest;
use crate::protocol::object::{
    ApiError, ErrorBody, ObjectPath, ObjectRequest, Operation, Upload, UploadKey, decode_completion_result,
    decode_error, decode_initiation_result, decode_parts_list, encode_completion_result,
    encode_initiation_result, encode_parts_list, headers_to_client,
};
use crate::transport::{ResponseBody, full_body};
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

/// Converts a storage node's response that was read completely to the client's response. Returns an error if
/// the node responded with a client error, with an error in place of a completion, or with malformed XML.
pub(super) fn client_response(
    response: Response<Bytes>,
    routed: RoutedRequest,
    upload_key: &UploadKey,
) -> Result<Response<ResponseBody>, Rejection> {
    let (head, body) = response.into_parts();
    if head.status.is_client_error() {
        return Err(client_error(&head, &body).into());
    }
    let xml = match &routed.request.operation {
        Operation::InitiateUpload => initiation_body(&body, routed, upload_key)?,
        Operation::CompleteUpload { .. } => completion_body(&body, &routed.request)?,
        Operation::ListParts { upload_id, .. } => parts_list_body(&body, &routed.request, upload_id)?,
        _ => return Ok(forwarded_response(&head, full_body(body))),
    };
    let mut response = Response::new(full_body(xml));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
    Ok(response)
}

/// Returns a storage node's response with only the headers that are forwarded to the client.
pub(super) fn forwarded_response(head: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers_to_client(&head.headers);
    response
}

fn client_error(head: &Parts, body: &Bytes) -> ApiError {
    let ErrorBody { code, message } = decode_error(body).unwrap_or_else(|| {
        let reason = head.status.canonical_reason().unwrap_or("Error");
        ErrorBody { code: reason.replace(' ', ""), message: format!("{reason}.") }
    });
    let mut error = ApiError::new(head.status, &code, &message);
    *error.headers = headers_to_client(&head.headers);
    error.headers.remove(CONTENT_LENGTH);
    error
}

fn initiation_body(body: &Bytes, routed: RoutedRequest, upload_key: &UploadKey) -> Result<String, ApiError> {
    let RoutedRequest { tenant, request, rack, .. } = routed;
    let node_upload_id = decode_initiation_result(body).ok_or_else(ApiError::internal_error)?;
    let path = ObjectPath { tenant: &tenant.name, bucket: &request.bucket, key: &request.key };
    let id = upload_key.sign(path, &Upload { rack, node_upload_id });
    Ok(encode_initiation_result(&request.bucket, &request.key, &id))
}

/// Returns the body of the client's response to a completed upload. S3 may send status 200 before the
/// completion has ended and then report an error in the body; such an error is returned.
fn completion_body(body: &Bytes, request: &ObjectRequest) -> Result<String, ApiError> {
    let ObjectRequest { bucket, key, .. } = request;
    if let Some(etag) = decode_completion_result(body) {
        return Ok(encode_completion_result(&format!("/{bucket}/{key}"), bucket, key, &etag));
    }
    match decode_error(body) {
        Some(ErrorBody { code, message }) => {
            Err(ApiError::new(StatusCode::INTERNAL_SERVER_ERROR, &code, &message))
        }
        None => Err(ApiError::internal_error()),
    }
}

fn parts_list_body(body: &Bytes, request: &ObjectRequest, upload_id: &str) -> Result<String, ApiError> {
    let listing = decode_parts_list(body).ok_or_else(ApiError::internal_error)?;
    Ok(encode_parts_list(listing, &request.bucket, &request.key, upload_id))
}
