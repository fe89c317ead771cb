//! Export and restore of what an instance has learned. The state is exported in portions, so that no event
//! waits for it, and restored record by record: what decays in a running instance has decayed by as much, and
//! records of a server that was restarted or is not listed are rejected.
//!
//! Not exported: what established connections report again where they go on, and the state of the random
//! generator.

mod export;
mod records;
mod restore;

pub use export::ExportCursor;
pub use records::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
pub use restore::{RestoreCounts, valid_load};
