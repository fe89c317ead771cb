//! Keys of records: a collection for each kind of record, and a name within it.

use std::fmt;

/// A kind of records. Each collection has its own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// The audit trail, by entry number.
    Audit,
    /// Leases and allocations of the budgets that balancers share.
    Budget,
    /// Class definitions, by name.
    Class,
    /// Service-wide limits; a single record.
    Limits,
    /// Index of tenant names that can be confused with each other, by the hash of their skeleton.
    ConfusableName,
    /// Counters, by name.
    Counter,
    /// Replies to calls with an idempotency key.
    IdempotencyKey,
    /// Which tenant a numeric id was assigned to.
    IdAssignment,
    /// Tenants, by their canonical name.
    Tenant,
    /// API tokens, by id.
    Token,
    /// Usage by minute, hour and day.
    Usage,
}

impl Collection {
    /// All collections, in the order of their names.
    pub const ALL: [Collection; 11] = [
        Collection::Audit,
        Collection::Budget,
        Collection::Class,
        Collection::Limits,
        Collection::ConfusableName,
        Collection::Counter,
        Collection::IdempotencyKey,
        Collection::IdAssignment,
        Collection::Tenant,
        Collection::Token,
        Collection::Usage,
    ];

    /// The collections that every instance keeps a copy of.
    pub const CACHED: [Collection; 5] = [
        Collection::Class,
        Collection::Limits,
        Collection::IdAssignment,
        Collection::Tenant,
        Collection::Token,
    ];

    /// The name of the collection in stored keys.
    pub const fn as_str(self) -> &'static str {
        match self {
            Collection::Audit => "audit",
            Collection::Budget => "budget",
            Collection::Class => "class",
            Collection::Limits => "limits",
            Collection::ConfusableName => "look",
            Collection::Counter => "meta",
            Collection::IdempotencyKey => "once",
            Collection::IdAssignment => "place",
            Collection::Tenant => "tenant",
            Collection::Token => "token",
            Collection::Usage => "usage",
        }
    }

    /// The collection with this name.
    pub fn parse(name: &str) -> Option<Collection> {
        Collection::ALL.into_iter().find(|collection| collection.as_str() == name)
    }
}

/// The key of a record. Keys are ordered as their texts are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The kind of record.
    pub collection: Collection,
    /// The name within the collection: not empty, at most [`Key::MAX_NAME_BYTES`] bytes.
    pub name: String,
}

impl Key {
    /// The longest name in bytes, as long as the longest name of a tenant.
    pub const MAX_NAME_BYTES: usize = 4096;

    /// The key of the record `name` in `collection`.
    pub fn new(collection: Collection, name: impl Into<String>) -> Key {
        Key { collection, name: name.into() }
    }

    /// The key as text: the collection, `/` and the name.
    pub fn text(&self) -> String {
        self.to_string()
    }

    /// Reads [`Key::text`].
    pub fn parse(text: &str) -> Option<Key> {
        let (collection, name) = text.split_once('/')?;
        let collection = Collection::parse(collection)?;
        let is_valid = !name.is_empty() && name.len() <= Key::MAX_NAME_BYTES;
        is_valid.then(|| Key::new(collection, name))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.collection.as_str(), self.name)
    }
}
