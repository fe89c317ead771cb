//! Sends and receives the UDP datagrams of gossip: announces this balancer's holdings, that is its connections and their load
//! by server, to the peers, and reports the holdings of the peers to the decisions. Each balancer receives datagrams at the
//! address at which it accepts clients.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use mio::net::UdpSocket;
use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::{RemoteLoad, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_gossip::{
    AnnouncedHolding, Gossip, GossipOptions, Identity, MAX_DATAGRAM_BYTES, MAX_HOLDINGS, OutgoingDatagram,
    PeerLoads, RejectReason, RemoteServerLoad,
};
use shorewharf_units::Micros;
use tracing::{debug, info, warn};

use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::fleet::gossip_config::{GossipConfig, Peer};

/// The interval at which the loads of the peers are reported to the decisions.
const REPORT_INTERVAL: Micros = 200_000;
/// The delay before another attempt to open the socket. The process that this one replaces may still have it open.
const SOCKET_RETRY_DELAY: Micros = 1_000_000;
/// The interval at which statistics are logged.
const LOG_INTERVAL: Micros = 10_000_000;
/// The maximum number of datagrams that are received in one iteration of the event loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 256;

/// The socket of this balancer's gossip, and the schedule of its announcements and reports.
#[derive(Debug)]
pub struct GossipTransport {
    address: SocketAddr,
    /// `None` until the socket can be opened.
    socket: Option<UdpSocket>,
    peers: Vec<Peer>,
    gossip: Gossip,
    /// The interval between announcements.
    interval: Micros,
    /// More datagrams may be available at the socket.
    has_unread: bool,
    /// An announcement is due in this iteration.
    is_due: bool,
    last_reported: Micros,
    last_logged: Micros,
    /// Whether the announcements of enough peers are known; `None` before the first report.
    has_enough_peers: Option<bool>,
    /// The number of datagrams that could not be sent.
    failed_sends: u64,
    /// Whether a log line has reported that the holdings don't fit into an announcement.
    has_logged_oversize: bool,
}

/// The properties of this balancer that its gossip needs.
#[derive(Clone, Copy, Debug)]
pub struct LocalBalancer<'a> {
    /// The balancer's name.
    pub name: &'a str,
    /// The address at which the balancer accepts clients and receives datagrams.
    pub address: SocketAddr,
    /// The seed of the random selection of peers.
    pub seed: u64,
}

fn peer_names(config: &GossipConfig) -> Vec<String> {
    config.peers.iter().map(|peer| peer.name.clone()).collect()
}

impl GossipTransport {
    /// Creates the transport. Its socket is opened in the first iteration of the event loop.
    pub fn new(context: &mut LoopContext, balancer: LocalBalancer<'_>, config: &GossipConfig) -> Self {
        let LocalBalancer { name, address, seed } = balancer;
        context.schedule_after(0, TimerEvent::Gossip);
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let identity = Identity { name, incarnation: started_at.as_micros() as u64 };
        let options = GossipOptions { key: config.key.clone(), settings: config.settings, seed };
        GossipTransport {
            address,
            socket: None,
            peers: config.peers.clone(),
            gossip: Gossip::new(context.now, identity, &peer_names(config), options),
            interval: config.settings.interval,
            has_unread: false,
            is_due: false,
            last_reported: context.now,
            last_logged: context.now,
            has_enough_peers: None,
            failed_sends: 0,
            has_logged_oversize: false,
        }
    }

    /// Replaces the peers with those of a reloaded configuration.
    pub fn set_peers(&mut self, config: &GossipConfig) {
        self.gossip.set_peers(&peer_names(config));
        self.peers.clone_from(&config.peers);
    }

    /// Handles the timer: opens the socket unless it is open, and marks an announcement as due. If the socket can't be opened,
    /// the next attempt follows after `SOCKET_RETRY_DELAY`.
    pub fn on_timer(&mut self, context: &mut LoopContext) {
        if self.socket.is_none()
            && let Err(e) = self.open_socket(context)
        {
            warn!(event = "gossip-socket-failed", at = %self.address, error = %e);
            context.schedule_after(SOCKET_RETRY_DELAY, TimerEvent::Gossip);
            return;
        }
        self.is_due = true;
        context.schedule_after(self.interval, TimerEvent::Gossip);
    }

    fn open_socket(&mut self, context: &LoopContext) -> io::Result<()> {
        let mut socket = UdpSocket::bind(self.address)?;
        context.registry.register_readable(&mut socket, EventSource::Gossip)?;
        self.socket = Some(socket);
        Ok(())
    }

    /// Whether an announcement is due. Returns true once per announcement.
    pub fn take_due(&mut self) -> bool {
        std::mem::take(&mut self.is_due)
    }

    /// Whether more datagrams may be available than one iteration receives.
    pub fn has_unread(&self) -> bool {
        self.has_unread
    }

    /// Receives datagrams, up to the limit per iteration.
    pub fn on_readable(&mut self, now: Micros) {
        let Some(socket) = &self.socket else { return };
        // One byte longer than any valid datagram. A longer datagram is truncated, so its tag is invalid.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        self.has_unread = true;
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match socket.recv(&mut buffer) {
                Ok(length) => self.gossip.on_datagram(now, &buffer[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.has_unread = false;
                    break;
                }
                // The error belongs to an earlier datagram that was sent to an unreachable peer.
                Err(_) => {}
            }
        }
    }

    /// Sends this balancer's holdings to the peers. At the report interval, also reports the loads of the peers to the
    /// decisions.
    pub fn broadcast(&mut self, context: &mut LoopContext, holdings: Vec<Holding>) {
        self.send(context.now, holdings);
        if context.now >= self.last_reported + REPORT_INTERVAL {
            self.last_reported = context.now;
            self.report_loads(context);
        }
        if self.gossip.stats().oversized > 0 && !std::mem::replace(&mut self.has_logged_oversize, true) {
            warn!(event = "gossip-announcement-too-large", most = MAX_HOLDINGS);
        }
        if context.now >= self.last_logged + LOG_INTERVAL {
            self.last_logged = context.now;
            self.log_stats();
        }
    }

    fn send(&mut self, now: Micros, holdings: Vec<Holding>) {
        let outgoing = self.gossip.outgoing(now, holdings.into_iter().map(announced_holding).collect());
        let Some(socket) = &self.socket else { return };
        for OutgoingDatagram { peer, bytes } in outgoing {
            if socket.send_to(&bytes, self.peers[peer].address).is_err() {
                self.failed_sends += 1;
            }
        }
    }

    fn report_loads(&mut self, context: &mut LoopContext) {
        let loads = self.gossip.peer_loads(context.now);
        let has_enough_peers = loads.is_some();
        if self.has_enough_peers.replace(has_enough_peers) != Some(has_enough_peers) {
            let coverage = loads.as_ref().map_or(0.0, |loads| loads.coverage);
            let state = if has_enough_peers { "together" } else { "alone" };
            let heard = format_args!("{coverage:.2}");
            info!(event = "gossip", state, heard, others = self.peers.len());
        }
        context.emit(NetworkEvent::RemoteLoadsUpdated(loads.map(remote_loads)));
    }

    fn log_stats(&self) {
        let stats = self.gossip.stats();
        let rejected = |reason| stats.rejected.get(&reason).copied().unwrap_or(0);
        debug!(
            event = "gossip-statistics",
            sent = stats.datagrams_sent,
            bytes = stats.bytes_sent,
            unsent = self.failed_sends,
            untold = stats.oversized,
            came = stats.datagrams_received,
            news = stats.accepted,
            old = rejected(RejectReason::Outdated),
            malformed = rejected(RejectReason::Malformed),
            seal = rejected(RejectReason::InvalidTag),
            foreign = rejected(RejectReason::UnknownSender),
        );
    }
}

fn announced_holding(holding: Holding) -> AnnouncedHolding {
    AnnouncedHolding {
        server: holding.server.0,
        group: holding.group as u32,
        load: holding.load.max(0.0) as f32,
        connections: u16::try_from(holding.connections).unwrap_or(u16::MAX),
    }
}

fn remote_loads(loads: PeerLoads) -> Arc<BTreeMap<ServerId, RemoteLoad>> {
    let remote_load = |(server, load): (u64, RemoteServerLoad)| {
        let RemoteServerLoad { load, connections, groups } = load;
        (ServerId(server), RemoteLoad { load, connections, groups })
    };
    Arc::new(loads.servers.into_iter().map(remote_load).collect())
}
