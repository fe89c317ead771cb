//! Trials: many processes of the program on a day of the platform, what is broken between them and when, and what has to
//! hold all the same.
//!
//! [`Trial::read`] takes the file's text, [`Trial::breaks`] draws who is struck, and [`judge`] holds what was seen at the
//! stand-ins against the promises; [`Evenness`] and [`bursts`] tell how evenly nodes were used. Nothing here starts a process or reads a clock.

mod even;
mod file;
mod judge;

pub use even::{Evenness, Worst, bursts};
pub use file::{Band, Group, Holds, Kind, Problem, Promises, Rift, StoreBreak, Trial, Within};
pub use judge::{Seen, Verdict, judge};
