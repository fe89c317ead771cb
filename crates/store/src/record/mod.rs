//! The records that are kept: plain data with checked constructors. Reading JSON goes through the same checks.

mod audit;
mod class;
mod limits;
mod once;
mod tenant;
mod token;
mod usage;

pub use shorewharf_units::Micros;

pub use audit::{Actor, AuditEntry, Deed};
pub use class::{ClassRecord, Semantics};
pub use limits::ServiceLimits;
pub use once::{OnceKey, OnceRecord};
pub use tenant::{
    Limits, NewTenant, Origin, PerSecond, Place, PlaceRecord, TenantChange, TenantRecord, TenantState, Weight,
};
pub use token::{Minted, NewToken, Role, TokenId, TokenRecord, TokenSeed};
pub use usage::{Day, Hour, InstanceName, MINUTE, Usage, UsageReport};

use crate::error::Invalid;

/// The longest label of a token in bytes.
pub const LONGEST_LABEL: usize = 256;

/// A text for people: at most so many bytes on one line.
pub(crate) fn label(field: &str, text: &str, longest: usize) -> Result<(), Invalid> {
    if text.len() > longest {
        return Err(Invalid::new(field, format!("has {} bytes where at most {longest} may be", text.len())));
    }
    match text.chars().any(char::is_control) {
        true => Err(Invalid::new(field, "has control characters")),
        false => Ok(()),
    }
}

/// A number that may be neither negative nor anything but a number.
pub(crate) fn at_least_zero(field: &str, value: f64, most: f64) -> Result<(), Invalid> {
    match (0.0..=most).contains(&value) {
        true => Ok(()),
        false => Err(Invalid::new(field, format!("{value} is not between 0 and {most}"))),
    }
}
