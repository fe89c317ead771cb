//! The selection of the grants to write next.

use shorewharf_units::Micros;

use super::targets::BudgetPlan;
use super::{DepartedMember, Leader, MemberKey, MemberState};
use crate::records::{Grant, amount_of};
use crate::settings::{Budget, BudgetKind, BudgetSettings};

/// The maximum number of grants in a write. The store accepts 100 records in a write: the leader's record is
/// one, and up to two are removed.
const MAX_GRANTS_PER_WRITE: usize = 97;

/// The grants and removals of the next write.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantRound {
    /// The grants that have changed or that confirm a heartbeat.
    pub grants: Vec<(MemberKey, Grant)>,
    /// An incarnation whose records are to be removed.
    pub departed: Option<DepartedMember>,
}

impl Leader {
    /// Selects what to write next.
    pub(crate) fn next_grants(&mut self, now: Micros, settings: &BudgetSettings) -> GrantRound {
        self.expire_leases(now, settings);
        let members = self.latest_alive_incarnations(now, settings);
        let budgets = &settings.budgets;
        let mut plans: Vec<BudgetPlan> =
            budgets.iter().map(|budget| self.plan(now, settings, budget, &members)).collect();
        let is_concurrency_known = now >= self.concurrency_known_from;
        let mut grants = Vec::new();
        for index in self.grant_order(budgets, &plans, &members) {
            if grants.len() >= MAX_GRANTS_PER_WRITE {
                break;
            }
            let key = &members[index];
            let Some(member) = self.members.get_mut(key) else { continue };
            let mut is_changed = member.epoch == 0;
            for (budget, plan) in budgets.iter().zip(&mut plans) {
                is_changed |= member.update_allocation(budget, plan, index, is_concurrency_known);
            }
            if is_changed {
                self.epoch += 1;
                member.epoch = self.epoch;
            }
            if is_changed || member.record.heartbeat > member.confirmed_heartbeat {
                member.confirmed_heartbeat = member.record.heartbeat;
                grants.push((key.clone(), member.grant(key.incarnation, self.term)));
            }
        }
        GrantRound { grants, departed: self.departed.pop() }
    }

    /// Returns the members that are alive, with only the latest incarnation of each name.
    fn latest_alive_incarnations(&self, now: Micros, settings: &BudgetSettings) -> Vec<MemberKey> {
        let alive = self.members.iter().filter(|(_, member)| member.is_alive(now, settings));
        let alive: Vec<&MemberKey> = alive.map(|(key, _)| key).collect();
        let is_latest = |key: &MemberKey| {
            !alive.iter().any(|other| other.name == key.name && other.incarnation > key.incarnation)
        };
        alive.iter().filter(|key| is_latest(key)).map(|key| (*key).clone()).collect()
    }

    /// Returns the indices of the members in the order of their grants. Allocations that shrink come first,
    /// since other members wait for the amounts that they free. Within each group, the lease that ends first
    /// comes first.
    fn grant_order(&self, budgets: &[Budget], plans: &[BudgetPlan], members: &[MemberKey]) -> Vec<usize> {
        let shrinks = |index: usize| {
            let member = &self.members[&members[index]];
            let mut budgets = budgets.iter().zip(plans);
            budgets.any(|(budget, plan)| plan.targets[index] < amount_of(&member.allocation, &budget.name))
        };
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_cached_key(|index| {
            let key = &members[*index];
            (!shrinks(*index), self.members[key].heartbeat_read_at, key.clone())
        });
        order
    }
}

impl MemberState {
    /// Updates the allocation of one budget towards its target; returns whether it has changed.
    fn update_allocation(
        &mut self,
        budget: &Budget,
        plan: &mut BudgetPlan,
        index: usize,
        is_concurrency_known: bool,
    ) -> bool {
        let allocated = amount_of(&self.allocation, &budget.name);
        let possible_use = amount_of(&self.possible_use, &budget.name);
        let target = plan.targets[index];
        let is_unknown = budget.kind == BudgetKind::Concurrency && !is_concurrency_known;
        let next = if is_unknown {
            // The amount in use is kept, and the allocation is not raised above it.
            amount_of(&self.record.in_use, &budget.name)
        } else if target <= allocated {
            target
        } else if plan.is_overcommitted {
            self.overcommitted_allocation(budget, target)
        } else {
            // The part that may already be in use does not need a free amount.
            let raise = (target - possible_use).max(0.0).min(plan.free);
            let raise = if budget.kind == BudgetKind::Concurrency { raise.floor() } else { raise };
            target.min(possible_use + raise).max(allocated)
        };
        if next == allocated {
            return false;
        }
        plan.free -= (next - possible_use).max(0.0);
        self.possible_use.insert(budget.name.clone(), possible_use.max(next));
        self.allocation.insert(budget.name.clone(), next);
        true
    }

    /// Returns the allocation while more may be in use than the total allows: it is not raised. For the first
    /// grant in a term, the amount that an earlier record says may be in use may since have been allocated to
    /// other members. Only the amount that is actually in use is kept.
    fn overcommitted_allocation(&self, budget: &Budget, target: f64) -> f64 {
        let allocated = amount_of(&self.allocation, &budget.name);
        if self.epoch > 0 {
            return allocated;
        }
        allocated.max(target.min(amount_of(&self.record.in_use, &budget.name)))
    }

    fn grant(&self, incarnation: u64, term: u64) -> Grant {
        Grant {
            incarnation,
            term,
            epoch: self.epoch,
            heartbeat: self.record.heartbeat,
            allocation: self.allocation.clone(),
            possible_use: self.possible_use.clone(),
        }
    }
}
