//! What an instance knows of the store, in its own memory, ready for its loop: tenants, classes, limits, tokens,
//! and how old that knowledge is.
//!
//! The loop never asks the store for these. It is told what changed and goes on with what it last knew for as
//! long as the store is away.

use crate::calls::{Kept, SERVICE};
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::name::{ClassName, Name};
use crate::record::{
    ClassRecord, Micros, Place, PlaceRecord, Role, ServiceLimits, TenantRecord, TokenId, TokenRecord,
};
use crate::store::{Change, Revision, read};
use std::collections::BTreeMap;

/// What came of the store since the last time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Whether `changes` is all that there is, not what is new.
    pub whole: bool,
    /// What changed; a record comes once.
    pub changes: Vec<Change>,
    /// All up to here is told.
    pub upto: Revision,
    /// When the store was known to hold this and nothing newer.
    pub as_of: Micros,
}

/// Records by key, in memory.
#[derive(Clone, Debug, Default)]
pub struct Known {
    tenants: BTreeMap<String, Kept<TenantRecord>>,
    places: BTreeMap<Place, PlaceRecord>,
    standing: BTreeMap<Place, String>,
    classes: BTreeMap<ClassName, Kept<ClassRecord>>,
    tokens: BTreeMap<TokenId, Kept<TokenRecord>>,
    limits: Kept<ServiceLimits>,
    revision: Revision,
    as_of: Option<Micros>,
}

impl Default for Kept<ServiceLimits> {
    fn default() -> Kept<ServiceLimits> {
        Kept { version: Revision(0), record: ServiceLimits::default() }
    }
}

impl Known {
    /// Takes news. A record that can't be read is told and leaves what was known of it in force.
    pub fn take(&mut self, news: &News) -> Vec<StoreError> {
        if news.whole {
            *self = Known::default();
        }
        let faults = news.changes.iter().filter_map(|change| self.change(change).err()).collect();
        self.revision = news.upto;
        self.as_of = Some(news.as_of);
        faults
    }

    fn change(&mut self, change: &Change) -> Result<(), StoreError> {
        let Change { key, revision, value } = change;
        let version = *revision;
        match (key.space, value) {
            (Space::Tenant, Some(value)) => {
                let record: TenantRecord = read(key, value)?;
                self.forget(key);
                self.standing.insert(record.place, key.name.clone());
                self.tenants.insert(key.name.clone(), Kept { version, record });
            }
            (Space::Tenant, None) => self.forget(key),
            (Space::Place, Some(value)) => {
                let record: PlaceRecord = read(key, value)?;
                self.places.insert(record.place, record);
            }
            (Space::Class, Some(value)) => {
                let record: ClassRecord = read(key, value)?;
                self.classes.insert(record.name().clone(), Kept { version, record });
            }
            (Space::Class, None) => {
                self.classes.retain(|name, _| name.as_str() != key.name);
            }
            (Space::Token, Some(value)) => {
                let record: TokenRecord = read(key, value)?;
                self.tokens.insert(record.id.clone(), Kept { version, record });
            }
            (Space::Token, None) => {
                self.tokens.retain(|id, _| id.as_str() != key.name);
            }
            (Space::Limits, Some(value)) if key.name == SERVICE => {
                self.limits = Kept { version, record: read(key, value)? };
            }
            (Space::Limits, None) => self.limits = Kept::default(),
            _ => {}
        }
        Ok(())
    }

    fn forget(&mut self, key: &Key) {
        if let Some(before) = self.tenants.remove(&key.name) {
            // The place may be another tenant's by now, of a whole that came in another order.
            if self.standing.get(&before.record.place) == Some(&key.name) {
                self.standing.remove(&before.record.place);
            }
        }
    }

    /// A tenant, by any spelling of its name.
    pub fn tenant(&self, name: &Name) -> Option<&Kept<TenantRecord>> {
        self.tenants.get(&name.unique())
    }

    /// The tenant that stands at a place; `None` once it is removed.
    pub fn tenant_at(&self, place: Place) -> Option<&Kept<TenantRecord>> {
        self.tenants.get(self.standing.get(&place)?)
    }

    /// Whom a place was given to, removed or not.
    pub fn place(&self, place: Place) -> Option<&PlaceRecord> {
        self.places.get(&place)
    }

    /// All tenants in the order of their unique names.
    pub fn tenants(&self) -> impl Iterator<Item = &Kept<TenantRecord>> {
        self.tenants.values()
    }

    /// All classes in the order of their names.
    pub fn classes(&self) -> impl Iterator<Item = &Kept<ClassRecord>> {
        self.classes.values()
    }

    /// The service-wide limits.
    pub fn limits(&self) -> &Kept<ServiceLimits> {
        &self.limits
    }

    /// Who bears a token's text: `None` if there is no such token or it is no longer in force, or if it is the
    /// admin's of a tenant that was removed.
    pub fn bearer(&self, text: &str, now: Micros) -> Option<&TokenRecord> {
        let (id, secret) = TokenRecord::split(text)?;
        let token = &self.tokens.get(&id)?.record;
        let stands = match token.role {
            Role::TenantAdmin(place) => self.standing.contains_key(&place),
            Role::Operator | Role::Viewer => true,
        };
        (token.admits(secret, now) && stands).then_some(token)
    }

    /// A token that is still in force, by its id: for streams that were let in by it before.
    pub fn token(&self, id: &TokenId, now: Micros) -> Option<&TokenRecord> {
        self.tokens.get(id).map(|kept| &kept.record).filter(|token| token.stands(now))
    }

    /// The revision that this is.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How long ago the store was known to hold nothing newer, in microseconds; `None` before the first news.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.as_of.map(|then| now.saturating_sub(then))
    }
}
