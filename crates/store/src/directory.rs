//! The directory of an instance: its copy in memory of the tenants, classes, limits and tokens, which the event loop
//! reads.
//!
//! The event loop never calls the store for these records. It applies batches of changes as they arrive, and uses the
//! records it has while the store is unavailable.

use crate::change_batch::ChangeBatch;
use crate::commands::SERVICE_LIMITS;
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::name::{ClassName, TenantName};
use crate::record::{
    ClassRecord, IdAssignment, NumericId, Role, ServiceLimits, TenantRecord, TokenId, TokenRecord,
};
use crate::revision::Revision;
use crate::store::{Change, Versioned, decode};
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// A copy in memory of the tenants, classes, limits and tokens.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// The tenants by canonical name.
    tenants: BTreeMap<String, Versioned<TenantRecord>>,
    id_assignments: BTreeMap<NumericId, IdAssignment>,
    /// The canonical names of the tenants that exist, by id.
    tenant_names_by_id: BTreeMap<NumericId, String>,
    classes: BTreeMap<ClassName, Versioned<ClassRecord>>,
    tokens: BTreeMap<TokenId, Versioned<TokenRecord>>,
    limits: Versioned<ServiceLimits>,
    revision: Revision,
    as_of: Option<Micros>,
}

impl Directory {
    /// Applies a batch of changes. Returns an error for each record that can't be decoded; the previous version of such
    /// a record is kept.
    pub fn apply(&mut self, batch: &ChangeBatch) -> Vec<StoreError> {
        if batch.is_snapshot {
            *self = Directory::default();
        }
        let errors = batch.changes.iter().filter_map(|change| self.apply_change(change).err()).collect();
        self.revision = batch.up_to;
        self.as_of = Some(batch.as_of);
        errors
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), StoreError> {
        match &change.value {
            Some(value) => self.put(&change.key, change.revision, value),
            None => {
                self.remove(&change.key);
                Ok(())
            }
        }
    }

    fn put(&mut self, key: &Key, version: Revision, value: &[u8]) -> Result<(), StoreError> {
        match key.collection {
            Collection::Tenant => {
                let record: TenantRecord = decode(key, value)?;
                self.remove_tenant(&key.name);
                self.tenant_names_by_id.insert(record.id, key.name.clone());
                self.tenants.insert(key.name.clone(), Versioned { version, record });
            }
            Collection::IdAssignment => {
                let assignment: IdAssignment = decode(key, value)?;
                self.id_assignments.insert(assignment.id, assignment);
            }
            Collection::Class => {
                let record: ClassRecord = decode(key, value)?;
                self.classes.insert(record.name().clone(), Versioned { version, record });
            }
            Collection::Token => {
                let record: TokenRecord = decode(key, value)?;
                self.tokens.insert(record.id.clone(), Versioned { version, record });
            }
            Collection::Limits if key.name == SERVICE_LIMITS => {
                self.limits = Versioned { version, record: decode(key, value)? };
            }
            _ => {}
        }
        Ok(())
    }

    fn remove(&mut self, key: &Key) {
        match key.collection {
            Collection::Tenant => self.remove_tenant(&key.name),
            Collection::Class => self.classes.retain(|name, _| name.as_str() != key.name),
            Collection::Token => self.tokens.retain(|id, _| id.as_str() != key.name),
            Collection::Limits => self.limits = Versioned::default(),
            _ => {}
        }
    }

    fn remove_tenant(&mut self, canonical_name: &str) {
        let Some(before) = self.tenants.remove(canonical_name) else { return };
        // Depending on the order of the changes, the id may already refer to another tenant.
        let id = before.record.id;
        if self.tenant_names_by_id.get(&id).is_some_and(|name| name == canonical_name) {
            self.tenant_names_by_id.remove(&id);
        }
    }

    /// The tenant with this name, in any spelling.
    pub fn tenant(&self, name: &TenantName) -> Option<&Versioned<TenantRecord>> {
        self.tenants.get(&name.canonical())
    }

    /// The tenant with this id; `None` if there is none or it was removed.
    pub fn tenant_by_id(&self, id: NumericId) -> Option<&Versioned<TenantRecord>> {
        self.tenants.get(self.tenant_names_by_id.get(&id)?)
    }

    /// The assignment of this id, also if its tenant was removed.
    pub fn id_assignment(&self, id: NumericId) -> Option<&IdAssignment> {
        self.id_assignments.get(&id)
    }

    /// All tenants, in the order of their canonical names.
    pub fn tenants(&self) -> impl Iterator<Item = &Versioned<TenantRecord>> {
        self.tenants.values()
    }

    /// All classes, in the order of their names.
    pub fn classes(&self) -> impl Iterator<Item = &Versioned<ClassRecord>> {
        self.classes.values()
    }

    /// The service-wide limits; unlimited, with version 0, if none were set.
    pub fn limits(&self) -> &Versioned<ServiceLimits> {
        &self.limits
    }

    /// The token with this text; `None` if there is no such token, if it is no longer valid, or if its role is to
    /// administer a tenant that was removed.
    pub fn authenticate(&self, token_text: &str, now: Micros) -> Option<&TokenRecord> {
        let (id, secret) = TokenRecord::parse_text(token_text)?;
        let token = &self.tokens.get(&id)?.record;
        let has_tenant = match token.role {
            Role::TenantAdmin(id) => self.tenant_names_by_id.contains_key(&id),
            Role::Operator | Role::Viewer => true,
        };
        (token.accepts(secret, now) && has_tenant).then_some(token)
    }

    /// The token with this id if it is valid, for connections that have already authenticated with it.
    pub fn valid_token(&self, id: &TokenId, now: Micros) -> Option<&TokenRecord> {
        self.tokens.get(id).map(|token| &token.record).filter(|token| token.is_valid(now))
    }

    /// The revision up to which all changes are applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The time since the store was last known to have no newer changes, in microseconds; `None` before the first
    /// batch.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }
}
