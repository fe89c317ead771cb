//! Snapshots: the learned state of a balancer, kept across restarts.
//!
//! A [`record`] is text: a header, a line for each entry of state, and a last line with a checksum over all before it.
//! A [`folder`] holds a few generations of records; a [`writer`] writes them on a thread of its own, so that no event
//! loop waits for a disk. Whether a record may be used at all is decided by its header and its endpoint list
//! ([`validation`]), and the latest usable one is found by [`selection`]. What of its state still holds is for those to
//! say who exported it: nothing here knows what the entries mean.

pub mod folder;
pub mod record;
pub mod selection;
pub mod validation;
pub mod writer;
