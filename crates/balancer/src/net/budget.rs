//! What may be held at once: descriptors, connections that ask for nothing, and log lines that clients cause.

use std::collections::BTreeSet;
use std::fmt::Arguments;

use super::clients::Stage;
use super::{Net, log};
use shorewharf_decisions::interface::RequestId;
use shorewharf_driver::Micros;

/// Descriptors that aren't connections: the loop's own, the listener, the log, and some to spare.
const OWN_DESCRIPTORS: usize = 16;
/// Descriptors kept for clients that are only told to come again.
const SPARE: usize = 16;
/// Connections that ask for nothing may hold this part of the descriptors: usual clients need two each, one to
/// their server, and hold two thirds at most.
const UNSERVED_PART: usize = 4;
/// Log lines a second that clients may cause by what they do wrong.
const COMPLAINTS: u32 = 50;
const SECOND: Micros = 1_000_000;

/// Connections that ask for nothing, each with the time since when: those whose first line is still to come, and
/// those that have had their last words.
#[derive(Debug, Default)]
pub(super) struct Unserved {
    opening: BTreeSet<(Micros, RequestId)>,
    ending: BTreeSet<(Micros, RequestId)>,
}

/// Log lines that clients have caused within the second that began then, and how many were left out.
#[derive(Debug, Default)]
pub(super) struct Complaints {
    began: Micros,
    written: u32,
    left_out: u32,
}

impl Net {
    pub(super) fn descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.sessions.len() + self.fetches.len() + self.probes.len()
    }

    /// Whether a connection to a server can be had and enough is left to answer clients.
    pub(super) fn has_descriptor(&self) -> bool {
        self.descriptors() + SPARE < self.sockets
    }

    /// Has a descriptor for a connection to a server, at the cost of those who ask for nothing.
    pub(super) fn make_room(&mut self) -> bool {
        while !self.has_descriptor() {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Whether one more client can be accepted. Guards usual clients against floods: who asks for nothing holds
    /// a part of the descriptors and no more, and the one that has done so for longest goes first.
    pub(super) fn may_accept(&mut self) -> bool {
        let part = self.sockets / UNSERVED_PART;
        while self.unserved.opening.len() + self.unserved.ending.len() >= part || !self.has_descriptor() {
            if !self.evict() {
                break;
            }
        }
        self.descriptors() < self.sockets
    }

    /// Ends the connection that has asked for nothing for longest. Those with their last words on the way have
    /// been answered and come first.
    fn evict(&mut self) -> bool {
        let oldest = self.unserved.ending.first().or(self.unserved.opening.first()).copied();
        oldest.inspect(|(_, id)| self.drop_session(*id)).is_some()
    }

    pub(super) fn unserved_begins(&mut self, id: RequestId, stage: Stage) {
        let Some(since) = self.sessions.get(&id).map(|s| s.since()) else { return };
        match stage {
            Stage::Ending => self.unserved.ending.insert((since, id)),
            _ => self.unserved.opening.insert((since, id)),
        };
    }

    pub(super) fn unserved_ends(&mut self, id: RequestId) {
        if let Some(since) = self.sessions.get(&id).map(|s| s.since()) {
            self.unserved.opening.remove(&(since, id));
            self.unserved.ending.remove(&(since, id));
        }
    }

    /// Says once that descriptors have run out, and once that there are some again.
    pub(super) fn note_short(&mut self, short: bool) {
        if std::mem::replace(&mut self.short, short) != short {
            let (held, limit) = (self.descriptors(), self.sockets);
            if short {
                log!("descriptors-short held={held} limit={limit}: new clients are refused or wait");
            } else {
                log!("descriptors-enough held={held} limit={limit}");
            }
        }
    }

    /// Logs what a client does wrong. Bounded: a flood of bad clients must not fill the log or cost the time
    /// that usual clients need.
    pub(super) fn complain(&mut self, text: Arguments) {
        self.complaints_due();
        let c = &mut self.complaints;
        if c.written < COMPLAINTS {
            c.written += 1;
            log!("{text}");
        } else {
            c.left_out += 1;
        }
    }

    /// Once a second, says how many lines were left out.
    pub(super) fn complaints_due(&mut self) {
        if self.now >= self.complaints.began + SECOND {
            let left_out = self.complaints.left_out;
            self.complaints = Complaints { began: self.now, ..Complaints::default() };
            if left_out > 0 {
                log!("bad-clients left-out={left_out}");
            }
        }
    }
}
