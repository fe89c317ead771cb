//! What goes wrong in the model fleet, and when.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use shorewharf_units::Micros;

/// Share of faults that last long.
const LONG_FAULT_RATIO: f64 = 0.2;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The process stalls, with all that it uses.
    Stall,
    /// Nothing passes between the process and the store.
    Partition,
    /// The process's requests are carried out, and no response comes.
    ResponsesLost,
    /// Requests take up to 1.5 s, and may arrive after they were given up.
    SlowRequests,
    /// Requests arrive twice, the second time later.
    DuplicateRequests,
    /// Reads are answered as of some time ago.
    StaleReads,
    /// The process is killed, and comes back knowing nothing.
    Kill,
    /// The process leaves in good order, and comes back.
    GracefulLeave,
    /// Another process of the same name starts while the old one is alive.
    DuplicateProcess,
    /// The store answers nobody.
    StoreDown,
    /// The store answers nobody, and comes back as it was some time ago.
    StoreSetBack,
    /// The store answers nobody, and comes back empty.
    StoreWiped,
    /// The totals are lowered to half by the settings, at one member after the other.
    TotalsLowered,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 13] = [
        FaultKind::Stall,
        FaultKind::Partition,
        FaultKind::ResponsesLost,
        FaultKind::SlowRequests,
        FaultKind::DuplicateRequests,
        FaultKind::StaleReads,
        FaultKind::Kill,
        FaultKind::GracefulLeave,
        FaultKind::DuplicateProcess,
        FaultKind::StoreDown,
        FaultKind::StoreSetBack,
        FaultKind::StoreWiped,
        FaultKind::TotalsLowered,
    ];

    /// Whether it affects the store, and so all members.
    pub(super) fn affects_store(self) -> bool {
        matches!(self, FaultKind::StoreDown | FaultKind::StoreSetBack | FaultKind::StoreWiped)
    }

    /// Whether it keeps members from the store.
    pub(super) fn isolates_members(self) -> bool {
        !matches!(self, FaultKind::DuplicateProcess | FaultKind::TotalsLowered)
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// The member that it affects.
    pub member: usize,
    /// When it begins.
    pub begins_at: Micros,
    /// How long it lasts.
    pub duration: Micros,
}

/// What random faults are drawn from.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultRange {
    pub members: usize,
    /// Faults begin before then.
    pub begin_before: Micros,
    pub lease: Micros,
}

impl FaultRange {
    /// Draws so many faults.
    pub fn draw(&self, rng: &mut Pcg64Mcg, count: usize) -> Vec<Fault> {
        let mut faults: Vec<Fault> = (0..count).map(|_| self.draw_one(rng)).collect();
        faults.sort_by_key(|fault| fault.begins_at);
        faults
    }

    fn draw_one(&self, rng: &mut Pcg64Mcg) -> Fault {
        let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
        let longest = if rng.random_bool(LONG_FAULT_RATIO) { 10 * self.lease } else { 2 * self.lease };
        let duration = rng.random_range(self.lease / 20..longest);
        let member = rng.random_range(0..self.members);
        Fault { kind, member, begins_at: rng.random_range(0..self.begin_before), duration }
    }
}
