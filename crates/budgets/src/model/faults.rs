//! What goes wrong in a made-up fleet, and when.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// The process stands still, with all that it holds.
    Stall,
    /// Nothing passes between the process and the store.
    Cut,
    /// What the process asks for is done, and no answer comes.
    AnswersLost,
    /// Calls take up to 1.5 s, and may come after they were given up.
    Slow,
    /// Calls come twice, the second time later.
    Doubled,
    /// Reads are answered as of some time ago.
    Stale,
    /// The process ends at once, and comes back knowing nothing.
    Killed,
    /// The process leaves in good order, and comes back.
    Left,
    /// Another process of the same name starts, while the old one lives.
    Twice,
    /// The store answers nobody.
    Down,
    /// The store answers nobody, and comes back as it was some time ago.
    SetBack,
    /// The store answers nobody, and comes back empty.
    Wiped,
    /// The whole is lowered to half by the settings, one member after the other.
    Lowered,
}

impl What {
    /// All kinds.
    pub const ALL: [What; 13] = [
        What::Stall,
        What::Cut,
        What::AnswersLost,
        What::Slow,
        What::Doubled,
        What::Stale,
        What::Killed,
        What::Left,
        What::Twice,
        What::Down,
        What::SetBack,
        What::Wiped,
        What::Lowered,
    ];

    /// Whether it strikes the store, and so everybody.
    pub(super) fn of_store(self) -> bool {
        matches!(self, What::Down | What::SetBack | What::Wiped)
    }
}

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub what: What,
    /// The member that it strikes.
    pub who: usize,
    /// When it begins.
    pub at: Micros,
    /// How long it lasts.
    pub len: Micros,
}

/// Draws so many faults within a time.
pub(super) fn draw(
    rng: &mut Pcg64Mcg,
    count: usize,
    members: usize,
    within: Micros,
    lease: Micros,
) -> Vec<Fault> {
    let one = |rng: &mut Pcg64Mcg| {
        let what = What::ALL[rng.random_range(0..What::ALL.len())];
        let longest = if rng.random_bool(0.2) { 10 * lease } else { 2 * lease };
        let len = rng.random_range(lease / 20..longest);
        Fault { what, who: rng.random_range(0..members), at: rng.random_range(0..within), len }
    };
    let mut all: Vec<Fault> = (0..count).map(|_| one(rng)).collect();
    all.sort_by_key(|f| f.at);
    all
}
