//! Budgets of the whole fleet, as the operator's file and the settings name them: which there are, and who shares them.

use shorewharf_budgets::{Budget, BudgetKind, BudgetSettings};
use shorewharf_decisions::Settings;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_settings::operator::Budgets;

use crate::config::error::ConfigError;
use shorewharf_units::micros_from_seconds;

/// More balancers than this are no fleet of one service.
const MOST: usize = 4_096;
/// The budget of set-ups a second.
pub const SET_UPS: &str = "set-ups";

/// Budgets that are shared, and by whom.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The store's members.
    pub store: Vec<String>,
    /// What all keys in the store begin with.
    pub prefix: String,
    /// The terms, with this balancer's place.
    pub rules: BudgetSettings,
    /// By tenant, the name of the budget of its connections.
    pub tenants: Vec<Option<String>>,
}

fn wrong(key: &str, why: impl ToString) -> ConfigError {
    ConfigError::Form(key.to_owned(), why.to_string())
}

impl Fleet {
    /// What the operator's file says, for the balancer of this name; none where it names no store.
    ///
    /// # Errors
    /// A file that can't be read, or terms that can't be kept; the text names the key at fault.
    pub fn read(
        of: &Budgets,
        set: &Settings,
        names: &NameIndex,
        me: &str,
    ) -> Result<Option<Fleet>, ConfigError> {
        if of.store_endpoints.is_empty() {
            return Ok(None);
        }
        for at in &of.store_endpoints {
            if !at.starts_with("http://") {
                return Err(wrong("budgets.store", format!("{at:?} is not http://HOST:PORT")));
            }
        }
        let Some(members) = &of.members_file else {
            return Err(wrong("budgets.members", "missing; the file that names all balancers, one a line"));
        };
        let path = members.display();
        let text =
            std::fs::read_to_string(members).map_err(|e| wrong("budgets.members", format!("{path}: {e}")))?;
        let lines = text.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
        let all: Vec<&str> = lines.filter(|line| !line.is_empty()).collect();
        if let Some(twice) = all.iter().enumerate().find(|(i, name)| all[..*i].contains(name)) {
            return Err(wrong("budgets.members", format!("{path}: {} stands there twice", twice.1)));
        }
        if all.len() > MOST {
            return Err(wrong("budgets.members", format!("{path}: {} balancers, at most {MOST}", all.len())));
        }
        let Some(place) = all.iter().position(|name| *name == me) else {
            return Err(wrong("budgets.members", format!("{path}: {me} is not there")));
        };
        if me.contains('/') {
            return Err(wrong("name", format!("{me:?} has a '/', which budgets can't have")));
        }
        let mut budgets = Vec::new();
        budgets.extend(of.setups_per_second.map(|total| Budget {
            name: SET_UPS.to_owned(),
            kind: BudgetKind::Rate,
            total,
        }));
        let mut tenants = vec![None; set.tenant_connection_quotas.len()];
        for (tenant, place) in &names.tenants {
            let quota = set
                .tenant_connection_quotas
                .get(*place)
                .copied()
                .filter(|q| of.has_tenant_budgets && *q > 0.0);
            if let (Some(whole), Some(slot)) = (quota, tenants.get_mut(*place)) {
                let name = format!("connections of {tenant}");
                *slot = Some(name.clone());
                budgets.push(Budget { name, kind: BudgetKind::Concurrency, total: whole.floor() });
            }
        }
        if budgets.is_empty() {
            let why = "nothing is shared: neither set_ups, nor tenants with a quota in the settings";
            return Err(wrong("budgets.set_ups", why));
        }
        budgets.sort_by(|a, b| a.name.cmp(&b.name));
        let rules = BudgetSettings {
            budgets,
            lease: micros_from_seconds(of.lease_s),
            clock_margin: micros_from_seconds(of.clock_margin_s),
            poll_interval: micros_from_seconds(of.poll_interval_s),
            drain_time: micros_from_seconds(of.drain_time_s),
            reserve_ratio: of.reserve_ratio,
            even_ratio: of.floor_ratio,
            max_members: all.len(),
            member_index: place,
        };
        rules.check().map_err(|error| wrong(&format!("budgets.{}", key(error.key())), error))?;
        Ok(Some(Fleet { store: of.store_endpoints.clone(), prefix: of.key_prefix.clone(), rules, tenants }))
    }
}

/// A term's key in the file.
fn key(term: &str) -> &str {
    match term {
        "lease" => "lease_s",
        "margin" => "margin_s",
        "whole" | "budgets" => "set_ups",
        other => other,
    }
}

#[cfg(test)]
mod tests;
