//! Why a datagram, or an announcement in one, is rejected.

use thiserror::Error;

/// Why a datagram, or an announcement in one, was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It does not have the format.
    #[error("malformed")]
    Malformed,
    /// It was sealed with another key, or changed.
    #[error("seal")]
    InvalidSeal,
    /// Its sender is not a peer.
    #[error("foreign")]
    UnknownSender,
    /// It is this balancer's own announcement, come round.
    #[error("own")]
    Own,
    /// Its sender has announced the same or something newer.
    #[error("old")]
    Outdated,
}
