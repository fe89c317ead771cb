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
use crate::event_loop::iteration::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;

/// All sessions. An open id belongs to the one session that opened with it, until that has had its last words;
/// who is opening or ending asks for nothing, and nobody else does.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Boxed: the table of a large fleet has room for more than it holds.
    table: FxHashMap<RequestId, Box<Session>>,
    open_ids: OpenIds,
    unserved: IdleConnections,
    next: u32,
}

impl Sessions {
    /// Nobody has come yet; these ids are in use, here and at other workers.
    pub fn new(open_ids: OpenIds) -> Self {
        Sessions { open_ids, ..Sessions::default() }
    }

    /// Takes in a client that has connected, under a number that neither a session nor whatever else is `in_use`
    /// has; none where its connection is gone already or can't be watched.
    pub fn begin(
        &mut self,
        turn: &mut LoopContext,
        stream: TcpStream,
        from: SocketAddr,
        in_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let mut link = Connection::new(stream);
        let id = next_free_id(RequestId(self.next), |id| self.table.contains_key(&id) || in_use(id));
        self.next = id.0.wrapping_add(1);
        if !turn.poller.watch(&mut link, EventSource::Session(id)) {
            return None;
        }
        self.table.insert(id, Box::new(Session::new(link, from, turn.now)));
        self.unserved.opens(turn.now, id);
        self.arm(turn, id);
        Some(id)
    }

    /// Takes in a session that stands, from another process of this balancer; none where an open request has its id, or
    /// it can't be watched.
    pub fn adopt(
        &mut self,
        turn: &mut LoopContext,
        mut link: Connection,
        from: SocketAddr,
        (open_id, asked): (u64, Option<Micros>),
        in_use: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let id = next_free_id(RequestId(self.next), |id| self.table.contains_key(&id) || in_use(id));
        self.next = id.0.wrapping_add(1);
        if !self.open_ids.claim(open_id) {
            return None;
        }
        if !turn.poller.watch(&mut link, EventSource::Session(id)) {
            self.open_ids.free(open_id);
            return None;
        }
        let session = Session::adopted(link, from, turn.now, (open_id, asked));
        self.table.insert(id, Box::new(session));
        self.arm(turn, id);
        Some(id)
    }

    /// A session.
    pub fn get(&self, id: RequestId) -> Option<&Session> {
        self.table.get(&id).map(|s| &**s)
    }

    /// A session, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Session> {
        self.table.get_mut(&id).map(|s| &mut **s)
    }

    /// Sees to it that what is due of a session next is not missed. Whoever has changed its deadlines says so.
    pub fn arm(&mut self, turn: &mut LoopContext, id: RequestId) {
        let Some(s) = self.table.get_mut(&id) else { return };
        let due = s.due(turn);
        s.alarm.by(turn, due, TimerEvent::Session(id));
    }

    /// A session's timer has come; whether anything of it is due.
    pub fn alarmed(&mut self, turn: &mut LoopContext, id: RequestId) -> bool {
        let Some(s) = self.table.get_mut(&id) else { return false };
        s.alarm.came();
        let is_due = s.due(turn).is_some_and(|at| at <= turn.now);
        if !is_due {
            self.arm(turn, id);
        }
        is_due
    }

    /// A session's first line has come; false, and nothing has changed, where an open request has its id.
    pub fn ask(&mut self, turn: &mut LoopContext, id: RequestId, asking: SessionRequest) -> bool {
        let Some(s) = self.table.get_mut(&id) else { return false };
        if !self.open_ids.claim(asking.open_id) {
            return false;
        }
        self.unserved.forget(s.since(), id);
        s.asks(turn.now, &turn.pool, asking);
        self.arm(turn, id);
        true
    }

    /// Says a session's last words and awaits its end; false if it had them before.
    pub fn answer(&mut self, turn: &mut LoopContext, id: RequestId, words: &[u8]) -> bool {
        let Some(s) = self.table.get_mut(&id).filter(|s| s.stage() != SessionStage::Closing) else {
            return false;
        };
        self.unserved.forget(s.since(), id);
        if let Some(open_id) = s.ends(turn.now, &turn.pool, words) {
            self.open_ids.free(open_id);
        }
        self.unserved.ends(turn.now, id);
        self.arm(turn, id);
        true
    }

    /// Ends a session's connection, whatever is still on its way.
    pub fn drop(&mut self, turn: &mut LoopContext, id: RequestId) {
        self.take(turn, id);
    }

    /// Takes a session out, with its connection; its id is free.
    pub fn take(&mut self, turn: &mut LoopContext, id: RequestId) -> Option<Box<Session>> {
        let mut s = self.table.remove(&id)?;
        s.alarm.off(turn);
        self.unserved.forget(s.since(), id);
        if let Some(open_id) = s.open_id() {
            self.open_ids.free(open_id);
        }
        Some(s)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// How many ask for nothing.
    pub fn unserved(&self) -> usize {
        self.unserved.len()
    }

    /// The one that can best be done without, of those that ask for nothing.
    pub fn least_needed(&self) -> Option<RequestId> {
        self.unserved.oldest()
    }

    /// Those of a kind, by number: the order is the one in which they came.
    pub fn those(&self, of: impl Fn(&Session) -> bool) -> Vec<RequestId> {
        let mut those: Vec<_> = self.table.iter().filter(|(_, s)| of(s)).map(|(id, _)| *id).collect();
        those.sort_unstable();
        those
    }
}

#[cfg(test)]
mod tests;
