//! What was said in first lines and receipts, so that each side can be held to it: a node knows whether a client sent
//! the line it gets, and a client whether a node made the receipt it gets.

use std::collections::{HashMap, HashSet};

use shorewharf_protocol::name_index::NameIndex;
use shorewharf_protocol::open_request::{OpenRequestLine, parse_open};
use shorewharf_units::Micros;

use super::directory::Directory;
use crate::day::Day;
use crate::edge::{BalancerId, ConnId, LinkId, NodeId, RequestLine};

/// What connections from before the start name as their wait, in milliseconds: all that fits 32 bits of
/// microseconds.
const FROM_BEFORE_MS: u64 = 4_294_967;

/// What a node makes of a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstLine {
    /// A client of this balancer has sent it; the balancer will wait so long.
    Sent(ConnId, Micros),
    /// A bad client has sent it: no node can use it.
    Unusable,
    /// Nobody has sent it in this form.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    balancer: BalancerId,
    /// The line without its wait.
    line: Vec<u8>,
    /// Links on which a node has taken it.
    accepted_links: Vec<LinkId>,
}

/// First lines by connection. What has been sent stays: a balancer may pass it on late.
#[derive(Debug)]
pub struct ConnectionLog {
    names: NameIndex,
    classes: Vec<String>,
    tenants: Vec<String>,
    sent: HashMap<ConnId, Entry>,
    bad: HashSet<Vec<u8>>,
}

/// A line's bytes but for the value of its wait.
fn without_wait(line: &[u8]) -> Vec<u8> {
    let (head, list) = line.split_at(line.iter().rposition(|b| *b == b' ').map_or(0, |at| at + 1));
    let items: Vec<&[u8]> =
        list.split(|b| *b == b',').map(|i| if i.starts_with(b"d=") { &i[..2] } else { i }).collect();
    [head, &items.join(&b',')].concat()
}

impl ConnectionLog {
    /// An empty book of this day's names.
    pub fn new(day: &Day, directory: &Directory) -> Self {
        ConnectionLog {
            names: directory.names(),
            classes: day.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: day.tenants.iter().map(|t| t.name.clone()).collect(),
            sent: HashMap::new(),
            bad: HashSet::new(),
        }
    }

    /// Writes a client's first line, with its end.
    pub fn record_request(
        &mut self,
        balancer: BalancerId,
        ask: &RequestLine,
        left: Micros,
        directory: &Directory,
    ) -> String {
        let text = OpenRequestLine {
            id: ask.conn.0,
            key: ask.key,
            class: &self.classes[ask.class as usize],
            tenant: self.tenants.get(ask.tenant as usize).map_or("", String::as_str),
            timeout_ms: if ask.previous_node.is_some() { FROM_BEFORE_MS } else { (left / 1000).max(1) },
            group: ask.group,
            load: ask.hint,
            is_retry: ask.retry,
            is_reconnect: ask.is_reconnect,
            previous_server: ask.previous_node.map(|node: NodeId| directory.node(node)),
        }
        .to_string();
        let line = without_wait(text.trim_end().as_bytes());
        self.sent.insert(ask.conn, Entry { balancer, line, accepted_links: Vec::new() });
        text
    }

    /// Notes the first line of a bad client.
    pub fn record_misbehaving(&mut self, line: &[u8]) {
        self.bad.insert(without_wait(line));
    }

    /// Reads a first line that a balancer has sent a node.
    pub fn classify_first_line(&self, balancer: BalancerId, line: &[u8]) -> FirstLine {
        let plain = without_wait(line);
        let open = parse_open(line, &self.names).ok();
        let sent = open.as_ref().and_then(|o| Some((ConnId(o.id), o.timeout?)));
        match sent.and_then(|(conn, wait)| Some((conn, wait, self.sent.get(&conn)?))) {
            Some((conn, wait, entry)) if entry.balancer == balancer && entry.line == plain => {
                FirstLine::Sent(conn, wait)
            }
            _ if self.bad.contains(&plain) => FirstLine::Unusable,
            _ => FirstLine::Unknown,
        }
    }

    /// A node takes the connection on this link; the receipt for it.
    pub fn accept(&mut self, conn: ConnId, link: LinkId) -> String {
        if let Some(entry) = self.sent.get_mut(&conn) {
            entry.accepted_links.push(link);
        }
        format!("{:x}.{:x}", conn.0, link.0)
    }

    /// The link on which a node made this receipt for this connection.
    pub fn link_of_receipt(&self, conn: ConnId, receipt: &[u8]) -> Option<LinkId> {
        let (of, link) = std::str::from_utf8(receipt).ok()?.split_once('.')?;
        let link = LinkId(u64::from_str_radix(link, 16).ok()?);
        let own = u64::from_str_radix(of, 16) == Ok(conn.0);
        (own && self.sent.get(&conn)?.accepted_links.contains(&link)).then_some(link)
    }
}

#[cfg(test)]
mod tests;
