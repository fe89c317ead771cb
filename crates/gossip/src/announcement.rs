//! An announcement of the connections of one balancer, and its encoding in a datagram.

use twox_hash::XxHash3_64;

use crate::error::RejectReason;

/// The maximum number of holdings in an announcement.
pub const MAX_HOLDINGS: usize = 60;
/// The length of an announcement without its holdings: sender, incarnation, time and count.
const HEADER_BYTES: usize = 8 + 8 + 4 + 1;
/// The length of a holding: server, group, load and number of connections.
const HOLDING_BYTES: usize = 8 + 4 + 4 + 2;

/// Returns the id of the balancer of this name, which is the same at all balancers.
pub fn sender_id(name: &str) -> u64 {
    XxHash3_64::oneshot(name.as_bytes())
}

/// The connections of one group that a balancer holds to one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedHolding {
    /// The server's id.
    pub server: u64,
    /// The lower half of the group's id; 0 if there is no group.
    pub group: u32,
    /// The load of the connections, in work per second, in the unit of the weights in the endpoint list.
    pub load: f32,
    /// The number of connections.
    pub connections: u16,
}

/// The announcement of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The id of the balancer that made the announcement.
    pub sender: u64,
    /// The balancer's incarnation: the start time of its process, as Unix time in microseconds.
    pub incarnation: u64,
    /// The time when the announcement was made, in milliseconds since the start of the process.
    pub made_at_ms: u32,
    /// The connections that the balancer holds.
    pub holdings: Vec<AnnouncedHolding>,
}

/// Removes and returns the first `N` bytes of the input.
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

    /// Returns the length of the announcement in a datagram, in bytes.
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
