//! What the tests of the store share.
#![allow(dead_code, reason = "each test program uses its part")]

pub mod recorder;
pub mod story;

use shorewharf_store::calls::{Answer, Call, Done, Kept, Request, run};
use shorewharf_store::error::StoreError;
use shorewharf_store::name::Name;
use shorewharf_store::record::{Actor, InstanceName, NewTenant, TenantRecord, Usage, UsageReport};
use shorewharf_store::store::Store;
use std::collections::BTreeMap;

/// Some time in 2026, in microseconds.
pub const NOW: u64 = 1_775_000_000_000_000;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn make(store: &mut dyn Store, call: Call, now: u64) -> Result<Done, StoreError> {
    run(store, &[Request::new(Actor::File, call)], now).remove(0)
}

pub fn create(store: &mut dyn Store, tenant: &str) -> Result<Kept<TenantRecord>, StoreError> {
    match make(store, Call::CreateTenant(NewTenant::named(name(tenant))), NOW)?.answer {
        Answer::Tenant(kept) => Ok(kept),
        other => panic!("{other:?}"),
    }
}

pub fn report(instance: &str, minute: u64, of: &[(u32, u64)]) -> Call {
    let usage = |set_ups| Usage {
        set_ups,
        refusals: [("quota".to_string(), set_ups / 2)].into(),
        ..Usage::default()
    };
    let places: BTreeMap<u32, Usage> = of.iter().map(|(place, n)| (*place, usage(*n))).collect();
    Call::Count(UsageReport::new(InstanceName::new(instance).unwrap(), minute, places).unwrap())
}
