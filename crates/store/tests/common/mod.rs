//! Helpers shared by the store's tests.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod conformance;
pub mod recorder;

use shorewharf_store::commands::{ChangeRequest, Command, Completed, Reply, execute};
use shorewharf_store::error::StoreError;
use shorewharf_store::name::TenantName;
use shorewharf_store::record::{Actor, InstanceName, NewTenant, TenantRecord, Usage, UsageReport};
use shorewharf_store::store::{Store, Versioned};
use std::collections::BTreeMap;

/// A time in 2026, in microseconds since 1970.
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

/// A usage report of an instance with the number of setups by tenant id, and half as many rejections.
pub fn report(instance: &str, minute: u64, setups_by_id: &[(u32, u64)]) -> Command {
    let usage =
        |setups| Usage { setups, rejections: [("quota".to_owned(), setups / 2)].into(), ..Usage::default() };
    let usage_by_id: BTreeMap<u32, Usage> =
        setups_by_id.iter().map(|(id, setups)| (*id, usage(*setups))).collect();
    Command::RecordUsage(UsageReport::new(InstanceName::new(instance).unwrap(), minute, usage_by_id).unwrap())
}
