//! The client of the discovery service, which watches the endpoint list over HTTP/1.1.

use std::io;
use std::net::SocketAddr;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_driver::MAX_DISCOVERY_RETRY_DELAY;
use shorewharf_units::Micros;
use thiserror::Error;
use tracing::{debug, info, warn};

use super::reader::{ListPart, ListReader};
use super::response::{ResponseError, ResponseReader};
use super::update::EndpointUpdate;
use super::watch_pacing::WatchPacing;
use crate::config::proxy_settings::ProxySettings;
use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// The time after which a watch that has sent nothing of a list yet has failed. The discovery service itself gives up after
/// about a second, and there must be time for another watch within [`MAX_RELOAD_DELAY`].
const FIRST_BYTE_TIMEOUT: Micros = 1_800_000;
/// The time without data after which a watch has failed, even if its TCP connection seems intact. The discovery service sends
/// a blank line every 2 s.
const SILENCE_TIMEOUT: Micros = 2_800_000;
/// A list must be received within this time after a watch has stopped sending data or the discovery service is reachable
/// again.
const MAX_UPDATE_DELAY: Micros = 6_000_000;
/// A list must be received within this time after a reload has changed the address of the discovery service.
const MAX_RELOAD_DELAY: Micros = 4_000_000;
// The driver determines the delay before the next watch, or with a pushed list the pacing.
const _: () = assert!(SILENCE_TIMEOUT + MAX_DISCOVERY_RETRY_DELAY + FIRST_BYTE_TIMEOUT < MAX_UPDATE_DELAY);
const _: () = assert!(SILENCE_TIMEOUT + WatchPacing::MAX_DELAY + FIRST_BYTE_TIMEOUT < MAX_UPDATE_DELAY);
const _: () = assert!(2 * FIRST_BYTE_TIMEOUT + WatchPacing::MAX_DELAY < MAX_RELOAD_DELAY);
/// Limits the reads in one iteration of the event loop, since a list of megabytes must not delay other connections.
const MAX_READS_PER_ITERATION: usize = 8;

/// An event of the watch.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A complete list, or changes to it, has been received.
    List(EndpointUpdate),
    /// The watch could not be opened, or has ended.
    Failed,
}

/// The reason why a watch could not be opened or has ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error("the connection to the discovery service could not be registered with the poller")]
    NotRegistered,
    #[error(transparent)]
    Response(#[from] ResponseError),
    #[error("the connection to the discovery service has ended")]
    Closed,
    #[error("no data from the discovery service within the timeout")]
    Silent,
}

/// An open watch.
#[derive(Debug)]
struct Watch {
    connection: Connection,
    is_request_sent: bool,
    response: ResponseReader,
    reader: ListReader,
    /// The received part of the current list.
    update: EndpointUpdate,
    /// When data was last received, or the watch was opened.
    last_received: Micros,
    /// Any part of the response's body has been received, be it only a blank line.
    has_received_data: bool,
}

/// The result of reading a watch in one iteration of the event loop.
enum ReadResult {
    /// All available data has been read.
    Drained,
    /// The limit per iteration is reached, and more data may be available.
    HasMore,
}

impl Watch {
    fn new(connection: Connection, now: Micros) -> Self {
        Watch {
            connection,
            is_request_sent: false,
            response: ResponseReader::new(),
            reader: ListReader::new(),
            update: EndpointUpdate::default(),
            last_received: now,
            has_received_data: false,
        }
    }

    /// Sends the request once the connection is established. Returns false until then.
    fn send_request(
        &mut self,
        context: &LoopContext,
        address: SocketAddr,
        index: u64,
    ) -> Result<bool, WatchError> {
        if self.is_request_sent {
            return Ok(true);
        }
        if !self.connection.is_connected()? {
            return Ok(false);
        }
        self.is_request_sent = true;
        let request = format!(
            "GET /v1/servers?follow=1&since={index} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        self.connection.send(&context.buffers, request.as_bytes());
        Ok(true)
    }

    /// Reads the available data, up to the limit per iteration. Appends complete lists to `lists`.
    fn read(
        &mut self,
        context: &LoopContext,
        settings: &ProxySettings,
        lists: &mut Vec<EndpointUpdate>,
    ) -> Result<ReadResult, WatchError> {
        for reads in 0.. {
            let has_read = self.connection.read_available(&context.buffers);
            let length = self.parse(settings, lists)?;
            self.connection.discard(length);
            if has_read && self.has_received_data {
                self.last_received = context.now;
            }
            let is_closed = self.connection.peer_close.is_some();
            if !has_read || (length == 0 && !is_closed) {
                return if is_closed { Err(WatchError::Closed) } else { Ok(ReadResult::Drained) };
            }
            if reads >= MAX_READS_PER_ITERATION {
                break;
            }
        }
        Ok(ReadResult::HasMore)
    }

    /// Parses the pending input. Returns the number of bytes parsed.
    fn parse(
        &mut self,
        settings: &ProxySettings,
        lists: &mut Vec<EndpointUpdate>,
    ) -> Result<usize, ResponseError> {
        let (reader, update, has_received_data) =
            (&mut self.reader, &mut self.update, &mut self.has_received_data);
        let mut on_part = |part| match part {
            ListPart::Entry(endpoint) => update.add(&endpoint, &settings.names, settings.max_servers),
            ListPart::End { index, snapshot } => lists.push(update.finish(index, snapshot)),
        };
        self.response.read(self.connection.pending_input(), |body| {
            *has_received_data |= !body.is_empty();
            reader.read(body, &mut on_part)
        })
    }

    /// The time by which the discovery service must send more data.
    fn deadline(&self) -> Micros {
        self.last_received + if self.has_received_data { SILENCE_TIMEOUT } else { FIRST_BYTE_TIMEOUT }
    }
}

/// The client of the discovery service.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: Option<Watch>,
    /// More data may be available for the next iteration.
    has_unread: bool,
    /// The version of the current list.
    index: u64,
    /// The last watch has failed, and that was logged.
    has_failed: bool,
    /// A watch has been requested, by the driver or by the pacing. This never happens on workers other than the primary one.
    is_watch_requested: bool,
    /// Set where the list is pushed: the client keeps a watch open of its own accord.
    pacing: Option<WatchPacing>,
    /// When the client opens the next watch of its own accord.
    open_at: Option<Micros>,
    rng: Pcg64Mcg,
    timer: TimerHandle,
}

impl DiscoveryClient {
    /// Creates a client of the service at this address, without a watch. `seed` is that of the random delays before watches.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        DiscoveryClient {
            address,
            watch: None,
            has_unread: false,
            index: 0,
            has_failed: false,
            is_watch_requested: false,
            pacing: None,
            open_at: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
            timer: TimerHandle::default(),
        }
    }

    /// Sets the version of the list that is known at the start of the process.
    pub fn set_index(&mut self, index: u64) {
        self.index = index;
    }

    /// The version of the current list.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Sets whether the client keeps a watch open of its own accord, which it does with a pacing. Without one, a watch that is
    /// open stays open, and the driver requests the next.
    pub fn set_pacing(&mut self, context: &mut LoopContext, pacing: Option<WatchPacing>) {
        self.pacing = pacing;
        let Some(pacing) = pacing.filter(|_| self.watch.is_none() && self.open_at.is_none()) else { return };
        self.open_at = Some(context.now + pacing.first_delay(self.rng.random()));
        self.schedule_timer(context);
    }

    /// Changes the address of the service. If a watch was requested, a new one is opened immediately, since the one at the old
    /// address may stay open for seconds without reporting anything. The new watch continues from the current version.
    pub fn set_address(&mut self, context: &mut LoopContext, address: SocketAddr) -> Vec<DiscoveryEvent> {
        if std::mem::replace(&mut self.address, address) == address {
            return Vec::new();
        }
        self.watch = None;
        if self.is_watch_requested { self.open_watch(context) } else { Vec::new() }
    }

    /// Opens a watch unless one is open already.
    pub fn open_watch(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.is_watch_requested = true;
        self.open_at = None;
        if self.watch.is_some() {
            return Vec::new();
        }
        debug!(event = "watch-opened", discovery = %self.address, index = self.index);
        match self.connect(context) {
            Ok(connection) => {
                self.watch = Some(Watch::new(connection, context.now));
                self.schedule_timer(context);
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

    /// Whether more data may be available than one iteration reads.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Handles a readiness event of the watch's connection.
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
        let mut events: Vec<_> = lists.into_iter().map(|list| self.on_list(list)).collect();
        match result {
            Ok(ReadResult::Drained) => {}
            Ok(ReadResult::HasMore) => self.has_unread = true,
            Err(error) => events.push(self.fail(context, &error)),
        }
        events
    }

    fn on_list(&mut self, list: EndpointUpdate) -> DiscoveryEvent {
        if std::mem::replace(&mut self.has_failed, false) {
            info!(event = "discovery-recovered", discovery = %self.address, index = list.index);
        }
        self.index = list.index;
        DiscoveryEvent::List(list)
    }

    fn fail(&mut self, context: &mut LoopContext, error: &WatchError) -> DiscoveryEvent {
        self.watch = None;
        self.timer.cancel(context);
        if !std::mem::replace(&mut self.has_failed, true) {
            warn!(event = "discovery-failed", discovery = %self.address, why = error.to_string());
        }
        if let Some(pacing) = self.pacing {
            self.open_at = Some(context.now + pacing.retry_delay(self.rng.random()));
            self.schedule_timer(context);
        }
        DiscoveryEvent::Failed
    }

    /// The time by which the discovery service must send more data; `None` without a watch. Postponed after a stall of the
    /// event loop.
    fn deadline(&self, context: &LoopContext) -> Option<Micros> {
        self.watch.as_ref().map(|watch| watch.deadline().max(context.earliest_timeout()))
    }

    fn schedule_timer(&mut self, context: &mut LoopContext) {
        let next = self.deadline(context).or(self.open_at);
        self.timer.schedule_by(context, next, TimerEvent::DiscoveryClient);
    }

    /// Handles the timer: ends a watch that is past its deadline, or opens a watch that is due.
    pub fn on_timer(&mut self, context: &mut LoopContext) -> Vec<DiscoveryEvent> {
        self.timer.on_fired();
        if self.deadline(context).is_some_and(|deadline| context.now >= deadline) {
            return vec![self.fail(context, &WatchError::Silent)];
        }
        if self.open_at.is_some_and(|open_at| context.now >= open_at) {
            return self.open_watch(context);
        }
        self.schedule_timer(context);
        Vec::new()
    }
}

#[cfg(test)]
mod tests;
