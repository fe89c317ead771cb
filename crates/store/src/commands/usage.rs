//! Commands that record usage and remove expired records.
//!
//! Usage is stored in chunks of 64 ids: a report about 10,000 tenants writes 157 chunks rather than 10,000 records, and
//! a lookup of one tenant reads one chunk rather than the usage of all tenants. The chunks of a report are written in
//! several batches. A report that was interrupted is sent again, which records the missing chunks.

use super::keys::NEXT_TENANT_ID;
use super::reply::Reply;
use super::transaction::{MAX_ATTEMPTS, Transaction, contention_error};
use super::usage_keys::{Granularity, IDS_PER_CHUNK, key_prefix, parse_interval, usage_key};
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::record::{DailyUsage, HourlyUsage, IdempotencyRecord, MICROS_PER_MINUTE, Usage, UsageReport};
use crate::store::{Batch, Query, Store};
use shorewharf_units::Micros;
use std::collections::BTreeMap;

const MINUTES_PER_HOUR: u64 = 60;
const HOURS_PER_DAY: u64 = 24;

/// The number of minutes for which usage by minute is kept: two days.
const MINUTE_RETENTION_MINUTES: u64 = 2 * HOURS_PER_DAY * MINUTES_PER_HOUR;
/// The number of hours for which usage by hour is kept: 93 days. Usage by day is kept forever.
const HOUR_RETENTION_HOURS: u64 = 93 * HOURS_PER_DAY;

/// The maximum number of records that one command removes: fewer than the maximum operations of a batch.
const MAX_REMOVALS: usize = 90;

/// The number of records that are written for a chunk: those of the minute, the hour and the day.
const RECORDS_PER_CHUNK: usize = 3;

/// The usage of a chunk of ids in one minute, by id.
type ChunkUsage = BTreeMap<u32, Usage>;

/// Records a whole report in as many batches as necessary.
pub(super) fn record(store: &mut dyn Store, report: &UsageReport, now: Micros) -> Result<Reply, StoreError> {
    let mut pending: Vec<(u32, ChunkUsage)> = split_into_chunks(report).into_iter().collect();
    let mut any_new = false;
    let mut retries_left = MAX_ATTEMPTS;
    while !pending.is_empty() {
        let mut transaction = Transaction::new(store, now);
        let staged = stage_chunks(&mut transaction, report, &pending)?;
        if transaction.has_writes() {
            let batch = transaction.into_batch();
            match store.apply(&batch, now) {
                Ok(_) => {}
                Err(StoreError::Conflict { .. } | StoreError::AlreadyExists { .. }) if retries_left > 0 => {
                    retries_left -= 1;
                    continue;
                }
                Err(e) => return Err(contention_error(e)),
            }
        }
        any_new |= staged.any_new;
        pending.drain(..staged.chunks);
    }
    Ok(Reply::UsageRecorded { new: any_new })
}

/// Splits a report into chunks, without the ids that have no usage.
fn split_into_chunks(report: &UsageReport) -> BTreeMap<u32, ChunkUsage> {
    let mut chunks: BTreeMap<u32, ChunkUsage> = BTreeMap::new();
    for (id, usage) in &report.usage_by_id {
        if *usage != Usage::default() {
            chunks.entry(id / IDS_PER_CHUNK).or_default().insert(*id, usage.clone());
        }
    }
    chunks
}

/// The chunks of a report that are staged in one transaction.
struct StagedChunks {
    /// The number of chunks.
    chunks: usize,
    /// Whether any of the chunks had not been recorded before.
    any_new: bool,
}

/// Stages as many of the pending chunks as fit into one batch.
fn stage_chunks(
    transaction: &mut Transaction<'_>,
    report: &UsageReport,
    pending: &[(u32, ChunkUsage)],
) -> Result<StagedChunks, StoreError> {
    let first_chunks = pending.iter().take(Batch::MAX_OPERATIONS / RECORDS_PER_CHUNK);
    let keys = first_chunks.flat_map(|(chunk, _)| ChunkKeys::new(report, *chunk).into_array());
    transaction.prefetch(keys.collect())?;
    let mut staged = StagedChunks { chunks: 0, any_new: false };
    for (chunk, usage_by_id) in pending {
        let is_new = record_chunk(transaction, report, *chunk, usage_by_id)?;
        if !transaction.stage_draft() {
            break;
        }
        staged.any_new |= is_new;
        staged.chunks += 1;
    }
    Ok(staged)
}

/// The keys of the records that a report changes for one chunk.
struct ChunkKeys {
    minute: Key,
    hour: Key,
    day: Key,
}

impl ChunkKeys {
    fn new(report: &UsageReport, chunk: u32) -> ChunkKeys {
        let key = |granularity: Granularity| {
            let interval = report.minute / granularity.minutes();
            usage_key(granularity, chunk, interval, report.instance.as_str())
        };
        ChunkKeys {
            minute: key(Granularity::Minute),
            hour: key(Granularity::Hour),
            day: key(Granularity::Day),
        }
    }

    fn into_array(self) -> [Key; RECORDS_PER_CHUNK] {
        [self.minute, self.hour, self.day]
    }
}

/// Records one chunk. Returns `false` if the minute had been recorded before for this chunk.
fn record_chunk(
    transaction: &mut Transaction<'_>,
    report: &UsageReport,
    chunk: u32,
    usage_by_id: &ChunkUsage,
) -> Result<bool, StoreError> {
    let keys = ChunkKeys::new(report, chunk);
    let hour_of_day = (report.minute / MINUTES_PER_HOUR % HOURS_PER_DAY) as usize;
    let minute_bit = 1u64 << (report.minute % MINUTES_PER_HOUR);
    let mut day: DailyUsage = transaction.get(&keys.day)?.map(|(_, day)| day).unwrap_or_default();
    let earlier = transaction.get::<ChunkUsage>(&keys.minute)?;
    if day.included_minutes[hour_of_day] & minute_bit != 0 {
        let differs = earlier.is_some_and(|(_, earlier)| earlier != *usage_by_id);
        if differs {
            let instance = report.instance.to_string();
            return Err(StoreError::UsageAlreadyRecorded { instance, minute: report.minute });
        }
        return Ok(false);
    }
    let mut hour: HourlyUsage = transaction.get(&keys.hour)?.map(|(_, hour)| hour).unwrap_or_default();
    day.included_minutes[hour_of_day] |= minute_bit;
    hour.included_minutes |= minute_bit;
    for (id, usage) in usage_by_id {
        hour.usage_by_id.entry(*id).or_default().add(usage);
        day.usage_by_id.entry(*id).or_default().add(usage);
    }
    transaction.put(&keys.minute, usage_by_id)?;
    transaction.put(&keys.hour, &hour)?;
    transaction.put(&keys.day, &day)?;
    Ok(true)
}

/// Removes a limited number of expired records.
pub(super) fn remove_expired(transaction: &mut Transaction<'_>) -> Result<Reply, StoreError> {
    let mut expired = find_expired_idempotency_keys(transaction)?;
    find_expired_usage(transaction, &mut expired)?;
    let more = expired.len() >= MAX_REMOVALS;
    expired.truncate(MAX_REMOVALS);
    for key in &expired {
        // Reading the record makes its version a condition: a record that was meanwhile written again is not removed.
        transaction.get::<serde_json::Value>(key)?;
        transaction.remove(key);
    }
    Ok(Reply::ExpiredRemoved { removed: expired.len(), more })
}

fn find_expired_idempotency_keys(transaction: &mut Transaction<'_>) -> Result<Vec<Key>, StoreError> {
    let mut expired = Vec::new();
    let mut query = Query::all(Collection::IdempotencyKey);
    loop {
        let page = transaction.list(&query)?;
        for entry in &page.entries {
            if entry.decode::<IdempotencyRecord>()?.expires <= transaction.now {
                expired.push(entry.key.clone());
            }
        }
        query.after = page.next_after();
        if query.after.is_none() || expired.len() >= MAX_REMOVALS {
            return Ok(expired);
        }
    }
}

/// Adds the keys of expired usage by minute and hour to `expired`, up to about [`MAX_REMOVALS`] keys.
fn find_expired_usage(transaction: &mut Transaction<'_>, expired: &mut Vec<Key>) -> Result<(), StoreError> {
    let minute = transaction.now / MICROS_PER_MINUTE;
    let hour = minute / MINUTES_PER_HOUR;
    let retained = [
        (Granularity::Minute, minute.saturating_sub(MINUTE_RETENTION_MINUTES)),
        (Granularity::Hour, hour.saturating_sub(HOUR_RETENTION_HOURS)),
    ];
    let next_id = u32::try_from(transaction.counter(NEXT_TENANT_ID)?).unwrap_or(u32::MAX);
    for chunk in 0..=next_id / IDS_PER_CHUNK {
        for (granularity, oldest_retained) in retained {
            if expired.len() >= MAX_REMOVALS {
                return Ok(());
            }
            let prefix = key_prefix(granularity, chunk);
            let page = transaction.list(&Query::all(Collection::Usage).prefix(prefix).limit(MAX_REMOVALS))?;
            let is_expired = |key: &Key| parse_interval(&key.name).is_some_and(|at| at < oldest_retained);
            expired.extend(page.entries.into_iter().map(|entry| entry.key).filter(is_expired));
        }
    }
    Ok(())
}
