//! The check of a whole store on request: the engine verifies its stored data, and the records are checked for
//! consistency.

use crate::error::{InvalidValue, StoreError};
use crate::integrity::{find_faults, read_all};
use crate::store::Store;
use shorewharf_units::Micros;

/// Has the engine verify all stored data, then checks all records. The field of each returned fault is the record's key
/// and the path of the field.
///
/// # Errors
/// If the engine fails or finds corrupt data.
pub fn check(store: &mut dyn Store, now: Micros) -> Result<Vec<InvalidValue>, StoreError> {
    store.verify(now)?;
    let (records, _) = read_all(store, now)?;
    let mut faults = Vec::new();
    for fault in find_faults(&records) {
        let field = format!("{}: {}", fault.key, fault.error.field);
        faults.push(InvalidValue::new(field, fault.error.cause));
    }
    Ok(faults)
}
