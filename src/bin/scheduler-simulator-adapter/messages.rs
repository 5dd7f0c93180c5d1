//! The simulator's messages, decoded from lines. Messages that are unknown here are ignored.

use crate::ids::{InstanceId, ListId};
use crate::wire::{
    NotHex, WireAttemptEnd, WireClock, WireEndpoint, WireEndpointUpdate, WireGossip, WireHealthCheck,
    WireInstance, WireList, WireRequest, WireRequestRef, WireStart, WireTimer,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use storage_gateway::scheduler::{Endpoint, Event, RequestId, SchedulerSettings};

/// Why a line cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not a JSON object.
    #[error("malformed line: {0}")]
    Malformed(serde_json::Error),
    /// The line is an empty object.
    #[error("malformed line: an object without a name")]
    Unnamed,
    /// The body does not fit the message's name.
    #[error("event '{name}': {cause}")]
    Body {
        /// The message's name.
        name: String,
        /// What does not fit.
        cause: serde_json::Error,
    },
    /// A volume or block is not given as a hexadecimal number.
    #[error(transparent)]
    NotHex(#[from] NotHex),
}

/// A message of the simulator.
#[derive(Debug)]
pub enum Message {
    /// Sets the time at which the batch is handled.
    SetClock {
        /// Microseconds on the simulator's clock.
        now_us: u64,
    },
    /// Defines an endpoint list for later messages to refer to.
    DefineList {
        /// The list's number.
        list: ListId,
        /// What it contains.
        endpoints: Vec<Endpoint>,
    },
    /// Starts a scheduler, in place of one with the same number if there is one.
    StartInstance {
        /// The scheduler.
        instance: InstanceId,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<SchedulerSettings>,
    },
    /// Stops a scheduler and drops its events of this batch.
    StopInstance {
        /// The scheduler.
        instance: InstanceId,
    },
    /// Sends a scheduler an endpoint list that was defined before.
    UpdateEndpoints {
        /// The scheduler.
        instance: InstanceId,
        /// What the list is.
        form: UpdateForm,
        /// The list; it is not looked up where the poll failed.
        list: ListId,
    },
    /// Adds an event to a scheduler's batch.
    Deliver {
        /// The scheduler.
        instance: InstanceId,
        /// The event.
        event: Event,
    },
    /// Ends the batch; the simulator now waits for the reply.
    EndBatch,
}

/// The variants of an endpoint update, without the endpoints.
#[derive(Clone, Copy, Debug)]
pub enum UpdateForm {
    /// Only the endpoints that changed.
    Delta,
    /// All endpoints.
    Snapshot,
    /// All endpoints, as last known before a restart.
    Cached,
    /// Nothing: the call failed.
    PollFailed,
}

/// A message whose name is known and whose body is not decoded yet.
struct RawMessage<'a> {
    name: String,
    body: &'a RawValue,
}

impl Message {
    /// Decodes a line; none if the message is unknown, and so ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the line or the body of a known message is malformed.
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
        let form = match form.as_str() {
            "delta" => UpdateForm::Delta,
            "full" => UpdateForm::Snapshot,
            "cached" => UpdateForm::Cached,
            "failed" => UpdateForm::PollFailed,
            _ => return Ok(None),
        };
        Ok(Some(Message::UpdateEndpoints { instance: self.instance()?, form, list }))
    }
}
