//! The other balancers of the fleet, as the operator's file names them: who they are, where they hear, and the key in common.

use std::net::SocketAddr;

use shorewharf_gossip::{GossipSettings, Key};
use shorewharf_settings::operator::Gossip;
use shorewharf_units::MICROS_PER_MILLISECOND;

use crate::config::error::ConfigError;

/// More balancers than this are no fleet of one service.
const MOST: usize = 4_096;

/// What is needed to tell the others of a fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The others by name, with the address of each for datagrams.
    pub others: Vec<(String, SocketAddr)>,
    /// The key that all share.
    pub key: Key,
    /// How often, and to how many.
    pub rules: GossipSettings,
}

fn wrong(key: &str, why: impl ToString) -> ConfigError {
    ConfigError::Form(key.to_owned(), why.to_string())
}

impl Peers {
    /// Reads the files that the operator's file names, for the balancer of this name; none where it names none.
    ///
    /// # Errors
    /// A file that can't be read or used; the text names the key, and the line at fault.
    pub fn read(of: &Gossip, me: &str) -> Result<Option<Peers>, ConfigError> {
        let Some(peers) = &of.peers_file else { return Ok(None) };
        let path = peers.display();
        let text =
            std::fs::read_to_string(peers).map_err(|e| wrong("gossip.peers", format!("{path}: {e}")))?;
        let mut others: Vec<(String, SocketAddr)> = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let at = |why: &str| wrong("gossip.peers", format!("{path}, line {}: {why}", i + 1));
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            let (name, address) = match words[..] {
                [] => continue,
                [name, address] => (name, address),
                _ => return Err(at("NAME ADDRESS:PORT is wanted")),
            };
            let address = address.parse().map_err(|_| at("the address is not ADDRESS:PORT"))?;
            if others.iter().any(|o| o.0 == name) {
                return Err(at("the name stands there twice"));
            }
            others.push((name.to_owned(), address));
        }
        if others.len() > MOST {
            return Err(wrong("gossip.peers", format!("{path}: {} balancers, at most {MOST}", others.len())));
        }
        others.retain(|o| o.0 != me);
        let Some(key) = &of.key_file else {
            return Err(wrong("gossip.key", "missing; the file with the key that all balancers share"));
        };
        let bytes = std::fs::read(key).map_err(|e| wrong("gossip.key", format!("{}: {e}", key.display())))?;
        let key = Key::new(bytes.trim_ascii()).map_err(|e| wrong("gossip.key", e))?;
        let rules = GossipSettings {
            interval: of.interval_ms * MICROS_PER_MILLISECOND,
            fanout: of.fanout,
            ..GossipSettings::default()
        };
        Ok(Some(Peers { others, key, rules }))
    }
}

#[cfg(test)]
mod tests;
