//! Keys of records. A key has a collection, which is the kind of record, and a name within the collection.

use std::fmt;

/// A kind of record. Names are unique within a collection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// The audit trail, by entry number.
    Audit,
    /// Records of the budgets that balancers share: leases and allocations.
    Budget,
    /// Class definitions, by name.
    Class,
    /// The service-wide limits, which are a single record.
    Limits,
    /// The index of tenant names that can be confused with each other, by the hash of their skeleton.
    ConfusableName,
    /// Counters, by name.
    Counter,
    /// Replies to requests with an idempotency key, by the hash of caller and key.
    IdempotencyKey,
    /// The tenant that each numeric id was assigned to, by id.
    IdAssignment,
    /// Tenants, by their canonical name.
    Tenant,
    /// API tokens, by id.
    Token,
    /// Usage by minute, hour and day, by granularity, chunk of ids, interval and instance.
    Usage,
}

impl Collection {
    /// All collections, in the order of their stored names.
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

    /// The collections of which every instance keeps a copy in memory.
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

    /// The collection with this name in stored keys.
    pub fn parse(name: &str) -> Option<Collection> {
        Collection::ALL.into_iter().find(|collection| collection.as_str() == name)
    }
}

/// The key of a record. Keys sort in the order of their texts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The collection of the record.
    pub collection: Collection,
    /// The name of the record within the collection: 1 to [`Key::MAX_NAME_BYTES`] bytes.
    pub name: String,
}

impl Key {
    /// The maximum length of a name in bytes, which is that of a tenant's canonical name.
    pub const MAX_NAME_BYTES: usize = 4096;

    /// The key of the record `name` in `collection`.
    pub fn new(collection: Collection, name: impl Into<String>) -> Key {
        Key { collection, name: name.into() }
    }

    /// The key as text: the collection, `/` and the name.
    pub fn text(&self) -> String {
        self.to_string()
    }

    /// Parses the text of a key, as [`Key::text`] returns it.
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
