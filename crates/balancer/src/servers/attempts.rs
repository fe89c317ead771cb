//! The table of attempts by request, and the servers that have attempts.

use std::rc::Rc;

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::servers::attempt::{Attempt, AttemptTarget, DialError};
use crate::servers::server_activity::ServerActivity;
use crate::transport::connection::Connection;

/// All attempts by request. A request has at most one attempt.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The attempts are boxed, since the hash table of a large fleet has many empty entries.
    table: FxHashMap<RequestId, Box<Attempt>>,
    /// The last activity of each server that has attempts.
    activity: FxHashMap<ServerId, Rc<ServerActivity>>,
}

impl Attempts {
    /// Starts an attempt for a request that has none.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be started. Only [`DialError::Refused`] is attributed to the server.
    pub fn begin(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        target: &AttemptTarget,
    ) -> Result<(), DialError> {
        let mut connection = Connection::connect(target.address).map_err(|e| DialError::from(&e))?;
        if !context.registry.register(&mut connection, EventSource::Attempt(id)) {
            return Err(DialError::NotRegistered);
        }
        let activity = self.activity_of(target.server);
        let attempt = Attempt::connecting(connection, target, activity, context.now);
        self.table.insert(id, Box::new(attempt));
        self.schedule_timer(context, id);
        Ok(())
    }

    /// Adds an established attempt that another process of this balancer has transferred. Returns false if the connection
    /// can't be registered with the poller.
    pub fn adopt(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        mut connection: Connection,
    ) -> bool {
        if !context.registry.register(&mut connection, EventSource::Attempt(id)) {
            return false;
        }
        let attempt = Attempt::adopted(connection, server, self.activity_of(server), context.now);
        self.table.insert(id, Box::new(attempt));
        true
    }

    fn activity_of(&mut self, server: ServerId) -> Rc<ServerActivity> {
        Rc::clone(self.activity.entry(server).or_default())
    }

    /// The attempt of a request.
    pub fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.table.get(&id).map(|attempt| &**attempt)
    }

    /// The attempt of a request, for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.table.get_mut(&id).map(|attempt| &mut **attempt)
    }

    /// Whether a request has an attempt, whether established or not.
    pub fn has(&self, id: RequestId) -> bool {
        self.table.contains_key(&id)
    }

    /// The server of a request's attempt; `None` if the request has no attempt.
    pub fn server(&self, id: RequestId) -> Option<ServerId> {
        self.table.get(&id).map(|attempt| attempt.server())
    }

    /// Ends the attempt of a request and closes its connection. Returns false if the request has no attempt.
    pub fn end(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        self.take(context, id).is_some()
    }

    /// Removes the attempt of a request from the table and returns it with its connection. The attempt's timer is cancelled,
    /// so that it can't end a later attempt of the same request.
    pub fn take(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Attempt>> {
        let mut attempt = self.table.remove(&id)?;
        attempt.timer.cancel(context);
        // One reference belongs to this attempt and one to the table.
        let is_last_of_server = Rc::strong_count(&attempt.activity) == 2;
        if is_last_of_server {
            self.activity.remove(&attempt.server());
        }
        Some(attempt)
    }

    fn schedule_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.table.get_mut(&id) else { return };
        let deadline = attempt.next_deadline(context.earliest_timeout());
        attempt.timer.schedule_by(context, deadline, TimerEvent::Attempt(id));
    }

    /// Handles the timer of a request's attempt. Returns the outcome if a deadline has passed.
    pub fn on_timer(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Outcome> {
        let attempt = self.table.get_mut(&id)?;
        attempt.timer.on_fired();
        let outcome = attempt.timeout_outcome(context.now, context.earliest_timeout());
        if outcome.is_none() {
            self.schedule_timer(context, id);
        }
        outcome
    }

    /// Whether the server of a request's attempt has sent anything to another request after `since`.
    pub fn is_server_alive(&self, id: RequestId, since: Micros) -> bool {
        self.table.get(&id).is_some_and(|attempt| attempt.activity.is_alive_for_others(id, since))
    }

    /// The number of attempts, established ones included.
    pub fn count(&self) -> usize {
        self.table.len()
    }

    /// Whether a server has any attempts, whether established or not.
    pub fn has_server(&self, server: ServerId) -> bool {
        self.activity.contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
