//! The client of the discovery service: keeps a watch of the endpoint list over HTTP/1.1.

use std::io;
use std::net::SocketAddr;

use shorewharf_driver::MAX_DISCOVERY_RETRY_DELAY;
use shorewharf_units::Micros;
use thiserror::Error;
use tracing::{info, warn};

use super::reader::{ListPart, ListReader};
use super::response::{ResponseError, ResponseReader};
use super::update::EndpointUpdate;
use crate::config::proxy_settings::ProxySettings;
use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// A watch whose list has not begun after this time has failed. Discovery itself gives up after about a second, and there
/// must be time for another watch within [`MAX_RELOAD_DELAY`].
const FIRST_BYTE_TIMEOUT: Micros = 1_800_000;
/// A watch sends a blank line every 2 s; one that is silent for this long is dead, whatever TCP says.
const SILENCE_TIMEOUT: Micros = 2_800_000;
/// A list must be known this soon after a watch has fallen silent, or discovery is reachable again.
const MAX_UPDATE_DELAY: Micros = 6_000_000;
/// A list must be known this soon after a reload has changed discovery's address.
const MAX_RELOAD_DELAY: Micros = 4_000_000;
// The delay before the next watch is the driver's.
const _: () = assert!(SILENCE_TIMEOUT + MAX_DISCOVERY_RETRY_DELAY + FIRST_BYTE_TIMEOUT < MAX_UPDATE_DELAY);
const _: () = assert!(2 * FIRST_BYTE_TIMEOUT < MAX_RELOAD_DELAY);
/// Pieces of a list that are read in one iteration: a list of megabytes must not hold up other connections.
const MAX_PIECES_PER_ITERATION: usize = 8;

/// What a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A list, or changes to it.
    List(EndpointUpdate),
    /// The watch could not be opened, or has ended.
    Failed,
}

/// Why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error("the loop takes no more connections")]
    NotRegistered,
    #[error(transparent)]
    Response(#[from] ResponseError),
    #[error("the connection ended")]
    Closed,
    #[error("silence")]
    Silent,
}

/// A watch that is open.
#[derive(Debug)]
struct Watch {
    connection: Connection,
    is_requested: bool,
    response: ResponseReader,
    reader: ListReader,
    /// What has come of the list that is being received.
    update: EndpointUpdate,
    /// When something came last, or the watch was opened.
    last_received: Micros,
    /// Something of a list has come, or a blank line.
    has_begun: bool,
}

/// How reading a watch has ended in an iteration.
enum ReadEnd {
    /// Nothing more is at hand.
    Drained,
    /// There may be more, for the next iteration.
    HasMore,
}

impl Watch {
    fn new(connection: Connection, now: Micros) -> Self {
        Watch {
            connection,
            is_requested: false,
            response: ResponseReader::new(),
            reader: ListReader::new(),
            update: EndpointUpdate::default(),
            last_received: now,
            has_begun: false,
        }
    }

    /// Sends the request once the connection is established; returns false until then.
    fn send_request(
        &mut self,
        context: &LoopContext,
        address: SocketAddr,
        index: u64,
    ) -> Result<bool, WatchError> {
        if self.is_requested {
            return Ok(true);
        }
        if !self.connection.is_connected()? {
            return Ok(false);
        }
        self.is_requested = true;
        let request = format!(
            "GET /v1/servers?follow=1&since={index} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        self.connection.send(&context.buffers, request.as_bytes());
        Ok(true)
    }

    /// Reads what has come; complete lists are added to `lists`.
    fn read(
        &mut self,
        context: &LoopContext,
        settings: &ProxySettings,
        lists: &mut Vec<EndpointUpdate>,
    ) -> Result<ReadEnd, WatchError> {
        for piece in 0.. {
            let has_read = self.connection.read_available(&context.buffers);
            let length = self.parse(settings, lists)?;
            self.connection.discard(length);
            if has_read && self.has_begun {
                self.last_received = context.now;
            }
            let is_closed = self.connection.peer_close.is_some();
            if !has_read || (length == 0 && !is_closed) {
                return if is_closed { Err(WatchError::Closed) } else { Ok(ReadEnd::Drained) };
            }
            if piece >= MAX_PIECES_PER_ITERATION {
                break;
            }
        }
        Ok(ReadEnd::HasMore)
    }

    /// Parses the input that is pending; returns how many bytes of it are parsed.
    fn parse(
        &mut self,
        settings: &ProxySettings,
        lists: &mut Vec<EndpointUpdate>,
    ) -> Result<usize, ResponseError> {
        let (reader, update, has_begun) = (&mut self.reader, &mut self.update, &mut self.has_begun);
        let mut on_part = |part| match part {
            ListPart::Entry(endpoint) => update.add(&endpoint, &settings.names, settings.max_servers),
            ListPart::End { index, snapshot } => lists.push(update.finish(index, snapshot)),
        };
        self.response.read(self.connection.pending_input(), |body| {
            *has_begun |= !body.is_empty();
            reader.read(body, &mut on_part)
        })
    }

    /// When the watch must have sent something.
    fn deadline(&self) -> Micros {
        self.last_received + if self.has_begun { SILENCE_TIMEOUT } else { FIRST_BYTE_TIMEOUT }
    }
}

/// The client of the discovery service.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: Option<Watch>,
    /// More may be waiting to be read in the next iteration.
    has_unread: bool,
    /// Version of the list that is in force.
    index: u64,
    /// The last watch has failed, and that was logged.
    has_failed: bool,
    /// The driver has requested a watch. Workers other than the primary never do.
    is_wanted: bool,
    timer: TimerHandle,
}

impl DiscoveryClient {
    /// A client of the service at this address, without a watch.
    pub fn new(address: SocketAddr) -> Self {
        DiscoveryClient {
            address,
            watch: None,
            has_unread: false,
            index: 0,
            has_failed: false,
            is_wanted: false,
            timer: TimerHandle::default(),
        }
    }

    /// Sets the version of the list that is in force at the start.
    pub fn set_index(&mut self, index: u64) {
        self.index = index;
    }

    /// Version of the list that is in force.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Changes the address of the service. A new watch is opened at once, as the one at the old address may stay open for
    /// seconds and report nothing. It continues from the version in force.
    pub fn set_address(&mut self, context: &mut LoopContext, address: SocketAddr) -> Vec<DiscoveryEvent> {
        if std::mem::replace(&mut self.address, address) == address {
            return Vec::new();
        }
        self.watch = None;
        if self.is_wanted { self.open_watch(context) } else { Vec::new() }
    }

    /// Opens a watch unless one is open.
    pub fn open_watch(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.is_wanted = true;
        if self.watch.is_some() {
            return Vec::new();
        }
        match self.connect(context) {
            Ok(connection) => {
                self.watch = Some(Watch::new(connection, context.now));
                self.schedule_timeout(context);
                Vec::new()
            }
            Err(error) => vec![self.fail(context, &error)],
        }
    }

    fn connect(&self, context: &LoopContext) -> Result<Connection, WatchError> {
        let mut connection = Connection::connect(self.address)?;
        if !context.registry.register(&mut connection, EventSource::DiscoveryClient) {
            return Err(WatchError::NotRegistered);
        }
        Ok(connection)
    }

    /// Whether more may be waiting than one iteration reads.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// The connection of the watch is ready.
    pub fn on_ready(
        &mut self,
        context: &mut LoopContext,
        settings: &ProxySettings,
        readiness: Readiness,
    ) -> Vec<DiscoveryEvent> {
        self.has_unread = false;
        let Some(watch) = &mut self.watch else { return Vec::new() };
        watch.connection.on_ready(readiness);
        let mut lists = Vec::new();
        let result = match watch.send_request(context, self.address, self.index) {
            Ok(false) => return Vec::new(),
            Ok(true) => {
                watch.connection.flush();
                watch.read(context, settings, &mut lists)
            }
            Err(error) => Err(error),
        };
        let mut events: Vec<_> = lists.into_iter().map(|list| self.accept(list)).collect();
        match result {
            Ok(ReadEnd::Drained) => {}
            Ok(ReadEnd::HasMore) => self.has_unread = true,
            Err(error) => events.push(self.fail(context, &error)),
        }
        events
    }

    fn accept(&mut self, list: EndpointUpdate) -> DiscoveryEvent {
        if std::mem::replace(&mut self.has_failed, false) {
            info!(event = "discovery-recovered", index = list.index);
        }
        self.index = list.index;
        DiscoveryEvent::List(list)
    }

    fn fail(&mut self, context: &mut LoopContext, error: &WatchError) -> DiscoveryEvent {
        self.watch = None;
        self.timer.cancel(context);
        if !std::mem::replace(&mut self.has_failed, true) {
            warn!(event = "discovery-failed", why = error.to_string());
        }
        DiscoveryEvent::Failed
    }

    /// When the watch must have sent something.
    fn deadline(&self, context: &LoopContext) -> Option<Micros> {
        self.watch.as_ref().map(|watch| watch.deadline().max(context.earliest_timeout()))
    }

    fn schedule_timeout(&mut self, context: &mut LoopContext) {
        let deadline = self.deadline(context);
        self.timer.schedule_by(context, deadline, TimerEvent::DiscoveryClient);
    }

    /// The timer has fired: ends a watch that has been silent for too long.
    pub fn on_timer(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.timer.on_fired();
        if self.deadline(context).is_some_and(|deadline| context.now >= deadline) {
            return vec![self.fail(context, &WatchError::Silent)];
        }
        self.schedule_timeout(context);
        Vec::new()
    }
}

#[cfg(test)]
mod tests;
