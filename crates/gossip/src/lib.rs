//! Gossip between balancers: what connections each of them holds.
//!
//! Each balancer announces what it holds in an [`Announcement`], and relays the announcements of others that it has
//! received lately, to a few peers drawn at random ([`Gossip::outgoing`]). Datagrams are sealed with a shared key. What
//! was received counts for as long as its age allows ([`Gossip::peer_loads`]); when too few peers are heard of, nothing
//! does, and a balancer decides by its own connections alone.
//!
//! Nothing here opens a socket or reads a clock: times are whole microseconds on the caller's monotonic clock, and
//! random numbers come from a seed.

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
