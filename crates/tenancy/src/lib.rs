//! Which tenants' clients are admitted: each tenant's quota of connections, of set-ups a second and of reconnects after
//! a mass disconnect, as one instance of a fleet sees them that can't talk to its siblings.
//!
//! Nothing here does I/O or reads a clock: times are whole microseconds of one clock that only goes forward, and the
//! same calls give the same decisions. A decision costs a few additions and a descent of a small tree, however many
//! tenants there are.
//!
//! A tenant that is within this instance's fraction of its quota is admitted. Beyond it, a tenant borrows what others
//! leave unused, up to a level that leaves capacity for them to come back; when that is used up, the tenant that is
//! furthest beyond its quota waits first. Established connections are never closed for any of this: what was lent comes
//! back as connections end. `docs/design/tenancy.md` says why.

mod decaying_count;
mod decision;
mod fullness_table;
mod local_fraction;
mod resource;
mod retry_after;
mod settings;
mod shortage;
mod stats;
mod tenancy;
mod tenant;

pub use decision::{QuotaDecision, RejectReason, TenantIndex};
pub use settings::{SettingError, TenancySettings, TenantLimits};
pub use stats::{TenancyStats, TenantStats};
pub use tenancy::{DueMigrations, Tenancy};
