//! An announcement of what one balancer holds, and its format in a datagram.

use twox_hash::XxHash3_64;

use crate::error::RejectReason;

/// Holdings that fit into an announcement.
pub const MAX_HOLDINGS: usize = 60;
/// Length of an announcement without its holdings: sender, incarnation, time and count.
const HEADER_BYTES: usize = 8 + 8 + 4 + 1;
/// Length of a holding: server, group, load and connections.
const HOLDING_BYTES: usize = 8 + 4 + 4 + 2;

/// The id of the balancer of this name, the same at all of them.
pub fn sender_id(name: &str) -> u64 {
    XxHash3_64::oneshot(name.as_bytes())
}

/// Connections of one group that a balancer holds at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedHolding {
    /// The server's id.
    pub server: u64,
    /// The lower half of the group's id; 0 where there is none.
    pub group: u32,
    /// Their load, as work a second in the unit of list weights.
    pub load: f32,
    /// Number of connections.
    pub connections: u16,
}

/// What one balancer holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The balancer that made it.
    pub sender: u64,
    /// The balancer's incarnation: when its process began, as Unix time in microseconds.
    pub incarnation: u64,
    /// When it was made, in milliseconds since that begin.
    pub made_at_ms: u32,
    /// What the balancer holds.
    pub holdings: Vec<AnnouncedHolding>,
}

/// Takes `N` bytes off the front.
fn take<const N: usize>(input: &mut &[u8]) -> Result<[u8; N], RejectReason> {
    let (first, rest) = input.split_first_chunk::<N>().ok_or(RejectReason::Malformed)?;
    *input = rest;
    Ok(*first)
}

impl AnnouncedHolding {
    fn encode(&self, output: &mut Vec<u8>) {
        output.extend(self.server.to_le_bytes());
        output.extend(self.group.to_le_bytes());
        output.extend(self.load.to_le_bytes());
        output.extend(self.connections.to_le_bytes());
    }

    fn decode(input: &mut &[u8]) -> Result<AnnouncedHolding, RejectReason> {
        let holding = AnnouncedHolding {
            server: u64::from_le_bytes(take(input)?),
            group: u32::from_le_bytes(take(input)?),
            load: f32::from_le_bytes(take(input)?),
            connections: u16::from_le_bytes(take(input)?),
        };
        let is_valid = holding.load.is_finite() && holding.load >= 0.0 && holding.connections > 0;
        if is_valid { Ok(holding) } else { Err(RejectReason::Malformed) }
    }
}

impl Announcement {
    fn encoded_holdings(&self) -> &[AnnouncedHolding] {
        &self.holdings[..self.holdings.len().min(MAX_HOLDINGS)]
    }

    /// Its length in a datagram, in bytes.
    pub fn encoded_len(&self) -> usize {
        HEADER_BYTES + HOLDING_BYTES * self.encoded_holdings().len()
    }

    pub(crate) fn encode(&self, output: &mut Vec<u8>) {
        let holdings = self.encoded_holdings();
        output.extend(self.sender.to_le_bytes());
        output.extend(self.incarnation.to_le_bytes());
        output.extend(self.made_at_ms.to_le_bytes());
        output.push(holdings.len() as u8);
        for holding in holdings {
            holding.encode(output);
        }
    }

    pub(crate) fn decode(input: &mut &[u8]) -> Result<Announcement, RejectReason> {
        let sender = u64::from_le_bytes(take(input)?);
        let incarnation = u64::from_le_bytes(take(input)?);
        let made_at_ms = u32::from_le_bytes(take(input)?);
        let [count] = take(input)?;
        if usize::from(count) > MAX_HOLDINGS {
            return Err(RejectReason::Malformed);
        }
        let holdings = (0..count).map(|_| AnnouncedHolding::decode(input)).collect::<Result<_, _>>()?;
        Ok(Announcement { sender, incarnation, made_at_ms, holdings })
    }
}
