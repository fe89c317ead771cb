//! Questions about what is kept.

use super::count::{CHUNK, interval, key, prefix};
use super::{AUDIT, Kept, SERVICE};
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::name::{ClassName, Name};
use crate::record::{
    AuditEntry, ClassRecord, Day, Hour, MINUTE, Micros, Place, PlaceRecord, ServiceLimits, TenantRecord,
    TokenId, TokenRecord, Usage,
};
use crate::store::{Ask, Entry, Store};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How finely usage is summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// By minutes, for two days back.
    Minute,
    /// By hours, for 93 days back.
    Hour,
    /// By days (UTC), for ever.
    Day,
}

impl Level {
    /// The length of an interval in minutes.
    pub const fn minutes(self) -> u64 {
        match self {
            Level::Minute => 1,
            Level::Hour => 60,
            Level::Day => 24 * 60,
        }
    }

    /// The letter that stands for the level in keys.
    pub(super) const fn letter(self) -> char {
        match self {
            Level::Minute => 'm',
            Level::Hour => 'h',
            Level::Day => 'd',
        }
    }

    /// The length of an interval in microseconds.
    pub const fn micros(self) -> Micros {
        self.minutes() * MINUTE
    }
}

/// A question. Pages go on after the last name of the page before.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// One tenant, by any spelling of its name.
    Tenant(Name),
    /// Tenants in the order of their unique names, those that begin so.
    Tenants {
        /// What the unique name begins with.
        prefix: String,
        /// The last unique name of the page before.
        after: Option<String>,
        /// At most so many.
        limit: usize,
    },
    /// Whom a place was given to.
    Place(Place),
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
        /// At most so many.
        limit: usize,
    },
    /// The service-wide limits; without limits if none were set, at version 0.
    Limits,
    /// The audit trail, newest first.
    Audit {
        /// Only entries with smaller numbers.
        before: Option<u64>,
        /// At most so many.
        limit: usize,
    },
    /// What the tenant at a place used, summed over instances; intervals without use are left out.
    Usage {
        /// The place.
        place: Place,
        /// How finely.
        level: Level,
        /// From the interval that this time lies in, in microseconds.
        from: Micros,
        /// Up to the interval before the one that this time lies in.
        to: Micros,
    },
}

/// What was used in an interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// When the interval begins.
    pub start: Micros,
    /// What was used.
    pub usage: Usage,
}

/// An answer to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// A tenant.
    Tenant(Kept<TenantRecord>),
    /// Tenants, and the name to go on after.
    Tenants(Vec<Kept<TenantRecord>>, Option<String>),
    /// A place.
    Place(PlaceRecord),
    /// A class.
    Class(Kept<ClassRecord>),
    /// All classes.
    Classes(Vec<Kept<ClassRecord>>),
    /// A token.
    Token(Kept<TokenRecord>),
    /// Tokens, and the id to go on after.
    Tokens(Vec<Kept<TokenRecord>>, Option<String>),
    /// The service-wide limits.
    Limits(Kept<ServiceLimits>),
    /// Audit entries, and the number to go on before.
    Audit(Vec<AuditEntry>, Option<u64>),
    /// Usage by interval; and where to go on from, if that was not all.
    Usage(Vec<UsageRow>, Option<Micros>),
}

/// The most intervals in one answer about usage: more than a month of hours or a day of minutes.
const ROWS: usize = 1500;

/// Answers a question.
pub fn answer(store: &mut dyn Store, question: &Question, now: Micros) -> Result<Found, StoreError> {
    let mut one = |space, name: String| {
        let key = Key::new(space, name);
        store.get(&key, now)?.ok_or(StoreError::Missing { key: key.text() })
    };
    Ok(match question {
        Question::Tenant(name) => Found::Tenant(kept(&one(Space::Tenant, name.unique())?)?),
        Question::Class(name) => Found::Class(kept(&one(Space::Class, name.to_string())?)?),
        Question::Token(id) => Found::Token(kept(&one(Space::Token, id.to_string())?)?),
        Question::Place(place) => Found::Place(one(Space::Place, place.key())?.read()?),
        Question::Tenants { prefix, after, limit } => {
            let ask = Ask::of(Space::Tenant).prefix(prefix).after(after.clone()).limit(*limit);
            let (tenants, next) = page(store, &ask, now)?;
            Found::Tenants(tenants, next)
        }
        Question::Classes => Found::Classes(page(store, &Ask::of(Space::Class), now)?.0),
        Question::Tokens { after, limit } => {
            let ask = Ask::of(Space::Token).after(after.clone()).limit(*limit);
            let (tokens, next) = page(store, &ask, now)?;
            Found::Tokens(tokens, next)
        }
        Question::Limits => Found::Limits(match store.get(&Key::new(Space::Limits, SERVICE), now)? {
            Some(entry) => kept(&entry)?,
            None => Kept { version: Default::default(), record: ServiceLimits::default() },
        }),
        Question::Audit { before, limit } => audit(store, *before, *limit, now)?,
        Question::Usage { place, level, from, to } => usage(store, *place, *level, (*from, *to), now)?,
    })
}

fn kept<T: DeserializeOwned>(entry: &Entry) -> Result<Kept<T>, StoreError> {
    Ok(Kept { version: entry.revision, record: entry.read()? })
}

type Paged<T> = (Vec<Kept<T>>, Option<String>);

fn page<T: DeserializeOwned>(store: &mut dyn Store, ask: &Ask, now: Micros) -> Result<Paged<T>, StoreError> {
    let page = store.list(ask, now)?;
    let next = page.entries.last().filter(|_| page.more).map(|e| e.key.name.clone());
    Ok((page.entries.iter().map(kept).collect::<Result<_, _>>()?, next))
}

/// Entries are numbered without a gap, so a page backwards is a page forwards from a known number.
fn audit(store: &mut dyn Store, before: Option<u64>, limit: usize, now: Micros) -> Result<Found, StoreError> {
    let last = store.get(&Key::new(Space::Meta, AUDIT), now)?;
    let last: u64 = last.map_or(Ok(0), |entry| entry.read())?;
    let upto = before.map_or(last, |b| last.min(b.saturating_sub(1)));
    let limit = limit.clamp(1, Ask::LARGEST);
    let first = upto.saturating_sub(limit as u64);
    let after = Some(AuditEntry::name(first));
    let page = store.list(&Ask::of(Space::Audit).after(after).limit((upto - first).max(1) as usize), now)?;
    let mut entries = page.entries.iter().map(Entry::read).collect::<Result<Vec<AuditEntry>, _>>()?;
    entries.retain(|e| e.number <= upto);
    entries.reverse();
    Ok(Found::Audit(entries, (first > 0).then_some(first + 1)))
}

fn usage(
    store: &mut dyn Store,
    place: Place,
    level: Level,
    (from, to): (Micros, Micros),
    now: Micros,
) -> Result<Found, StoreError> {
    let chunk = place.0 / CHUNK;
    let (first, end) = (from / level.micros(), to / level.micros());
    let mut rows: BTreeMap<u64, Usage> = BTreeMap::new();
    // The name of an interval without an instance comes before all of its instances.
    let mut ask = Ask::of(Space::Usage).prefix(prefix(level, chunk)).limit(200);
    ask.after = Some(key(level, chunk, first, "").name);
    loop {
        let page = store.list(&ask, now)?;
        for entry in &page.entries {
            let told = interval(&entry.key.name);
            let told = told.ok_or_else(|| StoreError::damaged(&entry.key, "tells no interval"))?;
            if told >= end {
                return Ok(Found::Usage(told_rows(rows, level), None));
            }
            let places = match level {
                Level::Minute => entry.read::<BTreeMap<u32, Usage>>()?,
                Level::Hour => entry.read::<Hour>()?.places,
                Level::Day => entry.read::<Day>()?.places,
            };
            let Some(usage) = places.get(&place.0) else { continue };
            if rows.len() == ROWS && !rows.contains_key(&told) {
                return Ok(Found::Usage(told_rows(rows, level), Some(told * level.micros())));
            }
            rows.entry(told).or_default().add(usage);
        }
        match page.entries.last() {
            Some(last) if page.more => ask.after = Some(last.key.name.clone()),
            _ => return Ok(Found::Usage(told_rows(rows, level), None)),
        }
    }
}

fn told_rows(rows: BTreeMap<u64, Usage>, level: Level) -> Vec<UsageRow> {
    rows.into_iter().map(|(interval, usage)| UsageRow { start: interval * level.micros(), usage }).collect()
}
