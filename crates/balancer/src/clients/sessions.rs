//! The table of client sessions, which also maintains the open ids and the list of idle connections.

use std::net::SocketAddr;

use mio::net::TcpStream;
use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::RequestId;

use crate::clients::idle_connections::IdleConnections;
use crate::clients::open_ids::{IdHolder, OpenIds};
use crate::clients::session::{Session, SessionRequest, SessionStage, TransferredSession};
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;

/// All client sessions of a worker. A session holds its open id until its final answer. It is idle while its
/// first line or its close is awaited.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Sessions are boxed, since a hash table for a large fleet has many empty entries.
    table: FxHashMap<RequestId, Box<Session>>,
    open_ids: OpenIds,
    idle: IdleConnections,
    next_id: u32,
}

impl Sessions {
    /// Creates an empty table; `open_ids` is shared with other workers.
    pub fn new(open_ids: OpenIds) -> Self {
        Sessions { open_ids, ..Sessions::default() }
    }

    /// Adds a session for a client that has connected. Its id is one that no session has and for which
    /// `in_use` returns false. Returns `None` if the connection can't be registered with poll, for example
    /// because it is closed already.
    pub fn accept(
        &mut self,
        context: &mut LoopContext,
        stream: TcpStream,
        client_address: SocketAddr,
        in_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let mut connection = Connection::new(stream);
        let id = self.allocate_id(in_use);
        if !context.registry.register(&mut connection, EventSource::Session(id)) {
            return None;
        }
        let session = Session::new(connection, client_address, context.now);
        self.table.insert(id, Box::new(session));
        self.idle.add_opening(context.now, id);
        self.schedule_timer(context, id);
        Some(id)
    }

    /// Adds an established session that another process of this balancer has transferred, and whose open id has been claimed
    /// with it.
    ///
    /// # Errors
    /// Returns the connection if it can't be registered with poll. Its open id stays claimed.
    pub fn adopt(
        &mut self,
        context: &mut LoopContext,
        mut connection: Connection,
        transferred: &TransferredSession,
        in_use: impl Fn(RequestId) -> bool,
    ) -> Result<RequestId, Connection> {
        let id = self.allocate_id(in_use);
        if !context.registry.register(&mut connection, EventSource::Session(id)) {
            return Err(connection);
        }
        let session = Session::adopted(connection, transferred, context.now);
        self.table.insert(id, Box::new(session));
        self.schedule_timer(context, id);
        Ok(id)
    }

    /// Returns the next id that is not in use. Ids wrap around after 2³² clients.
    fn allocate_id(&mut self, in_use: impl Fn(RequestId) -> bool) -> RequestId {
        let mut id = RequestId(self.next_id);
        while self.table.contains_key(&id) || in_use(id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.next_id = id.0.wrapping_add(1);
        id
    }

    /// The session with this id.
    pub fn get(&self, id: RequestId) -> Option<&Session> {
        self.table.get(&id).map(|session| &**session)
    }

    /// The session with this id, as a mutable reference.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Session> {
        self.table.get_mut(&id).map(|session| &mut **session)
    }

    /// Sets the timer of a session for its earliest deadline. Must be called after the deadlines of a session
    /// have changed.
    pub fn schedule_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.table.get_mut(&id) else { return };
        let deadline = session.next_deadline(context);
        session.timer.schedule_by(context, deadline, TimerEvent::Session(id));
    }

    /// Handles the timer of a session. Returns whether a deadline of the session has passed; otherwise sets
    /// the timer again.
    pub fn on_timer(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        let Some(session) = self.table.get_mut(&id) else { return false };
        session.timer.on_fired();
        let is_due = session.next_deadline(context).is_some_and(|deadline| deadline <= context.now);
        if !is_due {
            self.schedule_timer(context, id);
        }
        is_due
    }

    /// Stores the request of a session and claims its open id. Returns the number of the claim, which
    /// [`Sessions::is_confirmed`] takes, or `None`, and changes nothing, if another open request has the same open id, or an
    /// ended one that must not run again.
    pub fn open_request(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        opened: SessionRequest,
    ) -> Option<u64> {
        let session = self.table.get_mut(&id)?;
        let claim = match opened.previous_server {
            Some(_) => self.open_ids.claim_restored(opened.open_id),
            None => self.open_ids.claim(opened.open_id),
        }?;
        self.idle.remove(session.stage_since(), id);
        session.begin_request(context.now, &context.buffers, opened);
        self.schedule_timer(context, id);
        Some(claim)
    }

    /// Whether no other process of this balancer can have claimed the same id unnoticed before this claim.
    pub fn is_confirmed(&self, claim: u64) -> bool {
        self.open_ids.changes().is_confirmed(claim)
    }

    /// Has requests no longer wait for other processes until one of them replies.
    pub fn give_up_confirmation(&self) {
        self.open_ids.changes().give_up_confirmation();
    }

    /// Whether the process that this one replaces has claimed the same id.
    pub fn is_predecessors_id(&self, open_id: u64) -> bool {
        self.open_ids.is_predecessors(open_id)
    }

    /// Sends a session's final answer, after which the client's close is awaited. Returns false if the
    /// session is gone or already closing.
    pub fn begin_close(&mut self, context: &mut LoopContext, id: RequestId, answer: &[u8]) -> bool {
        let session = self.table.get_mut(&id).filter(|session| session.stage() != SessionStage::Closing);
        let Some(session) = session else { return false };
        self.idle.remove(session.stage_since(), id);
        if let Some(open_id) = session.begin_close(context.now, &context.buffers, answer) {
            release(&self.open_ids, open_id, session.is_id_retained());
        }
        self.idle.add_closing(context.now, id);
        self.schedule_timer(context, id);
        true
    }

    /// Removes a session and closes its connection, even if there is unsent output.
    pub fn remove(&mut self, context: &mut LoopContext, id: RequestId) {
        self.take(context, id);
    }

    /// Removes a session from the table and releases its open id. Returns the session with its connection.
    pub fn take(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Session>> {
        let session = self.take_for_transfer(context, id)?;
        if let Some(open_id) = session.open_id() {
            release(&self.open_ids, open_id, session.is_id_retained());
        }
        Some(session)
    }

    /// Removes a session from the table, for its transfer to another process. Its open id stays claimed until that process
    /// has acknowledged the transfer, or until the session is adopted again.
    pub fn take_for_transfer(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Session>> {
        let mut session = self.table.remove(&id)?;
        session.timer.cancel(context);
        self.idle.remove(session.stage_since(), id);
        Some(session)
    }

    /// What holds an open id that can't be claimed.
    pub fn id_holder(&self, open_id: u64) -> Option<IdHolder> {
        self.open_ids.holder(open_id)
    }

    /// Releases the open id of a transferred connection that could not be adopted.
    pub fn release_transferred(&mut self, open_id: u64) {
        self.open_ids.release(open_id);
    }

    /// The number of sessions.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The number of idle sessions.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// The idle session to close first when descriptors are short.
    pub fn eviction_candidate(&self) -> Option<RequestId> {
        self.idle.eviction_candidate()
    }

    /// The ids of the sessions for which `condition` holds, in ascending order.
    pub fn ids_where(&self, condition: impl Fn(&Session) -> bool) -> Vec<RequestId> {
        let matching = self.table.iter().filter(|(_, session)| condition(session));
        let mut ids: Vec<_> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

/// Releases the open id of a session.
fn release(open_ids: &OpenIds, open_id: u64, is_retained: bool) {
    if is_retained {
        open_ids.release_retained(open_id);
    } else {
        open_ids.release(open_id);
    }
}

#[cfg(test)]
mod tests;
