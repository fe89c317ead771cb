//! The faults of the simulated fleet.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use shorewharf_units::Micros;

/// The ratio of faults with a long maximum duration.
const LONG_FAULT_RATIO: f64 = 0.2;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The process stalls, and keeps everything that it uses.
    Stall,
    /// The process and the store can't exchange messages.
    Partition,
    /// The store executes the process's requests, but the responses are lost.
    ResponsesLost,
    /// Requests take up to 1.5 s and may arrive after they were given up.
    SlowRequests,
    /// Requests arrive twice, the second time after a delay.
    DuplicateRequests,
    /// Reads are answered from an earlier state of the store.
    StaleReads,
    /// The process is killed, and restarts without any state.
    Kill,
    /// The process leaves gracefully, and restarts.
    GracefulLeave,
    /// Another process of the same name starts while the first one is alive.
    DuplicateProcess,
    /// The store does not answer.
    StoreDown,
    /// The store does not answer, and is then rolled back to an earlier state.
    StoreRolledBack,
    /// The store does not answer, and is then empty.
    StoreWiped,
    /// The totals in the settings are halved. The members read the new settings one after the other.
    TotalsLowered,
}

impl FaultKind {
    /// All kinds of faults.
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
        FaultKind::StoreRolledBack,
        FaultKind::StoreWiped,
        FaultKind::TotalsLowered,
    ];

    /// Whether this fault affects the store, and therefore all members.
    pub(super) fn affects_store(self) -> bool {
        matches!(self, FaultKind::StoreDown | FaultKind::StoreRolledBack | FaultKind::StoreWiped)
    }

    /// Whether this fault may keep members from reaching the store.
    pub(super) fn isolates_members(self) -> bool {
        !matches!(self, FaultKind::DuplicateProcess | FaultKind::TotalsLowered)
    }
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The member that is affected.
    pub member: usize,
    /// The true time at which the fault begins.
    pub begins_at: Micros,
    /// The duration of the fault.
    pub duration: Micros,
}

/// The ranges from which random faults are drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultRanges {
    pub members: usize,
    /// Faults begin before this time.
    pub begin_before: Micros,
    pub lease: Micros,
}

impl FaultRanges {
    /// Draws a number of faults, sorted by their beginning.
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
