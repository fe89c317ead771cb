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

/// The maximum number of intervals in one page of usage: more than a month of hours or a day of minutes.
const MAX_USAGE_ROWS: usize = 1500;

/// The maximum number of usage records that one call to the store reads.
const USAGE_PAGE_RECORDS: usize = 200;

/// A lookup of records. A lookup of several records returns a page of them; the next page begins after the last record
/// of the page.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// The tenant with this name, in any spelling.
    Tenant(TenantName),
    /// A page of tenants in the order of their canonical names.
    Tenants {
        /// Only tenants whose canonical name has this prefix.
        prefix: String,
        /// The last canonical name of the previous page; `None` for the first page.
        after: Option<String>,
        /// The maximum number of tenants in the page.
        limit: usize,
    },
    /// The tenant that this id was assigned to.
    IdAssignment(NumericId),
    /// The class with this name.
    Class(ClassName),
    /// The first 1,000 classes in the order of their names.
    Classes,
    /// The token with this id.
    Token(TokenId),
    /// A page of tokens in the order of their ids.
    Tokens {
        /// The last id of the previous page; `None` for the first page.
        after: Option<String>,
        /// The maximum number of tokens in the page.
        limit: usize,
    },
    /// The service-wide limits; unlimited, with version 0, if none were set.
    Limits,
    /// A page of the audit trail, with the newest entry first.
    Audit {
        /// Only entries with a smaller number than this one.
        before: Option<u64>,
        /// The maximum number of entries in the page.
        limit: usize,
    },
    /// The usage of a tenant by interval, summed over all instances. Intervals without usage are omitted.
    Usage {
        /// The numeric id of the tenant.
        id: NumericId,
        /// The length of the intervals.
        granularity: Granularity,
        /// A time in the first interval.
        from: Micros,
        /// A time in the interval after the last one.
        to: Micros,
    },
}

/// The usage in one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The start of the interval.
    pub start: Micros,
    /// The sum of the usage in the interval.
    pub usage: Usage,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// The tenant.
    Tenant(Versioned<TenantRecord>),
    /// A page of tenants, and the canonical name after which the next page begins; `None` on the last page.
    Tenants(Vec<Versioned<TenantRecord>>, Option<String>),
    /// The assignment of the id.
    IdAssignment(IdAssignment),
    /// The class.
    Class(Versioned<ClassRecord>),
    /// The classes.
    Classes(Vec<Versioned<ClassRecord>>),
    /// The token.
    Token(Versioned<TokenRecord>),
    /// A page of tokens, and the id after which the next page begins; `None` on the last page.
    Tokens(Vec<Versioned<TokenRecord>>, Option<String>),
    /// The service-wide limits.
    Limits(Versioned<ServiceLimits>),
    /// A page of audit entries, and the number before which the next page begins; `None` on the last page.
    Audit(Vec<AuditEntry>, Option<u64>),
    /// A page of usage by interval, and the start of the first interval of the next page; `None` on the last page.
    Usage(Vec<UsageRow>, Option<Micros>),
}

/// Looks up records.
///
/// # Errors
/// [`StoreError::NotFound`] if a lookup is of a single record that does not exist, and errors of the engine.
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

/// Reads a page of the audit trail backwards. As entries are numbered without gaps, the page is read forwards from a
/// computed number and then reversed.
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

/// A range of intervals of one granularity, counted from the start of 1970. `end` is not included.
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
    // A key with an empty instance name sorts before the keys of all instances for the same interval.
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

/// Decodes a usage record into the usage by numeric id.
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
