//! The connections and links that are remembered, and what falls due on them.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rustc_hash::FxHashMap;

use super::established::{EstablishedConnection, Lines};
use super::request::{Finding, Request};
use super::trace::Ring;
use crate::edge::{BalancerId, ConnId, LinkId, NodeId};

/// A connection that is over is remembered for so long: what still refers to it then is no mix-up of reading order.
const RETENTION: Micros = 10_000_000;

/// A client's connection.
#[derive(Clone, Debug)]
pub(super) struct Conn {
    pub by: BalancerId,
    /// It is a bad client's.
    pub is_misbehaving: bool,
    /// A break was found on it, or its balancer died: nothing more is judged, so that one fault has one reason.
    pub is_closed_to_findings: bool,
    pub request: Request,
    pub established: Option<EstablishedConnection>,
    /// The client ended it.
    pub client_closed: Option<Micros>,
    /// The balancer ended it.
    pub client_cut_off: Option<Micros>,
    /// Lines on their way to the node, and to the client.
    pub to_node: Lines,
    pub to_client: Lines,
    /// Which kinds of progress check are scheduled; each kind is scheduled at most once.
    scheduled: [bool; 3],
    links: Vec<LinkId>,
    /// What its end looks like, unless its whole process turns out to have ended.
    pub deferred_finding: Option<Box<Finding>>,
    pub trace: Ring,
}

impl Conn {
    pub fn new(by: BalancerId, request: Request) -> Self {
        Conn {
            by,
            is_misbehaving: false,
            is_closed_to_findings: false,
            request,
            established: None,
            client_closed: None,
            client_cut_off: None,
            to_node: Lines::default(),
            to_client: Lines::default(),
            scheduled: [false; 3],
            links: Vec::new(),
            deferred_finding: None,
            trace: Ring::default(),
        }
    }

    /// Nothing may be sent for it any more: the balancer ended it itself, or has had time to learn of the client's end.
    pub fn is_over(&self, now: Micros, learn: Micros) -> bool {
        let own = self.request.answered_at.into_iter().chain(self.client_cut_off).any(|t| now >= t + learn);
        !self.is_misbehaving && (own || self.client_closed.is_some_and(|t| now > t + learn))
    }

    /// Waits for its answer.
    pub fn is_awaiting_answer(&self) -> bool {
        self.request.answered_at.is_none() && self.client_closed.is_none() && self.client_cut_off.is_none()
    }
}

/// A balancer's link that carries a client's connection.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub conn: ConnId,
    pub node: NodeId,
    /// The balancer knew of the node's start when it sent.
    pub knew_of_start: bool,
    /// The node has said `UP` on it.
    pub up: bool,
    /// The node ended it.
    pub closed_by_node: Option<Micros>,
    /// The balancer ended it, or it never came up.
    pub closed_by_balancer: Option<Micros>,
}

impl Link {
    pub fn new(conn: ConnId, node: NodeId, knew: bool) -> Self {
        Link { conn, node, knew_of_start: knew, up: false, closed_by_node: None, closed_by_balancer: None }
    }
}

/// A check of a connection that falls due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Check {
    ToNode,
    ToClient,
    Silent,
    ClosedByNode,
    ClosedByBalancer,
    DuplicateAttempt(LinkId, Micros),
    DeferredFinding,
    Forget,
}

/// All that is remembered.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// Boxed, as the table grows by doubling.
    conns: FxHashMap<ConnId, Box<Conn>>,
    links: FxHashMap<(BalancerId, LinkId), Link>,
    checks: BinaryHeap<Reverse<(Micros, ConnId, Check)>>,
}

impl Table {
    pub fn conn(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id).map(Box::as_mut)
    }

    /// A new connection; false if the id is in use.
    pub fn open(&mut self, id: ConnId, conn: Conn) -> bool {
        let fresh = !self.conns.contains_key(&id);
        if fresh {
            self.conns.insert(id, Box::new(conn));
        }
        fresh
    }

    /// A link begins for a connection that is known.
    pub fn link(&mut self, by: BalancerId, id: LinkId, link: Link) {
        if let Some(conn) = self.conns.get_mut(&link.conn) {
            conn.links.push(id);
            self.links.insert((by, id), link);
        }
    }

    pub fn link_of(&mut self, by: BalancerId, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&(by, id))
    }

    /// A link and its connection.
    pub fn link_and_conn(&mut self, by: BalancerId, id: LinkId) -> Option<(&mut Link, &mut Conn)> {
        let link = self.links.get_mut(&(by, id))?;
        let conn = self.conns.get_mut(&link.conn)?;
        Some((link, conn))
    }

    /// The ids of a balancer's connections, or all, in order.
    pub fn ids(&self, by: Option<BalancerId>) -> Vec<ConnId> {
        let of = |c: &Conn| by.is_none_or(|b| c.by == b);
        let mut ids: Vec<ConnId> = self.conns.iter().filter(|(_, c)| of(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Connections that are remembered.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Schedules a check. A progress check that is already scheduled is not scheduled again.
    pub fn schedule(&mut self, at: Micros, id: ConnId, check: Check) {
        if let Some(place) = moving(check) {
            match self.conns.get_mut(&id) {
                Some(conn) if !conn.scheduled[place] => conn.scheduled[place] = true,
                _ => return,
            }
        }
        self.checks.push(Reverse((at, id, check)));
    }

    /// What is due before `now`: a limit is kept at its very end.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, ConnId, Check)> {
        let Reverse((at, _, _)) = self.checks.peek()?;
        if *at >= now {
            return None;
        }
        let Reverse((at, id, check)) = self.checks.pop()?;
        if let Some((place, conn)) = moving(check).zip(self.conns.get_mut(&id)) {
            conn.scheduled[place] = false;
        }
        Some((at, id, check))
    }

    /// It is over: it will be forgotten.
    pub fn schedule_forget(&mut self, now: Micros, id: ConnId) {
        self.checks.push(Reverse((now + RETENTION, id, Check::Forget)));
    }

    pub fn forget(&mut self, id: ConnId) {
        let Some(conn) = self.conns.remove(&id) else { return };
        for link in conn.links {
            // A later life of the balancer may have used the number again.
            if self.links.get(&(conn.by, link)).is_some_and(|l| l.conn == id) {
                self.links.remove(&(conn.by, link));
            }
        }
    }
}

fn moving(check: Check) -> Option<usize> {
    match check {
        Check::ToNode => Some(0),
        Check::ToClient => Some(1),
        Check::Silent => Some(2),
        _ => None,
    }
}
