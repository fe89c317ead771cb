//! Balancers that tell each other what they hold: the built program beside a stand-in that speaks for the rest of the fleet.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use shorewharf_emulator::standin::*;
use shorewharf_gossip::{AnnouncedHolding, Announcement, Key, sender_id};

use crate::BINARY;

const KEY: &str = "a key of the whole fleet";

/// The rest of a fleet, one balancer named n2.
struct Rest {
    socket: UdpSocket,
    key: Key,
    at: u32,
}

impl Rest {
    fn new() -> Rest {
        let socket = UdpSocket::bind((loopback(0), 0)).expect("a port");
        socket.set_read_timeout(Some(LIMIT)).expect("a limit");
        Rest { socket, key: Key::new(KEY.as_bytes()).expect("long enough"), at: 0 }
    }

    /// The operator's file of a fleet in which this one is the other.
    fn operator(&self, folder: &Path) -> String {
        let at = self.socket.local_addr().expect("bound");
        fs::write(folder.join("peers"), format!("# all of them\nn1 127.0.0.1:1\nn2 {at}\n"))
            .expect("written");
        fs::write(folder.join("key"), KEY).expect("written");
        let place = |name: &str| folder.join(name).display().to_string();
        format!("[gossip]\npeers = {:?}\nkey = {:?}\nevery_ms = 20\n", place("peers"), place("key"))
    }

    /// Waits for a note of the program's that is as wanted; tells where it came from too.
    #[track_caller]
    fn hears(&self, wanted: impl Fn(&Announcement) -> bool) -> (Announcement, SocketAddr) {
        let (began, mut buffer) = (Instant::now(), [0; 2_000]);
        while began.elapsed() < LIMIT {
            let (n, from) = self.socket.recv_from(&mut buffer).expect("a datagram");
            let notes = self.key.decode_datagram(&buffer[..n]).expect("the datagram has a valid tag");
            if let Some(note) = notes.into_iter().find(|n| n.sender == sender_id("n1") && wanted(n)) {
                return (note, from);
            }
        }
        panic!("no such note came");
    }

    fn tells(&mut self, to: SocketAddr, held: &[AnnouncedHolding]) {
        self.at += 1;
        let note = Announcement {
            sender: sender_id("n2"),
            incarnation: 5,
            made_at_ms: self.at,
            holdings: held.to_vec(),
        };
        self.socket.send_to(&self.key.encode_datagram([&note]), to).expect("sent");
    }
}

#[test]
fn it_tells_what_it_holds_and_goes_by_what_it_is_told_until_nothing_is_heard() {
    let folder = tempfile::tempdir().expect("a folder");
    let (nodes, mut rest) = ([Node::new(), Node::new()], Rest::new());
    let settings = config(&[("s-1", nodes[0].address()), ("s-2", nodes[1].address())]);
    let program = Program::start_with(BINARY, &settings, &rest.operator(folder.path()));
    let (_, at) = rest.hears(|n| n.holdings.is_empty());
    assert_eq!(at, program.address(), "it hears where it takes clients");
    // One client: which server has it, the note tells.
    let mut client = program.open_as("1a", ",g=5");
    let began = Instant::now();
    let (first, mut server) = loop {
        assert!(began.elapsed() < LIMIT, "nobody was called");
        let short = Duration::from_millis(5);
        if let Some(called) = (0..2).find_map(|i| Some((i, nodes[i].accept_within(short)?))) {
            break called;
        }
    };
    server.line();
    server.say("UP 1");
    assert_eq!(client.line(), "UP 1");
    let (note, _) = rest.hears(|n| n.holdings.len() == 1 && n.holdings[0].connections == 1);
    let held = note.holdings[0];
    assert_eq!(held.group, 5);
    // Others hold much there: who comes next goes to the other one, though its group is here.
    rest.tells(at, &[AnnouncedHolding { load: held.load * 50.0, connections: 50, ..held }]);
    program.logged("event=gossip state=together");
    let (_client, _server) = program.stand_as(&nodes[1 - first], "2b");
    // Rubbish, a foreign key and an old note change nothing; then nothing is heard any more.
    for bad in [&b"SWG1"[..], &[7; 300], &Key::new(&[9; 16]).expect("a key").encode_datagram([&note])] {
        rest.socket.send_to(bad, at).expect("sent");
    }
    program.logged("event=gossip state=alone");
    let mut after = program.open_as("3c", ",g=5");
    server = nodes[first].accept();
    server.line();
    server.say("UP 3");
    assert_eq!(after.line(), "UP 3", "alone, the group's own server is the first choice");
}

#[test]
fn a_fleet_file_that_can_not_be_used_ends_the_start_and_names_the_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let operator = Rest::new().operator(folder.path());
    fs::write(folder.path().join("peers"), "n1 127.0.0.1:1\nn2 nowhere\n").expect("written");
    let file = folder.path().join("operator.toml");
    fs::write(&file, operator).expect("written");
    let env = [("SHOREWHARF_OPERATOR", file.as_os_str())];
    let (code, log) = refused_start_with(BINARY, &config(&[]), &env);
    assert_eq!(code, Some(2), "{log}");
    assert!(log.contains("gossip.peers") && log.contains("line 2"), "{log}");
}
