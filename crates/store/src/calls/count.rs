//! Usage counted and tidied.
//!
//! Places are kept in chunks: a report of 10,000 tenants is 157 chunks, not 10,000 records, and one tenant's day
//! is read without the others'. Each chunk is counted in a transaction of its own or with others; a report that
//! broke off is sent again and counts what is missing.

use super::view::View;
use super::{Answer, Level, TENANT_PLACES};
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::record::{Day, Hour, MINUTE, Micros, OnceRecord, Usage, UsageReport};
use crate::store::{Ask, Batch, Store};
use std::collections::BTreeMap;

/// Places to a chunk: at about 60 bytes a place a chunk is a few kilobytes.
pub(super) const CHUNK: u32 = 64;

/// Minutes of usage are kept for two days, hours for about three months, days for ever.
const MINUTES_KEPT: u64 = 2 * 24 * 60;
const HOURS_KEPT: u64 = 93 * 24;

/// The most records that one tidying removes, well within a batch.
const TIDIED: usize = 90;

/// The key of what an instance used in an interval (counted in the level's unit since 1970).
pub(super) fn key(level: Level, chunk: u32, interval: u64, instance: &str) -> Key {
    Key::new(Space::Usage, format!("{}{interval:010}/{instance}", prefix(level, chunk)))
}

/// What all names of a level and chunk begin with.
pub(super) fn prefix(level: Level, chunk: u32) -> String {
    format!("{}/{chunk:08}/", level.letter())
}

/// The interval that a name tells.
pub(super) fn interval(name: &str) -> Option<u64> {
    name.split('/').nth(2)?.parse().ok()
}

/// Counts a whole report.
pub(super) fn all(store: &mut dyn Store, report: &UsageReport, now: Micros) -> Result<Answer, StoreError> {
    let mut chunks: BTreeMap<u32, BTreeMap<u32, Usage>> = BTreeMap::new();
    for (place, usage) in report.places.iter().filter(|(_, u)| **u != Usage::default()) {
        chunks.entry(place / CHUNK).or_default().insert(*place, usage.clone());
    }
    let mut any = false;
    let mut left: Vec<_> = chunks.into_iter().collect();
    let mut tries = super::TRIES;
    while !left.is_empty() {
        let mut view = View::new(store, now);
        let mut taken = 0;
        let mut new = false;
        let ahead = left.iter().take(Batch::LARGEST / 3).flat_map(|(chunk, _)| keys(report, *chunk));
        view.read_ahead(ahead.collect())?;
        for (chunk, places) in &left {
            let counted = one(&mut view, report, *chunk, places)?;
            if !view.settle() {
                break;
            }
            new |= counted;
            taken += 1;
        }
        if view.writes() {
            let batch = view.batch();
            match store.apply(&batch, now) {
                Err(StoreError::Conflict { .. } | StoreError::Exists { .. }) if tries > 0 => {
                    tries -= 1;
                    continue;
                }
                applied => applied.map_err(super::crowded)?,
            };
        }
        any |= new;
        left.drain(..taken);
    }
    Ok(Answer::Counted { new: any })
}

/// The keys of a report's minute, hour and day.
fn keys(report: &UsageReport, chunk: u32) -> [Key; 3] {
    let key = |level: Level| key(level, chunk, report.minute / level.minutes(), report.instance.as_str());
    [key(Level::Minute), key(Level::Hour), key(Level::Day)]
}

/// Counts one chunk; `false` if it was counted before.
fn one(
    view: &mut View<'_>,
    report: &UsageReport,
    chunk: u32,
    places: &BTreeMap<u32, Usage>,
) -> Result<bool, StoreError> {
    let (minute, instance) = (report.minute, report.instance.as_str());
    let (hour_of, bit) = ((minute / 60 % 24) as usize, 1u64 << (minute % 60));
    let [minute_key, hour_key, day_key] = keys(report, chunk);
    let mut day: Day = view.get(&day_key)?.map(|(_, day)| day).unwrap_or_default();
    let before = view.get::<BTreeMap<u32, Usage>>(&minute_key)?;
    if day.minutes[hour_of] & bit != 0 {
        return match before {
            Some((_, before)) if before != *places => {
                Err(StoreError::Counted { instance: instance.into(), minute })
            }
            _ => Ok(false),
        };
    }
    let mut hour: Hour = view.get(&hour_key)?.map(|(_, hour)| hour).unwrap_or_default();
    day.minutes[hour_of] |= bit;
    hour.minutes |= bit;
    for (place, usage) in places {
        hour.places.entry(*place).or_default().add(usage);
        day.places.entry(*place).or_default().add(usage);
    }
    view.put(&minute_key, places)?;
    view.put(&hour_key, &hour)?;
    view.put(&day_key, &day)?;
    Ok(true)
}

/// Removes some of what has had its time.
pub(super) fn tidy(view: &mut View<'_>) -> Result<Answer, StoreError> {
    let mut old = Vec::new();
    let mut ask = Ask::of(Space::Once);
    loop {
        let page = view.list(&ask)?;
        for entry in &page.entries {
            if entry.read::<OnceRecord>()?.expires <= view.now {
                old.push(entry.key.clone());
            }
        }
        match page.entries.last() {
            Some(last) if page.more && old.len() < TIDIED => ask.after = Some(last.key.name.clone()),
            _ => break,
        }
    }
    let minutes = view.now / MINUTE;
    let places = u32::try_from(view.counter(TENANT_PLACES)?).unwrap_or(u32::MAX);
    for chunk in 0..=places / CHUNK {
        for (level, oldest) in [
            (Level::Minute, minutes.saturating_sub(MINUTES_KEPT)),
            (Level::Hour, (minutes / 60).saturating_sub(HOURS_KEPT)),
        ] {
            if old.len() < TIDIED {
                let page = view.list(&Ask::of(Space::Usage).prefix(prefix(level, chunk)).limit(TIDIED))?;
                let before = |key: &Key| interval(&key.name).is_some_and(|i| i < oldest);
                old.extend(page.entries.into_iter().map(|e| e.key).filter(before));
            }
        }
    }
    let more = old.len() >= TIDIED;
    old.truncate(TIDIED);
    for key in &old {
        // Read, so that what was used anew in between is not lost.
        view.get::<serde_json::Value>(key)?;
        view.remove(key);
    }
    Ok(Answer::Tidied { removed: old.len(), more })
}
