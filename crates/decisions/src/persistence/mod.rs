//! Export and restore of the learned state of an instance. The state is exported in portions, so that no
//! event has to wait for the whole export, and is restored record by record. Values that decay in a running
//! instance are decayed by the age of the record, and records of a server that has restarted or is not listed
//! are rejected.
//!
//! Two things are not exported: state that established connections report again when they continue in the new
//! process, and the state of the random number generator.

mod export;
mod records;
mod restore;

pub use export::ExportCursor;
pub use records::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
pub use restore::{RestoreCounts, valid_load};
