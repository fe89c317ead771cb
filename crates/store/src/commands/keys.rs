//! Keys of the records that commands and lookups use.

use crate::key::{Collection, Key};
use crate::name::{ClassName, TenantName};
use crate::record::{IdempotencyKey, NumericId, TokenId};

/// The name of the counter with the number of the last audit entry.
pub(crate) const LAST_AUDIT_NUMBER: &str = "audit";
/// The name of the counter with the next numeric id of a tenant.
pub(crate) const NEXT_TENANT_ID: &str = "tenant-places";
/// The name of the counter with the next numeric id of a class.
pub(crate) const NEXT_CLASS_ID: &str = "class-places";
/// The name of the counter with the number of tenants.
pub(crate) const TENANT_COUNT: &str = "tenants";
/// The name of the record with the service-wide limits.
pub(crate) const SERVICE_LIMITS: &str = "service";

pub(super) fn counter_key(name: &str) -> Key {
    Key::new(Collection::Counter, name)
}

pub(super) fn tenant_key(name: &TenantName) -> Key {
    Key::new(Collection::Tenant, name.canonical())
}

pub(super) fn confusable_key(name: &TenantName) -> Key {
    Key::new(Collection::ConfusableName, name.confusable_form().skeleton_hash)
}

pub(super) fn class_key(name: &ClassName) -> Key {
    Key::new(Collection::Class, name.as_str())
}

pub(super) fn token_key(id: &TokenId) -> Key {
    Key::new(Collection::Token, id.as_str())
}

pub(super) fn id_assignment_key(id: NumericId) -> Key {
    Key::new(Collection::IdAssignment, id.key_name())
}

pub(super) fn service_limits_key() -> Key {
    Key::new(Collection::Limits, SERVICE_LIMITS)
}

pub(super) fn idempotency_key(key: &IdempotencyKey) -> Key {
    Key::new(Collection::IdempotencyKey, &key.caller_key_hash)
}
