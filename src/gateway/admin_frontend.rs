//! Front end for the administration API: authorizes and executes operators' commands.

use super::body_reader::collect_body;
use super::frontend::{Frontend, add_bearer_challenge};
use super::inventory::{InventoryCommand, InventoryReadError};
use super::metrics::GatewayMetrics;
use super::tenants::{TenantRegistry, TokenHash};
use crate::protocol::admin::{self, AdminOperation, AdminRequestError, NodeView, TenantDefinition};
use crate::protocol::object::bearer_token;
use crate::transport::{Admission, LifecyclePhase, RequestContext, ResponseBody, full_body};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum length of a request's body, in bytes.
const MAX_BODY_LEN: usize = 64 * 1024;

/// Front end for the administration API. All requests, including health checks, need the bearer token of the
/// administration API.
pub struct AdminFrontend {
    /// Hash of the bearer token that authorizes requests.
    pub token_hash: TokenHash,
    /// The tenants, shared with the object front end, so that changes take effect at once.
    pub tenants: TenantRegistry,
    /// Sender of commands to the inventory actor.
    pub inventory: mpsc::UnboundedSender<InventoryCommand>,
    /// The gateway's counters, which `/v1/counters` reports.
    pub metrics: Rc<GatewayMetrics>,
    /// Phase of the graceful shutdown, which `/v1/health` reports.
    pub phase: watch::Receiver<LifecyclePhase>,
}

/// The status and the JSON body of a response.
struct AdminResponse {
    status: StatusCode,
    body: Value,
}

impl AdminResponse {
    fn ok(body: Value) -> Self {
        AdminResponse { status: StatusCode::OK, body }
    }

    fn error(status: StatusCode, text: impl Into<String>) -> Self {
        AdminResponse { status, body: json!({"error": text.into()}) }
    }

    /// Returns the response for the case that the inventory actor has ended because the gateway is shutting
    /// down.
    fn stopping() -> Self {
        Self::error(StatusCode::SERVICE_UNAVAILABLE, "stopping")
    }
}

impl From<AdminRequestError> for AdminResponse {
    fn from(error: AdminRequestError) -> Self {
        let status = match error {
            AdminRequestError::UnknownPath => StatusCode::NOT_FOUND,
            AdminRequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        };
        Self::error(status, error.to_string())
    }
}

impl From<InventoryReadError> for AdminResponse {
    fn from(error: InventoryReadError) -> Self {
        let text = error.to_string();
        let places = match error {
            InventoryReadError::Invalid { faults, .. } => json!(faults),
            InventoryReadError::UnknownFormat { .. } | InventoryReadError::Unreadable { .. } => json!([]),
        };
        let body = json!({"error": text, "places": places});
        AdminResponse { status: StatusCode::UNPROCESSABLE_ENTITY, body }
    }
}

impl Frontend for AdminFrontend {
    async fn handle(&self, request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody> {
        let AdminResponse { status, body } = match context.admission {
            Admission::Admitted => self.serve(request).await,
            Admission::Overloaded => {
                AdminResponse::error(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
            }
        };
        let mut response = Response::new(full_body(format!("{body}\n")));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if status == StatusCode::UNAUTHORIZED {
            add_bearer_challenge(response.headers_mut());
        }
        response
    }
}

impl AdminFrontend {
    async fn serve(&self, request: Request<Incoming>) -> AdminResponse {
        if !self.is_authorized(request.headers()) {
            let text = "the administration's bearer token is needed";
            return AdminResponse::error(StatusCode::UNAUTHORIZED, text);
        }
        match admin::decode(request.method().as_str(), request.uri().path()) {
            Ok(operation) => self.execute(operation, request.into_body()).await,
            Err(error) => error.into(),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        bearer_token(headers).is_some_and(|token| TokenHash::of(token) == self.token_hash)
    }

    async fn execute(&self, operation: AdminOperation, body: Incoming) -> AdminResponse {
        match operation {
            AdminOperation::ReportHealth => self.report_health(),
            AdminOperation::ReportCounters => AdminResponse::ok(json!(self.metrics.by_name())),
            AdminOperation::ListTenants => AdminResponse::ok(json!({"tenants": self.tenants.views()})),
            AdminOperation::ShowTenant(name) => self.show_tenant(&name),
            AdminOperation::PutTenant(name) => self.put_tenant(name, body).await,
            AdminOperation::DeleteTenant(name) => self.delete_tenant(&name),
            AdminOperation::ListNodes => self.list_nodes().await,
            AdminOperation::DrainNode(name) => self.drain_node(name).await,
            AdminOperation::ReturnNode(name) => self.return_node(name).await,
            AdminOperation::ReloadInventory => self.reload_inventory().await,
        }
    }

    fn report_health(&self) -> AdminResponse {
        match *self.phase.borrow() {
            LifecyclePhase::Serving => AdminResponse::ok(json!({"status": "serving"})),
            _ => {
                AdminResponse { status: StatusCode::SERVICE_UNAVAILABLE, body: json!({"status": "stopping"}) }
            }
        }
    }

    fn show_tenant(&self, name: &str) -> AdminResponse {
        match self.tenants.views().into_iter().find(|tenant| tenant.name == name) {
            Some(tenant) => AdminResponse::ok(json!(tenant)),
            None => AdminResponse::error(StatusCode::NOT_FOUND, "no such tenant"),
        }
    }

    async fn put_tenant(&self, name: String, body: Incoming) -> AdminResponse {
        let Ok(body) = collect_body(body, MAX_BODY_LEN).await else {
            let text = "the body is too large or broke off";
            return AdminResponse::error(StatusCode::PAYLOAD_TOO_LARGE, text);
        };
        let mut definition: TenantDefinition = match serde_json::from_slice(&body) {
            Ok(definition) => definition,
            Err(error) => return AdminResponse::error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if !definition.name.is_empty() && definition.name != name {
            return AdminResponse::error(StatusCode::BAD_REQUEST, "the names in path and body differ");
        }
        definition.name.clone_from(&name);
        match self.tenants.put(definition) {
            Ok(()) => AdminResponse::ok(json!({"tenant": name})),
            Err(error) => AdminResponse::error(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn delete_tenant(&self, name: &str) -> AdminResponse {
        if self.tenants.remove(name) {
            AdminResponse::ok(json!({"removed": name}))
        } else {
            AdminResponse::error(StatusCode::NOT_FOUND, "no such tenant")
        }
    }

    async fn list_nodes(&self) -> AdminResponse {
        let nodes: Option<Vec<NodeView>> = self.query_inventory(InventoryCommand::ListNodes).await;
        match nodes {
            Some(nodes) => AdminResponse::ok(json!({"nodes": nodes})),
            None => AdminResponse::stopping(),
        }
    }

    async fn drain_node(&self, node: String) -> AdminResponse {
        let name = node.clone();
        let node_exists = self.query_inventory(|reply| InventoryCommand::DrainNode { node, reply }).await;
        node_response(&name, "draining", node_exists)
    }

    async fn return_node(&self, node: String) -> AdminResponse {
        let name = node.clone();
        let node_exists = self.query_inventory(|reply| InventoryCommand::ReturnNode { node, reply }).await;
        node_response(&name, "as in the inventory", node_exists)
    }

    async fn reload_inventory(&self) -> AdminResponse {
        match self.query_inventory(InventoryCommand::Reload).await {
            Some(Ok(node_count)) => AdminResponse::ok(json!({"nodes": node_count})),
            Some(Err(error)) => error.into(),
            None => AdminResponse::stopping(),
        }
    }

    /// Sends a command to the inventory actor and waits for the reply. Returns `None` if the actor has ended.
    async fn query_inventory<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> InventoryCommand,
    ) -> Option<T> {
        let (sender, reply) = oneshot::channel();
        self.inventory.send(command(sender)).ok()?;
        reply.await.ok()
    }
}

/// Returns the response to a command that sets the state of a node. `node_exists` is whether the inventory
/// contains the node; `None` if the inventory actor has ended.
fn node_response(name: &str, state: &str, node_exists: Option<bool>) -> AdminResponse {
    match node_exists {
        Some(true) => AdminResponse::ok(json!({"node": name, "state": state})),
        Some(false) => AdminResponse::error(StatusCode::NOT_FOUND, "no such node"),
        None => AdminResponse::stopping(),
    }
}
