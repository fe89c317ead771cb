//! Which budgets are divided, and by which rules. The same at all members but for the member's index.

use shorewharf_units::Micros;
use thiserror::Error;

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// So many a second.
    Rate,
    /// So many at the same time, in whole numbers.
    Concurrency,
}

/// One budget of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name, the same at all members.
    pub name: String,
    /// What it counts.
    pub kind: BudgetKind,
    /// What the whole fleet may use.
    pub total: f64,
}

/// The budgets and the rules by which they are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The budgets.
    pub budgets: Vec<Budget>,
    /// A grant is in force for so long after its holder sent the heartbeat that it names.
    pub lease: Micros,
    /// So much is left out at the holder's end of a lease and added at the leader's, since clocks may drift apart by so
    /// much over a lease.
    pub clock_margin: Micros,
    /// How often the store is polled.
    pub poll_interval: Micros,
    /// Connections under an allocation that has ended migrate within so long; it counts as in use until then.
    pub drain_time: Micros,
    /// The part of each total that is never divided by need: a fixed share of it is each member's.
    pub reserve_ratio: f64,
    /// The part of what is divided that all members get alike, whatever they need.
    pub even_ratio: f64,
    /// The greatest number of members.
    pub max_members: usize,
    /// This member's index, from 0.
    pub member_index: usize,
}

/// Settings that can't be kept. The text is the reason; [`SettingsError::key`] names the setting.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The lease would end before it is renewed.
    #[error("{lease} us is under {POLLS_PER_LEASE} looks ({least} us): it would end before it is renewed")]
    LeaseTooShort {
        /// The lease.
        lease: Micros,
        /// The shortest lease at this poll interval.
        least: Micros,
    },
    /// The clock margin is 0, or more than a quarter of the lease.
    #[error("{0} us is not above 0 and at most a quarter of the lease")]
    ClockMarginOutOfRange(Micros),
    /// The reserve is out of its range.
    #[error("{0} is not from 0 to 0.5")]
    ReserveOutOfRange(f64),
    /// The even part is out of its range.
    #[error("{0} is not from 0 to 0.5: beyond that needs would count for little")]
    EvenRatioOutOfRange(f64),
    /// The member's index is not below the number of members.
    #[error("place {index} of {members} members")]
    NoSuchMember {
        /// The member's index.
        index: usize,
        /// The greatest number of members.
        members: usize,
    },
    /// A total is no amount.
    #[error("{total} of {budget} is no amount")]
    InvalidTotal {
        /// The budget's name.
        budget: String,
        /// Its total.
        total: f64,
    },
    /// Two budgets have the same name.
    #[error("{0} comes twice")]
    DuplicateBudget(String),
}

impl SettingsError {
    /// The setting at fault, as operators know it.
    pub fn key(&self) -> &'static str {
        match self {
            SettingsError::LeaseTooShort { .. } => "lease",
            SettingsError::ClockMarginOutOfRange(_) => "margin",
            SettingsError::ReserveOutOfRange(_) => "reserve",
            SettingsError::EvenRatioOutOfRange(_) => "floor",
            SettingsError::NoSuchMember { .. } => "members",
            SettingsError::InvalidTotal { .. } => "whole",
            SettingsError::DuplicateBudget(_) => "budgets",
        }
    }
}

/// Heartbeats in a lease: two may be lost.
const HEARTBEATS_PER_LEASE: u64 = 3;
/// Polls in a lease at the least: one may take as long as the next one begins, and a heartbeat has to be read,
/// confirmed and seen by polls.
const POLLS_PER_LEASE: u64 = 8;
/// The clock margin is at most the lease over this.
const LEASE_PER_CLOCK_MARGIN: u64 = 4;
/// The largest part of a total that is not divided by need.
const MAX_RATIO: f64 = 0.5;

impl BudgetSettings {
    /// Checks that the settings can be kept.
    ///
    /// # Errors
    ///
    /// Returns the first setting that can't.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.poll_interval == 0 || self.lease < POLLS_PER_LEASE * self.poll_interval {
            let least = POLLS_PER_LEASE * self.poll_interval.max(1);
            return Err(SettingsError::LeaseTooShort { lease: self.lease, least });
        }
        if self.clock_margin == 0 || self.clock_margin > self.lease / LEASE_PER_CLOCK_MARGIN {
            return Err(SettingsError::ClockMarginOutOfRange(self.clock_margin));
        }
        if !(0.0..=MAX_RATIO).contains(&self.reserve_ratio) {
            return Err(SettingsError::ReserveOutOfRange(self.reserve_ratio));
        }
        if !(0.0..=MAX_RATIO).contains(&self.even_ratio) {
            return Err(SettingsError::EvenRatioOutOfRange(self.even_ratio));
        }
        if self.max_members == 0 || self.member_index >= self.max_members {
            let (index, members) = (self.member_index, self.max_members);
            return Err(SettingsError::NoSuchMember { index, members });
        }
        self.budgets.iter().try_for_each(|budget| self.check_budget(budget))
    }

    fn check_budget(&self, budget: &Budget) -> Result<(), SettingsError> {
        let (name, total) = (&budget.name, budget.total);
        if !total.is_finite() || total < 0.0 {
            return Err(SettingsError::InvalidTotal { budget: name.clone(), total });
        }
        if self.budgets.iter().filter(|other| other.name == *name).count() > 1 {
            return Err(SettingsError::DuplicateBudget(name.clone()));
        }
        Ok(())
    }

    /// How often a member writes its record.
    pub fn heartbeat_interval(&self) -> Micros {
        self.lease / HEARTBEATS_PER_LEASE
    }

    /// The part of a total that is divided by need.
    pub fn divided(&self, kind: BudgetKind, total: f64) -> f64 {
        total - self.reserve(kind, total)
    }

    /// The part of a total that is reserved for all members together.
    fn reserve(&self, kind: BudgetKind, total: f64) -> f64 {
        match kind {
            BudgetKind::Rate => total * self.reserve_ratio,
            BudgetKind::Concurrency => (total * self.reserve_ratio).floor(),
        }
    }

    /// This member's own part of the reserve. Whole numbers are dealt out by index, so that all parts together are the
    /// reserve; where it is smaller than the number of members some have none.
    pub fn own_reserve(&self, kind: BudgetKind, total: f64) -> f64 {
        let reserve = self.reserve(kind, total);
        let (members, index) = (self.max_members as f64, self.member_index as f64);
        match kind {
            BudgetKind::Rate => reserve / members,
            BudgetKind::Concurrency => {
                ((index + 1.0) * reserve / members).floor() - (index * reserve / members).floor()
            }
        }
    }
}
