//! Requests to the store and its responses. The store keeps records by name, each with the revision in which
//! it was last written.

/// A record that was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The revision in which the record was last written.
    pub revision: u64,
    /// The content of the record.
    pub text: Vec<u8>,
}

/// A condition on which a batch is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No record of this name exists.
    Absent(String),
    /// The record of this name was last written in this revision.
    Unchanged(String, u64),
}

/// Writes that are applied together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// The conditions. If any of them is not met, nothing is written.
    pub preconditions: Vec<Precondition>,
    /// The new contents of records by name; `None` removes the record.
    pub writes: Vec<(String, Option<Vec<u8>>)>,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads the records of these names.
    Read(Vec<String>),
    /// Lists all records whose names begin with this prefix.
    List(String),
    /// Writes a batch.
    Write(WriteBatch),
}

/// A response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The records that were read, in the order of the requested names; `None` for a record that does not
    /// exist.
    Read(Vec<Option<StoredRecord>>),
    /// The records that were listed, with their names.
    Listed(Vec<(String, StoredRecord)>),
    /// The batch was written in this revision.
    Written(u64),
    /// A precondition was not met, and nothing was written.
    Conflict,
}

/// There was no response, or it was unusable. A batch may or may not have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResponse;
