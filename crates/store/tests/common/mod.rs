//! Helpers that the tests of the store share.
#![allow(dead_code, reason = "each test program uses its part")]

pub mod conformance;
pub mod recorder;

use shorewharf_store::commands::{ChangeRequest, Command, Completed, Reply, execute};
use shorewharf_store::error::StoreError;
use shorewharf_store::name::TenantName;
use shorewharf_store::record::{Actor, InstanceName, NewTenant, TenantRecord, Usage, UsageReport};
use shorewharf_store::store::{Store, Versioned};
use std::collections::BTreeMap;

/// Some time in 2026, in microseconds.
pub const NOW: u64 = 1_775_000_000_000_000;

pub fn name(text: &str) -> TenantName {
    TenantName::new(text).unwrap()
}

pub fn execute_one(store: &mut dyn Store, command: Command, now: u64) -> Result<Completed, StoreError> {
    execute(store, &[ChangeRequest::new(Actor::File, command)], now).remove(0)
}

pub fn create(store: &mut dyn Store, tenant: &str) -> Result<Versioned<TenantRecord>, StoreError> {
    match execute_one(store, Command::CreateTenant(NewTenant::named(name(tenant))), NOW)?.reply {
        Reply::Tenant(tenant) => Ok(tenant),
        other => panic!("{other:?}"),
    }
}

pub fn report(instance: &str, minute: u64, of: &[(u32, u64)]) -> Command {
    let usage =
        |setups| Usage { setups, rejections: [("quota".to_owned(), setups / 2)].into(), ..Usage::default() };
    let usage_by_id: BTreeMap<u32, Usage> = of.iter().map(|(id, n)| (*id, usage(*n))).collect();
    Command::RecordUsage(UsageReport::new(InstanceName::new(instance).unwrap(), minute, usage_by_id).unwrap())
}
