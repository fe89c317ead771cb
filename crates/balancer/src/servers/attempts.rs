//! The table of attempts, and which servers have any.

use std::rc::Rc;

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::servers::attempt::{Attempt, AttemptTarget, DialError};
use crate::servers::server_activity::ServerActivity;
use crate::transport::connection::Connection;

/// All attempts, by request: a request has one at most.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Boxed, since the hash table of a large fleet has many empty entries.
    table: FxHashMap<RequestId, Box<Attempt>>,
    /// The activity of each server that has attempts.
    activity: FxHashMap<ServerId, Rc<ServerActivity>>,
}

impl Attempts {
    /// Begins an attempt for a request that has none.
    ///
    /// # Errors
    ///
    /// Why no connection could be begun. Only [`DialError::Refused`] says anything about the server.
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

    /// Adopts an established attempt of another process of this balancer. Returns false if it can't be registered with
    /// poll.
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

    /// The attempt of a request, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.table.get_mut(&id).map(|attempt| &mut **attempt)
    }

    /// Whether a request has an attempt, established or not.
    pub fn has(&self, id: RequestId) -> bool {
        self.table.contains_key(&id)
    }

    /// The server of a request's attempt.
    pub fn server(&self, id: RequestId) -> Option<ServerId> {
        self.table.get(&id).map(|attempt| attempt.server())
    }

    /// Ends the attempt of a request. Returns false if it has none.
    pub fn end(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        self.take(context, id).is_some()
    }

    /// Takes the attempt of a request out of the table, together with its connection. Its timer is cancelled, so that it
    /// can't end a later attempt.
    pub fn take(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Attempt>> {
        let mut attempt = self.table.remove(&id)?;
        attempt.timer.cancel(context);
        // One reference is the attempt's, one the table's.
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

    /// The timer of a request's attempt has fired. Returns how the attempt ends, if a deadline has passed.
    pub fn on_timer(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Outcome> {
        let attempt = self.table.get_mut(&id)?;
        attempt.timer.on_fired();
        let outcome = attempt.timeout_outcome(context.now, context.earliest_timeout());
        if outcome.is_none() {
            self.schedule_timer(context, id);
        }
        outcome
    }

    /// Whether the server of a request's attempt has sent anything to another request since `since`.
    pub fn is_server_alive(&self, id: RequestId, since: Micros) -> bool {
        self.table.get(&id).is_some_and(|attempt| attempt.activity.is_alive_for_others(id, since))
    }

    /// The number of attempts, established ones included.
    pub fn count(&self) -> usize {
        self.table.len()
    }

    /// Whether a server has any attempts.
    pub fn has_server(&self, server: ServerId) -> bool {
        self.activity.contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
