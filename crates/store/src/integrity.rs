//! Consistency checks of single records and between records, the same for every engine.

use crate::commands::{LAST_AUDIT_NUMBER, NEXT_CLASS_ID, NEXT_TENANT_ID, SERVICE_LIMITS, TENANT_COUNT};
use crate::error::{InvalidValue, StoreError};
use crate::key::{Collection, Key};
use crate::migrate::Records;
use crate::record::{
    AuditEntry, ClassRecord, DailyUsage, HourlyUsage, IdAssignment, IdempotencyRecord, InstanceName,
    NumericId, ServiceLimits, TenantRecord, TokenRecord, Usage,
};
use crate::revision::Revision;
use crate::store::{Store, decode};
use serde::de::DeserializeOwned;
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The maximum number of faults that are reported: a store with more is not repaired record by record.
const MAX_FAULTS: usize = 1000;

/// The number of hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// The cause of a fault: the counter of ids would assign an id a second time.
const REASSIGNABLE_ID: &str = "is not below the next id, so it could be assigned again";

/// The cause of a fault: the key of a usage record can't be parsed.
pub(crate) const MALFORMED_USAGE_KEY: &str = "the key is not of the form GRANULARITY/CHUNK/INTERVAL/INSTANCE";

/// A fault that was found in a record.
pub(crate) struct RecordFault {
    /// The key of the record.
    pub(crate) key: Key,
    /// The field with the fault (empty for the whole record) and the cause.
    pub(crate) error: InvalidValue,
}

/// Reads all records of a store as of one revision, which is returned with them.
pub(crate) fn read_all(store: &mut dyn Store, now: Micros) -> Result<(Records, Revision), StoreError> {
    let mut records = Records::new();
    let revision = store.visit(&Collection::ALL, now, &mut |entry| {
        records.insert(entry.key, entry.value);
        Ok(())
    })?;
    Ok((records, revision))
}

/// Checks each record by itself and the records against each other. Returns at most [`MAX_FAULTS`] faults.
pub(crate) fn find_faults(records: &Records) -> Vec<RecordFault> {
    let mut checker = Checker { records, faults: Vec::new() };
    check_tenants(&mut checker);
    check_classes(&mut checker);
    check_tokens(&mut checker);
    check_audit(&mut checker);
    check_usage(&mut checker);
    checker.decode_all::<IdempotencyRecord>(Collection::IdempotencyKey);
    for (key, _) in checker.decode_all::<ServiceLimits>(Collection::Limits) {
        checker.require(key.name == SERVICE_LIMITS, key, "", "is not the key of the service-wide limits");
    }
    checker.faults
}

/// The records to check, and the faults found so far.
struct Checker<'r> {
    records: &'r Records,
    faults: Vec<RecordFault>,
}

impl<'r> Checker<'r> {
    fn report(&mut self, key: &Key, field: &str, cause: impl Into<String>) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(RecordFault { key: key.clone(), error: InvalidValue::new(field, cause) });
        }
    }

    /// Reports a fault unless `holds`.
    fn require(&mut self, holds: bool, key: &Key, field: &str, cause: &str) {
        if !holds {
            self.report(key, field, cause);
        }
    }

    /// The keys and encoded records of a collection.
    fn collection(&self, collection: Collection) -> impl Iterator<Item = (&'r Key, &'r Vec<u8>)> + use<'r> {
        let from = Key::new(collection, "");
        self.records.range(from..).take_while(move |(key, _)| key.collection == collection)
    }

    /// The decoded records of a collection. Records that can't be decoded are reported as faults.
    fn decode_all<T: DeserializeOwned>(&mut self, collection: Collection) -> Vec<(&'r Key, T)> {
        let mut decoded = Vec::new();
        for (key, value) in self.collection(collection) {
            match decode(key, value) {
                Ok(record) => decoded.push((key, record)),
                Err(StoreError::Corrupt { cause, .. }) => self.report(key, "", cause),
                Err(e) => self.report(key, "", e.to_string()),
            }
        }
        decoded
    }

    /// The value of a counter; 0 if it is missing, and 0 with a reported fault if it can't be decoded.
    fn counter(&mut self, name: &str) -> u64 {
        let key = Key::new(Collection::Counter, name);
        match self.records.get(&key).map(|value| decode::<u64>(&key, value)) {
            Some(Ok(count)) => count,
            Some(Err(e)) => {
                self.report(&key, "", e.to_string());
                0
            }
            None => 0,
        }
    }
}

/// The index of confusable names: by the hash of the skeleton, the scripts of each canonical name with that skeleton.
type ConfusableIndex = BTreeMap<String, BTreeMap<String, String>>;

fn check_tenants(checker: &mut Checker<'_>) {
    let next_id = checker.counter(NEXT_TENANT_ID);
    let count = checker.counter(TENANT_COUNT);
    let tenants: Vec<(&Key, TenantRecord)> = checker.decode_all(Collection::Tenant);
    let assignments: BTreeMap<NumericId, (&Key, IdAssignment)> = checker
        .decode_all::<IdAssignment>(Collection::IdAssignment)
        .into_iter()
        .map(|(key, assignment)| (assignment.id, (key, assignment)))
        .collect();
    let index: ConfusableIndex = checker
        .decode_all(Collection::ConfusableName)
        .into_iter()
        .map(|(key, names)| (key.name.clone(), names))
        .collect();
    let mut tenants_by_id: BTreeMap<NumericId, &Key> = BTreeMap::new();
    for (key, tenant) in &tenants {
        let is_key = key.name == tenant.name.canonical();
        checker.require(is_key, key, "name", "differs from the record's key");
        if let Some(other) = tenants_by_id.insert(tenant.id, *key) {
            checker.report(key, "place", format!("is also assigned to {}", other.name));
        }
        let is_assigned = assignments.get(&tenant.id).is_some_and(|(_, found)| found.removed.is_none());
        checker.require(is_assigned, key, "place", "is not an id that is assigned to a tenant");
        check_confusable_index(checker, key, tenant, &index);
    }
    for (id, (key, assignment)) in &assignments {
        checker.require(key.name == id.key_name(), key, "place", "differs from the record's key");
        checker.require(u64::from(id.0) < next_id, key, "place", REASSIGNABLE_ID);
        let agrees = tenants_by_id.contains_key(id) == assignment.removed.is_none();
        checker.require(agrees, key, "removed", "does not match whether a tenant has this id");
    }
    let indexed: usize = index.values().map(BTreeMap::len).sum();
    let counter = Key::new(Collection::Counter, TENANT_COUNT);
    let cause = "the index of confusable names does not have one name for each tenant";
    checker.require(indexed == tenants.len(), &counter, "", cause);
    let is_count = count == tenants.len() as u64;
    checker.require(is_count, &counter, "", &format!("is {count}, but there are {} tenants", tenants.len()));
}

fn check_confusable_index(
    checker: &mut Checker<'_>,
    key: &Key,
    tenant: &TenantRecord,
    index: &ConfusableIndex,
) {
    let form = tenant.name.confusable_form();
    let names = index.get(&form.skeleton_hash);
    let is_indexed = names.is_some_and(|names| names.get(&key.name) == Some(&form.scripts));
    let cause = "is missing from the index of confusable names, or has other scripts there";
    checker.require(is_indexed, key, "name", cause);
    let mut names = names.into_iter().flatten();
    if let Some((other, _)) = names.find(|(_, scripts)| **scripts != form.scripts) {
        let cause = format!("can be confused with {other:?}, which is written in other scripts");
        checker.report(key, "name", cause);
    }
}

fn check_classes(checker: &mut Checker<'_>) {
    let next_id = checker.counter(NEXT_CLASS_ID);
    let mut classes_by_id = BTreeMap::new();
    for (key, class) in checker.decode_all::<ClassRecord>(Collection::Class) {
        let is_key = key.name == class.name().as_str();
        checker.require(is_key, key, "name", "differs from the record's key");
        checker.require(u64::from(class.id().0) < next_id, key, "place", REASSIGNABLE_ID);
        if let Some(other) = classes_by_id.insert(class.id(), key) {
            checker.report(key, "place", format!("is also assigned to {}", other.name));
        }
    }
}

fn check_tokens(checker: &mut Checker<'_>) {
    for (key, token) in checker.decode_all::<TokenRecord>(Collection::Token) {
        checker.require(key.name == token.id.as_str(), key, "id", "differs from the record's key");
        let is_hash = token.hash.len() == HASH_DIGITS && token.hash.bytes().all(|b| b.is_ascii_hexdigit());
        checker.require(is_hash, key, "hash", "is not 64 hexadecimal digits");
    }
}

fn check_audit(checker: &mut Checker<'_>) {
    let last_number = checker.counter(LAST_AUDIT_NUMBER);
    let mut expected = 1;
    for (key, entry) in checker.decode_all::<AuditEntry>(Collection::Audit) {
        let is_key = key.name == AuditEntry::key_name(entry.number);
        checker.require(is_key, key, "number", "differs from the record's key");
        if entry.number != expected {
            checker.report(key, "number", format!("is {}, but {expected} was expected", entry.number));
        }
        expected = entry.number.saturating_add(1);
    }
    let counter = Key::new(Collection::Counter, LAST_AUDIT_NUMBER);
    let cause = format!("is {last_number}, but the last audit entry has number {}", expected - 1);
    checker.require(last_number + 1 == expected, &counter, "", &cause);
}

fn check_usage(checker: &mut Checker<'_>) {
    for (key, value) in checker.collection(Collection::Usage) {
        if let Err(e) = check_usage_record(key, value) {
            checker.report(key, "", e.to_string());
        }
    }
}

fn check_usage_record(key: &Key, value: &[u8]) -> Result<(), StoreError> {
    let parts: Vec<&str> = key.name.split('/').collect();
    let [granularity, chunk, interval, instance] = parts[..] else {
        return Err(StoreError::corrupt(key, MALFORMED_USAGE_KEY));
    };
    let is_named_as_usage = chunk.len() == 8
        && chunk.parse::<u32>().is_ok()
        && interval.len() == 10
        && interval.parse::<u64>().is_ok()
        && InstanceName::new(instance).is_ok();
    if !is_named_as_usage {
        return Err(StoreError::corrupt(key, MALFORMED_USAGE_KEY));
    }
    match granularity {
        "m" => decode::<BTreeMap<u32, Usage>>(key, value).map(drop),
        "h" => decode::<HourlyUsage>(key, value).map(drop),
        "d" => decode::<DailyUsage>(key, value).map(drop),
        _ => Err(StoreError::corrupt(key, format!("the key has the unknown granularity {granularity:?}"))),
    }
}
