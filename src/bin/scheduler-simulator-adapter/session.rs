//! The running scheduler instances, and the events collected for the current batch.

use crate::ids::{InstanceId, ListId};
use crate::messages::{Message, UpdateKind};
use crate::replies::Reply;
use indexmap::IndexMap;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use storage_gateway::scheduler::{Action, Endpoint, EndpointUpdate, Event, Scheduler};

/// Errors in handling a well-formed message or writing the reply.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The message refers to an endpoint list that was never defined.
    #[error("message 'members': no such list")]
    UnknownList,
    /// The reply could not be written.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

/// The state of one simulator run, from the first message to the end of input.
#[derive(Default)]
pub struct Session {
    now_us: u64,
    endpoint_lists: BTreeMap<ListId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Scheduler>,
    /// The events of the current batch by instance, in the order in which the batch first mentions the
    /// instances. The reply lists the instances in the same order.
    batch: IndexMap<InstanceId, Vec<Event>>,
}

impl Session {
    /// Handles a message, and writes the reply to `output` if the message ends a batch. Drops events for
    /// instances that are not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the message refers to an unknown endpoint list, or if writing to `output` fails.
    pub fn handle(&mut self, message: Message, output: &mut impl Write) -> Result<(), SessionError> {
        match message {
            Message::SetClock { now_us } => self.now_us = now_us,
            Message::DefineList { list, endpoints } => {
                self.endpoint_lists.insert(list, endpoints);
            }
            Message::StartInstance { instance, seed, settings } => {
                self.instances.insert(instance, Scheduler::new(*settings, seed, self.now_us));
                self.batch.insert(instance, Vec::new());
            }
            Message::StopInstance { instance } => {
                self.instances.remove(&instance);
                self.batch.shift_remove(&instance);
            }
            Message::UpdateEndpoints { instance, kind, list } => {
                let update = self.endpoint_update(kind, list)?;
                self.enqueue(instance, Event::EndpointsUpdated(update));
            }
            Message::Deliver { instance, event } => self.enqueue(instance, event),
            Message::EndBatch => self.run_batch(output)?,
        }
        Ok(())
    }

    fn endpoint_update(&self, kind: UpdateKind, list: ListId) -> Result<EndpointUpdate, SessionError> {
        let endpoints = || self.endpoint_lists.get(&list).cloned().ok_or(SessionError::UnknownList);
        Ok(match kind {
            UpdateKind::Delta => EndpointUpdate::Delta(endpoints()?),
            UpdateKind::Snapshot => EndpointUpdate::Snapshot(endpoints()?),
            UpdateKind::Cached => EndpointUpdate::Cached(endpoints()?),
            UpdateKind::PollFailed => EndpointUpdate::PollFailed { announced_by_us: None },
        })
    }

    fn enqueue(&mut self, instance: InstanceId, event: Event) {
        if self.instances.contains_key(&instance) {
            self.batch.entry(instance).or_default().push(event);
        }
    }

    /// Runs each scheduler on its events of the batch and writes the resulting actions.
    fn run_batch(&mut self, output: &mut impl Write) -> io::Result<()> {
        let mut actions = Vec::new();
        for (instance, events) in self.batch.drain(..) {
            let Some(scheduler) = self.instances.get_mut(&instance) else { continue };
            actions.clear();
            match handle_events(scheduler, self.now_us, &events, &mut actions) {
                Ok(()) => {
                    for action in &actions {
                        Reply::from_action(instance, action).write_to(output)?;
                    }
                }
                Err(message) => Reply::Panicked { instance, message: &message }.write_to(output)?,
            }
        }
        Reply::Complete {}.write_to(output)?;
        output.flush()
    }
}

/// Runs a scheduler on its events. Returns the message of a panic as the error, so that the failure is
/// reported for this instance and the other instances continue.
fn handle_events(
    scheduler: &mut Scheduler,
    now_us: u64,
    events: &[Event],
    actions: &mut Vec<Action>,
) -> Result<(), String> {
    let run = AssertUnwindSafe(|| scheduler.handle(now_us, events, actions));
    catch_unwind(run).map_err(|payload| panic_message(&*payload))
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    let owned = payload.downcast_ref::<String>().map(String::as_str);
    let literal = || payload.downcast_ref::<&str>().copied();
    owned.or_else(literal).unwrap_or("panic").to_owned()
}
