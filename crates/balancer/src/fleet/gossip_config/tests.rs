//! Tests of the configuration of gossip: a valid one, and errors by key and line.

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
    let section = |peers: &str, key: &str| Gossip {
        peers_file: file("peers", peers),
        key_file: file("key", key),
        ..Gossip::default()
    };
    let valid_peers = "# the fleet\nn1 127.0.0.1:1\n\nn2 127.0.0.2:1 # far\n";
    let key = "0123456789abcdef\n";
    let config = GossipConfig::read(&section(valid_peers, key), "n1").expect("valid files").expect("peers");
    assert_eq!(
        config.peers,
        [Peer { name: "n2".to_owned(), address: "127.0.0.2:1".parse().expect("an address") }]
    );
    assert!(GossipConfig::read(&Gossip::default(), "n1").expect("a valid section").is_none());
    for (peers, key, expected_key, expected_reason) in [
        ("n1 127.0.0.1:1\nn2", key, "gossip.peers", "line 2: expected NAME ADDRESS:PORT"),
        ("n1 nowhere", key, "gossip.peers", "line 1: the address is not of the form ADDRESS:PORT"),
        ("n1 127.0.0.1:1\nn1 127.0.0.1:2", key, "gossip.peers", "line 2: the name is listed twice"),
        (valid_peers, "short", "gossip.key", "the key has 5 bytes; expected at least 16"),
    ] {
        let error = GossipConfig::read(&section(peers, key), "n1").expect_err(expected_reason);
        let error = ConfigError::from(error);
        assert!(error.key() == expected_key && error.reason().contains(expected_reason), "{error}");
    }
    let without_key = Gossip { key_file: None, ..section(valid_peers, key) };
    assert_eq!(GossipConfig::read(&without_key, "n1").expect_err("no key").key(), "gossip.key");
}
