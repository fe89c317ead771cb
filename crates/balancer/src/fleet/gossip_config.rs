//! The configuration of gossip: the other balancers of the fleet, their addresses, and the shared key.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use shorewharf_gossip::{GossipSettings, Key, KeyError};
use shorewharf_settings::operator::Gossip;
use shorewharf_units::MICROS_PER_MILLISECOND;
use thiserror::Error;

use super::MAX_BALANCERS;

/// The configuration of gossip with the rest of the fleet.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The other balancers.
    pub peers: Vec<Peer>,
    /// The key that all balancers of the fleet share.
    pub key: Key,
    /// The settings of gossip, such as its interval and fanout.
    pub settings: GossipSettings,
}

/// Another balancer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The balancer's name.
    pub name: String,
    /// The address at which the balancer receives datagrams.
    pub address: SocketAddr,
}

/// The reason why the configuration of gossip is invalid. The message begins with the invalid key.
#[derive(Debug, Error)]
pub enum GossipConfigError {
    /// The file with the peers can't be read.
    #[error("gossip.peers: cannot read {path}: {source}")]
    PeersUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line of that file is invalid.
    #[error("gossip.peers: {path}, line {line}: {problem}")]
    InvalidPeer {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line, counted from 1.
        line: usize,
        /// The reason why the line is invalid.
        problem: InvalidPeer,
    },
    /// The file lists more balancers than a fleet may have.
    #[error("gossip.peers: {path}: {count} balancers are listed; at most {MAX_BALANCERS} are allowed")]
    TooMany {
        /// The path of the file.
        path: PathBuf,
        /// The number of balancers listed.
        count: usize,
    },
    /// The file with the shared key is not configured.
    #[error("gossip.key: missing; expected the path of the file with the key that all balancers share")]
    NoKey,
    /// The file with the shared key can't be read.
    #[error("gossip.key: cannot read {path}: {source}")]
    KeyUnreadable {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The shared key is too short.
    #[error("gossip.key: {0}")]
    InvalidKey(#[from] KeyError),
}

/// The reason why a line of the file with the peers is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidPeer {
    /// The line does not consist of a name and an address.
    #[error("expected NAME ADDRESS:PORT")]
    NotNameAndAddress,
    /// The second word is not an address with a port.
    #[error("the address is not of the form ADDRESS:PORT")]
    NotAnAddress,
    /// An earlier line has the same name.
    #[error("the name is listed twice")]
    Duplicate,
}

impl GossipConfigError {
    /// The invalid key.
    pub fn key(&self) -> &str {
        match self {
            Self::PeersUnreadable { .. } | Self::InvalidPeer { .. } | Self::TooMany { .. } => "gossip.peers",
            Self::NoKey | Self::KeyUnreadable { .. } | Self::InvalidKey(_) => "gossip.key",
        }
    }
}

impl GossipConfig {
    /// Reads the files that `section` of the operator's file names, for `balancer`; `None` if it names no file with peers.
    ///
    /// # Errors
    /// Returns an error if the file with the key is not configured, or a file can't be read or is invalid.
    pub fn read(section: &Gossip, balancer: &str) -> Result<Option<GossipConfig>, GossipConfigError> {
        let Some(path) = &section.peers_file else { return Ok(None) };
        let mut peers = read_peers(path)?;
        peers.retain(|peer| peer.name != balancer);
        let key = read_key(section.key_file.as_ref().ok_or(GossipConfigError::NoKey)?)?;
        let settings = GossipSettings {
            interval: section.interval_ms * MICROS_PER_MILLISECOND,
            fanout: section.fanout,
            ..GossipSettings::default()
        };
        Ok(Some(GossipConfig { peers, key, settings }))
    }
}

fn read_peers(path: &Path) -> Result<Vec<Peer>, GossipConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| GossipConfigError::PeersUnreadable { path: path.to_owned(), source })?;
    let mut peers: Vec<Peer> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let invalid =
            |problem| GossipConfigError::InvalidPeer { path: path.to_owned(), line: index + 1, problem };
        let Some(peer) = parse_peer(line).map_err(invalid)? else { continue };
        if peers.iter().any(|other| other.name == peer.name) {
            return Err(invalid(InvalidPeer::Duplicate));
        }
        peers.push(peer);
    }
    if peers.len() > MAX_BALANCERS {
        return Err(GossipConfigError::TooMany { path: path.to_owned(), count: peers.len() });
    }
    Ok(peers)
}

/// Parses a line `NAME ADDRESS:PORT`; `None` if the line is blank or contains only a comment.
fn parse_peer(line: &str) -> Result<Option<Peer>, InvalidPeer> {
    let line = line.split('#').next().unwrap_or_default();
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        [] => Ok(None),
        [name, address] => {
            let address = address.parse().map_err(|_| InvalidPeer::NotAnAddress)?;
            Ok(Some(Peer { name: name.to_owned(), address }))
        }
        _ => Err(InvalidPeer::NotNameAndAddress),
    }
}

fn read_key(path: &Path) -> Result<Key, GossipConfigError> {
    let bytes = std::fs::read(path)
        .map_err(|source| GossipConfigError::KeyUnreadable { path: path.to_owned(), source })?;
    Ok(Key::new(bytes.trim_ascii())?)
}

#[cfg(test)]
mod tests;
