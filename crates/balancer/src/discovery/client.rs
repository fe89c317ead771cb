//! The discovery: the list of servers, from a watch over HTTP/1.1.

use std::net::SocketAddr;

use shorewharf_driver::MAX_DISCOVERY_RETRY_DELAY;
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::config::proxy_settings::ProxySettings;
use crate::discovery::reader::{Part, Reader};
use crate::discovery::response::Answer;
use crate::discovery::update::Incoming;
use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// A call of whose list nothing has come by then has failed, whatever else of it has come up: discovery itself gives up
/// after about a second. After a reload its news counts as told within 4 s, and there must be time for another call by then.
const FIRST: Micros = 1_800_000;
/// A watch has a blank line every 2 s; one that stays silent for this long is dead though TCP says nothing.
const SILENT: Micros = 2_800_000;
/// What a watch misses counts as told so long after it fell silent, and what discovery has to tell so long after it could
/// be reached.
const TOLD: Micros = 6_000_000;
// The pause before the next call is the module's.
const _: () = assert!(SILENT + MAX_DISCOVERY_RETRY_DELAY + FIRST < TOLD && 2 * FIRST < 4_000_000);
/// Pieces of a list that are read in one turn: a list of megabytes must not hold up those who stand.
const PIECES: usize = 8;

/// What comes of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// Discovery tells a list, or changes to it.
    List(Incoming),
    /// A call failed or the watch ended.
    Failed,
}

/// Discovery's side.
#[derive(Debug)]
pub struct DiscoveryClient {
    at: SocketAddr,
    link: Option<Connection>,
    asked: bool,
    answer: Answer,
    reader: Reader,
    /// Of the list that is being read, what has come.
    incoming: Incoming,
    /// There is more to read once others have had their turn.
    more: bool,
    /// The version of the list that is held.
    index: u64,
    /// When something came last, or the call began.
    heard: Micros,
    /// Something of the list has come, or a blank line.
    tells: bool,
    failing: bool,
    /// The module has asked for the list; without that nobody watches.
    wanted: bool,
    alarm: TimerHandle,
}

impl DiscoveryClient {
    /// A discovery that has not been asked yet.
    pub fn new(at: SocketAddr) -> Self {
        DiscoveryClient {
            at,
            link: None,
            asked: false,
            answer: Answer::new(),
            reader: Reader::new(),
            incoming: Incoming::default(),
            more: false,
            index: 0,
            heard: 0,
            tells: false,
            failing: false,
            wanted: false,
            alarm: TimerHandle::default(),
        }
    }

    /// The list of this version is known from before.
    pub fn knows(&mut self, index: u64) {
        self.index = index;
    }

    /// The version of the list that is held.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Discovery is at another address from now on. Guards against an old list: the watch at the address
    /// before may live on for seconds and tell nothing, so a new one starts at once. It goes on from the
    /// version that is held; the list stays in force meanwhile.
    pub fn moves(&mut self, context: &mut LoopContext, at: SocketAddr) -> Vec<DiscoveryEvent> {
        if std::mem::replace(&mut self.at, at) == at {
            return Vec::new();
        }
        self.link = None;
        if self.wanted { self.watch(context) } else { Vec::new() }
    }

    /// Opens the watch, unless it is open.
    pub fn watch(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.wanted = true;
        if self.link.is_some() {
            return Vec::new();
        }
        let mut link = match Connection::connect(self.at) {
            Ok(link) => link,
            Err(e) => return self.failed(context, Vec::new(), &e.to_string()),
        };
        if !context.registry.register(&mut link, EventSource::DiscoveryClient) {
            return self.failed(context, Vec::new(), "the loop takes no more connections");
        }
        (self.link, self.asked, self.answer, self.heard) = (Some(link), false, Answer::new(), context.now);
        self.tells = false;
        // Nothing of a list that did not come to its end counts.
        (self.reader, self.incoming) = (Reader::new(), Incoming::default());
        self.arm(context);
        Vec::new()
    }

    /// Whether there is more to read.
    pub fn is_busy(&self) -> bool {
        self.more
    }

    /// The watch's connection is ready.
    pub fn ready(
        &mut self,
        context: &mut LoopContext,
        terms: &ProxySettings,
        ready: Readiness,
    ) -> Vec<DiscoveryEvent> {
        let mut news = Vec::new();
        self.more = false;
        let Some(link) = self.link.as_mut() else { return news };
        link.on_ready(ready);
        if !self.asked {
            match link.is_connected() {
                Ok(false) => return news,
                Ok(true) => {}
                Err(e) => return self.failed(context, news, &e.to_string()),
            }
            self.asked = true;
            let call = format!(
                "GET /v1/servers?follow=1&since={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                self.index, self.at
            );
            link.send(&context.buffers, call.as_bytes());
        }
        link.flush();
        let (mut lists, mut failure) = (Vec::new(), None);
        for piece in 0.. {
            let any = link.read_available(&context.buffers);
            let (reader, incoming) = (&mut self.reader, &mut self.incoming);
            let mut part = |part| match part {
                Part::Entry(e) => incoming.add(&e, &terms.names, terms.max_servers),
                Part::End { index, snapshot } => lists.push(incoming.end(index, snapshot)),
            };
            let tells = &mut self.tells;
            let took = match self.answer.take(link.pending_input(), |text| {
                *tells |= !text.is_empty();
                reader.read(text, &mut part)
            }) {
                Ok(n) => n,
                Err(why) => {
                    failure = Some(why);
                    break;
                }
            };
            link.discard(took);
            if any && self.tells {
                self.heard = context.now;
            }
            if !any || (took == 0 && link.peer_close.is_none()) {
                failure = link.peer_close.map(|_| "the connection ended".to_owned());
                break;
            }
            if piece >= PIECES {
                self.more = true;
                break;
            }
        }
        news.extend(lists.into_iter().map(|list| self.says(list)));
        match failure {
            Some(why) => self.failed(context, news, &why),
            None => news,
        }
    }

    fn says(&mut self, list: Incoming) -> DiscoveryEvent {
        if std::mem::replace(&mut self.failing, false) {
            info!(event = "discovery-back", index = list.index);
        }
        self.index = list.index;
        DiscoveryEvent::List(list)
    }

    fn failed(
        &mut self,
        context: &mut LoopContext,
        mut news: Vec<DiscoveryEvent>,
        why: &str,
    ) -> Vec<DiscoveryEvent> {
        self.link = None;
        self.alarm.cancel(context);
        if !std::mem::replace(&mut self.failing, true) {
            warn!(event = "discovery-failed", why);
        }
        news.push(DiscoveryEvent::Failed);
        news
    }

    /// By when the watch must have said something.
    fn due(&self, context: &LoopContext) -> Option<Micros> {
        let limit = if self.tells { SILENT } else { FIRST };
        self.link.as_ref().map(|_| (self.heard + limit).max(context.earliest_timeout()))
    }

    fn arm(&mut self, context: &mut LoopContext) {
        let due = self.due(context);
        self.alarm.schedule_by(context, due, TimerEvent::DiscoveryClient);
    }

    /// The timer has come: ends a watch that has been silent for too long.
    pub fn alarmed(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.alarm.on_fired();
        if self.due(context).is_some_and(|due| context.now >= due) {
            return self.failed(context, Vec::new(), "silence");
        }
        self.arm(context);
        Vec::new()
    }
}

#[cfg(test)]
mod tests;
