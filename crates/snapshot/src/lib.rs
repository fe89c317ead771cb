//! Snapshots: the learned state of a balancer, kept across restarts.
//!
//! A [`record`] is text: a header, a line for each endpoint and each entry of state, and a last line with a checksum of
//! all lines before it. A [`folder`] holds a few generations of records; a [`writer`] writes them on its own thread, so
//! that no event loop waits for the disk. [`validation`] decides by the header and the endpoint list whether a record may
//! be restored, and [`selection`] finds the latest record that may. This crate does not interpret the entries: the
//! components that exported them decide which of them still apply.

pub mod folder;
pub mod record;
pub mod selection;
pub mod validation;
pub mod writer;
