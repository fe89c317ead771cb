//! Requests to the store, which keeps records under names, each with the revision that last wrote it.

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The revision that last wrote it.
    pub revision: u64,
    /// Its text.
    pub text: Vec<u8>,
}

/// What must hold for a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// There is no record of this name.
    Absent(String),
    /// The record of this name was last written in this revision.
    Unchanged(String, u64),
}

/// Records that are written at once, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// What must hold, else nothing is written.
    pub preconditions: Vec<Precondition>,
    /// The records by name; none for one that is removed.
    pub writes: Vec<(String, Option<Vec<u8>>)>,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads the records of these names.
    Read(Vec<String>),
    /// Lists all records whose names begin with a prefix.
    List(String),
    /// Writes records.
    Write(WriteBatch),
}

/// The store's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The records, each in its name's place.
    Read(Vec<Option<StoredRecord>>),
    /// The records with their names.
    Listed(Vec<(String, StoredRecord)>),
    /// The batch was written, in this revision.
    Written(u64),
    /// A precondition did not hold; nothing was written.
    Conflict,
}

/// No response came, or an unusable one: whether a batch was written is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResponse;
