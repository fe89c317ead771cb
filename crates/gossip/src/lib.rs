//! What balancers tell each other of the connections that they hold.
//!
//! Each one says what it holds in a [`Note`], and passes on the notes of others that it has heard of lately, to a few
//! drawn at random ([`Gossip::due`]). Datagrams are sealed with a key in common. What came is believed for as long as its
//! age allows ([`Gossip::elsewhere`]); when too few are heard of, nothing is, and a balancer is alone.
//!
//! Nothing here opens a socket or reads a clock: times are whole microseconds on the caller's monotonic clock, and random
//! numbers are an argument.

mod datagram;
mod gossip;
mod note;
mod table;

pub use datagram::{Key, KeyError, MOST_BYTES, Refusal};
pub use gossip::{Gossip, Rules, Stats};
pub use note::{Held, MOST_HELD, Note, sender_id};
pub use table::Elsewhere;
