//! Configuration of gossip: the other balancers of the fleet, their addresses, and the key that all share.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use shorewharf_gossip::{GossipSettings, Key, KeyError};
use shorewharf_settings::operator::Gossip;
use shorewharf_units::MICROS_PER_MILLISECOND;
use thiserror::Error;

use super::MAX_BALANCERS;

/// What is needed to gossip with the rest of the fleet.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The other balancers.
    pub peers: Vec<Peer>,
    /// The key that all balancers share.
    pub key: Key,
    /// How often to send, and to how many.
    pub rules: GossipSettings,
}

/// Another balancer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// Gossip that can't be set up as configured. The message begins with the key at fault.
#[derive(Debug, Error)]
pub enum GossipConfigError {
    /// The file that names the peers can't be read.
    #[error("gossip.peers: {path}: {source}")]
    PeersUnreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// A line of that file can't be used.
    #[error("gossip.peers: {path}, line {line}: {problem}")]
    InvalidPeer {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        problem: InvalidPeer,
    },
    /// The file names more balancers than a fleet may have.
    #[error("gossip.peers: {path}: {count} balancers, at most {MAX_BALANCERS}")]
    TooMany {
        /// The file.
        path: PathBuf,
        /// How many balancers it names.
        count: usize,
    },
    /// The file with the shared key is not configured.
    #[error("gossip.key: missing; the file with the key that all balancers share")]
    NoKey,
    /// The file with the shared key can't be read.
    #[error("gossip.key: {path}: {source}")]
    KeyUnreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The shared key is too short.
    #[error("gossip.key: {0}")]
    InvalidKey(#[from] KeyError),
}

/// What is wrong with a line of the file that names the peers.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidPeer {
    /// It is not a name and an address.
    #[error("NAME ADDRESS:PORT is wanted")]
    NotNameAndAddress,
    /// Its address is not one.
    #[error("the address is not ADDRESS:PORT")]
    NotAnAddress,
    /// Its name stands in an earlier line too.
    #[error("the name stands there twice")]
    Duplicate,
}

impl GossipConfigError {
    /// The key at fault.
    pub fn key(&self) -> &str {
        match self {
            Self::PeersUnreadable { .. } | Self::InvalidPeer { .. } | Self::TooMany { .. } => "gossip.peers",
            Self::NoKey | Self::KeyUnreadable { .. } | Self::InvalidKey(_) => "gossip.key",
        }
    }
}

impl GossipConfig {
    /// Reads the files that `section` of the operator's file names, for `balancer`; none where it names no peers.
    ///
    /// # Errors
    /// A file that can't be read or used.
    pub fn read(section: &Gossip, balancer: &str) -> Result<Option<GossipConfig>, GossipConfigError> {
        let Some(path) = &section.peers_file else { return Ok(None) };
        let mut peers = read_peers(path)?;
        peers.retain(|peer| peer.name != balancer);
        let key = read_key(section.key_file.as_ref().ok_or(GossipConfigError::NoKey)?)?;
        let rules = GossipSettings {
            interval: section.interval_ms * MICROS_PER_MILLISECOND,
            fanout: section.fanout,
            ..GossipSettings::default()
        };
        Ok(Some(GossipConfig { peers, key, rules }))
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

/// Parses a line `NAME ADDRESS:PORT`; none where it is blank but for a comment.
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
