//! The stored records: plain data with constructors that validate it. Deserialization validates it in the same way.
//!
//! Fields whose stored name differs from their name in the code have a `#[serde(rename)]` attribute.

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

/// The maximum length of a token's label and of a console user's name, in bytes.
pub const MAX_LABEL_BYTES: usize = 256;

/// Checks that a text for people to read is a single line of at most [`MAX_LABEL_BYTES`].
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
