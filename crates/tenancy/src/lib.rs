//! Which tenant's clients are admitted: each tenant's share of standing connections, of set-ups a second and of
//! returns after a mass drop, as one instance of a fleet sees them that can't talk with its siblings.
//!
//! Nothing here does I/O or reads a clock: times come in as whole microseconds of one clock that only goes forward,
//! and the same calls give the same verdicts. A decision costs a few additions and a descent of a small tree, however
//! many tenants there are.
//!
//! Three rules make up the whole. A tenant that is within this instance's part of its share is admitted. Beyond it, a
//! tenant borrows what others leave unused, up to a level that leaves room for them to come back; when that is spent,
//! whoever is furthest beyond its share waits first. And nobody who stands is cut off for any of this: what was lent
//! comes back as connections end. `docs/design/tenancy.md` says why, and what was measured.

mod levels;
mod part;
mod pool;
mod shortage;
mod stats;
mod tenancy;
mod tenant;
mod terms;
mod waits;

use shorewharf_units::Micros;

pub use stats::{Stats, TenantStats};
pub use tenancy::{Moves, Tenancy};
pub use terms::{Limits, Terms, TermsError};

/// A tenant's place. It is given once: a tenant that is removed keeps it, and one that is made anew under the same
/// name gets another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(pub usize);

/// Why a client is turned away. Each reason is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// Its tenant holds its share of connections, and nothing more is to lend.
    Connections,
    /// Its tenant sets up connections faster than its share, and nothing more is to lend.
    SetUps,
    /// Its tenant's clients return faster than its share allows, and nothing more is to lend.
    Returns,
    /// Capacity is short, and its tenant is among those that are furthest beyond their shares.
    Short,
    /// Its tenant's share was lowered below what stands: nothing new until it is under.
    Lowered,
    /// Its tenant was removed.
    Removed,
    /// No tenant was ever at this place.
    Unknown,
}

impl Why {
    /// All reasons, in the order of [`TenantStats::turned_away`].
    pub const ALL: [Why; 7] =
        [Why::Connections, Why::SetUps, Why::Returns, Why::Short, Why::Lowered, Why::Removed, Why::Unknown];

    /// The reason in a word or two, for logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Why::Connections => "tenant-connections",
            Why::SetUps => "tenant-set-ups",
            Why::Returns => "tenant-returns",
            Why::Short => "tenant-capacity-short",
            Why::Lowered => "tenant-share-lowered",
            Why::Removed => "tenant-removed",
            Why::Unknown => "tenant-unknown",
        }
    }
}

/// What becomes of a client that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is counted, and goes on to be placed.
    Admit,
    /// It is refused at once.
    TurnAway {
        /// When to come back, from now; 0 where clients are not told.
        after: Micros,
        /// Why, to be counted.
        why: Why,
    },
}
