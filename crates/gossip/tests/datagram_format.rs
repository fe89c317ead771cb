//! The bytes of datagrams. Balancers of two versions communicate with each other, so renaming a field in the code must
//! not change them.

use shorewharf_gossip::{
    AnnouncedHolding, Announcement, Gossip, GossipOptions, GossipSettings, Identity, Key, OutgoingDatagram,
    sender_id,
};

const KEY: &[u8] = b"a key of the whole fleet";
const DATAGRAM: &[u8] = include_bytes!("fixtures/two-announcements.datagram");

fn announcements() -> [Announcement; 2] {
    let holdings = vec![
        AnnouncedHolding {
            server: 0x0102_0304_0506_0708,
            group: 0x090a_0b0c,
            load: 1.25,
            connections: 0x0d0e,
        },
        AnnouncedHolding { server: 2, group: 3, load: 0.5, connections: 4 },
    ];
    [
        Announcement {
            sender: sender_id("n1"),
            incarnation: 0x1112_1314_1516_1718,
            made_at_ms: 0x191a_1b1c,
            holdings,
        },
        Announcement { sender: sender_id("n2"), incarnation: 5, made_at_ms: 6, holdings: Vec::new() },
    ]
}

#[test]
fn announcements_are_encoded_as_the_datagram_in_the_fixture() {
    let key = Key::new(KEY).expect("the key is long enough");
    assert_eq!(key.encode_datagram(&announcements()), DATAGRAM);
}

#[test]
fn the_datagram_in_the_fixture_is_decoded_as_its_announcements() {
    let key = Key::new(KEY).expect("the key is long enough");
    assert_eq!(key.decode_datagram(DATAGRAM).expect("the datagram is valid"), announcements());
}

#[test]
fn the_datagrams_of_a_balancers_rounds_match_the_fixture() {
    let key = Key::new(KEY).expect("the key is long enough");
    let peers: Vec<String> = (2..9).map(|i| format!("n{i}")).collect();
    let identity = Identity { name: "n1", incarnation: 77 };
    let options = GossipOptions { key, settings: GossipSettings::default(), seed: 7 };
    let mut gossip = Gossip::new(1_000_000, identity, &peers, options);
    let mut sent = String::new();
    for round in 0..30_u64 {
        let now = 1_000_000 + round * 150_000;
        if round % 7 == 3 {
            gossip.on_datagram(now, DATAGRAM);
        }
        let holdings = vec![AnnouncedHolding { server: round / 4, group: 7, load: 0.5, connections: 1 }];
        for OutgoingDatagram { peer, bytes } in gossip.outgoing(now, holdings) {
            let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            sent.push_str(&format!("{now} {peer} {hex}\n"));
        }
    }
    let fixture = include_str!("fixtures/rounds.txt");
    if sent != fixture {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/gossip-rounds.txt");
        std::fs::write(actual, &sent).expect("the temporary directory is writable");
        let line = sent.lines().zip(fixture.lines()).position(|(a, b)| a != b);
        panic!(
            "the datagrams differ from the fixture, first at line index {line:?}; the actual output is in {actual}"
        );
    }
}
