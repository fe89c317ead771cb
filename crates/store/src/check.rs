//! Checking a store on request: the engine verifies what it stores, and the records are checked against each other.

use crate::error::{InvalidValue, StoreError};
use crate::integrity::{find_faults, read_all};
use crate::store::Store;
use shorewharf_units::Micros;

/// Has the engine verify all stored data, and checks all records. Returns every fault, by the record's key and the field.
///
/// # Errors
/// If the engine fails or finds corrupt data.
pub fn check(store: &mut dyn Store, now: Micros) -> Result<Vec<InvalidValue>, StoreError> {
    store.verify(now)?;
    let (records, _) = read_all(store, now)?;
    let mut faults = Vec::new();
    for fault in find_faults(&records) {
        let field = format!("{}: {}", fault.key, fault.value.field);
        faults.push(InvalidValue::new(field, fault.value.cause));
    }
    Ok(faults)
}
