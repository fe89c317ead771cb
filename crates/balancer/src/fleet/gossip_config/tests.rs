//! Peers that are configured, and faults by key and line.

use super::*;
use crate::config::ConfigError;

#[test]
fn invalid_files_are_rejected_by_key_and_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        Some(path)
    };
    let of = |peers: &str, key: &str| Gossip {
        peers_file: file("peers", peers),
        key_file: file("key", key),
        ..Gossip::default()
    };
    let good = "# the fleet\nn1 127.0.0.1:1\n\nn2 127.0.0.2:1 # far\n";
    let key = "0123456789abcdef\n";
    let peers = GossipConfig::read(&of(good, key), "n1").expect("good").expect("named");
    assert_eq!(
        peers.peers,
        [Peer { name: "n2".to_owned(), address: "127.0.0.2:1".parse().expect("an address") }]
    );
    assert!(GossipConfig::read(&Gossip::default(), "n1").expect("nothing is wrong").is_none());
    for (peers, key, named, why) in [
        ("n1 127.0.0.1:1\nn2", key, "gossip.peers", "line 2: NAME ADDRESS:PORT"),
        ("n1 nowhere", key, "gossip.peers", "line 1: the address"),
        ("n1 127.0.0.1:1\nn1 127.0.0.1:2", key, "gossip.peers", "line 2: the name stands there twice"),
        (good, "short", "gossip.key", "16 bytes at least, this one has 5"),
    ] {
        let e = GossipConfig::read(&of(peers, key), "n1").expect_err(why);
        let e = ConfigError::from(e);
        assert!(e.key() == named && e.reason().contains(why), "{e}");
    }
    let none = Gossip { key_file: None, ..of(good, key) };
    assert_eq!(GossipConfig::read(&none, "n1").expect_err("no key").key(), "gossip.key");
}
