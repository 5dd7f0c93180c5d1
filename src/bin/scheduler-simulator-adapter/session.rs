//! The schedulers that the simulator has started, and the batch of events that each is to handle next.

use crate::ids::{InstanceId, ListId};
use crate::messages::{Message, UpdateForm};
use crate::replies::Reply;
use indexmap::IndexMap;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use storage_gateway::scheduler::{Action, Endpoint, EndpointUpdate, Event, Scheduler};

/// Why a message that is well-formed cannot be handled, or its reply not be written.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The message refers to an endpoint list that was never sent.
    #[error("event 'members': no such list")]
    UnknownList,
    /// The reply cannot be written.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

/// The state of the conversation with the simulator.
#[derive(Default)]
pub struct Session {
    now_us: u64,
    endpoint_lists: BTreeMap<ListId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Scheduler>,
    /// The events of the batch so far by instance, in the order in which the batch first names the instances.
    batch: IndexMap<InstanceId, Vec<Event>>,
}

impl Session {
    /// Handles a message, and writes the reply to `output` where the message ends a batch. An event for an
    /// instance that does not run is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the message refers to an unknown endpoint list, or `output` cannot be written.
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
            Message::UpdateEndpoints { instance, form, list } => {
                let update = self.endpoint_update(form, list)?;
                self.enqueue(instance, Event::EndpointsUpdated(update));
            }
            Message::Deliver { instance, event } => self.enqueue(instance, event),
            Message::EndBatch => self.reply(output)?,
        }
        Ok(())
    }

    fn endpoint_update(&self, form: UpdateForm, list: ListId) -> Result<EndpointUpdate, SessionError> {
        let endpoints = || self.endpoint_lists.get(&list).cloned().ok_or(SessionError::UnknownList);
        Ok(match form {
            UpdateForm::Delta => EndpointUpdate::Delta(endpoints()?),
            UpdateForm::Snapshot => EndpointUpdate::Snapshot(endpoints()?),
            UpdateForm::Cached => EndpointUpdate::Cached(endpoints()?),
            UpdateForm::PollFailed => EndpointUpdate::PollFailed,
        })
    }

    fn enqueue(&mut self, instance: InstanceId, event: Event) {
        if self.instances.contains_key(&instance) {
            self.batch.entry(instance).or_default().push(event);
        }
    }

    /// Has each instance handle its events and writes the actions that they lead to.
    fn reply(&mut self, output: &mut impl Write) -> io::Result<()> {
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

/// Has a scheduler handle its events. A panic is returned as its message, so that the simulator learns which
/// instance failed while the others go on.
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
