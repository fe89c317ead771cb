//! The leader: the known state of the members, and the amounts that they are allocated.
//!
//! For each member, the leader keeps the amount that *may* be in use there. It increases with an allocation
//! before the grant is written. It decreases only when the member has acknowledged a smaller allocation, or
//! when its lease has certainly ended: one lease and a margin after its last heartbeat was read. The sum of
//! these amounts over all members is kept within the amount to divide.

mod grants;
mod targets;

use std::collections::BTreeMap;

use shorewharf_units::Micros;

use crate::records::{BudgetAmounts, Grant, GrantNumber, MemberRecord, amount_of};
use crate::settings::{Budget, BudgetKind, BudgetSettings};

pub(crate) use grants::GrantRound;

/// A member is forgotten after it was silent for this number of leases, and its records are removed.
const FORGOTTEN_AFTER_LEASES: u64 = 20;

/// One incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberKey {
    pub name: String,
    pub incarnation: u64,
}

/// The known state of one incarnation of a member.
#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    /// When its last heartbeat was read.
    heartbeat_read_at: Micros,
    /// The last heartbeat that was confirmed by a grant.
    confirmed_heartbeat: u64,
    /// The amounts that may be in use there.
    possible_use: BudgetAmounts,
    /// The amounts that it is allocated.
    allocation: BudgetAmounts,
    /// The epoch of its last grant in this term; 0 if it has none.
    epoch: u64,
    /// Whether a heartbeat of its own was read in this term. Otherwise only a grant of an earlier term, or a
    /// record that was already there when the term began, is known.
    is_confirmed_alive: bool,
}

impl MemberState {
    fn is_alive(&self, now: Micros, settings: &BudgetSettings) -> bool {
        let has_lease = now < self.heartbeat_read_at + settings.lease;
        self.is_confirmed_alive && !self.record.has_left && has_lease
    }

    /// Returns the time at which the member's lease has certainly ended.
    fn lease_ends_at(&self, settings: &BudgetSettings) -> Micros {
        self.heartbeat_read_at + settings.lease + settings.clock_margin
    }

    /// Returns the member's use of a concurrency budget; 0 for a rate budget.
    fn concurrency_in_use(&self, budget: &Budget) -> f64 {
        match budget.kind {
            BudgetKind::Concurrency => amount_of(&self.record.in_use, &budget.name),
            BudgetKind::Rate => 0.0,
        }
    }

    /// Whether it has acknowledged its last grant of a term.
    fn has_acknowledged(&self, term: u64) -> bool {
        let GrantNumber { term: acknowledged_term, epoch } = self.record.acknowledged;
        self.epoch > 0 && acknowledged_term == term && epoch >= self.epoch
    }

    /// Lowers the amounts that may be in use to those of the acknowledged grant.
    fn lower_possible_use(&mut self, settings: &BudgetSettings) {
        for budget in &settings.budgets {
            let allocated = amount_of(&self.allocation, &budget.name);
            let in_use = allocated.max(self.concurrency_in_use(budget));
            let possible_use = amount_of(&self.possible_use, &budget.name).min(in_use);
            self.possible_use.insert(budget.name.clone(), possible_use);
        }
    }
}

/// An incarnation whose records are no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DepartedMember {
    pub key: MemberKey,
    /// Whether no other incarnation of this name is known.
    pub is_last_of_name: bool,
}

/// The start of a term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermStart {
    pub now: Micros,
    pub term: u64,
    /// The store has not been rolled back since this time.
    pub store_intact_since: Micros,
}

/// The state of a leader during its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// The leader's term.
    pub term: u64,
    /// The number of changes of allocations within the term.
    epoch: u64,
    /// Before this time, more of a concurrency budget may be in use than the records show, since the store may
    /// have been rolled back.
    concurrency_known_from: Micros,
    members: BTreeMap<MemberKey, MemberState>,
    /// Whether the members' records have been read in this term.
    has_read_records: bool,
    departed: Vec<DepartedMember>,
}

impl Leader {
    /// Starts a term. No earlier grant is in force any more. What may still be in use under earlier grants is
    /// contained in `grants`, unless the store was rolled back.
    pub(crate) fn new(start: TermStart, settings: &BudgetSettings, grants: Vec<(String, Grant)>) -> Leader {
        let state = |grant: &Grant| {
            let is_concurrency = |budget: &&Budget| budget.kind == BudgetKind::Concurrency;
            let budgets = settings.budgets.iter().filter(is_concurrency);
            let possible_use =
                |budget: &Budget| (budget.name.clone(), amount_of(&grant.possible_use, &budget.name));
            MemberState {
                record: MemberRecord { incarnation: grant.incarnation, ..MemberRecord::default() },
                // The lease is treated as ending now, so that the amounts in use expire once the connections
                // must have migrated.
                heartbeat_read_at: start.now.saturating_sub(settings.lease),
                confirmed_heartbeat: grant.heartbeat,
                possible_use: budgets.map(possible_use).collect(),
                allocation: BudgetAmounts::new(),
                epoch: 0,
                is_confirmed_alive: false,
            }
        };
        let member = |(name, grant): (String, Grant)| {
            (MemberKey { name, incarnation: grant.incarnation }, state(&grant))
        };
        let settling_time = settings.lease + settings.clock_margin + settings.drain_time;
        Leader {
            term: start.term,
            epoch: 0,
            concurrency_known_from: start.store_intact_since + settling_time,
            members: grants.into_iter().map(member).collect(),
            has_read_records: false,
            departed: Vec::new(),
        }
    }

    /// Returns the highest term that any member has seen.
    pub(crate) fn highest_term(&self) -> u64 {
        self.members.values().map(|member| member.record.term).max().unwrap_or(0)
    }

    /// Starts a later term of the same leader, in which every member is granted its allocation again.
    pub(crate) fn begin_term(&mut self, term: u64) {
        self.term = term;
        self.epoch = 0;
        for member in self.members.values_mut() {
            member.epoch = 0;
        }
    }

    /// Marks the grants of a write without a response as unconfirmed, so that they are written again.
    pub(crate) fn on_grants_unconfirmed(&mut self, members: &[MemberKey]) {
        for key in members {
            if let Some(member) = self.members.get_mut(key) {
                member.confirmed_heartbeat = 0;
            }
        }
    }

    /// Returns the number of members that are alive.
    pub fn alive_members(&self, now: Micros, settings: &BudgetSettings) -> usize {
        self.members.values().filter(|member| member.is_alive(now, settings)).count()
    }

    /// Processes the members' records. `now` is the time when the response arrived.
    pub(crate) fn on_member_records(
        &mut self,
        now: Micros,
        settings: &BudgetSettings,
        records: Vec<(String, MemberRecord)>,
    ) {
        // Records that already exist when the term begins may belong to dead members. Members that are alive
        // soon write another heartbeat.
        let is_alive = std::mem::replace(&mut self.has_read_records, true);
        for (name, record) in records {
            let key = MemberKey { name, incarnation: record.incarnation };
            let member = self.members.entry(key).or_insert_with(|| MemberState {
                record: record.clone(),
                heartbeat_read_at: now,
                confirmed_heartbeat: 0,
                possible_use: BudgetAmounts::new(),
                allocation: BudgetAmounts::new(),
                epoch: 0,
                is_confirmed_alive: is_alive,
            });
            if record.heartbeat < member.record.heartbeat {
                continue;
            }
            if record.heartbeat > member.record.heartbeat {
                member.heartbeat_read_at = now;
                member.is_confirmed_alive |= is_alive;
            }
            member.record = record;
            if member.record.has_left {
                member.allocation.clear();
                member.possible_use.clear();
            } else if member.has_acknowledged(self.term) {
                member.lower_possible_use(settings);
            }
        }
        self.expire_leases(now, settings);
    }

    /// Removes what members may use after their leases have certainly ended: rates at once, and concurrencies
    /// once their connections must have migrated.
    fn expire_leases(&mut self, now: Micros, settings: &BudgetSettings) {
        for member in self.members.values_mut() {
            let lease_ends_at = member.lease_ends_at(settings);
            if now < lease_ends_at {
                continue;
            }
            // If the member returns, it is granted an allocation again.
            (member.allocation, member.epoch) = (BudgetAmounts::new(), 0);
            for budget in &settings.budgets {
                let drain_time = if budget.kind == BudgetKind::Concurrency { settings.drain_time } else { 0 };
                if now >= lease_ends_at + drain_time {
                    member.possible_use.remove(&budget.name);
                }
            }
        }
        self.forget_departed(now, settings);
    }

    fn forget_departed(&mut self, now: Micros, settings: &BudgetSettings) {
        let is_departed = |member: &MemberState| {
            let is_silent = now >= member.heartbeat_read_at + FORGOTTEN_AFTER_LEASES * settings.lease;
            is_silent || (member.record.has_left && member.possible_use.is_empty())
        };
        let departed = self.members.iter().filter(|(_, member)| is_departed(member));
        let departed: Vec<MemberKey> = departed.map(|(key, _)| key.clone()).collect();
        for key in departed {
            self.members.remove(&key);
            let is_last_of_name = !self.members.keys().any(|other| other.name == key.name);
            self.departed.push(DepartedMember { key, is_last_of_name });
        }
    }

    /// Returns the amount of a budget that may be in use over all members, as far as the leader knows.
    pub fn possible_use(&self, budget: &str) -> f64 {
        self.members.values().map(|member| amount_of(&member.possible_use, budget)).sum()
    }
}
