//! Lookups of records and usage.

use super::keys::{
    LAST_AUDIT_NUMBER, class_key, counter_key, id_assignment_key, service_limits_key, tenant_key, token_key,
};
use super::usage_keys::{Granularity, IDS_PER_CHUNK, key_prefix, parse_interval, usage_key};
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::name::{ClassName, TenantName};
use crate::record::{
    AuditEntry, ClassRecord, DailyUsage, HourlyUsage, IdAssignment, NumericId, ServiceLimits, TenantRecord,
    TokenId, TokenRecord, Usage,
};
use crate::store::{Entry, Query, Store, Versioned};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The most intervals in one answer about usage: more than a month of hours or a day of minutes.
const MAX_USAGE_ROWS: usize = 1500;

/// Usage records that one call to the store reads.
const USAGE_PAGE_RECORDS: usize = 200;

/// A lookup. A page begins after the last name of the page before.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// One tenant, by any spelling of its name.
    Tenant(TenantName),
    /// Tenants in the order of their canonical names.
    Tenants {
        /// Only canonical names with this prefix.
        prefix: String,
        /// The last canonical name of the page before.
        after: Option<String>,
        /// The most tenants of the page.
        limit: usize,
    },
    /// Which tenant an id was assigned to.
    IdAssignment(NumericId),
    /// One class.
    Class(ClassName),
    /// All classes, up to 1,000.
    Classes,
    /// One token.
    Token(TokenId),
    /// Tokens by id.
    Tokens {
        /// The last id of the page before.
        after: Option<String>,
        /// The most tokens of the page.
        limit: usize,
    },
    /// The service-wide limits; unlimited and at version 0 if none were set.
    Limits,
    /// The audit trail, newest entries first.
    Audit {
        /// Only entries with smaller numbers.
        before: Option<u64>,
        /// The most entries of the page.
        limit: usize,
    },
    /// Usage of the tenant with an id, summed over instances; intervals without usage are left out.
    Usage {
        /// The id.
        id: NumericId,
        /// The length of an interval.
        granularity: Granularity,
        /// From the interval that includes this time on.
        from: Micros,
        /// Up to the interval before the one that includes this time.
        to: Micros,
    },
}

/// Usage in one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// When the interval begins.
    pub start: Micros,
    /// What was used.
    pub usage: Usage,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// A tenant.
    Tenant(Versioned<TenantRecord>),
    /// Tenants, and the name after which the next page begins.
    Tenants(Vec<Versioned<TenantRecord>>, Option<String>),
    /// The assignment of an id.
    IdAssignment(IdAssignment),
    /// A class.
    Class(Versioned<ClassRecord>),
    /// All classes.
    Classes(Vec<Versioned<ClassRecord>>),
    /// A token.
    Token(Versioned<TokenRecord>),
    /// Tokens, and the id after which the next page begins.
    Tokens(Vec<Versioned<TokenRecord>>, Option<String>),
    /// The service-wide limits.
    Limits(Versioned<ServiceLimits>),
    /// Audit entries, and the number before which the next page begins.
    Audit(Vec<AuditEntry>, Option<u64>),
    /// Usage by interval, and where the next page begins.
    Usage(Vec<UsageRow>, Option<Micros>),
}

/// Looks up records.
///
/// # Errors
/// [`StoreError::NotFound`] if the single record looked up does not exist; errors of the engine.
pub fn look_up(store: &mut dyn Store, lookup: &Lookup, now: Micros) -> Result<LookupResult, StoreError> {
    Ok(match lookup {
        Lookup::Tenant(name) => LookupResult::Tenant(get(store, &tenant_key(name), now)?),
        Lookup::Class(name) => LookupResult::Class(get(store, &class_key(name), now)?),
        Lookup::Token(id) => LookupResult::Token(get(store, &token_key(id), now)?),
        Lookup::IdAssignment(id) => {
            let assignment: Versioned<IdAssignment> = get(store, &id_assignment_key(*id), now)?;
            LookupResult::IdAssignment(assignment.record)
        }
        Lookup::Tenants { prefix, after, limit } => {
            let query = Query::all(Collection::Tenant).prefix(prefix).after(after.clone()).limit(*limit);
            let page = list(store, &query, now)?;
            LookupResult::Tenants(page.records, page.next_after)
        }
        Lookup::Classes => LookupResult::Classes(list(store, &Query::all(Collection::Class), now)?.records),
        Lookup::Tokens { after, limit } => {
            let query = Query::all(Collection::Token).after(after.clone()).limit(*limit);
            let page = list(store, &query, now)?;
            LookupResult::Tokens(page.records, page.next_after)
        }
        Lookup::Limits => LookupResult::Limits(match store.get(&service_limits_key(), now)? {
            Some(entry) => decode_versioned(&entry)?,
            None => Versioned::default(),
        }),
        Lookup::Audit { before, limit } => list_audit(store, *before, *limit, now)?,
        Lookup::Usage { id, granularity, from, to } => {
            let intervals = Intervals {
                granularity: *granularity,
                first: from / granularity.micros(),
                end: to / granularity.micros(),
            };
            sum_usage(store, *id, intervals, now)?
        }
    })
}

fn decode_versioned<T: DeserializeOwned>(entry: &Entry) -> Result<Versioned<T>, StoreError> {
    Ok(Versioned { version: entry.revision, record: entry.decode()? })
}

fn get<T: DeserializeOwned>(
    store: &mut dyn Store,
    key: &Key,
    now: Micros,
) -> Result<Versioned<T>, StoreError> {
    let entry = store.get(key, now)?.ok_or_else(|| StoreError::NotFound { key: key.text() })?;
    decode_versioned(&entry)
}

/// A page of decoded records.
struct RecordPage<T> {
    records: Vec<Versioned<T>>,
    next_after: Option<String>,
}

fn list<T: DeserializeOwned>(
    store: &mut dyn Store,
    query: &Query,
    now: Micros,
) -> Result<RecordPage<T>, StoreError> {
    let page = store.list(query, now)?;
    let records = page.entries.iter().map(decode_versioned).collect::<Result<_, _>>()?;
    Ok(RecordPage { records, next_after: page.next_after() })
}

/// Entries are numbered without a gap, so a page backwards is a page forwards from a known number.
fn list_audit(
    store: &mut dyn Store,
    before: Option<u64>,
    limit: usize,
    now: Micros,
) -> Result<LookupResult, StoreError> {
    let last_number: u64 = match store.get(&counter_key(LAST_AUDIT_NUMBER), now)? {
        Some(entry) => entry.decode()?,
        None => 0,
    };
    let newest = before.map_or(last_number, |before| last_number.min(before.saturating_sub(1)));
    let limit = limit.clamp(1, Query::MAX_LIMIT);
    let before_oldest = newest.saturating_sub(limit as u64);
    let count = (newest - before_oldest).max(1) as usize;
    let after = Some(AuditEntry::key_name(before_oldest));
    let page = store.list(&Query::all(Collection::Audit).after(after).limit(count), now)?;
    let mut entries = page.entries.iter().map(Entry::decode).collect::<Result<Vec<AuditEntry>, _>>()?;
    entries.retain(|entry| entry.number <= newest);
    entries.reverse();
    Ok(LookupResult::Audit(entries, (before_oldest > 0).then_some(before_oldest + 1)))
}

/// Intervals of one granularity, counted since 1970, without `end`.
#[derive(Clone, Copy)]
struct Intervals {
    granularity: Granularity,
    first: u64,
    end: u64,
}

fn sum_usage(
    store: &mut dyn Store,
    id: NumericId,
    intervals: Intervals,
    now: Micros,
) -> Result<LookupResult, StoreError> {
    let Intervals { granularity, first, end } = intervals;
    let chunk = id.0 / IDS_PER_CHUNK;
    let mut sums: BTreeMap<u64, Usage> = BTreeMap::new();
    // The name of an interval without an instance sorts before those of all its instances.
    let before_first = usage_key(granularity, chunk, first, "").name;
    let mut query =
        Query::all(Collection::Usage).prefix(key_prefix(granularity, chunk)).limit(USAGE_PAGE_RECORDS);
    query.after = Some(before_first);
    while query.after.is_some() {
        let page = store.list(&query, now)?;
        for entry in &page.entries {
            let interval = parse_interval(&entry.key.name)
                .ok_or_else(|| StoreError::corrupt(&entry.key, "the key has no interval"))?;
            if interval >= end {
                return Ok(LookupResult::Usage(usage_rows(sums, granularity), None));
            }
            let Some(usage) = decode_usage(entry, granularity)?.remove(&id.0) else { continue };
            if sums.len() == MAX_USAGE_ROWS && !sums.contains_key(&interval) {
                let next_start = interval * granularity.micros();
                return Ok(LookupResult::Usage(usage_rows(sums, granularity), Some(next_start)));
            }
            sums.entry(interval).or_default().add(&usage);
        }
        query.after = page.next_after();
    }
    Ok(LookupResult::Usage(usage_rows(sums, granularity), None))
}

/// The usage in a record, by numeric id.
fn decode_usage(entry: &Entry, granularity: Granularity) -> Result<BTreeMap<u32, Usage>, StoreError> {
    match granularity {
        Granularity::Minute => entry.decode(),
        Granularity::Hour => Ok(entry.decode::<HourlyUsage>()?.usage_by_id),
        Granularity::Day => Ok(entry.decode::<DailyUsage>()?.usage_by_id),
    }
}

fn usage_rows(sums: BTreeMap<u64, Usage>, granularity: Granularity) -> Vec<UsageRow> {
    let row = |(interval, usage)| UsageRow { start: interval * granularity.micros(), usage };
    sums.into_iter().map(row).collect()
}
