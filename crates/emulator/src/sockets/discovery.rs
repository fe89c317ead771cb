//! Discovery: serves the endpoint list to the balancers by HTTP/1.1 requests and watches, to each at a separate address.
//!
//! The world decides what the list contains and when a balancer receives it; this module turns it into versions, JSON
//! lines and status codes. A request is answered with the whole list; a watch that names a remembered version receives
//! only the changes since that version.

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

/// The interval of the empty lines that keep a watch alive.
const KEEPALIVE_INTERVAL: Micros = 2_000_000;
/// After a change of address, connections to the old one are closed after this time.
const OLD_ADDRESS_GRACE: Micros = 1_500_000;
/// The number of versions that are remembered; a watch from an older one receives the whole list.
const MAX_VERSIONS: usize = 256;
/// The longest request that is read.
const MAX_REQUEST_BYTES: usize = 16 << 10;
/// The largest chunk of a response body. A long list takes several, so that balancers have to read JSON objects that are
/// split between chunks.
const CHUNK_BYTES: usize = 4 << 10;

const WATCH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The endpoint list as a balancer has received it.
type KnownList = BTreeMap<NodeId, Listed>;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    /// The request has not been received completely.
    Unknown,
    /// A request for the whole list, once.
    List,
    /// A watch for changes since this version.
    Watch(u64),
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// The request is being read.
    Reading,
    /// The request waits until the world sends the list.
    Waiting,
    /// The watch is open and receives changes.
    Watching,
    /// The response is complete; discovery waits for the balancer to close the connection.
    Over,
}

#[derive(Debug)]
struct Call {
    balancer: BalancerId,
    connection: LineConnection,
    /// The number of changes of address before the call.
    moves: u32,
    kind: CallKind,
    state: CallState,
    /// When the next empty line is due.
    keepalive_due: Micros,
}

/// The state that discovery keeps for one balancer.
#[derive(Debug)]
struct BalancerView {
    listener: Option<Listener>,
    address: SocketAddr,
    /// The number of changes of address so far.
    moves: u32,
    /// When connections to the previous address are closed.
    old_address_closes_at: Option<Micros>,
    known_list: KnownList,
    /// The version of `known_list`.
    index: u64,
    versions: VecDeque<(u64, KnownList)>,
}

impl BalancerView {
    /// Applies entries to the list, which they replace if `full`, and returns the changes.
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

    /// The changes since this version, if it is still remembered.
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

/// The discovery service for all balancers.
#[derive(Debug)]
pub struct Discovery {
    addresses: Addresses,
    views: Vec<BalancerView>,
    calls: BTreeMap<u64, Call>,
    next_id: u64,
    /// Before the day begins the world does not act, and calls are answered at once with the list as it is.
    is_before_day: bool,
    /// The number of calls that have been made to fail; it selects the kind of the next failure.
    failed: u64,
    /// Requests that the protocol does not allow, each with the balancer and the reason.
    pub invalid_requests: Vec<String>,
}

impl Discovery {
    /// Listens for this number of balancers.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub fn new(net: &mut Net, addresses: Addresses, balancers: u32) -> io::Result<Self> {
        let mut views = Vec::new();
        for balancer in (0..balancers).map(BalancerId) {
            let listener =
                net.listen(addresses.discovery(balancer, 0), Role::DiscoveryListener(balancer, 0))?;
            views.push(BalancerView {
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
            views,
            calls,
            next_id: 0,
            is_before_day: true,
            failed: 0,
            invalid_requests: Vec::new(),
        })
    }

    /// The address at which this balancer reaches discovery now.
    pub fn address(&self, balancer: BalancerId) -> SocketAddr {
        self.views[balancer.0 as usize].address
    }

    /// Records that a balancer starts with this list, and returns the list's version.
    pub fn on_balancer_start(&mut self, balancer: BalancerId, known: &[Listed]) -> u64 {
        let view = &mut self.views[balancer.0 as usize];
        view.apply(true, known);
        view.index
    }

    /// Begins the day: from now on calls wait for the world's answer.
    pub fn begin_day(&mut self) {
        self.is_before_day = false;
    }

    /// Whether a balancer has an open watch or a call that waits for its answer.
    pub fn is_watched(&self, balancer: BalancerId) -> bool {
        let of =
            |c: &&Call| c.balancer == balancer && matches!(c.state, CallState::Waiting | CallState::Watching);
        self.calls.values().any(|c| of(&c))
    }

    /// Changes the address for this balancer: the old one accepts no new connections, and existing ones are closed after
    /// `OLD_ADDRESS_GRACE`.
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
        let view = &mut self.views[balancer.0 as usize];
        view.moves += 1;
        let role = Role::DiscoveryListener(balancer, view.moves);
        let listener = net.listen(self.addresses.discovery(balancer, view.moves), role)?;
        view.address = listener.address();
        if let Some(old) = view.listener.replace(listener) {
            net.close_listener(old);
        }
        view.old_address_closes_at = Some(now + OLD_ADDRESS_GRACE);
        Ok(view.address)
    }

    /// Accepts pending connections of a listener.
    pub fn on_listener_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        (balancer, moves): (BalancerId, u32),
        directory: &Directory,
        observations: &mut Observations,
    ) {
        let view = &self.views[balancer.0 as usize];
        let Some(listener) = view.listener.as_ref().filter(|_| view.moves == moves) else { return };
        let mut accepted = Vec::new();
        while let Some(stream) = net.accept(listener) {
            accepted.push(stream);
        }
        for stream in accepted {
            let id = self.next_id;
            self.next_id += 1;
            // A connection that was broken while it waited to be accepted is ignored.
            let Ok(connection) = net.adopt(stream, Role::Call(id)) else { continue };
            let call = Call {
                balancer,
                connection,
                moves,
                kind: CallKind::Unknown,
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

    /// Handles readiness of a call's connection.
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
        let (kind, n) = match parse_request(call.connection.buffered()) {
            Ok(None) => return,
            Ok(Some(found)) => found,
            Err((status, why)) => {
                self.invalid_requests.push(format!("{}: {why}", Directory::balancer_name(call.balancer)));
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

    /// Closes a call's connection, and reports the end of the balancer's last call or watch.
    fn close_call(&mut self, net: &mut Net, id: u64, how: End, observations: &mut Observations) {
        let Some(call) = self.calls.remove(&id) else { return };
        let was_active = matches!(call.state, CallState::Waiting | CallState::Watching);
        net.close(call.connection, how);
        if was_active && !self.is_watched(call.balancer) {
            observations.push((call.balancer, FromBalancer::Unwatch.into()));
        }
    }

    /// Sends a balancer a list event: to its open watches the changes, and the list to the calls that wait for it.
    pub fn publish(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        full: bool,
        entries: &[Listed],
        directory: &Directory,
    ) {
        let view = &mut self.views[balancer.0 as usize];
        let changed = view.apply(full, entries);
        if !changed.is_empty() {
            let line = line(directory, balancer, view.index, false, &changed);
            for call in
                self.calls.values_mut().filter(|c| c.balancer == balancer && c.state == CallState::Watching)
            {
                send_chunks(net, &mut call.connection, &line);
                call.keepalive_due = now + KEEPALIVE_INTERVAL;
            }
        }
        self.answer(net, now, balancer, directory);
    }

    /// Answers the waiting calls of a balancer.
    fn answer(&mut self, net: &mut Net, now: Micros, balancer: BalancerId, directory: &Directory) {
        let view = &self.views[balancer.0 as usize];
        for call in
            self.calls.values_mut().filter(|c| c.balancer == balancer && c.state == CallState::Waiting)
        {
            match call.kind {
                CallKind::Watch(since) => {
                    call.connection.send(net, WATCH_HEAD.as_bytes());
                    let text = match view.changes_since(since) {
                        Some(changed) => line(directory, balancer, view.index, false, &changed),
                        None => line(directory, balancer, view.index, true, &view.full_list()),
                    };
                    send_chunks(net, &mut call.connection, &text);
                    (call.state, call.keepalive_due) = (CallState::Watching, now + KEEPALIVE_INTERVAL);
                }
                _ => {
                    let text = line(directory, balancer, view.index, true, &view.full_list());
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

    /// Makes a balancer's calls fail and ends its watches; 503 responses, closes and resets alternate.
    pub fn fail_calls(&mut self, net: &mut Net, balancer: BalancerId) {
        let ids: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.balancer == balancer).map(|(id, _)| *id).collect();
        for id in ids {
            let call = self.calls.get_mut(&id).expect("the call is in the map");
            self.failed += 1;
            match call.state {
                CallState::Waiting if self.failed % 2 == 1 => {
                    call.connection.send(net, UNAVAILABLE.as_bytes());
                    call.connection.finish(net);
                    call.state = CallState::Over;
                }
                CallState::Over => {}
                _ => {
                    let how = if self.failed.is_multiple_of(3) { End::Reset } else { End::Fin };
                    let call = self.calls.remove(&id).expect("the call is in the map");
                    net.close(call.connection, how);
                }
            }
        }
    }

    /// The time of the next empty line or close.
    pub fn next_due(&self) -> Micros {
        let keepalives =
            self.calls.values().filter(|c| c.state == CallState::Watching).map(|c| c.keepalive_due);
        let closes = self.views.iter().filter_map(|s| s.old_address_closes_at);
        keepalives.chain(closes).min().unwrap_or(Micros::MAX)
    }

    /// Sends due empty lines, except to balancers whose list is blocked by a fault, and closes connections to previous
    /// addresses.
    pub fn run_due(
        &mut self,
        net: &mut Net,
        now: Micros,
        is_list_blocked: impl Fn(BalancerId) -> bool,
        observations: &mut Observations,
    ) {
        for call in
            self.calls.values_mut().filter(|c| c.state == CallState::Watching && c.keepalive_due <= now)
        {
            if !is_list_blocked(call.balancer) {
                send_chunks(net, &mut call.connection, b"\n");
            }
            call.keepalive_due = now + KEEPALIVE_INTERVAL;
        }
        for at in 0..self.views.len() {
            let view = &mut self.views[at];
            if view.old_address_closes_at.is_none_or(|end| end > now) {
                continue;
            }
            view.old_address_closes_at = None;
            let (balancer, moves) = (BalancerId(at as u32), view.moves);
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
    let list = directory.endpoint_list(balancer, index, snapshot, entries);
    let mut text = serde_json::to_vec(&list).expect("an endpoint list is serializable");
    text.push(b'\n');
    text
}

/// Sends a part of a chunked body.
fn send_chunks(net: &mut Net, connection: &mut LineConnection, text: &[u8]) {
    for part in text.chunks(CHUNK_BYTES) {
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        connection.send(net, &chunk);
    }
}

/// Parses a request and returns its kind and length; none while it is incomplete. The error consists of the response's
/// status and the reason.
fn parse_request(bytes: &[u8]) -> Result<Option<(CallKind, usize)>, (&'static str, String)> {
    const BAD: &str = "400 Bad Request";
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let n = match request.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_REQUEST_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => {
            return Err((BAD, format!("request head exceeds {MAX_REQUEST_BYTES} bytes")));
        }
        Err(e) => return Err((BAD, format!("invalid request: {e}"))),
    };
    let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    if method != "GET" {
        return Err(("405 Method Not Allowed", format!("method {method}; expected GET")));
    }
    if !request.headers.iter().any(|h| h.name.eq_ignore_ascii_case("host")) {
        return Err((BAD, "the Host header is missing".into()));
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path != "/v1/servers" {
        return Err(("404 Not Found", format!("path {path}; expected /v1/servers")));
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
        Some(other) => Err((BAD, format!("follow: expected 0 or 1, found {other}"))),
    }
}

#[cfg(test)]
mod tests;
