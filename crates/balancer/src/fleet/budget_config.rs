//! The configuration of the fleet's budgets: the budgets that the operator's file and the settings define, and the members
//! that share them.

use std::io;
use std::path::{Path, PathBuf};

use shorewharf_budgets::{Budget, BudgetKind, BudgetSettings, SettingsError};
use shorewharf_decisions::Settings;
use shorewharf_protocol::name_index::NameIndex;
use shorewharf_settings::operator::Budgets;
use shorewharf_store::error::InvalidValue;
use shorewharf_units::micros_from_seconds;
use thiserror::Error;

use super::MAX_BALANCERS;

/// The name of the budget of connection set-ups per second.
pub const SETUP_BUDGET: &str = "set-ups";

/// The budgets that the fleet shares, and this balancer's index among the members.
#[derive(Clone, Debug)]
pub struct BudgetConfig {
    /// The URLs of the store's members.
    pub store: Vec<String>,
    /// The prefix of all keys in the store.
    pub prefix: String,
    /// The budgets, and the settings by which they are divided.
    pub settings: BudgetSettings,
    /// The names of the connection budgets by tenant index; `None` for a tenant without a budget.
    pub tenant_budgets: Vec<Option<String>>,
}

/// The reason why the configuration of the budgets is invalid. The message begins with the invalid key.
#[derive(Debug, Error)]
pub enum BudgetConfigError {
    /// The address of one of the store's members is not a URL.
    #[error("budgets.store: {0:?} is not a URL of the form http://HOST:PORT")]
    NotAUrl(String),
    /// The store's client rejects the configured addresses or prefix.
    #[error("budgets.store: {0}")]
    InvalidStore(#[from] InvalidValue),
    /// The file with the members is not configured.
    #[error("budgets.members: missing; expected the path of a file with all balancers, one per line")]
    NoMembers,
    /// The file with the members can't be used.
    #[error("budgets.members: {path}: {problem}")]
    InvalidMembers {
        /// The path of the file.
        path: PathBuf,
        /// The reason why the file can't be used.
        problem: InvalidMembers,
    },
    /// The balancer's name can't be part of a key in the store.
    #[error("name: {0:?} contains a '/', which is not allowed with budgets")]
    SlashInName(String),
    /// No budget is defined.
    #[error(
        "budgets.set_ups: nothing is shared: expected set_ups, or tenants and tenant quotas in the settings"
    )]
    NothingShared,
    /// The budgets can't be divided by these settings.
    #[error("{}: {}", operator_key(.0.key()), .0)]
    InvalidSettings(SettingsError),
}

/// The reason why the file with the members can't be used.
#[derive(Debug, Error)]
pub enum InvalidMembers {
    /// The file can't be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[from] io::Error),
    /// A balancer is listed twice.
    #[error("{0} is listed twice")]
    Duplicate(String),
    /// The file lists more balancers than a fleet may have.
    #[error("{0} balancers are listed; at most {MAX_BALANCERS} are allowed")]
    TooMany(usize),
    /// This balancer is not listed.
    #[error("this balancer, {0}, is not listed")]
    NotAMember(String),
}

impl BudgetConfigError {
    /// The invalid key.
    pub fn key(&self) -> &str {
        match self {
            Self::NotAUrl(_) | Self::InvalidStore(_) => "budgets.store",
            Self::NoMembers | Self::InvalidMembers { .. } => "budgets.members",
            Self::SlashInName(_) => "name",
            Self::NothingShared => "budgets.set_ups",
            Self::InvalidSettings(error) => operator_key(error.key()),
        }
    }
}

/// The key of a budget setting in the operator's file.
fn operator_key(setting: &str) -> &'static str {
    match setting {
        "lease" => "budgets.lease_s",
        "margin" => "budgets.margin_s",
        "reserve" => "budgets.reserve",
        "floor" => "budgets.floor",
        "members" => "budgets.members",
        _ => "budgets.set_ups",
    }
}

/// The number of members that the file lists, and this balancer's index among them.
struct Membership {
    count: usize,
    index: usize,
}

impl Membership {
    fn read(path: &Path, balancer: &str) -> Result<Self, InvalidMembers> {
        let text = std::fs::read_to_string(path)?;
        let lines = text.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
        let members: Vec<&str> = lines.filter(|line| !line.is_empty()).collect();
        let duplicate = members.iter().enumerate().find(|(index, name)| members[..*index].contains(name));
        if let Some((_, name)) = duplicate {
            return Err(InvalidMembers::Duplicate((*name).to_owned()));
        }
        if members.len() > MAX_BALANCERS {
            return Err(InvalidMembers::TooMany(members.len()));
        }
        let index = members.iter().position(|name| *name == balancer);
        let index = index.ok_or_else(|| InvalidMembers::NotAMember(balancer.to_owned()))?;
        Ok(Membership { count: members.len(), index })
    }
}

/// A connection budget for each tenant with a quota, and the names of these budgets by tenant index.
fn tenant_budgets(settings: &Settings, names: &NameIndex) -> (Vec<Budget>, Vec<Option<String>>) {
    let quotas = &settings.tenant_connection_quotas;
    let mut budgets = Vec::new();
    let mut budget_names = vec![None; quotas.len()];
    for (tenant, index) in &names.tenants {
        let quota = quotas.get(*index).copied().filter(|quota| *quota > 0.0);
        if let (Some(quota), Some(budget_name)) = (quota, budget_names.get_mut(*index)) {
            let name = format!("connections of {tenant}");
            *budget_name = Some(name.clone());
            budgets.push(Budget { name, kind: BudgetKind::Concurrency, total: quota.floor() });
        }
    }
    (budgets, budget_names)
}

impl BudgetConfig {
    /// Reads the budgets that `section` of the operator's file configures for `balancer`; `None` if it names no store.
    ///
    /// # Errors
    /// Returns an error if a value is missing or invalid, or the file with the members can't be used.
    pub fn read(
        section: &Budgets,
        settings: &Settings,
        names: &NameIndex,
        balancer: &str,
    ) -> Result<Option<BudgetConfig>, BudgetConfigError> {
        if section.store_endpoints.is_empty() {
            return Ok(None);
        }
        if let Some(address) = section.store_endpoints.iter().find(|address| !address.starts_with("http://"))
        {
            return Err(BudgetConfigError::NotAUrl(address.clone()));
        }
        let path = section.members_file.as_ref().ok_or(BudgetConfigError::NoMembers)?;
        let membership = Membership::read(path, balancer)
            .map_err(|problem| BudgetConfigError::InvalidMembers { path: path.clone(), problem })?;
        if balancer.contains('/') {
            return Err(BudgetConfigError::SlashInName(balancer.to_owned()));
        }
        let mut budgets = Vec::new();
        let mut tenant_names = vec![None; settings.tenant_connection_quotas.len()];
        if section.has_tenant_budgets {
            (budgets, tenant_names) = tenant_budgets(settings, names);
        }
        let setups = section.setups_per_second;
        budgets.extend(setups.map(|total| Budget {
            name: SETUP_BUDGET.to_owned(),
            kind: BudgetKind::Rate,
            total,
        }));
        if budgets.is_empty() {
            return Err(BudgetConfigError::NothingShared);
        }
        budgets.sort_by(|a, b| a.name.cmp(&b.name));
        let budget_settings = BudgetSettings {
            budgets,
            lease: micros_from_seconds(section.lease_s),
            clock_margin: micros_from_seconds(section.clock_margin_s),
            poll_interval: micros_from_seconds(section.poll_interval_s),
            drain_time: micros_from_seconds(section.drain_time_s),
            reserve_ratio: section.reserve_ratio,
            even_ratio: section.floor_ratio,
            max_members: membership.count,
            member_index: membership.index,
        };
        budget_settings.check().map_err(BudgetConfigError::InvalidSettings)?;
        let (store, prefix) = (section.store_endpoints.clone(), section.key_prefix.clone());
        Ok(Some(BudgetConfig { store, prefix, settings: budget_settings, tenant_budgets: tenant_names }))
    }
}

#[cfg(test)]
mod tests;
