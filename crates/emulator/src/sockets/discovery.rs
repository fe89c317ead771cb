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
const KEEPALIVE_INTERVAL: Micros = 2_000_000;
/// After a move, connections at the old address end this much later.
const OLD_ADDRESS_GRACE: Micros = 1_500_000;
/// Versions that calls can go on from; a call from an older one gets the whole list.
const MAX_VERSIONS: usize = 256;
/// The longest request read.
const MAX_REQUEST_BYTES: usize = 16 << 10;
/// A piece of the answer's body: a long list comes in several, so that readers meet objects cut in two.
const CHUNK_BYTES: usize = 4 << 10;

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
    balancer: BalancerId,
    connection: LineConnection,
    /// It came in after so many moves.
    moves: u32,
    kind: CallKind,
    state: CallState,
    /// An empty line is due.
    keepalive_due: Micros,
}

/// One balancer's side of discovery.
#[derive(Debug)]
struct Side {
    listener: Option<Listener>,
    address: SocketAddr,
    moves: u32,
    /// Connections from before the last move end then.
    old_address_closes_at: Option<Micros>,
    known_list: KnownList,
    index: u64,
    versions: VecDeque<(u64, KnownList)>,
}

impl Side {
    /// Takes in what the world tells; the entries that have changed.
    fn apply(&mut self, full: bool, entries: &[Listed]) -> Vec<Listed> {
        let before = self.known_list.clone();
        if full {
            self.known_list.clear();
        }
        for entry in entries {
            match entry.stage {
                Stage::Gone => self.known_list.remove(&entry.node),
                _ => self.known_list.insert(entry.node, *entry),
            };
        }
        let changed = changes(&before, &self.known_list);
        if !changed.is_empty() {
            self.index += 1;
            self.versions.push_back((self.index, self.known_list.clone()));
            if self.versions.len() > MAX_VERSIONS {
                self.versions.pop_front();
            }
        }
        changed
    }

    /// What has changed since this version, if it is still remembered.
    fn changes_since(&self, index: u64) -> Option<Vec<Listed>> {
        let (_, then) = self.versions.iter().find(|(i, _)| *i == index)?;
        Some(changes(then, &self.known_list))
    }

    fn full_list(&self) -> Vec<Listed> {
        self.known_list.values().copied().collect()
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
    is_before_day: bool,
    /// Calls that failed, for alternating between the ways.
    failed: u64,
    /// Requests that were no call of the protocol, each with its reason.
    pub strange: Vec<String>,
}

impl Discovery {
    /// Discovery for so many balancers, listening.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub fn new(net: &mut Net, addresses: Addresses, balancers: u32) -> io::Result<Self> {
        let mut sides = Vec::new();
        for balancer in (0..balancers).map(BalancerId) {
            let listener =
                net.listen(addresses.discovery(balancer, 0), Role::DiscoveryListener(balancer, 0))?;
            sides.push(Side {
                address: listener.address(),
                listener: Some(listener),
                moves: 0,
                old_address_closes_at: None,
                known_list: KnownList::new(),
                index: 0,
                versions: VecDeque::new(),
            });
        }
        let calls = BTreeMap::new();
        Ok(Discovery {
            addresses,
            sides,
            calls,
            next: 0,
            is_before_day: true,
            failed: 0,
            strange: Vec::new(),
        })
    }

    /// Where this balancer finds it now.
    pub fn address(&self, balancer: BalancerId) -> SocketAddr {
        self.sides[balancer.0 as usize].address
    }

    /// A balancer starts with this list; its version is returned.
    pub fn on_balancer_start(&mut self, balancer: BalancerId, known: &[Listed]) -> u64 {
        let side = &mut self.sides[balancer.0 as usize];
        side.apply(true, known);
        side.index
    }

    /// From now on the world answers calls.
    pub fn begin_day(&mut self) {
        self.is_before_day = false;
    }

    /// Whether a balancer has a watch or waits for one.
    pub fn is_watched(&self, balancer: BalancerId) -> bool {
        let of =
            |c: &&Call| c.balancer == balancer && matches!(c.state, CallState::Waiting | CallState::Watching);
        self.calls.values().any(|c| of(&c))
    }

    /// Goes to another address for this balancer: the old one takes nothing new and ends what it has a little later.
    ///
    /// # Errors
    ///
    /// Fails if the new address cannot be listened on.
    pub fn move_address(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
    ) -> io::Result<SocketAddr> {
        let side = &mut self.sides[balancer.0 as usize];
        side.moves += 1;
        let role = Role::DiscoveryListener(balancer, side.moves);
        let listener = net.listen(self.addresses.discovery(balancer, side.moves), role)?;
        side.address = listener.address();
        if let Some(old) = side.listener.replace(listener) {
            net.close_listener(old);
        }
        side.old_address_closes_at = Some(now + OLD_ADDRESS_GRACE);
        Ok(side.address)
    }

    /// Connections wait to be accepted.
    pub fn on_listener_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        (balancer, moves): (BalancerId, u32),
        directory: &Directory,
        observations: &mut Observations,
    ) {
        let side = &self.sides[balancer.0 as usize];
        let Some(listener) = side.listener.as_ref().filter(|_| side.moves == moves) else { return };
        let mut came = Vec::new();
        while let Some(stream) = net.accept(listener) {
            came.push(stream);
        }
        for stream in came {
            let id = self.next;
            self.next += 1;
            // One that broke while it waited is no call.
            let Ok(connection) = net.adopt(stream, Role::Call(id)) else { continue };
            let call = Call {
                balancer,
                connection,
                moves,
                kind: CallKind::Nothing,
                state: CallState::Reading,
                keepalive_due: Micros::MAX,
            };
            self.calls.insert(id, call);
            self.on_ready(
                net,
                now,
                id,
                Ready { role: Role::Call(id), read: true, write: true },
                directory,
                observations,
            );
        }
    }

    /// A call's connection has something.
    pub fn on_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        id: u64,
        ready: Ready,
        directory: &Directory,
        observations: &mut Observations,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.connection.on_ready(net, ready);
        if call.state == CallState::Reading {
            self.read_request(net, now, id, directory, observations);
        } else {
            let held = call.connection.buffered().len();
            call.connection.consume(held);
            call.connection.compact(net);
        }
        if self.calls.get(&id).is_some_and(|c| c.connection.ended().is_some()) {
            self.close_call(net, id, End::Fin, observations);
        }
    }

    fn read_request(
        &mut self,
        net: &mut Net,
        now: Micros,
        id: u64,
        directory: &Directory,
        observations: &mut Observations,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (kind, n) = match request(call.connection.buffered()) {
            Ok(None) => return,
            Ok(Some(found)) => found,
            Err((status, why)) => {
                self.strange.push(format!("{}: {why}", Directory::balancer(call.balancer)));
                call.connection
                    .send(net, format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                call.connection.finish(net);
                call.state = CallState::Over;
                return;
            }
        };
        call.connection.consume(n);
        call.connection.compact(net);
        (call.kind, call.state) = (kind, CallState::Waiting);
        if self.is_before_day {
            let balancer = call.balancer;
            self.answer(net, now, balancer, directory);
        }
        let call = &self.calls[&id];
        observations.push((call.balancer, FromBalancer::Watch.into()));
    }

    /// Ends a call's connection, and tells the world if the balancer has no other.
    fn close_call(&mut self, net: &mut Net, id: u64, how: End, observations: &mut Observations) {
        let Some(call) = self.calls.remove(&id) else { return };
        let was_reported = matches!(call.state, CallState::Waiting | CallState::Watching);
        net.close(call.connection, how);
        if was_reported && !self.is_watched(call.balancer) {
            observations.push((call.balancer, FromBalancer::Unwatch.into()));
        }
    }

    /// The world has news for a balancer.
    pub fn publish(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        full: bool,
        entries: &[Listed],
        directory: &Directory,
    ) {
        let side = &mut self.sides[balancer.0 as usize];
        let changed = side.apply(full, entries);
        if !changed.is_empty() {
            let line = line(directory, balancer, side.index, false, &changed);
            for call in
                self.calls.values_mut().filter(|c| c.balancer == balancer && c.state == CallState::Watching)
            {
                say_body(net, &mut call.connection, &line);
                call.keepalive_due = now + KEEPALIVE_INTERVAL;
            }
        }
        self.answer(net, now, balancer, directory);
    }

    /// Answers the calls of a balancer that wait.
    fn answer(&mut self, net: &mut Net, now: Micros, balancer: BalancerId, directory: &Directory) {
        let side = &self.sides[balancer.0 as usize];
        for call in
            self.calls.values_mut().filter(|c| c.balancer == balancer && c.state == CallState::Waiting)
        {
            match call.kind {
                CallKind::Watch(since) => {
                    call.connection.send(net, WATCH_HEAD.as_bytes());
                    let text = match side.changes_since(since) {
                        Some(changed) => line(directory, balancer, side.index, false, &changed),
                        None => line(directory, balancer, side.index, true, &side.full_list()),
                    };
                    say_body(net, &mut call.connection, &text);
                    (call.state, call.keepalive_due) = (CallState::Watching, now + KEEPALIVE_INTERVAL);
                }
                _ => {
                    let text = line(directory, balancer, side.index, true, &side.full_list());
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        text.len()
                    );
                    call.connection.send(net, head.as_bytes());
                    call.connection.send(net, &text);
                    call.connection.finish(net);
                    call.state = CallState::Over;
                }
            }
        }
    }

    /// The world lets a balancer's calls fail and its watches end.
    pub fn fail_calls(&mut self, net: &mut Net, balancer: BalancerId) {
        let ids: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.balancer == balancer).map(|(id, _)| *id).collect();
        for id in ids {
            let call = self.calls.get_mut(&id).expect("it was just there");
            self.failed += 1;
            match call.state {
                CallState::Waiting if self.failed % 2 == 1 => {
                    call.connection.send(net, DOWN.as_bytes());
                    call.connection.finish(net);
                    call.state = CallState::Over;
                }
                CallState::Over => {}
                _ => {
                    let how = if self.failed.is_multiple_of(3) { End::Reset } else { End::Fin };
                    let call = self.calls.remove(&id).expect("it was just there");
                    net.close(call.connection, how);
                }
            }
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        let blanks = self.calls.values().filter(|c| c.state == CallState::Watching).map(|c| c.keepalive_due);
        let ends = self.sides.iter().filter_map(|s| s.old_address_closes_at);
        blanks.chain(ends).min().unwrap_or(Micros::MAX)
    }

    /// Does what is due.
    pub fn run_due(
        &mut self,
        net: &mut Net,
        now: Micros,
        is_deaf: impl Fn(BalancerId) -> bool,
        observations: &mut Observations,
    ) {
        for call in
            self.calls.values_mut().filter(|c| c.state == CallState::Watching && c.keepalive_due <= now)
        {
            if !is_deaf(call.balancer) {
                say_body(net, &mut call.connection, b"\n");
            }
            call.keepalive_due = now + KEEPALIVE_INTERVAL;
        }
        for at in 0..self.sides.len() {
            let side = &mut self.sides[at];
            if side.old_address_closes_at.is_none_or(|end| end > now) {
                continue;
            }
            side.old_address_closes_at = None;
            let (balancer, moves) = (BalancerId(at as u32), side.moves);
            let old = |c: &Call| c.balancer == balancer && c.moves < moves;
            let ids: Vec<u64> = self.calls.iter().filter(|(_, c)| old(c)).map(|(id, _)| *id).collect();
            ids.into_iter().for_each(|id| self.close_call(net, id, End::Fin, observations));
        }
    }
}

fn line(
    directory: &Directory,
    balancer: BalancerId,
    index: u64,
    snapshot: bool,
    entries: &[Listed],
) -> Vec<u8> {
    let listing = directory.listing(balancer, index, snapshot, entries);
    let mut text = serde_json::to_vec(&listing).expect("a listing is plain data");
    text.push(b'\n');
    text
}

/// Writes a part of a chunked body.
fn say_body(net: &mut Net, connection: &mut LineConnection, text: &[u8]) {
    for piece in text.chunks(CHUNK_BYTES) {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        connection.send(net, &chunk);
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
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_REQUEST_BYTES => return Ok(None),
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
