//! What balancers tell each other, on its way: every datagram passes through here and gets lost, doubled or late where that
//! is broken. What it says nobody here reads.
//!
//! Each balancer is reached by the others at an address of this process, and hears at its own; who sent a datagram shows by
//! where it comes from.

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
use super::network_faults::NetworkFaults;
use crate::edge::BalancerId;

/// The largest datagram there is.
const LARGEST: usize = 64 << 10;
/// The key of a fleet that is no secret: it lives as long as the run.
const KEY: &str = "the key of one run on loopback\n";

/// What passed between balancers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DatagramStatistics {
    /// Datagrams that balancers have sent.
    pub sent: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Of them, how many were lost, doubled or late because that was broken.
    pub broken: u64,
}

/// What becomes of a datagram on its way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// It does not arrive.
    pub lost: bool,
    /// It arrives twice.
    pub doubled: bool,
    /// It comes up to so much later, each one drawn for itself: they overtake each other.
    pub late: Micros,
}

/// All ways between balancers.
#[derive(Debug)]
pub struct DatagramProxy {
    /// Where a balancer is reached by the others.
    sockets: Vec<UdpSocket>,
    /// Where it hears itself.
    ends: Vec<SocketAddr>,
    senders: HashMap<SocketAddr, u32>,
    later: BTreeMap<(Micros, u64), (u32, Vec<u8>)>,
    count: u64,
    rng: Pcg64Mcg,
    buffer: Vec<u8>,
    /// What passed.
    pub statistics: DatagramStatistics,
}

impl DatagramProxy {
    /// Ways to balancers that hear at these addresses.
    pub fn open(
        net: &mut Net,
        addresses: Addresses,
        ends: Vec<SocketAddr>,
        seed: u64,
    ) -> io::Result<DatagramProxy> {
        let mut sockets = Vec::new();
        for who in (0..ends.len() as u32).map(BalancerId) {
            let mut socket = UdpSocket::bind(addresses.notes(who))?;
            net.register_datagram_socket(&mut socket, Role::DatagramProxy(who))?;
            sockets.push(socket);
        }
        let senders = ends.iter().enumerate().map(|(i, at)| (*at, i as u32)).collect();
        Ok(DatagramProxy {
            sockets,
            ends,
            senders,
            later: BTreeMap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            buffer: vec![0; LARGEST],
            statistics: DatagramStatistics::default(),
        })
    }

    /// Writes the operator's file that has the balancers tell each other, after what it says besides; tells where it is.
    pub fn write(&self, folder: &Path, operator: &str) -> io::Result<PathBuf> {
        let place = |name: &str| std::path::absolute(folder.join(name));
        let (peers, key, file) = (place("fleet.peers")?, place("fleet.key")?, place("operator.toml")?);
        let mut text = String::new();
        for (i, socket) in self.sockets.iter().enumerate() {
            let _ = writeln!(text, "{} {}", Directory::balancer(BalancerId(i as u32)), socket.local_addr()?);
        }
        fs::write(&peers, text)?;
        fs::write(&key, KEY)?;
        let (peers, key) = (peers.display().to_string(), key.display().to_string());
        fs::write(&file, format!("{operator}\n[gossip]\npeers = {peers:?}\nkey = {key:?}\n"))?;
        Ok(file)
    }

    /// Something has come for a balancer; `time` is the day's.
    pub(super) fn ready(&mut self, time: Micros, to: BalancerId, between: &NetworkFaults) {
        loop {
            let (n, from) = match self.sockets[to.0 as usize].recv_from(&mut self.buffer) {
                Ok(came) => came,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // What was passed on earlier found nobody there.
                Err(_) => continue,
            };
            let Some(from) = self.senders.get(&from).copied() else { continue };
            self.statistics.sent += 1;
            self.statistics.bytes += n as u64;
            let fate = between.datagram_delivery(time, BalancerId(from), to);
            self.statistics.broken += u64::from(fate != Delivery::default());
            if fate.lost {
                continue;
            }
            for _ in 0..1 + u32::from(fate.doubled) {
                let late = if fate.late > 0 { self.rng.random_range(0..=fate.late) } else { 0 };
                if late > 0 {
                    self.count += 1;
                    self.later.insert((time + late, self.count), (to.0, self.buffer[..n].to_vec()));
                } else {
                    self.arrives(to.0, &self.buffer[..n]);
                }
            }
        }
    }

    fn arrives(&self, to: u32, datagram: &[u8]) {
        // A datagram may get lost, and one to nobody does.
        let _ = self.sockets[to as usize].send_to(datagram, self.ends[to as usize]);
    }

    /// When the next late one arrives.
    pub fn next_due(&self) -> Option<Micros> {
        self.later.keys().next().map(|(at, _)| *at)
    }

    /// Lets arrive what was late until now.
    pub fn run_due(&mut self, time: Micros) {
        while let Some(first) = self.later.first_entry().filter(|e| e.key().0 <= time) {
            let (to, datagram) = first.remove();
            self.arrives(to, &datagram);
        }
    }
}
