//! The connections and links that the auditor tracks, and the scheduled checks of them.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rustc_hash::FxHashMap;

use super::established::{EstablishedConnection, LinesInTransit};
use super::request::{Finding, Request};
use super::trace::Trace;
use crate::edge::{BalancerId, ConnId, LinkId, NodeId};

/// How long a connection is kept after its end. Observations that arrive out of order refer to it within this time.
const RETENTION: Micros = 10_000_000;

/// A client's connection.
#[derive(Clone, Debug)]
pub(super) struct Conn {
    /// The balancer that it was made to.
    pub balancer: BalancerId,
    /// The client misbehaves on purpose.
    pub is_misbehaving: bool,
    /// A violation was found on the connection, or its balancer is gone. Further findings are dropped, so that one
    /// fault is reported once.
    pub is_closed_to_findings: bool,
    pub request: Request,
    pub established: Option<EstablishedConnection>,
    /// When the client closed it.
    pub client_closed: Option<Micros>,
    /// When the balancer closed it.
    pub closed_by_balancer: Option<Micros>,
    /// Lines in transit from the client to the node.
    pub to_node: LinesInTransit,
    /// Lines in transit from the node to the client.
    pub to_client: LinesInTransit,
    /// Which kinds of progress check are scheduled; each kind is scheduled at most once.
    scheduled: [bool; 3],
    links: Vec<LinkId>,
    /// A finding on the connection's close. It is dropped if the whole process turns out to have exited by itself.
    pub deferred_finding: Option<Box<Finding>>,
    pub trace: Trace,
}

impl Conn {
    pub fn new(balancer: BalancerId, request: Request) -> Self {
        Conn {
            balancer,
            is_misbehaving: false,
            is_closed_to_findings: false,
            request,
            established: None,
            client_closed: None,
            closed_by_balancer: None,
            to_node: LinesInTransit::default(),
            to_client: LinesInTransit::default(),
            scheduled: [false; 3],
            links: Vec::new(),
            deferred_finding: None,
            trace: Trace::default(),
        }
    }

    /// Whether no attempt may be sent for the connection any more: `delay` has passed since the balancer answered or
    /// closed it, or since the client closed it. Always `false` for the connection of a misbehaving client.
    pub fn is_over(&self, now: Micros, delay: Micros) -> bool {
        let ended_by_balancer =
            self.request.answered_at.into_iter().chain(self.closed_by_balancer).any(|t| now >= t + delay);
        !self.is_misbehaving && (ended_by_balancer || self.client_closed.is_some_and(|t| now > t + delay))
    }

    /// Whether the client is still waiting for its answer.
    pub fn is_awaiting_answer(&self) -> bool {
        self.request.answered_at.is_none()
            && self.client_closed.is_none()
            && self.closed_by_balancer.is_none()
    }
}

/// A balancer's link that carries a client's connection.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub conn: ConnId,
    pub node: NodeId,
    /// Whether the balancer knew of the node's start when it sent the attempt.
    pub knew_of_start: bool,
    /// Whether the node has sent `UP` on the link.
    pub up: bool,
    /// When the node closed the link.
    pub closed_by_node: Option<Micros>,
    /// When the balancer closed it, or when it failed to open.
    pub closed_by_balancer: Option<Micros>,
}

impl Link {
    pub fn new(conn: ConnId, node: NodeId, knew_of_start: bool) -> Self {
        Link { conn, node, knew_of_start, up: false, closed_by_node: None, closed_by_balancer: None }
    }
}

/// A check of a connection, scheduled for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Check {
    /// A line to the node may have been held for too long.
    ToNode,
    /// A line to the client may have been held for too long.
    ToClient,
    /// Nothing may have come back from the node for too long.
    Silent,
    /// The client must have been disconnected after the node closed the link.
    ClosedByNode,
    /// The client must have been disconnected after the balancer closed the link.
    ClosedByBalancer,
    /// The attempt on this link, sent at this time, may still be in flight beside an earlier one.
    DuplicateAttempt(LinkId, Micros),
    /// The connection's deferred finding is recorded.
    DeferredFinding,
    /// The connection is dropped from the table.
    Forget,
}

/// All connections, links and scheduled checks.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// Boxed, because the map doubles its capacity when it grows.
    conns: FxHashMap<ConnId, Box<Conn>>,
    links: FxHashMap<(BalancerId, LinkId), Link>,
    checks: BinaryHeap<Reverse<(Micros, ConnId, Check)>>,
}

impl Table {
    pub fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id).map(Box::as_mut)
    }

    /// Adds a connection; returns false if the id is in use.
    pub fn open(&mut self, id: ConnId, conn: Conn) -> bool {
        let is_new = !self.conns.contains_key(&id);
        if is_new {
            self.conns.insert(id, Box::new(conn));
        }
        is_new
    }

    /// Adds a link, if its connection is known.
    pub fn add_link(&mut self, balancer: BalancerId, id: LinkId, link: Link) {
        if let Some(conn) = self.conns.get_mut(&link.conn) {
            conn.links.push(id);
            self.links.insert((balancer, id), link);
        }
    }

    pub fn link_of(&mut self, balancer: BalancerId, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&(balancer, id))
    }

    /// A link and the connection that it carries.
    pub fn link_and_conn(&mut self, balancer: BalancerId, id: LinkId) -> Option<(&mut Link, &mut Conn)> {
        let link = self.links.get_mut(&(balancer, id))?;
        let conn = self.conns.get_mut(&link.conn)?;
        Some((link, conn))
    }

    /// The ids of a balancer's connections, or of all connections, in ascending order.
    pub fn ids(&self, balancer: Option<BalancerId>) -> Vec<ConnId> {
        let is_included = |c: &Conn| balancer.is_none_or(|b| c.balancer == b);
        let mut ids: Vec<ConnId> =
            self.conns.iter().filter(|(_, c)| is_included(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// The number of tracked connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Schedules a check. A progress check that is already scheduled is not scheduled again.
    pub fn schedule(&mut self, at: Micros, id: ConnId, check: Check) {
        if let Some(index) = progress_index(check) {
            match self.conns.get_mut(&id) {
                Some(conn) if !conn.scheduled[index] => conn.scheduled[index] = true,
                _ => return,
            }
        }
        self.checks.push(Reverse((at, id, check)));
    }

    /// Removes and returns a check that was due before `now`. One that is due exactly at `now` waits, since a time
    /// limit is met by an event exactly at its end.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, ConnId, Check)> {
        let Reverse((at, _, _)) = self.checks.peek()?;
        if *at >= now {
            return None;
        }
        let Reverse((at, id, check)) = self.checks.pop()?;
        if let Some((index, conn)) = progress_index(check).zip(self.conns.get_mut(&id)) {
            conn.scheduled[index] = false;
        }
        Some((at, id, check))
    }

    /// Schedules the removal of a connection that has ended.
    pub fn schedule_forget(&mut self, now: Micros, id: ConnId) {
        self.checks.push(Reverse((now + RETENTION, id, Check::Forget)));
    }

    /// Drops a connection and its links.
    pub fn forget(&mut self, id: ConnId) {
        let Some(conn) = self.conns.remove(&id) else { return };
        for link in conn.links {
            // The balancer may have reused the number after a restart.
            if self.links.get(&(conn.balancer, link)).is_some_and(|l| l.conn == id) {
                self.links.remove(&(conn.balancer, link));
            }
        }
    }
}

/// The index in [`Conn::scheduled`] of a progress check; none for other checks.
fn progress_index(check: Check) -> Option<usize> {
    match check {
        Check::ToNode => Some(0),
        Check::ToClient => Some(1),
        Check::Silent => Some(2),
        _ => None,
    }
}
