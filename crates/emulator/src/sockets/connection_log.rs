//! A log of the first lines that clients have sent and of the receipts that nodes have issued. With it a node checks that
//! a client sent the first line that the node receives, and a client that a node issued the receipt it receives.

use std::collections::{HashMap, HashSet};

use shorewharf_protocol::name_index::NameIndex;
use shorewharf_protocol::open_request::{OpenRequestLine, parse_open};
use shorewharf_units::Micros;

use super::directory::Directory;
use crate::day::Day;
use crate::edge::{BalancerId, ConnId, LinkId, NodeId, RequestLine};

/// The timeout in the first line of connections that were established before the day, in milliseconds: the largest one
/// whose microseconds fit 32 bits.
const RESTORED_TIMEOUT_MS: u64 = 4_294_967;

/// A node's classification of a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstLine {
    /// A well-behaved client of this balancer has sent it. The duration is the timeout that it states.
    Sent(ConnId, Micros),
    /// A misbehaving client has sent it; a node answers it with an error.
    Unusable,
    /// No client has sent it in this form.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    balancer: BalancerId,
    /// The line without the value of its timeout.
    line: Vec<u8>,
    /// Links on which a node has accepted the connection.
    accepted_links: Vec<LinkId>,
}

/// First lines by connection. Entries are kept for the whole run, as a balancer may forward a first line late.
#[derive(Debug)]
pub struct ConnectionLog {
    names: NameIndex,
    classes: Vec<String>,
    tenants: Vec<String>,
    sent: HashMap<ConnId, Entry>,
    misbehaving: HashSet<Vec<u8>>,
}

/// The bytes of a first line without the value of its timeout (`d=`), which the balancer reduces by the time elapsed.
fn without_timeout(line: &[u8]) -> Vec<u8> {
    let (head, list) = line.split_at(line.iter().rposition(|b| *b == b' ').map_or(0, |at| at + 1));
    let items: Vec<&[u8]> =
        list.split(|b| *b == b',').map(|i| if i.starts_with(b"d=") { &i[..2] } else { i }).collect();
    [head, &items.join(&b',')].concat()
}

impl ConnectionLog {
    /// Creates an empty log with the day's names of classes and tenants.
    pub fn new(day: &Day, directory: &Directory) -> Self {
        ConnectionLog {
            names: directory.names(),
            classes: day.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: day.tenants.iter().map(|t| t.name.clone()).collect(),
            sent: HashMap::new(),
            misbehaving: HashSet::new(),
        }
    }

    /// Records a client's request and returns its first line, with the line end.
    pub fn record_request(
        &mut self,
        balancer: BalancerId,
        request: &RequestLine,
        remaining: Micros,
        directory: &Directory,
    ) -> String {
        let text = OpenRequestLine {
            id: request.conn.0,
            key: request.key,
            class: &self.classes[request.class as usize],
            tenant: self.tenants.get(request.tenant as usize).map_or("", String::as_str),
            timeout_ms: if request.previous_node.is_some() {
                RESTORED_TIMEOUT_MS
            } else {
                (remaining / 1000).max(1)
            },
            group: request.group,
            load: request.hint,
            is_retry: request.retry,
            is_reconnect: request.is_reconnect,
            previous_server: request.previous_node.map(|node: NodeId| directory.node_name(node)),
        }
        .to_string();
        let line = without_timeout(text.trim_end().as_bytes());
        self.sent.insert(request.conn, Entry { balancer, line, accepted_links: Vec::new() });
        text
    }

    /// Records the first line of a misbehaving client.
    pub fn record_misbehaving(&mut self, line: &[u8]) {
        self.misbehaving.insert(without_timeout(line));
    }

    /// Classifies a first line that a balancer has sent to a node.
    pub fn classify_first_line(&self, balancer: BalancerId, line: &[u8]) -> FirstLine {
        let key = without_timeout(line);
        let open = parse_open(line, &self.names).ok();
        let sent = open.as_ref().and_then(|o| Some((ConnId(o.id), o.timeout?)));
        match sent.and_then(|(conn, timeout)| Some((conn, timeout, self.sent.get(&conn)?))) {
            Some((conn, timeout, entry)) if entry.balancer == balancer && entry.line == key => {
                FirstLine::Sent(conn, timeout)
            }
            _ if self.misbehaving.contains(&key) => FirstLine::Unusable,
            _ => FirstLine::Unknown,
        }
    }

    /// Records that a node accepts the connection on this link, and returns the receipt.
    pub fn accept(&mut self, conn: ConnId, link: LinkId) -> String {
        if let Some(entry) = self.sent.get_mut(&conn) {
            entry.accepted_links.push(link);
        }
        format!("{:x}.{:x}", conn.0, link.0)
    }

    /// The link on which a node issued this receipt for this connection; none if no node did.
    pub fn link_of_receipt(&self, conn: ConnId, receipt: &[u8]) -> Option<LinkId> {
        let (owner, link) = std::str::from_utf8(receipt).ok()?.split_once('.')?;
        let link = LinkId(u64::from_str_radix(link, 16).ok()?);
        let is_own = u64::from_str_radix(owner, 16) == Ok(conn.0);
        (is_own && self.sent.get(&conn)?.accepted_links.contains(&link)).then_some(link)
    }
}

#[cfg(test)]
mod tests;
