//! A proxy for the gossip datagrams between balancers: it drops, duplicates or delays them as the network faults
//! require. It does not read their content.
//!
//! Peers reach each balancer at an address of this process, and the balancer listens at its own; the source address of a
//! datagram identifies its sender.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use mio::net::UdpSocket;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::addresses::Addresses;
use super::directory::Directory;
use super::net::{Net, Role};
use super::network_faults::{Delivery, NetworkFaults};
use crate::edge::BalancerId;

/// The largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// The gossip key of a test fleet. It is not secret and lives as long as the run.
const GOSSIP_KEY: &str = "the key of one run on loopback\n";

/// Counts of the datagrams between balancers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DatagramStatistics {
    /// Datagrams sent by balancers.
    pub sent: u64,
    /// Their size in bytes.
    pub bytes: u64,
    /// Datagrams that a network fault dropped, duplicated or delayed.
    pub broken: u64,
}

/// A proxy for all pairs of balancers.
#[derive(Debug)]
pub struct DatagramProxy {
    /// The sockets at which peers reach each balancer.
    sockets: Vec<UdpSocket>,
    /// The address at which each balancer listens.
    balancer_addresses: Vec<SocketAddr>,
    /// The balancer that sends from each address.
    senders: HashMap<SocketAddr, u32>,
    /// Delayed datagrams with their receivers, by due time and order of arrival.
    delayed: BTreeMap<(Micros, u64), (u32, Vec<u8>)>,
    delayed_count: u64,
    rng: Pcg64Mcg,
    buffer: Vec<u8>,
    /// Counts of the datagrams so far.
    pub statistics: DatagramStatistics,
}

impl DatagramProxy {
    /// Opens a proxy socket for each of the balancers, which listen at these addresses.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened or registered.
    pub fn open(
        net: &mut Net,
        addresses: Addresses,
        balancer_addresses: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<DatagramProxy> {
        let mut sockets = Vec::new();
        for who in (0..balancer_addresses.len() as u32).map(BalancerId) {
            let mut socket = UdpSocket::bind(addresses.gossip(who))?;
            net.register_datagram_socket(&mut socket, Role::DatagramProxy(who))?;
            sockets.push(socket);
        }
        let senders = balancer_addresses.iter().enumerate().map(|(i, at)| (*at, i as u32)).collect();
        Ok(DatagramProxy {
            sockets,
            balancer_addresses,
            senders,
            delayed: BTreeMap::new(),
            delayed_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            statistics: DatagramStatistics::default(),
        })
    }

    /// Writes the list of peers, the gossip key and an operator's file that consists of `operator` and a section that
    /// enables gossip; returns the path of the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or a socket has no address.
    pub fn write_operator_file(&self, folder: &Path, operator: &str) -> io::Result<PathBuf> {
        let path = |name: &str| std::path::absolute(folder.join(name));
        let (peers, key, file) = (path("fleet.peers")?, path("fleet.key")?, path("operator.toml")?);
        let mut text = String::new();
        for (i, socket) in self.sockets.iter().enumerate() {
            let _ =
                writeln!(text, "{} {}", Directory::balancer_name(BalancerId(i as u32)), socket.local_addr()?);
        }
        fs::write(&peers, text)?;
        fs::write(&key, GOSSIP_KEY)?;
        let (peers, key) = (peers.display().to_string(), key.display().to_string());
        fs::write(&file, format!("{operator}\n[gossip]\npeers = {peers:?}\nkey = {key:?}\n"))?;
        Ok(file)
    }

    /// Forwards, drops or delays the datagrams that have arrived for a balancer; `time` is the day's time.
    pub(super) fn on_ready(&mut self, time: Micros, to: BalancerId, faults: &NetworkFaults) {
        loop {
            let (n, from) = match self.sockets[to.0 as usize].recv_from(&mut self.buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The error of an earlier datagram that was forwarded while its receiver was not listening.
                Err(_) => continue,
            };
            let Some(from) = self.senders.get(&from).copied() else { continue };
            self.statistics.sent += 1;
            self.statistics.bytes += n as u64;
            let delivery = faults.datagram_delivery(time, BalancerId(from), to);
            self.statistics.broken += u64::from(delivery != Delivery::default());
            if delivery.is_dropped {
                continue;
            }
            for _ in 0..1 + u32::from(delivery.is_duplicated) {
                let delay =
                    if delivery.max_delay > 0 { self.rng.random_range(0..=delivery.max_delay) } else { 0 };
                if delay > 0 {
                    self.delayed_count += 1;
                    self.delayed
                        .insert((time + delay, self.delayed_count), (to.0, self.buffer[..n].to_vec()));
                } else {
                    self.deliver(to.0, &self.buffer[..n]);
                }
            }
        }
    }

    fn deliver(&self, to: u32, datagram: &[u8]) {
        // A failure to send is ignored: to the receiver it is a lost datagram, which UDP allows.
        let _ = self.sockets[to as usize].send_to(datagram, self.balancer_addresses[to as usize]);
    }

    /// When the next delayed datagram is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.delayed.keys().next().map(|(at, _)| *at)
    }

    /// Delivers the delayed datagrams that are due.
    pub fn run_due(&mut self, time: Micros) {
        while let Some(first) = self.delayed.first_entry().filter(|e| e.key().0 <= time) {
            let (to, datagram) = first.remove();
            self.deliver(to, &datagram);
        }
    }
}
