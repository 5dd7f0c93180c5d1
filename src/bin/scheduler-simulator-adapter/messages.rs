//! Decoding of the simulator's messages, one per line. Unknown messages are ignored.

use crate::ids::{InstanceId, ListId};
use crate::wire::{
    InvalidHexNumber, WireAttemptEnd, WireClock, WireEndpoint, WireEndpointUpdate, WireGossip,
    WireHealthCheck, WireInstance, WireList, WireRequest, WireRequestRef, WireStart, WireTimer,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use storage_gateway::scheduler::{Endpoint, Event, RequestId, SchedulerSettings};

/// Errors in decoding a line.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not a valid JSON object.
    #[error("malformed line: {0}")]
    Malformed(serde_json::Error),
    /// The line is an empty JSON object.
    #[error("malformed line: the object contains no message")]
    Unnamed,
    /// The body does not have the structure that the message's name requires.
    #[error("message '{name}': {cause}")]
    Body {
        /// The message's name on the wire, such as `inbound`.
        name: String,
        /// The error from decoding the body, such as a missing field.
        cause: serde_json::Error,
    },
    /// The volume or block of a request is not a hexadecimal number of at most 64 bits.
    #[error(transparent)]
    InvalidHexNumber(#[from] InvalidHexNumber),
}

/// A decoded message from the simulator.
#[derive(Debug)]
pub enum Message {
    /// Sets the time at which the batch is handled.
    SetClock {
        /// The simulated time in microseconds.
        now_us: u64,
    },
    /// Defines an endpoint list that later messages refer to; replaces a list with the same id.
    DefineList {
        /// The id by which later updates refer to the list.
        list: ListId,
        /// The endpoints in the list. The update that refers to the list states whether it is complete.
        endpoints: Vec<Endpoint>,
    },
    /// Starts a scheduler; replaces an instance with the same id and drops the events queued for it.
    StartInstance {
        /// The id by which later messages refer to the new scheduler.
        instance: InstanceId,
        /// The seed of the scheduler's random number generator.
        seed: u64,
        /// The scheduler's settings, with defaults for those that the message omits.
        settings: Box<SchedulerSettings>,
    },
    /// Stops a scheduler and drops the events that the current batch contains for it.
    StopInstance {
        /// The scheduler to stop.
        instance: InstanceId,
    },
    /// Sends a scheduler an update from a previously defined endpoint list.
    UpdateEndpoints {
        /// The scheduler that receives the update.
        instance: InstanceId,
        /// How the scheduler is to apply the list.
        kind: UpdateKind,
        /// The id of the list; ignored for [`UpdateKind::PollFailed`].
        list: ListId,
    },
    /// Adds an event to the current batch.
    Deliver {
        /// The scheduler that receives the event.
        instance: InstanceId,
        /// The event, which the scheduler handles when the batch ends.
        event: Event,
    },
    /// Ends the batch; the simulator then waits for the reply.
    EndBatch,
}

/// The variants of `EndpointUpdate`, without the endpoints.
#[derive(Clone, Copy, Debug)]
pub enum UpdateKind {
    /// The list contains only the endpoints that changed.
    Delta,
    /// The list contains all endpoints; an endpoint that is not in it is removed.
    Snapshot,
    /// The list contains all endpoints, as last known before a restart.
    Cached,
    /// The poll failed and returned no list.
    PollFailed,
}

/// A message whose body has not been decoded yet.
struct RawMessage<'a> {
    name: String,
    body: &'a RawValue,
}

impl Message {
    /// Decodes a line; returns `None` if the message's name, or the form of an endpoint update, is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the line, or the body of a known message, is malformed.
    pub fn decode(line: &str) -> Result<Option<Message>, MessageError> {
        let raw = RawMessage::decode(line)?;
        let event = match raw.name.as_str() {
            "sync" => return raw.set_clock().map(Some),
            "end" => return Ok(Some(Message::EndBatch)),
            "list" => return raw.define_list().map(Some),
            "enlist" => return raw.start_instance().map(Some),
            "kill" => return Ok(Some(Message::StopInstance { instance: raw.instance()? })),
            "members" => return raw.update_endpoints(),
            "inbound" => Event::RequestArrived(raw.body::<WireRequest>()?.to_incoming_request()?),
            "established" => Event::ResponseStarted(raw.request()?),
            "reply" => Event::AttemptEnded(raw.body::<WireAttemptEnd>()?.to_report()),
            "aborted" => Event::ClientDisconnected(raw.request()?),
            "tickDue" => Event::TimerFired(raw.body::<WireTimer>()?.token),
            "health" => raw.body::<WireHealthCheck>()?.to_event(),
            "inbox" => raw.body::<WireGossip>()?.into_event(),
            _ => return Ok(None),
        };
        Ok(Some(Message::Deliver { instance: raw.instance()?, event }))
    }
}

impl<'a> RawMessage<'a> {
    fn decode(line: &'a str) -> Result<RawMessage<'a>, MessageError> {
        let message: BTreeMap<String, &RawValue> =
            serde_json::from_str(line).map_err(MessageError::Malformed)?;
        let (name, body) = message.into_iter().next().ok_or(MessageError::Unnamed)?;
        Ok(RawMessage { name, body })
    }

    fn body<T: Deserialize<'a>>(&self) -> Result<T, MessageError> {
        serde_json::from_str(self.body.get())
            .map_err(|cause| MessageError::Body { name: self.name.clone(), cause })
    }

    fn instance(&self) -> Result<InstanceId, MessageError> {
        Ok(self.body::<WireInstance>()?.instance)
    }

    fn request(&self) -> Result<RequestId, MessageError> {
        Ok(RequestId(self.body::<WireRequestRef>()?.request))
    }

    fn set_clock(&self) -> Result<Message, MessageError> {
        Ok(Message::SetClock { now_us: self.body::<WireClock>()?.time_us })
    }

    fn define_list(&self) -> Result<Message, MessageError> {
        let WireList { list, endpoints } = self.body()?;
        Ok(Message::DefineList { list, endpoints: endpoints.iter().map(WireEndpoint::to_endpoint).collect() })
    }

    fn start_instance(&self) -> Result<Message, MessageError> {
        let instance = self.instance()?;
        let WireStart { seed, settings } = self.body()?;
        Ok(Message::StartInstance { instance, seed, settings: Box::new(settings.to_scheduler_settings()) })
    }

    fn update_endpoints(&self) -> Result<Option<Message>, MessageError> {
        let WireEndpointUpdate { form, list } = self.body()?;
        let kind = match form.as_str() {
            "delta" => UpdateKind::Delta,
            "full" => UpdateKind::Snapshot,
            "cached" => UpdateKind::Cached,
            "failed" => UpdateKind::PollFailed,
            _ => return Ok(None),
        };
        Ok(Some(Message::UpdateEndpoints { instance: self.instance()?, kind, list }))
    }
}
