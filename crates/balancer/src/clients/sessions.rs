//! The table of sessions. It keeps which ids clients have opened with, and which sessions ask for nothing, in step
//! with the stages.

use std::net::SocketAddr;

use mio::net::TcpStream;
use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;

use crate::clients::idle_connections::IdleConnections;
use crate::clients::open_ids::OpenIds;
use crate::clients::session::{Session, SessionRequest, SessionStage, next_free_id};
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;

/// All sessions. An open id belongs to the one session that opened with it, until that has had its last words;
/// who is opening or ending asks for nothing, and nobody else does.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Boxed: the table of a large fleet has room for more than it holds.
    table: FxHashMap<RequestId, Box<Session>>,
    open_ids: OpenIds,
    idle: IdleConnections,
    next_id: u32,
}

impl Sessions {
    /// Nobody has come yet; these ids are in use, here and at other workers.
    pub fn new(open_ids: OpenIds) -> Self {
        Sessions { open_ids, ..Sessions::default() }
    }

    /// Takes in a client that has connected, under a number that neither a session nor whatever else is `in_use`
    /// has; none where its connection is gone already or can't be watched.
    pub fn accept(
        &mut self,
        context: &mut LoopContext,
        stream: TcpStream,
        from: SocketAddr,
        in_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let mut link = Connection::new(stream);
        let id = next_free_id(RequestId(self.next_id), |id| self.table.contains_key(&id) || in_use(id));
        self.next_id = id.0.wrapping_add(1);
        if !context.registry.register(&mut link, EventSource::Session(id)) {
            return None;
        }
        self.table.insert(id, Box::new(Session::new(link, from, context.now)));
        self.idle.add_opening(context.now, id);
        self.schedule_timer(context, id);
        Some(id)
    }

    /// Takes in a session that stands, from another process of this balancer; none where an open request has its id, or
    /// it can't be watched.
    pub fn adopt(
        &mut self,
        context: &mut LoopContext,
        mut link: Connection,
        from: SocketAddr,
        (open_id, asked): (u64, Option<Micros>),
        in_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let id = next_free_id(RequestId(self.next_id), |id| self.table.contains_key(&id) || in_use(id));
        self.next_id = id.0.wrapping_add(1);
        if !self.open_ids.claim(open_id) {
            return None;
        }
        if !context.registry.register(&mut link, EventSource::Session(id)) {
            self.open_ids.release(open_id);
            return None;
        }
        let session = Session::adopted(link, from, context.now, (open_id, asked));
        self.table.insert(id, Box::new(session));
        self.schedule_timer(context, id);
        Some(id)
    }

    /// A session.
    pub fn get(&self, id: RequestId) -> Option<&Session> {
        self.table.get(&id).map(|session| &**session)
    }

    /// A session, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Session> {
        self.table.get_mut(&id).map(|session| &mut **session)
    }

    /// Sees to it that what is due of a session next is not missed. Whoever has changed its deadlines says so.
    pub fn schedule_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.table.get_mut(&id) else { return };
        let due = session.next_deadline(context);
        session.timer.schedule_by(context, due, TimerEvent::Session(id));
    }

    /// A session's timer has come; whether anything of it is due.
    pub fn on_timer(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        let Some(session) = self.table.get_mut(&id) else { return false };
        session.timer.on_fired();
        let is_due = session.next_deadline(context).is_some_and(|at| at <= context.now);
        if !is_due {
            self.schedule_timer(context, id);
        }
        is_due
    }

    /// A session's first line has come; false, and nothing has changed, where an open request has its id.
    pub fn open_request(&mut self, context: &mut LoopContext, id: RequestId, asking: SessionRequest) -> bool {
        let Some(session) = self.table.get_mut(&id) else { return false };
        if !self.open_ids.claim(asking.open_id) {
            return false;
        }
        self.idle.remove(session.stage_since(), id);
        session.begin_request(context.now, &context.buffers, asking);
        self.schedule_timer(context, id);
        true
    }

    /// Says a session's last words and awaits its end; false if it had them before.
    pub fn begin_close(&mut self, context: &mut LoopContext, id: RequestId, words: &[u8]) -> bool {
        let Some(session) =
            self.table.get_mut(&id).filter(|session| session.stage() != SessionStage::Closing)
        else {
            return false;
        };
        self.idle.remove(session.stage_since(), id);
        if let Some(open_id) = session.begin_close(context.now, &context.buffers, words) {
            self.open_ids.release(open_id);
        }
        self.idle.add_closing(context.now, id);
        self.schedule_timer(context, id);
        true
    }

    /// Ends a session's connection, whatever is still on its way.
    pub fn remove(&mut self, context: &mut LoopContext, id: RequestId) {
        self.take(context, id);
    }

    /// Takes a session out, with its connection; its id is free.
    pub fn take(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Session>> {
        let mut session = self.table.remove(&id)?;
        session.timer.cancel(context);
        self.idle.remove(session.stage_since(), id);
        if let Some(open_id) = session.open_id() {
            self.open_ids.release(open_id);
        }
        Some(session)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// How many ask for nothing.
    pub fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// The one that can best be done without, of those that ask for nothing.
    pub fn eviction_candidate(&self) -> Option<RequestId> {
        self.idle.oldest()
    }

    /// Those of a kind, by number: the order is the one in which they came.
    pub fn ids_where(&self, of: impl Fn(&Session) -> bool) -> Vec<RequestId> {
        let mut those: Vec<_> =
            self.table.iter().filter(|(_, session)| of(session)).map(|(id, _)| *id).collect();
        those.sort_unstable();
        those
    }
}

#[cfg(test)]
mod tests;
