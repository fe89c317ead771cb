//! The reasons for which datagrams and announcements are rejected.

use thiserror::Error;

/// The reason why a datagram or an announcement was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The datagram is malformed.
    #[error("the datagram is malformed")]
    Malformed,
    /// The authentication tag was made with another key, or the datagram was modified.
    #[error("the authentication tag of the datagram does not match the key and the content")]
    InvalidTag,
    /// The sender is not a peer.
    #[error("the sender of the announcement is not a peer")]
    UnknownSender,
    /// The announcement is the balancer's own, relayed back by a peer.
    #[error("the announcement is this balancer's own")]
    OwnAnnouncement,
    /// The same or a newer announcement of the sender is known.
    #[error("the same or a newer announcement of the sender is known")]
    Outdated,
}
