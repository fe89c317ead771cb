//! Datagrams between the balancers of a fleet, where the operator's file names them: what is held here goes out, and what
//! the others hold becomes a happening. They hear at the address at which they take clients, by UDP.

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
use crate::fleet::gossip_config::GossipConfig;

/// What others hold is told to the module this often.
const TELL: Micros = 200_000;
/// A socket that can't be had is asked for again after this: the process before may have it still.
const AGAIN: Micros = 1_000_000;
/// Figures go to the log this often.
const LOG: Micros = 10_000_000;
/// Datagrams that are read in one turn; the rest waits for the next.
const READS: usize = 256;

/// This balancer's end.
#[derive(Debug)]
pub struct GossipTransport {
    at: SocketAddr,
    socket: Option<UdpSocket>,
    others: Vec<(String, SocketAddr)>,
    gossip: Gossip,
    every: Micros,
    /// More may wait to be read.
    more: bool,
    /// It is time to tell.
    due: bool,
    told: Micros,
    logged: Micros,
    /// The others are heard of; none before the first look.
    together: Option<bool>,
    /// Datagrams that the system did not take.
    unsent: u64,
    /// The log was told that more is held than can be said.
    said_untold: bool,
}

impl GossipTransport {
    /// The balancer of this name, which hears there. Nothing is opened yet: the first turn does.
    pub fn new(
        context: &mut LoopContext,
        name: &str,
        at: SocketAddr,
        peers: &GossipConfig,
        seed: u64,
    ) -> Self {
        context.schedule_after(0, TimerEvent::Gossip);
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let names: Vec<String> = peers.peers.iter().map(|o| o.0.clone()).collect();
        let identity = Identity { name, incarnation: life };
        let options = GossipOptions { key: peers.key.clone(), settings: peers.rules, seed };
        let gossip = Gossip::new(context.now, identity, &names, options);
        GossipTransport {
            at,
            socket: None,
            others: peers.peers.clone(),
            gossip,
            every: peers.rules.interval,
            more: false,
            due: false,
            told: context.now,
            logged: context.now,
            together: None,
            unsent: 0,
            said_untold: false,
        }
    }

    /// The fleet is another one.
    pub fn take_peers(&mut self, peers: &GossipConfig) {
        let names: Vec<String> = peers.peers.iter().map(|o| o.0.clone()).collect();
        self.gossip.set_peers(&names);
        self.others.clone_from(&peers.peers);
    }

    /// The timer has come.
    pub fn alarmed(&mut self, context: &mut LoopContext) {
        if self.socket.is_none() {
            let opened = UdpSocket::bind(self.at).and_then(|mut socket| {
                context.registry.register_readable(&mut socket, EventSource::Gossip)?;
                Ok(socket)
            });
            match opened {
                Ok(socket) => self.socket = Some(socket),
                Err(e) => {
                    warn!(event = "gossip-off", at = %self.at, error = %e);
                    context.schedule_after(AGAIN, TimerEvent::Gossip);
                    return;
                }
            }
        }
        self.due = true;
        context.schedule_after(self.every, TimerEvent::Gossip);
    }

    /// Whether it is time to tell, which is said once.
    pub fn is_due(&mut self) -> bool {
        std::mem::take(&mut self.due)
    }

    /// Whether there is more to be read.
    pub fn is_busy(&self) -> bool {
        self.more
    }

    /// Reads what has come.
    pub fn ready(&mut self, now: Micros) {
        let Some(socket) = &self.socket else { return };
        // One byte more than any of ours: what is longer is cut, and its seal is wrong then.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        self.more = true;
        for _ in 0..READS {
            match socket.recv(&mut buffer) {
                Ok(n) => self.gossip.on_datagram(now, &buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.more = false;
                    break;
                }
                // What was sent earlier found nobody there, which is told here.
                Err(_) => {}
            }
        }
    }

    /// Announces this balancer's holdings to its peers, and passes theirs on to the decisions.
    pub fn tell(&mut self, context: &mut LoopContext, holds: Vec<Holding>) {
        let held = |h: Holding| AnnouncedHolding {
            server: h.server.0,
            group: h.group as u32,
            load: h.load.max(0.0) as f32,
            connections: u16::try_from(h.connections).unwrap_or(u16::MAX),
        };
        let out = self.gossip.outgoing(context.now, holds.into_iter().map(held).collect());
        if let Some(socket) = &self.socket {
            for OutgoingDatagram { peer, bytes } in out {
                if socket.send_to(&bytes, self.others[peer].1).is_err() {
                    self.unsent += 1;
                }
            }
        }
        if context.now >= self.told + TELL {
            self.told = context.now;
            let elsewhere = self.gossip.peer_loads(context.now);
            let together = elsewhere.is_some();
            if self.together.replace(together) != Some(together) {
                let heard = elsewhere.as_ref().map_or(0.0, |loads| loads.coverage);
                let state = if together { "together" } else { "alone" };
                info!(
                    event = "gossip",
                    state,
                    heard = format_args!("{heard:.2}"),
                    others = self.others.len()
                );
            }
            context.emit(NetworkEvent::RemoteLoadsUpdated(elsewhere.map(away)));
        }
        let untold = self.gossip.stats().oversized;
        if untold > 0 && !std::mem::replace(&mut self.said_untold, true) {
            warn!(event = "gossip-untold", most = MAX_HOLDINGS);
        }
        if context.now >= self.logged + LOG {
            self.logged = context.now;
            let s = self.gossip.stats();
            let refused = |why: RejectReason| s.rejected.get(&why).copied().unwrap_or(0);
            debug!(
                event = "gossip-figures",
                sent = s.datagrams_sent,
                bytes = s.bytes_sent,
                unsent = self.unsent,
                untold,
                came = s.datagrams_received,
                news = s.accepted,
                old = refused(RejectReason::Outdated),
                malformed = refused(RejectReason::Malformed),
                seal = refused(RejectReason::InvalidSeal),
                foreign = refused(RejectReason::UnknownSender),
            );
        }
    }
}

fn away(loads: PeerLoads) -> Arc<BTreeMap<ServerId, RemoteLoad>> {
    let remote_load = |(id, server): (u64, RemoteServerLoad)| {
        let RemoteServerLoad { load, connections, groups } = server;
        (ServerId(id), RemoteLoad { load, connections, groups })
    };
    Arc::new(loads.servers.into_iter().map(remote_load).collect())
}
