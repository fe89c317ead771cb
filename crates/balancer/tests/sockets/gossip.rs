//! Gossip: the built program exchanges announcements with a stand-in for the rest of its fleet.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use shorewharf_emulator::standin::*;
use shorewharf_gossip::{AnnouncedHolding, Announcement, Key, sender_id};

use crate::BINARY;

const KEY: &str = "a key of the whole fleet";

/// The only other member of the fleet, named n2.
struct PeerStub {
    socket: UdpSocket,
    key: Key,
    /// The time of the last announcement.
    made_at_ms: u32,
}

impl PeerStub {
    fn new() -> PeerStub {
        let socket = UdpSocket::bind((loopback_address(0), 0)).expect("a port");
        socket.set_read_timeout(Some(LIMIT)).expect("a read timeout");
        PeerStub { socket, key: Key::new(KEY.as_bytes()).expect("long enough"), made_at_ms: 0 }
    }

    /// The operator's file for the program. Writes the files of peers and of the key that it names.
    fn operator(&self, folder: &Path) -> String {
        let address = self.socket.local_addr().expect("bound");
        fs::write(folder.join("peers"), format!("# all of them\nn1 127.0.0.1:1\nn2 {address}\n"))
            .expect("written");
        fs::write(folder.join("key"), KEY).expect("written");
        let path = |name: &str| folder.join(name).display().to_string();
        format!("[gossip]\npeers = {:?}\nkey = {:?}\nevery_ms = 20\n", path("peers"), path("key"))
    }

    /// Waits for an announcement of the program that meets the condition. Returns it with its sender's address.
    #[track_caller]
    fn receive(&self, condition: impl Fn(&Announcement) -> bool) -> (Announcement, SocketAddr) {
        let (began, mut buffer) = (Instant::now(), [0; 2_000]);
        while began.elapsed() < LIMIT {
            let (n, from) = self.socket.recv_from(&mut buffer).expect("a datagram");
            let announcements = self.key.decode_datagram(&buffer[..n]).expect("the datagram has a valid tag");
            if let Some(found) =
                announcements.into_iter().find(|a| a.sender == sender_id("n1") && condition(a))
            {
                return (found, from);
            }
        }
        panic!("no announcement that meets the condition within {LIMIT:?}");
    }

    /// Sends an announcement of these holdings.
    fn send(&mut self, to: SocketAddr, holdings: &[AnnouncedHolding]) {
        self.made_at_ms += 1;
        let announcement = Announcement {
            sender: sender_id("n2"),
            incarnation: 5,
            made_at_ms: self.made_at_ms,
            holdings: holdings.to_vec(),
        };
        self.socket.send_to(&self.key.encode_datagram([&announcement]), to).expect("sent");
    }
}

#[test]
fn a_balancer_announces_its_holdings_and_uses_those_of_its_peers_until_they_fall_silent() {
    let folder = tempfile::tempdir().expect("a folder");
    let (nodes, mut peer) = ([Server::new(), Server::new()], PeerStub::new());
    let settings = config(&[("s-1", nodes[0].address()), ("s-2", nodes[1].address())]);
    let program = BalancerProcess::start_with_operator(BINARY, &settings, &peer.operator(folder.path()));
    let (_, gossip_address) = peer.receive(|a| a.holdings.is_empty());
    assert_eq!(gossip_address, program.address(), "gossip uses the address that serves clients");
    // One client, at either server; the announcement names its server.
    let mut client = program.open_with_id("1a", ",g=5");
    let began = Instant::now();
    let (first, mut server) = loop {
        assert!(began.elapsed() < LIMIT, "no server gets an attempt");
        let step = Duration::from_millis(5);
        if let Some(accepted) = (0..2).find_map(|i| Some((i, nodes[i].accept_within(step)?))) {
            break accepted;
        }
    };
    server.receive_line();
    server.send_line("UP 1");
    assert_eq!(client.receive_line(), "UP 1");
    let (announcement, _) = peer.receive(|a| a.holdings.len() == 1 && a.holdings[0].connections == 1);
    let holding = announcement.holdings[0];
    assert_eq!(holding.group, 5);
    // The peer announces a high load at that server: the next client goes to the other one, though its group's
    // server is the first.
    peer.send(gossip_address, &[AnnouncedHolding { load: holding.load * 50.0, connections: 50, ..holding }]);
    program.wait_for_log("event=gossip state=together");
    let (_client, _server) = program.establish_with_id(&nodes[1 - first], "2b");
    // Malformed datagrams, a foreign key and an old announcement have no effect; after them the peer is silent.
    for invalid in
        [&b"SWG1"[..], &[7; 300], &Key::new(&[9; 16]).expect("a key").encode_datagram([&announcement])]
    {
        peer.socket.send_to(invalid, gossip_address).expect("sent");
    }
    program.wait_for_log("event=gossip state=alone");
    let mut after = program.open_with_id("3c", ",g=5");
    server = nodes[first].accept();
    server.receive_line();
    server.send_line("UP 3");
    assert_eq!(after.receive_line(), "UP 3", "without peers, the group's own server is the first choice");
}

#[test]
fn an_invalid_peers_file_prevents_the_start_and_its_line_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let operator = PeerStub::new().operator(folder.path());
    fs::write(folder.path().join("peers"), "n1 127.0.0.1:1\nn2 nowhere\n").expect("written");
    let file = folder.path().join("operator.toml");
    fs::write(&file, operator).expect("written");
    let env = [("SHOREWHARF_OPERATOR", file.as_os_str())];
    let (code, log) = run_to_exit_with_env(BINARY, &config(&[]), &env);
    assert_eq!(code, Some(2), "{log}");
    assert!(log.contains("gossip.peers") && log.contains("line 2"), "{log}");
}
