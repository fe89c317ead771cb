//! What must hold between records, whichever engine keeps them; looked at on request, before a restore and on an
//! import.

use crate::calls::{AUDIT, CLASS_PLACES, SERVICE, TENANT_PLACES, TENANTS};
use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::migrate::Records;
use crate::record::{
    AuditEntry, ClassRecord, Day, Hour, InstanceName, Micros, OnceRecord, PlaceRecord, ServiceLimits,
    TenantRecord, TokenRecord, Usage,
};
use crate::store::{Store, read};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// The most faults that are told; a store with more is not mended record by record.
const TOLD: usize = 1000;

/// Has the engine check all that it keeps, and then looks whether the records agree with each other. Returns
/// every fault, by the key of the record and the field.
pub fn check(store: &mut dyn Store, now: Micros) -> Result<Vec<Invalid>, StoreError> {
    store.verify(now)?;
    let (records, _) = all(store, now)?;
    Ok(faults(&records)
        .into_iter()
        .map(|(key, fault)| Invalid::new(format!("{key}: {}", fault.field), fault.cause))
        .collect())
}

/// All records, and the revision that they are of.
pub(crate) fn all(
    store: &mut dyn Store,
    now: Micros,
) -> Result<(Records, crate::store::Revision), StoreError> {
    let mut records = Records::new();
    let revision = store.visit(&Space::ALL, now, &mut |entry| {
        records.insert(entry.key, entry.value);
        Ok(())
    })?;
    Ok((records, revision))
}

/// Collects faults.
struct Faults<'r> {
    records: &'r Records,
    found: Vec<(Key, Invalid)>,
}

impl<'r> Faults<'r> {
    fn add(&mut self, key: &Key, field: &str, cause: impl Into<String>) {
        if self.found.len() < TOLD {
            self.found.push((key.clone(), Invalid::new(field, cause)));
        }
    }

    fn must(&mut self, holds: bool, key: &Key, field: &str, cause: &str) {
        if !holds {
            self.add(key, field, cause);
        }
    }

    /// The records of a space that can be read.
    fn of<T: DeserializeOwned>(&mut self, space: Space) -> Vec<(&'r Key, T)> {
        let mut good = Vec::new();
        let within = self.records.range(Key::new(space, "")..).take_while(|(key, _)| key.space == space);
        for (key, value) in within {
            match read(key, value) {
                Ok(record) => good.push((key, record)),
                Err(StoreError::Damaged { cause, .. }) => self.add(key, "", cause),
                Err(e) => self.add(key, "", e.to_string()),
            }
        }
        good
    }

    fn counter(&mut self, name: &str) -> u64 {
        let key = Key::new(Space::Meta, name);
        match self.records.get(&key).map(|value| read::<u64>(&key, value)) {
            Some(Ok(n)) => n,
            Some(Err(e)) => {
                self.add(&key, "", e.to_string());
                0
            }
            None => 0,
        }
    }
}

/// All that does not hold.
pub(crate) fn faults(records: &Records) -> Vec<(Key, Invalid)> {
    let mut faults = Faults { records, found: Vec::new() };
    tenants(&mut faults);
    classes(&mut faults);
    tokens(&mut faults);
    audit(&mut faults);
    usage(&mut faults);
    faults.of::<OnceRecord>(Space::Once);
    for (key, _) in faults.of::<ServiceLimits>(Space::Limits) {
        faults.must(key.name == SERVICE, key, "", "is not the one record of limits");
    }
    faults.found
}

fn tenants(faults: &mut Faults<'_>) {
    let next = faults.counter(TENANT_PLACES);
    let count = faults.counter(TENANTS);
    let tenants: Vec<(&Key, TenantRecord)> = faults.of(Space::Tenant);
    let places: BTreeMap<_, _> =
        faults.of::<PlaceRecord>(Space::Place).into_iter().map(|(k, p)| (p.place, (k, p))).collect();
    let looks: BTreeMap<_, _> = faults
        .of::<BTreeMap<String, String>>(Space::Look)
        .into_iter()
        .map(|(k, n)| (k.name.clone(), n))
        .collect();
    let mut standing = BTreeMap::new();
    for (key, tenant) in &tenants {
        faults.must(key.name == tenant.name.unique(), key, "name", "is another name than the record's key");
        if let Some(other) = standing.insert(tenant.place, *key) {
            faults.add(key, "place", format!("{} has it too", other.name));
        }
        let given = places.get(&tenant.place).is_some_and(|(_, p)| p.removed.is_none());
        faults.must(given, key, "place", "was not given");
        let look = tenant.name.look();
        let names = looks.get(&look.skeleton);
        let indexed = names.is_some_and(|n| n.get(&key.name) == Some(&look.scripts));
        faults.must(indexed, key, "name", "its look is not indexed");
        if let Some((like, _)) = names.iter().flat_map(|n| n.iter()).find(|(_, s)| **s != look.scripts) {
            faults.add(key, "name", format!("looks like {like:?}, which is written in other scripts"));
        }
    }
    for (place, (key, record)) in &places {
        faults.must(key.name == place.key(), key, "place", "is another place than the record's key");
        faults.must(u64::from(place.0) < next, key, "place", "could be given again");
        let stands = standing.contains_key(place);
        faults.must(stands == record.removed.is_none(), key, "removed", "does not agree with the tenants");
    }
    let indexed: usize = looks.values().map(BTreeMap::len).sum();
    let meta = Key::new(Space::Meta, TENANTS);
    faults.must(indexed == tenants.len(), &meta, "", "looks are indexed of tenants that are not there");
    faults.must(
        count == tenants.len() as u64,
        &meta,
        "",
        &format!("is {count} with {} tenants", tenants.len()),
    );
}

fn classes(faults: &mut Faults<'_>) {
    let next = faults.counter(CLASS_PLACES);
    let mut standing = BTreeMap::new();
    for (key, class) in faults.of::<ClassRecord>(Space::Class) {
        faults.must(key.name == class.name().as_str(), key, "name", "is another name than the record's key");
        faults.must(u64::from(class.place().0) < next, key, "place", "could be given again");
        if let Some(other) = standing.insert(class.place(), key.clone()) {
            faults.add(key, "place", format!("{} has it too", other.name));
        }
    }
}

fn tokens(faults: &mut Faults<'_>) {
    for (key, token) in faults.of::<TokenRecord>(Space::Token) {
        faults.must(key.name == token.id.as_str(), key, "id", "is another id than the record's key");
        let hash = token.hash.len() == 64 && token.hash.bytes().all(|b| b.is_ascii_hexdigit());
        faults.must(hash, key, "hash", "is not 64 hexadecimal digits");
    }
}

fn audit(faults: &mut Faults<'_>) {
    let last = faults.counter(AUDIT);
    let mut expected = 1;
    for (key, entry) in faults.of::<AuditEntry>(Space::Audit) {
        faults.must(
            key.name == AuditEntry::name(entry.number),
            key,
            "number",
            "is another than the record's key",
        );
        if entry.number != expected {
            faults.add(key, "number", format!("{expected} should come here"));
        }
        expected = entry.number.saturating_add(1);
    }
    let meta = Key::new(Space::Meta, AUDIT);
    faults.must(
        last + 1 == expected,
        &meta,
        "",
        &format!("is {last}, but the trail ends at {}", expected - 1),
    );
}

fn usage(faults: &mut Faults<'_>) {
    let within =
        faults.records.range(Key::new(Space::Usage, "")..).take_while(|(key, _)| key.space == Space::Usage);
    for (key, value) in within {
        let parts: Vec<&str> = key.name.split('/').collect();
        let told = match parts[..] {
            [level, chunk, interval, instance]
                if chunk.len() == 8
                    && chunk.parse::<u32>().is_ok()
                    && interval.len() == 10
                    && interval.parse::<u64>().is_ok()
                    && InstanceName::new(instance).is_ok() =>
            {
                match level {
                    "m" => read::<BTreeMap<u32, Usage>>(key, value).map(drop),
                    "h" => read::<Hour>(key, value).map(drop),
                    "d" => read::<Day>(key, value).map(drop),
                    _ => Err(StoreError::damaged(key, "is of no level")),
                }
            }
            _ => Err(StoreError::damaged(key, "is not named as usage is")),
        };
        if let Err(e) = told {
            faults.add(key, "", e.to_string());
        }
    }
}
