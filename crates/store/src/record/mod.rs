//! The records that are stored: plain data with checked constructors. Reading JSON makes the same checks.
//!
//! Stored and sent names that differ from the fields' are given by `#[serde(rename)]` at each field.

mod audit;
mod class;
mod idempotency;
mod limits;
mod tenant;
mod token;
mod usage;

pub use audit::{Actor, AuditAction, AuditEntry};
pub use class::{ClassObjectives, ClassRecord, Semantics};
pub use idempotency::{IdempotencyKey, IdempotencyRecord};
pub use limits::{PerSecond, ServiceLimits, TenantLimits};
pub use tenant::{
    IdAssignment, NewTenant, NumericId, Origin, TenantChange, TenantRecord, TenantState, Weight,
};
pub use token::{MintedToken, NewToken, Role, TokenId, TokenRecord, TokenSeed};
pub use usage::{DailyUsage, HourlyUsage, InstanceName, MICROS_PER_MINUTE, Usage, UsageReport};

use crate::error::InvalidValue;

/// The longest label of a token, and the longest name of a console user, in bytes.
pub const MAX_LABEL_BYTES: usize = 256;

/// Checks a text for people: one line of at most [`MAX_LABEL_BYTES`].
pub(crate) fn check_label(field: &str, text: &str) -> Result<(), InvalidValue> {
    if text.len() > MAX_LABEL_BYTES {
        let cause = format!("has {} bytes; the limit is {MAX_LABEL_BYTES}", text.len());
        return Err(InvalidValue::new(field, cause));
    }
    if text.chars().any(char::is_control) {
        return Err(InvalidValue::new(field, "has control characters"));
    }
    Ok(())
}

/// Checks that a number is from 0 to `maximum`, which excludes NaN.
pub(crate) fn check_range(field: &str, value: f64, maximum: f64) -> Result<(), InvalidValue> {
    if !(0.0..=maximum).contains(&value) {
        return Err(InvalidValue::new(field, format!("{value} is not between 0 and {maximum}")));
    }
    Ok(())
}
