//! Gossip between balancers about the connections that each of them holds.
//!
//! Each balancer announces its connections in an [`Announcement`]. It sends its own announcement, and
//! recently received announcements of other balancers, to a few randomly selected peers
//! ([`Gossip::outgoing`]). Datagrams are authenticated with a shared key. A received announcement counts with
//! a weight that decreases with its age ([`Gossip::peer_loads`]). If the announcements of too few peers
//! count, none of them are used, and a balancer decides by its own connections alone.
//!
//! Nothing here opens a socket or reads a clock: times are whole microseconds of the caller's monotonic
//! clock, and random numbers are derived from a seed.

mod announcement;
mod datagram;
mod error;
mod gossip;
mod peer_table;
mod settings;

pub use announcement::{AnnouncedHolding, Announcement, MAX_HOLDINGS, sender_id};
pub use datagram::{Key, KeyError, MAX_DATAGRAM_BYTES};
pub use error::RejectReason;
pub use gossip::{Gossip, GossipOptions, GossipStats, Identity, OutgoingDatagram};
pub use peer_table::{PeerLoads, RemoteServerLoad};
pub use settings::GossipSettings;
