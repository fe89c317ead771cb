//! Discovery as balancers reach it: calls and watches over HTTP/1.1, each balancer at an address of its own.
//!
//! What the list says and when is the world's; here it becomes versions, lines and status codes. The world answers a
//! call with the whole list; a call that names a version told before gets only what has changed since.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use super::addresses::Addresses;
use super::directory::Directory;
use super::harness::Observations;
use super::lines::LineConnection;
use super::net::{Listener, Net, Ready, Role};
use crate::edge::{BalancerId, End, FromBalancer, Listed, NodeId, Stage};

/// An empty line comes on a watch this often.
const BLANK: Micros = 2_000_000;
/// After a move, connections at the old address end this much later.
const OLD_ENDS: Micros = 1_500_000;
/// Versions that calls can go on from; a call from an older one gets the whole list.
const VERSIONS: usize = 256;
/// The longest request read.
const REQUEST: usize = 16 << 10;
/// A piece of the answer's body: a long list comes in several, so that readers meet objects cut in two.
const PIECE: usize = 4 << 10;

const WATCH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const DOWN: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The list as this balancer was told it.
type KnownList = BTreeMap<NodeId, Listed>;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// Its request has not come in whole.
    Nothing,
    /// The whole list, once.
    List,
    /// A watch that goes on from this version.
    Watch(u64),
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// The request is being read.
    Reading,
    /// It waits for the world's answer.
    Waiting,
    /// It is told changes.
    Watching,
    /// All is said; the balancer's end is awaited.
    Over,
}

#[derive(Debug)]
struct Call {
    who: BalancerId,
    wire: LineConnection,
    /// It came in after so many moves.
    moves: u32,
    asks: CallKind,
    stand: CallState,
    /// An empty line is due.
    blank: Micros,
}

/// One balancer's side of discovery.
#[derive(Debug)]
struct Side {
    ear: Option<Listener>,
    at: SocketAddr,
    moves: u32,
    /// Connections from before the last move end then.
    old_end: Option<Micros>,
    known: KnownList,
    index: u64,
    versions: VecDeque<(u64, KnownList)>,
}

impl Side {
    /// Takes in what the world tells; the entries that have changed.
    fn take(&mut self, full: bool, entries: &[Listed]) -> Vec<Listed> {
        let before = self.known.clone();
        if full {
            self.known.clear();
        }
        for entry in entries {
            match entry.stage {
                Stage::Gone => self.known.remove(&entry.node),
                _ => self.known.insert(entry.node, *entry),
            };
        }
        let changed = changes(&before, &self.known);
        if !changed.is_empty() {
            self.index += 1;
            self.versions.push_back((self.index, self.known.clone()));
            if self.versions.len() > VERSIONS {
                self.versions.pop_front();
            }
        }
        changed
    }

    /// What has changed since this version, if it is still remembered.
    fn since(&self, index: u64) -> Option<Vec<Listed>> {
        let (_, then) = self.versions.iter().find(|(i, _)| *i == index)?;
        Some(changes(then, &self.known))
    }

    fn whole(&self) -> Vec<Listed> {
        self.known.values().copied().collect()
    }
}

fn changes(before: &KnownList, after: &KnownList) -> Vec<Listed> {
    let gone = before.values().filter(|e| !after.contains_key(&e.node));
    let gone = gone.map(|e| Listed { stage: Stage::Gone, ..*e });
    let new = after.values().filter(|e| before.get(&e.node) != Some(e)).copied();
    gone.chain(new).collect()
}

/// Discovery's side of all balancers.
#[derive(Debug)]
pub struct Discovery {
    addresses: Addresses,
    sides: Vec<Side>,
    calls: BTreeMap<u64, Call>,
    next: u64,
    /// Calls are answered at once with what is known: before the day begins, the world does not act.
    alone: bool,
    /// Calls that failed, for alternating between the ways.
    failed: u64,
    /// Requests that were no call of the protocol, each with its reason.
    pub strange: Vec<String>,
}

impl Discovery {
    /// Discovery for so many balancers, listening.
    pub fn new(net: &mut Net, addresses: Addresses, balancers: u32) -> io::Result<Self> {
        let mut sides = Vec::new();
        for who in (0..balancers).map(BalancerId) {
            let ear = net.listen(addresses.discovery(who, 0), Role::DirectorEar(who, 0))?;
            sides.push(Side {
                at: ear.address(),
                ear: Some(ear),
                moves: 0,
                old_end: None,
                known: KnownList::new(),
                index: 0,
                versions: VecDeque::new(),
            });
        }
        let calls = BTreeMap::new();
        Ok(Discovery { addresses, sides, calls, next: 0, alone: true, failed: 0, strange: Vec::new() })
    }

    /// Where this balancer finds it now.
    pub fn address(&self, who: BalancerId) -> SocketAddr {
        self.sides[who.0 as usize].at
    }

    /// A balancer starts with this list; its version is returned.
    pub fn starts(&mut self, who: BalancerId, known: &[Listed]) -> u64 {
        let side = &mut self.sides[who.0 as usize];
        side.take(true, known);
        side.index
    }

    /// From now on the world answers calls.
    pub fn day_begins(&mut self) {
        self.alone = false;
    }

    /// Whether a balancer has a watch or waits for one.
    pub fn is_watched(&self, who: BalancerId) -> bool {
        let of = |c: &&Call| c.who == who && matches!(c.stand, CallState::Waiting | CallState::Watching);
        self.calls.values().any(|c| of(&c))
    }

    /// Goes to another address for this balancer: the old one takes nothing new and ends what it has a little later.
    pub fn moves(&mut self, net: &mut Net, now: Micros, who: BalancerId) -> io::Result<SocketAddr> {
        let side = &mut self.sides[who.0 as usize];
        side.moves += 1;
        let role = Role::DirectorEar(who, side.moves);
        let ear = net.listen(self.addresses.discovery(who, side.moves), role)?;
        side.at = ear.address();
        if let Some(old) = side.ear.replace(ear) {
            net.deafen(old);
        }
        side.old_end = Some(now + OLD_ENDS);
        Ok(side.at)
    }

    /// Connections wait to be accepted.
    pub fn called(
        &mut self,
        net: &mut Net,
        now: Micros,
        (who, moves): (BalancerId, u32),
        dir: &Directory,
        did: &mut Observations,
    ) {
        let side = &self.sides[who.0 as usize];
        let Some(ear) = side.ear.as_ref().filter(|_| side.moves == moves) else { return };
        let mut came = Vec::new();
        while let Some(stream) = net.accept(ear) {
            came.push(stream);
        }
        for stream in came {
            let id = self.next;
            self.next += 1;
            // One that broke while it waited is no call.
            let Ok(wire) = net.adopt(stream, Role::Call(id)) else { continue };
            let call = Call {
                who,
                wire,
                moves,
                asks: CallKind::Nothing,
                stand: CallState::Reading,
                blank: Micros::MAX,
            };
            self.calls.insert(id, call);
            self.ready(net, now, id, Ready { role: Role::Call(id), read: true, write: true }, dir, did);
        }
    }

    /// A call's connection has something.
    pub fn ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        id: u64,
        ready: Ready,
        dir: &Directory,
        did: &mut Observations,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.wire.ready(net, ready);
        if call.stand == CallState::Reading {
            self.read_request(net, now, id, dir, did);
        } else {
            let held = call.wire.held().len();
            call.wire.take(held);
            call.wire.tidy(net);
        }
        if self.calls.get(&id).is_some_and(|c| c.wire.ended().is_some()) {
            self.ends(net, id, End::Fin, did);
        }
    }

    fn read_request(&mut self, net: &mut Net, now: Micros, id: u64, dir: &Directory, did: &mut Observations) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (asks, n) = match request(call.wire.held()) {
            Ok(None) => return,
            Ok(Some(found)) => found,
            Err((status, why)) => {
                self.strange.push(format!("{}: {why}", Directory::balancer(call.who)));
                call.wire.say(net, format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                call.wire.finish(net);
                call.stand = CallState::Over;
                return;
            }
        };
        call.wire.take(n);
        call.wire.tidy(net);
        (call.asks, call.stand) = (asks, CallState::Waiting);
        if self.alone {
            let who = call.who;
            self.answer(net, now, who, dir);
        }
        let call = &self.calls[&id];
        did.push((call.who, FromBalancer::Watch.into()));
    }

    /// Ends a call's connection, and tells the world if the balancer has no other.
    fn ends(&mut self, net: &mut Net, id: u64, how: End, did: &mut Observations) {
        let Some(call) = self.calls.remove(&id) else { return };
        let told = matches!(call.stand, CallState::Waiting | CallState::Watching);
        net.close(call.wire, how);
        if told && !self.is_watched(call.who) {
            did.push((call.who, FromBalancer::Unwatch.into()));
        }
    }

    /// The world has news for a balancer.
    pub fn lists(
        &mut self,
        net: &mut Net,
        now: Micros,
        who: BalancerId,
        full: bool,
        entries: &[Listed],
        dir: &Directory,
    ) {
        let side = &mut self.sides[who.0 as usize];
        let changed = side.take(full, entries);
        if !changed.is_empty() {
            let line = line(dir, who, side.index, false, &changed);
            for call in self.calls.values_mut().filter(|c| c.who == who && c.stand == CallState::Watching) {
                say_body(net, &mut call.wire, &line);
                call.blank = now + BLANK;
            }
        }
        self.answer(net, now, who, dir);
    }

    /// Answers the calls of a balancer that wait.
    fn answer(&mut self, net: &mut Net, now: Micros, who: BalancerId, dir: &Directory) {
        let side = &self.sides[who.0 as usize];
        for call in self.calls.values_mut().filter(|c| c.who == who && c.stand == CallState::Waiting) {
            match call.asks {
                CallKind::Watch(since) => {
                    call.wire.say(net, WATCH_HEAD.as_bytes());
                    let text = match side.since(since) {
                        Some(changed) => line(dir, who, side.index, false, &changed),
                        None => line(dir, who, side.index, true, &side.whole()),
                    };
                    say_body(net, &mut call.wire, &text);
                    (call.stand, call.blank) = (CallState::Watching, now + BLANK);
                }
                _ => {
                    let text = line(dir, who, side.index, true, &side.whole());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        text.len()
                    );
                    call.wire.say(net, head.as_bytes());
                    call.wire.say(net, &text);
                    call.wire.finish(net);
                    call.stand = CallState::Over;
                }
            }
        }
    }

    /// The world lets a balancer's calls fail and its watches end.
    pub fn fails(&mut self, net: &mut Net, who: BalancerId) {
        let ids: Vec<u64> = self.calls.iter().filter(|(_, c)| c.who == who).map(|(id, _)| *id).collect();
        for id in ids {
            let call = self.calls.get_mut(&id).expect("it was just there");
            self.failed += 1;
            match call.stand {
                CallState::Waiting if self.failed % 2 == 1 => {
                    call.wire.say(net, DOWN.as_bytes());
                    call.wire.finish(net);
                    call.stand = CallState::Over;
                }
                CallState::Over => {}
                _ => {
                    let how = if self.failed.is_multiple_of(3) { End::Reset } else { End::Fin };
                    let call = self.calls.remove(&id).expect("it was just there");
                    net.close(call.wire, how);
                }
            }
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        let blanks = self.calls.values().filter(|c| c.stand == CallState::Watching).map(|c| c.blank);
        let ends = self.sides.iter().filter_map(|s| s.old_end);
        blanks.chain(ends).min().unwrap_or(Micros::MAX)
    }

    /// Does what is due.
    pub fn due(
        &mut self,
        net: &mut Net,
        now: Micros,
        is_deaf: impl Fn(BalancerId) -> bool,
        did: &mut Observations,
    ) {
        for call in self.calls.values_mut().filter(|c| c.stand == CallState::Watching && c.blank <= now) {
            if !is_deaf(call.who) {
                say_body(net, &mut call.wire, b"\n");
            }
            call.blank = now + BLANK;
        }
        for at in 0..self.sides.len() {
            let side = &mut self.sides[at];
            if side.old_end.is_none_or(|end| end > now) {
                continue;
            }
            side.old_end = None;
            let (who, moves) = (BalancerId(at as u32), side.moves);
            let old = |c: &Call| c.who == who && c.moves < moves;
            let ids: Vec<u64> = self.calls.iter().filter(|(_, c)| old(c)).map(|(id, _)| *id).collect();
            ids.into_iter().for_each(|id| self.ends(net, id, End::Fin, did));
        }
    }
}

fn line(dir: &Directory, who: BalancerId, index: u64, snapshot: bool, entries: &[Listed]) -> Vec<u8> {
    let listing = dir.listing(who, index, snapshot, entries);
    let mut text = serde_json::to_vec(&listing).expect("a listing is plain data");
    text.push(b'\n');
    text
}

/// Writes a part of a chunked body.
fn say_body(net: &mut Net, wire: &mut LineConnection, text: &[u8]) {
    for piece in text.chunks(PIECE) {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        wire.say(net, &chunk);
    }
}

/// Reads a request: what it asks for and how long it is; none while it is not whole. The error has the status line's
/// end and the reason.
fn request(bytes: &[u8]) -> Result<Option<(CallKind, usize)>, (&'static str, String)> {
    const BAD: &str = "400 Bad Request";
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let n = match request.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= REQUEST => return Ok(None),
        Ok(httparse::Status::Partial) => return Err((BAD, "a request without an end".into())),
        Err(e) => return Err((BAD, format!("no request: {e}"))),
    };
    let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    if method != "GET" {
        return Err(("405 Method Not Allowed", format!("{method} is no call")));
    }
    if !request.headers.iter().any(|h| h.name.eq_ignore_ascii_case("host")) {
        return Err((BAD, "HTTP/1.1 without Host".into()));
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path != "/v1/servers" {
        return Err(("404 Not Found", format!("nothing is at {path}")));
    }
    let value = |name: &str| query.split('&').find_map(|item| item.strip_prefix(name)?.strip_prefix('='));
    let since = match value("since").map(str::parse::<u64>) {
        Some(Ok(since)) => since,
        Some(Err(e)) => return Err((BAD, format!("since: {e}"))),
        None => 0,
    };
    match value("follow") {
        Some("1") => Ok(Some((CallKind::Watch(since), n))),
        None | Some("0") => Ok(Some((CallKind::List, n))),
        Some(other) => Err((BAD, format!("follow={other}"))),
    }
}

#[cfg(test)]
mod tests;
