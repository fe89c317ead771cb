//! The budgets of a fleet and the rules by which they are divided. The settings are the same at all members,
//! except for [`BudgetSettings::member_index`].

use shorewharf_units::Micros;
use thiserror::Error;

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// Uses per second.
    Rate,
    /// Uses at the same time, as a whole number.
    Concurrency,
}

/// One budget of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name, which is the same at all members.
    pub name: String,
    /// What the budget counts.
    pub kind: BudgetKind,
    /// The amount that the whole fleet may use.
    pub total: f64,
}

/// The budgets and the rules by which they are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// The budgets.
    pub budgets: Vec<Budget>,
    /// The duration of a grant, counted from the time when its holder sent the heartbeat that the grant
    /// names.
    pub lease: Micros,
    /// Subtracted from the lease at the holder and added to it at the leader, since their clocks may drift
    /// apart by this much during a lease.
    pub clock_margin: Micros,
    /// The interval at which the store is polled.
    pub poll_interval: Micros,
    /// The time within which connections migrate after their allocation has ended. They count as in use until
    /// then.
    pub drain_time: Micros,
    /// The ratio of each total that is never divided by demand. Each member has a fixed share of it.
    pub reserve_ratio: f64,
    /// The ratio of the divided amount that all members get in equal parts, whatever their demand.
    pub even_ratio: f64,
    /// The maximum number of members.
    pub max_members: usize,
    /// The index of this member, from 0.
    pub member_index: usize,
}

/// The reason why settings are invalid. [`SettingsError::key`] returns the name of the invalid setting.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The lease could end before it is renewed.
    #[error(
        "{lease} us is shorter than {POLLS_PER_LEASE} poll intervals ({minimum} us): the lease could end before it is renewed"
    )]
    LeaseTooShort {
        /// The configured lease.
        lease: Micros,
        /// The shortest lease that is valid with this poll interval.
        minimum: Micros,
    },
    /// The clock margin is 0, or more than a quarter of the lease.
    #[error("{0} us is out of range; expected more than 0 and at most a quarter of the lease")]
    ClockMarginOutOfRange(Micros),
    /// The reserve ratio is out of range.
    #[error("{0} is out of range; expected a ratio from 0 to 0.5")]
    ReserveOutOfRange(f64),
    /// The even ratio is out of range.
    #[error(
        "{0} is out of range; expected a ratio from 0 to 0.5, since a larger one leaves too little to divide by demand"
    )]
    EvenRatioOutOfRange(f64),
    /// The member's index is not below the maximum number of members.
    #[error("the index of this member, {index}, is not below the number of members, {members}")]
    NoSuchMember {
        /// The index of the member.
        index: usize,
        /// The maximum number of members.
        members: usize,
    },
    /// The total of a budget is negative or not a finite number.
    #[error(
        "the total {total} of the budget {budget:?} is invalid; expected a finite number that is not negative"
    )]
    InvalidTotal {
        /// The budget's name.
        budget: String,
        /// The configured total.
        total: f64,
    },
    /// Two budgets have the same name.
    #[error("the budget {0:?} is defined twice")]
    DuplicateBudget(String),
}

impl SettingsError {
    /// The name of the invalid setting, by which callers find its key in the operator's file.
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

/// The number of heartbeats in a lease, so that two of them may be lost.
const HEARTBEATS_PER_LEASE: u64 = 3;
/// The minimum number of polls in a lease. A poll may take until the next one is due, and it takes polls
/// until a heartbeat has been read by the leader, the grant that confirms it has been written, and its sender
/// has read that grant.
const POLLS_PER_LEASE: u64 = 8;
/// The clock margin is at most the lease divided by this number.
const LEASE_PER_CLOCK_MARGIN: u64 = 4;
/// The maximum of `reserve_ratio` and of `even_ratio`.
const MAX_RATIO: f64 = 0.5;

impl BudgetSettings {
    /// Checks whether the settings are valid.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.poll_interval == 0 || self.lease < POLLS_PER_LEASE * self.poll_interval {
            let minimum = POLLS_PER_LEASE * self.poll_interval.max(1);
            return Err(SettingsError::LeaseTooShort { lease: self.lease, minimum });
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

    /// The interval at which a member writes its record.
    pub fn heartbeat_interval(&self) -> Micros {
        self.lease / HEARTBEATS_PER_LEASE
    }

    /// The amount of a total that is divided by demand.
    pub fn divided(&self, kind: BudgetKind, total: f64) -> f64 {
        total - self.reserve(kind, total)
    }

    /// The amount of a total that is reserved, for all members together.
    fn reserve(&self, kind: BudgetKind, total: f64) -> f64 {
        match kind {
            BudgetKind::Rate => total * self.reserve_ratio,
            BudgetKind::Concurrency => (total * self.reserve_ratio).floor(),
        }
    }

    /// This member's share of the reserve. Shares of a concurrency budget are whole numbers that depend on
    /// the index and add up to the reserve. If the reserve is smaller than the number of members, some members
    /// have no share.
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
