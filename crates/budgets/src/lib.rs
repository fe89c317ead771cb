//! Budgets of a whole fleet (set-ups a second, standing connections of a tenant), divided among balancers that come and go
//! by what each needs, and never above the whole.
//!
//! All know of each other by rows in a store ([`rows`]). A [`Member`] writes its own row ever anew, a *beat*, with what it
//! needs and holds. One of them leads ([`Leader`]): it reads all rows and writes everybody a *grant*, which names the last beat it has
//! read. A grant is in force for one lease, counted from before that beat was sent, on the holder's own clock; the leader gives it
//! to others only after its holder has acknowledged a smaller one, or one lease and a margin after it read that beat. So no clocks have to
//! agree, and whoever stands still, is cut off, or reads what is old holds less than it was given, never more. Without the store
//! each has a *reserve*, a fixed part by the greatest number of members, which is never given to anybody else.
//!
//! [`Parts`] is what a request is held against: time is looked at when one is admitted, not by a timer.
//!
//! Nothing here reads a clock or does I/O: [`Member::next`] says which call to make, [`Member::answered`] takes its end.

mod call;
mod divide;
mod leader;
mod member;
#[cfg(feature = "model")]
pub mod model;
mod parts;
pub mod rows;
mod rules;

pub use call::{Call, Condition, Failed, Record, Reply};
pub use divide::divide;
pub use leader::Leader;
pub use member::{Figures, Member};
pub use parts::{Part, Parts, Refused};
pub use rules::{Budget, Kind, Problem, Rules};
