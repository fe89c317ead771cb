//! All peers together: what the loop has seen goes to the one concerned, and what the driver wants too.

use std::io;
use std::net::SocketAddr;

use mio::net::TcpListener;
use shorewharf_decisions::interface::{ListEntry, Outcome, RequestId, ServerId};
use shorewharf_driver::{Happening, Micros, Peers};
use shorewharf_protocol::list::Listing;
use tracing::{error, info};

use super::farewell::{Farewell, LEAVE_AFTER};
use super::link::is_shortage;
use super::list::director::{Director, News};
use super::list::incoming::Incoming;
use super::poll::{Owner, Ready};
use super::serving::Serving;
use super::terms::Terms;
use super::turn::{Due, Turn};

/// How long clients wait in the backlog before the next look for room.
const ACCEPT_AGAIN: Micros = 100_000;
/// The steps of a planned end.
const STEP: Micros = 100_000;
/// The longest wait for anything.
const LONGEST: Micros = 1_000_000;
/// How often servers' message delays are reported, as on the simulator's wire.
const DELAY_PERIOD: Micros = 1_000_000;

/// All peers, and the turn that they act in.
#[derive(Debug)]
pub struct Net {
    turn: Turn,
    listener: TcpListener,
    /// Clients may wait to be accepted: the last look did not show that none does.
    can_accept: bool,
    /// They are to be accepted in this turn, or the next where there are more than one turn takes.
    accepts: bool,
    /// The next look for room is set.
    waits_for_room: bool,
    serving: Serving,
    director: Director,
    /// When SIGTERM came.
    leaving: Option<Micros>,
    done: bool,
}

impl Net {
    /// Peers of a program that listens here and asks discovery there; nobody has come yet.
    pub fn new(turn: Turn, listener: TcpListener, discovery: SocketAddr, terms: Terms) -> Self {
        let mut net = Net {
            turn,
            listener,
            can_accept: true,
            accepts: true,
            waits_for_room: false,
            serving: Serving::new(terms),
            director: Director::new(discovery),
            leaving: None,
            done: false,
        };
        net.turn.pressure.set_aim(net.serving.terms.message_aim);
        net.turn.after(DELAY_PERIOD, Due::Delays);
        net
    }

    /// The list that the configuration knows: whole, though it may be old.
    pub fn list_known(&mut self, known: &Listing) -> Vec<ListEntry> {
        self.director.knows(known.index);
        let terms = &self.serving.terms;
        let known = Incoming::of(known, &terms.names, terms.most_servers);
        self.serving.backends.take_quietly(known, terms.most_servers)
    }

    /// Where clients connect.
    pub fn listens_at(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// A turn begins at this time; time never goes back.
    pub fn begin(&mut self, now: Micros) {
        self.turn.begin(now);
    }

    /// Puts another configuration's terms in force; connections and the list stay.
    pub fn take_terms(&mut self, terms: Terms, discovery: SocketAddr) {
        self.turn.pressure.set_aim(terms.message_aim);
        self.serving.take_terms(terms);
        let news = self.director.moves(&mut self.turn, discovery);
        self.listed(news);
    }

    /// What the loop has seen of a connection goes to whom it belongs to.
    pub fn seen(&mut self, owner: Owner, ready: Ready) {
        let turn = &mut self.turn;
        match owner {
            Owner::Session(id) => self.serving.session_ready(turn, id, ready),
            Owner::Fetch(id) => self.serving.fetch_ready(turn, id, ready),
            Owner::Probe(number) => self.serving.probes.ready(turn, number, ready),
            Owner::Director => {
                let news = self.director.ready(turn, &self.serving.terms, ready);
                self.listed(news);
            }
            // Those who are here come first: what they do may make room, and the module should know of it.
            Owner::Listener => (self.can_accept, self.accepts) = (true, true),
            // Orders are not the peers'.
            Owner::Signals => {}
        }
    }

    /// What is to be done at the end of a turn, whatever has come. `heard` is called after each step, so that the
    /// module hears of one, and what it wants is done, before the next: a client that is accepted must not be placed
    /// by what was so before the one ahead of it.
    pub fn finish(&mut self, mut heard: impl FnMut(&mut Self)) {
        for id in self.serving.take_again() {
            self.serving.goes_on(&mut self.turn, id);
            heard(self);
        }
        if self.director.is_busy() {
            self.seen(Owner::Director, Ready::default());
            heard(self);
        }
        while let Some(due) = self.turn.timers.due() {
            self.due(due);
            heard(self);
        }
        if std::mem::take(&mut self.accepts) {
            self.accept(heard);
        }
        if self.serving.is_short() {
            self.accept_again();
        }
    }

    fn due(&mut self, due: Due) {
        let turn = &mut self.turn;
        match due {
            Due::Module(token) => turn.tell(Happening::Woken(token)),
            Due::Session(id) => self.serving.session_alarmed(turn, id),
            Due::Fetch(id) => self.serving.fetch_alarmed(turn, id),
            Due::Probe(number) => self.serving.probes.alarmed(turn, number),
            Due::Director => {
                let news = self.director.alarmed(turn);
                self.listed(news);
            }
            Due::Accept => {
                self.accepts = self.can_accept;
                self.waits_for_room = false;
                if self.serving.has_room() {
                    self.serving.note_short(false);
                }
            }
            Due::Complaints => self.serving.complaints_due(turn.now),
            Due::Leave => self.leave(),
            Due::Delays => {
                // What is still to be read would look like a delay.
                if turn.now >= turn.judges_from() {
                    self.serving.report_delays(turn);
                }
                turn.after(DELAY_PERIOD, Due::Delays);
            }
        }
    }

    /// The turn has ended at this time: when there is something to do again though nothing comes, which may be now.
    pub fn ends(&mut self, now: Micros) -> Micros {
        self.turn.pressure.turn(self.turn.now, now, self.accepts);
        let next = match self.serving.is_busy() || self.director.is_busy() || self.accepts {
            true => self.turn.now,
            false => self.turn.timers.next().unwrap_or(self.turn.now + LONGEST),
        };
        self.turn.ends(next);
        next
    }

    /// Everybody has left: the program ends.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn accept(&mut self, mut heard: impl FnMut(&mut Self)) {
        for _ in 0..self.turn.pressure.accepts() {
            if !self.can_accept {
                break;
            }
            // Out of descriptors, clients wait in the backlog.
            if !self.serving.may_accept() {
                self.serving.note_short(true);
                return self.accept_again();
            }
            match self.listener.accept() {
                Ok((stream, from)) => {
                    self.serving.client_comes(&mut self.turn, stream, from);
                    heard(self);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.can_accept = false,
                Err(e) if is_shortage(&e) => {
                    self.serving.note_short(true);
                    return self.accept_again();
                }
                // The client gave up while it waited; the next one may be fine.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                // An error that stays must not become a busy loop.
                Err(e) => {
                    error!(event = "accept-failed", error = %e);
                    return self.accept_again();
                }
            }
        }
        // A flood must not keep the loop busy with turning clients away.
        match self.serving.has_room() {
            true => self.accepts = self.can_accept,
            false => self.accept_again(),
        }
    }

    fn accept_again(&mut self) {
        if !std::mem::replace(&mut self.waits_for_room, true) {
            self.turn.after(ACCEPT_AGAIN, Due::Accept);
        }
    }

    fn listed(&mut self, news: Vec<News>) {
        for news in news {
            let happening = match news {
                News::List(list) => {
                    let full = list.snapshot;
                    Happening::Listed { full, cached: false, entries: self.serving.take_list(list) }
                }
                News::Failed => Happening::DirectorFailed,
            };
            self.turn.tell(happening);
        }
    }

    /// The planned end begins.
    pub fn stop_soon(&mut self) {
        if self.leaving.is_none() {
            self.leaving = Some(self.turn.now);
            let (sessions, waiting) = self.serving.close();
            info!(event = "leaving", sessions, waiting);
            self.turn.after(STEP, Due::Leave);
        }
    }

    /// The steps of a planned end: accept and answer, move everybody, refuse who still waits, go.
    fn leave(&mut self) {
        let Some(since) = self.leaving.map(|at| self.turn.now - at) else { return };
        let farewell = Farewell::new(&self.serving.terms.give_up);
        if since >= farewell.answers {
            self.serving.refuse_all(&mut self.turn);
        }
        if since >= farewell.move_from {
            self.serving.move_some(&mut self.turn, farewell.move_until.saturating_sub(since) / STEP);
        }
        let clients = self.serving.clients();
        if since >= farewell.last || (since >= LEAVE_AFTER + STEP && clients == 0) {
            info!(event = "left", sessions = clients);
            self.done = true;
        }
        self.turn.after(STEP, Due::Leave);
    }
}

impl Peers for Net {
    fn now(&self) -> Micros {
        self.turn.now
    }

    fn next(&mut self) -> Option<Happening> {
        self.turn.next()
    }

    fn fetch(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.serving.fetch(&mut self.turn, req, server, patience);
    }

    fn call_off(&mut self, req: RequestId) {
        self.serving.fetch_over(&mut self.turn, req, Outcome::Cancelled);
    }

    fn refuse(&mut self, req: RequestId, after: Micros) {
        self.serving.refuse(&mut self.turn, req, after);
    }

    fn fail(&mut self, req: RequestId) {
        self.serving.answer_failed(&mut self.turn, req);
    }

    fn move_away(&mut self, req: RequestId) {
        self.serving.move_away(&mut self.turn, req);
    }

    fn probe(&mut self, server: ServerId) {
        let address = self.serving.backends.address(server).filter(|_| self.serving.has_room());
        self.serving.probes.begin(&mut self.turn, server, address);
    }

    fn watch(&mut self) {
        let news = self.director.watch(&mut self.turn);
        self.listed(news);
    }

    fn wake(&mut self, after: Micros, token: u64) {
        self.turn.after(after, Due::Module(token));
    }

    fn log(&mut self, line: &str) {
        info!(event = "module", text = line);
    }
}
