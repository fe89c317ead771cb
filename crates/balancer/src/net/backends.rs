//! The servers' side: backends, fetches and probes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use shorewharf_decisions::interface::{ListEntry, Outcome, RequestId, ServerId, Stage};
use shorewharf_driver::{Happening, Micros};
use shorewharf_protocol::list::{Endpoint, Listing};
use shorewharf_protocol::open::with_patience;
use shorewharf_protocol::words::{Word, word};

use super::delays::Figures;
use super::link::{End, Link};
use super::{Due, Net, Owner, is_shortage, log};

/// How long a probe may take.
const PROBE: Micros = 500_000;

/// A server as the director listed it last.
#[derive(Debug)]
pub struct Backend {
    name: String,
    address: SocketAddr,
    stage: Stage,
    /// The last report was of slow messages.
    pub(super) slow: bool,
    /// What its `LOAD` lines have told.
    pub(super) figures: Figures,
}

impl Backend {
    /// Its name in the list.
    pub(super) fn name(&self) -> &str {
        &self.name
    }
}

/// A server's id: the same function of its name at every balancer, whatever its address there.
pub fn server_id(name: &str) -> ServerId {
    // FNV-1a, 64 bits: fixed for good, unlike the standard library's hasher.
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    ServerId(hash)
}

/// When a server's process started, on the module's clock: that one was set by Unix time at the start, so only
/// the unit changes, and the same start is the same number in every list. What is no time is long ago.
fn born(since_ms: f64) -> f64 {
    if since_ms.is_finite() && since_ms > 0.0 { since_ms / 1e3 } else { 0.0 }
}

/// How far a fetch has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchStage {
    Connecting,
    Asked,
    Up,
}

/// What a server said last, which tells how its end is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastWord {
    Bye,
    Move,
    Other,
}

/// A fetch: one attempt at a server, and the standing connection that it becomes.
#[derive(Debug)]
pub struct Fetch {
    pub(super) link: Link,
    pub(super) server: ServerId,
    number: u64,
    stage: FetchStage,
    until: Micros,
    last: LastWord,
    /// When the server last said anything here.
    heard: Micros,
    /// When it last answered a line of the client's, and how long that took.
    answered: Option<(Micros, Micros)>,
}

/// A check on a server.
#[derive(Debug)]
pub struct Probe {
    link: Link,
    server: ServerId,
    asked: bool,
}

impl Fetch {
    /// Looks at the lines that have come from a server on a standing connection. Each is carried on as it
    /// is; what it means for the module is told here. Errs on a line over the limit.
    pub(super) fn look(
        &mut self,
        now: Micros,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> Result<(), super::link::TooLong> {
        while let Some(line) = self.link.look()? {
            self.heard = now;
            self.last = LastWord::Other;
            match word(line) {
                Word::Bye => self.last = LastWord::Bye,
                Word::Move => self.last = LastWord::Move,
                Word::Load(load) => told.extend(load),
                // The time from a client's line to the server's answer is what a message takes there.
                _ => self.answered = asked.take().map(|at| (now, now - at)).or(self.answered),
            }
        }
        Ok(())
    }

    pub(super) fn is_up(&self) -> bool {
        self.stage == FetchStage::Up
    }

    pub(super) fn heard(&self) -> Micros {
        self.heard
    }

    pub(super) fn answered(&self) -> Option<(Micros, Micros)> {
        self.answered
    }

    /// How the end of a standing connection counts.
    pub(super) fn outcome(&self) -> Outcome {
        match self.last {
            LastWord::Bye => Outcome::Ok,
            LastWord::Move => Outcome::Cancelled,
            LastWord::Other => Outcome::Reset,
        }
    }
}

impl Net {
    /// Takes in a list from discovery: what the module is told of it.
    pub(super) fn take_list(&mut self, listing: &Listing) -> Vec<ListEntry> {
        let before = self.stages();
        let entries = self.take_entries(listing);
        // By what has changed in the end: a whole list names every server, most of them as before.
        for (_, b) in self.backends.iter().filter(|(id, b)| before.get(id) != Some(&b.stage)) {
            let stage = format!("{:?}", b.stage).to_lowercase();
            log!("server-{stage} server={}", b.name);
        }
        let in_use: HashSet<ServerId> = self.fetches.values().map(|f| f.server).collect();
        self.backends.retain(|id, b| b.stage != Stage::Gone || in_use.contains(id));
        entries
    }

    /// The list that the configuration knows: whole, though it may be old.
    pub(super) fn list_known(&mut self, known: &Listing) -> Vec<ListEntry> {
        self.director.knows(known.index);
        self.take_entries(known)
    }

    fn stages(&self) -> HashMap<ServerId, Stage> {
        self.backends.iter().map(|(id, b)| (*id, b.stage)).collect()
    }

    fn take_entries(&mut self, listing: &Listing) -> Vec<ListEntry> {
        if listing.snapshot {
            self.backends.values_mut().for_each(|b| b.stage = Stage::Gone);
        }
        listing.endpoints.iter().filter_map(|e| self.take_entry(e)).collect()
    }

    fn take_entry(&mut self, e: &Endpoint) -> Option<ListEntry> {
        let server = server_id(&e.name);
        let stage = match e.status.as_str() {
            "Ready" => Stage::Ready,
            "Gone" => Stage::Gone,
            // What isn't known to be ready gets nothing new.
            _ => Stage::Draining,
        };
        let Ok(address) = e.address.parse() else {
            log!("bad-endpoint server={} address=\"{}\"", e.name, e.address);
            return None;
        };
        let figures = Figures::default();
        let fresh = || Backend { name: e.name.clone(), address, stage, slow: false, figures };
        let b = self.backends.entry(server).or_insert_with(fresh);
        if b.name != e.name {
            log!("bad-endpoint server={} clashes with {}", e.name, b.name);
            return None;
        }
        (b.address, b.stage) = (address, stage);
        let zone = self.names.zones.get(&e.zone).copied().unwrap_or(u32::MAX);
        let born = born(e.since_ms);
        Some(ListEntry { server, zone, cell: e.group, stage, weight: e.weight, born })
    }

    /// Whether a server is listed. A client that stood on it before the start can have stood on no other.
    pub(super) fn is_listed(&self, server: ServerId) -> bool {
        self.backends.contains_key(&server)
    }

    fn ready_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.backends.get(&server).filter(|b| b.stage == Stage::Ready).map(|b| b.address)
    }

    /// A standing connection's own server is asked for even while it drains.
    fn address_for(&self, id: RequestId, server: ServerId) -> Option<SocketAddr> {
        match self.sessions.get(&id).map(|s| s.home()) {
            Some(Some(home)) if home == server => self.backends.get(&server).map(|b| b.address),
            _ => self.ready_address(server),
        }
    }

    pub(super) fn fetch_begins(&mut self, id: RequestId, server: ServerId, patience: Micros) {
        // Guards against two attempts out at once, whatever asked for the second.
        if self.fetches.contains_key(&id) || !self.sessions.get(&id).is_some_and(|s| s.waits()) {
            return;
        }
        let address = self.address_for(id, server).filter(|_| self.make_room());
        let Some(address) = address else {
            return self.fetch_ended(id, Outcome::NotSent);
        };
        let mut link = match Link::connect(address) {
            Ok(link) => link,
            Err(e) if is_shortage(&e) => {
                self.note_short(true);
                return self.fetch_ended(id, Outcome::NotSent);
            }
            Err(_) => return self.fetch_ended(id, Outcome::ConnectFailed),
        };
        if !self.watch_link(&mut link, Owner::Fetch(id)) {
            return self.fetch_ended(id, Outcome::NotSent);
        }
        let (number, until) = (self.serial(), self.now + patience);
        let (stage, last) = (FetchStage::Connecting, LastWord::Other);
        let (heard, answered) = (0, None);
        self.fetches.insert(id, Fetch { link, server, number, stage, until, last, heard, answered });
        // A client that leaves less time than a connect may take must not get its server locked.
        if self.connect_timeout <= patience {
            self.at(self.now + self.connect_timeout, Due::Connect(id, number));
        }
        self.at(until, Due::Patience(id, number));
        self.fetch_goes_on(id);
    }

    /// Tells how a fetch ended; a carried connection that never came up was never told of.
    fn fetch_ended(&mut self, id: RequestId, outcome: Outcome) {
        match self.sessions.get(&id).map(|s| (s.home(), s.waits())) {
            Some((Some(home), true)) => self.carried_fetch_ended(id, home, outcome),
            _ => self.tell(Happening::FetchEnded(id, outcome)),
        }
    }

    /// Ends the fetch that is out, on the network and for the module.
    pub(super) fn fetch_over(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(fetch) = self.fetches.remove(&id) {
            self.close(fetch.link);
            self.fetch_ended(id, outcome);
        }
    }

    pub(super) fn connect_due(&mut self, id: RequestId, number: u64) {
        let late = |f: &Fetch| f.number == number && f.stage == FetchStage::Connecting;
        if self.fetches.get(&id).is_some_and(late) {
            self.fetch_over(id, Outcome::ConnectFailed);
        }
    }

    pub(super) fn patience_due(&mut self, id: RequestId, number: u64) {
        let Some(fetch) = self.fetches.get(&id).filter(|f| f.number == number) else { return };
        match fetch.stage {
            FetchStage::Connecting => self.fetch_over(id, Outcome::NotSent),
            FetchStage::Asked => self.fetch_over(id, Outcome::TimedOut),
            FetchStage::Up => {}
        }
    }

    pub(super) fn fetch_ready(&mut self, id: RequestId, read: bool, write: bool) {
        let Some(fetch) = self.fetches.get_mut(&id) else { return };
        fetch.link.ready(read, write);
        match fetch.stage {
            FetchStage::Up => self.relay(id),
            _ => self.fetch_goes_on(id),
        }
    }

    fn fetch_goes_on(&mut self, id: RequestId) {
        let Some(fetch) = self.fetches.get_mut(&id) else { return };
        if fetch.stage == FetchStage::Connecting {
            match fetch.link.connected() {
                Ok(false) => return,
                Ok(true) => {}
                Err(_) => return self.fetch_over(id, Outcome::ConnectFailed),
            }
            // The server may have begun to leave while the connection came up: it gets nothing new.
            let (server, until) = (fetch.server, fetch.until);
            if self.address_for(id, server).is_none() {
                return self.fetch_over(id, Outcome::NotSent);
            }
            let Some(line) = self.sessions.get(&id).and_then(|s| s.first_line()) else { return };
            let words = with_patience(line, until.saturating_sub(self.now));
            let Some(fetch) = self.fetches.get_mut(&id) else { return };
            fetch.stage = FetchStage::Asked;
            fetch.link.say(&self.pool, &words);
        }
        let Some(fetch) = self.fetches.get_mut(&id) else { return };
        let sent = fetch.link.flush();
        fetch.link.fill(&self.pool);
        let ended = fetch.link.ended;
        let outcome = match fetch.link.look().map(|line| line.map(word)) {
            Ok(Some(Word::Up(_))) => return self.fetch_up(id),
            Ok(Some(Word::Busy(_))) => Outcome::Full,
            Ok(Some(Word::Move)) => Outcome::Cancelled,
            Ok(Some(Word::Bye)) => Outcome::Ok,
            Ok(Some(Word::Err)) => Outcome::Error,
            Ok(Some(other)) => {
                let line = other.to_string();
                let line = line.trim_end().as_bytes();
                let line = String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned();
                log!("odd-answer server={} line={line:?}", self.server_name(id));
                Outcome::Error
            }
            Err(_) => {
                log!("line-too-long peer=server server={}", self.server_name(id));
                Outcome::Error
            }
            Ok(None) if ended.is_none() => return,
            // Broken before the line's last byte was written: it has never run.
            Ok(None) if !sent => Outcome::ConnectFailed,
            Ok(None) => Outcome::Reset,
        };
        self.fetch_over(id, outcome);
        if outcome == Outcome::Ok {
            self.answer(id, b"BYE\r\n");
        }
    }

    pub(super) fn server_name(&self, id: RequestId) -> &str {
        let backend = self.fetches.get(&id).and_then(|f| self.backends.get(&f.server));
        backend.map_or("?", |b| &b.name)
    }

    fn fetch_up(&mut self, id: RequestId) {
        let Some(fetch) = self.fetches.get_mut(&id) else { return };
        (fetch.stage, fetch.heard) = (FetchStage::Up, self.now);
        self.session_up(id);
        self.relay(id);
    }

    pub(super) fn probe_begins(&mut self, server: ServerId) {
        let address = self.backends.get(&server).map(|b| b.address).filter(|_| self.has_descriptor());
        let link = address.map(Link::connect);
        let number = self.serial();
        let Some(Ok(mut link)) = link else {
            return self.tell(Happening::Probed(server, Outcome::ConnectFailed));
        };
        if !self.watch_link(&mut link, Owner::Probe(number)) {
            return self.tell(Happening::Probed(server, Outcome::ConnectFailed));
        }
        self.probes.insert(number, Probe { link, server, asked: false });
        self.at(self.now + PROBE, Due::Probe(number));
        self.probe_ready(number, false, false);
    }

    pub(super) fn probe_ready(&mut self, number: u64, read: bool, write: bool) {
        let Some(probe) = self.probes.get_mut(&number) else { return };
        probe.link.ready(read, write);
        if !probe.asked {
            match probe.link.connected() {
                Ok(false) => return,
                Ok(true) => probe.asked = probe.link.say(&self.pool, b"PING\r\n"),
                Err(_) => return self.probe_over(number, Outcome::ConnectFailed),
            }
        }
        probe.link.flush();
        probe.link.fill(&self.pool);
        let ended = probe.link.ended;
        let outcome = match probe.link.look() {
            Ok(Some(b"PONG")) => Outcome::Ok,
            Ok(None) if ended.is_none() => return,
            Ok(None) => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.probe_over(number, outcome);
    }

    pub(super) fn probe_over(&mut self, number: u64, outcome: Outcome) {
        if let Some(probe) = self.probes.remove(&number) {
            self.close(probe.link);
            self.tell(Happening::Probed(probe.server, outcome));
        }
    }

    /// Ends the server's side of a connection the way its client ended.
    pub(super) fn end_server_side(&mut self, id: RequestId, end: End) {
        if let Some(fetch) = self.fetches.get_mut(&id) {
            match end {
                End::Fin => fetch.link.shut(),
                End::Reset => fetch.link.break_off(),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_id_is_a_fixed_function_of_the_name() {
        // Every balancer must come to the same id, in every version of this program.
        assert_eq!(server_id(""), ServerId(0xcbf2_9ce4_8422_2325));
        assert_eq!(server_id("a"), ServerId(0xaf63_dc4c_8601_ec8c));
        assert_ne!(server_id("s-5be2a07c"), server_id("s-5be2a07d"));
    }

    #[test]
    fn a_start_is_a_time_in_seconds_or_long_ago() {
        assert_eq!(born(1_796_115_693_678.0), 1_796_115_693.678);
        assert_eq!([born(0.0), born(-1.0), born(f64::INFINITY)], [0.0; 3]);
    }
}
