//! The leader: what it knows of the members, and what it allocates to them.
//!
//! Of each member it keeps what *may* be in use there. That goes up with what is allocated, before it is written, and
//! down only when the member has acknowledged less, or when its lease has surely ended: one lease and a margin after
//! its last heartbeat was read. All that may be in use together is never above what is divided.

mod grants;
mod targets;

use std::collections::BTreeMap;

use shorewharf_units::Micros;

use crate::records::{BudgetAmounts, Grant, GrantNumber, MemberRecord, amount_of};
use crate::settings::{Budget, BudgetKind, BudgetSettings};

pub(crate) use grants::GrantRound;

/// A member that was silent for so many leases is forgotten, and its records are removed.
const FORGOTTEN_AFTER_LEASES: u64 = 20;

/// One incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberKey {
    pub name: String,
    pub incarnation: u64,
}

/// What is known of one incarnation of a member.
#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    /// When its last heartbeat was read.
    heartbeat_read_at: Micros,
    /// The heartbeat that was confirmed last.
    confirmed_heartbeat: u64,
    /// What may be in use there.
    possible_use: BudgetAmounts,
    /// What it is allocated.
    allocation: BudgetAmounts,
    /// The epoch of its last grant in this term; 0 for none.
    epoch: u64,
    /// Its own record was seen in this term, and not only its grant from before.
    is_confirmed_alive: bool,
}

impl MemberState {
    fn is_alive(&self, now: Micros, settings: &BudgetSettings) -> bool {
        let has_lease = now < self.heartbeat_read_at + settings.lease;
        self.is_confirmed_alive && !self.record.has_left && has_lease
    }

    /// When its lease has surely ended.
    fn lease_ends_at(&self, settings: &BudgetSettings) -> Micros {
        self.heartbeat_read_at + settings.lease + settings.clock_margin
    }

    /// What it uses of a concurrency; 0 for a rate.
    fn held(&self, budget: &Budget) -> f64 {
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

    /// Lowers what may be in use to what was acknowledged.
    fn lower_possible_use(&mut self, settings: &BudgetSettings) {
        for budget in &settings.budgets {
            let allocated = amount_of(&self.allocation, &budget.name);
            let used = allocated.max(self.held(budget));
            let possible_use = amount_of(&self.possible_use, &budget.name).min(used);
            self.possible_use.insert(budget.name.clone(), possible_use);
        }
    }
}

/// An incarnation whose records are no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DepartedMember {
    pub key: MemberKey,
    /// No other incarnation of its name is known.
    pub is_last_of_name: bool,
}

/// The begin of a term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermStart {
    pub now: Micros,
    pub term: u64,
    /// The store has not been set back since then.
    pub store_intact_since: Micros,
}

/// A leader in its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// The leader's term.
    pub term: u64,
    /// Counts changes of allocations within the term.
    epoch: u64,
    /// Before then more of a concurrency may be in use than the records say, since the store may have been set back.
    concurrency_known_from: Micros,
    members: BTreeMap<MemberKey, MemberState>,
    /// Members' records were read in this term.
    has_read_records: bool,
    departed: Vec<DepartedMember>,
}

impl Leader {
    /// Begins a term. Nothing that was granted before is in force any more; what may still be in use under it is in the
    /// `grants` from then, unless the store was set back.
    pub(crate) fn new(start: TermStart, settings: &BudgetSettings, grants: Vec<(String, Grant)>) -> Leader {
        let state = |grant: &Grant| {
            let is_concurrency = |budget: &&Budget| budget.kind == BudgetKind::Concurrency;
            let budgets = settings.budgets.iter().filter(is_concurrency);
            let possible_use =
                |budget: &Budget| (budget.name.clone(), amount_of(&grant.possible_use, &budget.name));
            MemberState {
                record: MemberRecord { incarnation: grant.incarnation, ..MemberRecord::default() },
                // Its lease counts as ending when what was in use must have migrated.
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

    /// The highest term that any member has seen.
    pub(crate) fn highest_term(&self) -> u64 {
        self.members.values().map(|member| member.record.term).max().unwrap_or(0)
    }

    /// Begins a later term of the same leader: every member is allocated its part anew.
    pub(crate) fn begin_term(&mut self, term: u64) {
        self.term = term;
        self.epoch = 0;
        for member in self.members.values_mut() {
            member.epoch = 0;
        }
    }

    /// A write of grants has had no response: they are written again.
    pub(crate) fn on_grants_unconfirmed(&mut self, members: &[MemberKey]) {
        for key in members {
            if let Some(member) = self.members.get_mut(key) {
                member.confirmed_heartbeat = 0;
            }
        }
    }

    /// Number of members that are alive.
    pub fn alive_members(&self, now: Micros, settings: &BudgetSettings) -> usize {
        self.members.values().filter(|member| member.is_alive(now, settings)).count()
    }

    /// Takes in the members' records. `now` is when the response had come.
    pub(crate) fn on_member_records(
        &mut self,
        now: Micros,
        settings: &BudgetSettings,
        records: Vec<(String, MemberRecord)>,
    ) {
        // Records that are there when the term begins may be those of dead members: living ones write another soon.
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

    /// A member whose lease has surely ended uses nothing of a rate, and nothing of a concurrency once its connections
    /// must have migrated.
    fn expire_leases(&mut self, now: Micros, settings: &BudgetSettings) {
        for member in self.members.values_mut() {
            let lease_ends_at = member.lease_ends_at(settings);
            if now < lease_ends_at {
                continue;
            }
            // If the member returns, its allocation is granted anew.
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

    /// What may be in use of a budget, over all members, as far as the leader knows.
    pub fn possible_use(&self, budget: &str) -> f64 {
        self.members.values().map(|member| amount_of(&member.possible_use, budget)).sum()
    }
}
