//! Enforces tenants' quotas: decides which tenants' requests are admitted. Each tenant has quotas of
//! connections, of set-ups a second, and of reconnects after a mass disconnect. One instance of a fleet
//! enforces them without communication with the other instances.
//!
//! This package does no I/O and reads no clock. Times are passed in, in whole microseconds of a monotonic
//! clock, and the same calls give the same decisions. A decision costs a few additions and a descent of a
//! small tree, however many tenants there are.
//!
//! A tenant's requests are admitted while it is within this instance's fraction of its quota. Beyond that, a
//! tenant borrows what others leave unused, up to a limit that keeps capacity free for their return. When the
//! limit is reached, requests of the tenants that are furthest beyond their quotas are rejected first.
//! Established connections are never closed to enforce a quota: lent capacity becomes free as connections
//! end. `docs/design/tenancy.md` gives the reasons.

mod decaying_count;
mod decision;
mod local_fraction;
mod resource;
mod retry_after;
mod settings;
mod shortage;
mod stats;
mod tenancy;
mod tenant;
mod utilization_table;

pub use decision::{QuotaDecision, RejectReason, TenantIndex};
pub use settings::{SettingError, TenancySettings, TenantLimits};
pub use stats::{TenancyStats, TenantStats};
pub use tenancy::{DueMigrations, Tenancy};
