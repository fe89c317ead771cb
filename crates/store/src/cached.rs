//! A store with a copy in memory of what instances need, which answers while the engine is away, and says how old
//! it is. The copy can be kept in a file, so that an instance can start without its engine.

use crate::embedded::write_whole;
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::known::News;
use crate::name::hex;
use crate::record::Micros;
use crate::store::{Ask, Batch, Change, Changes, Entry, Health, Page, Revision, Store, Visitor};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::PathBuf;

/// How often at most the copy's file is written anew, in microseconds: it is read only where an instance starts
/// while the engine is away, and that much older knowledge does no harm then.
const FILED_EVERY: Micros = 5_000_000;

/// The most answers about changes that one refresh takes before it lets others have their turn.
const ROUNDS: usize = 20;

/// A store and a copy.
pub struct Cached {
    store: Box<dyn Store>,
    entries: BTreeMap<Key, Entry>,
    revision: Revision,
    as_of: Option<Micros>,
    /// Whether the copy came from the engine, not only from the file.
    live: bool,
    file: Option<PathBuf>,
    filed: Option<(Micros, Revision)>,
}

/// The copy's file.
#[derive(Serialize, Deserialize)]
struct Filed {
    revision: Revision,
    as_of: Micros,
    entries: Vec<(String, u64, String)>,
}

impl Cached {
    /// A copy of a store; empty until the first [`Cached::refresh`]. `file` is where it is kept.
    pub fn new(store: Box<dyn Store>, file: Option<PathBuf>) -> Cached {
        let (entries, revision) = (BTreeMap::new(), Revision(0));
        Cached { store, entries, revision, as_of: None, live: false, file, filed: None }
    }

    /// How long ago the copy was known to be what the engine holds, in microseconds.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.as_of.map(|then| now.saturating_sub(then))
    }

    /// Brings the copy up to date and says what is new. Where the engine is away for the first time of all, the
    /// copy's file is what is new.
    pub fn refresh(&mut self, now: Micros) -> Result<News, StoreError> {
        let news = match self.live {
            true => self.changed(now),
            false => self.whole(now),
        };
        match news {
            Ok(news) => {
                (self.live, self.as_of, self.revision) = (true, Some(now), news.upto);
                self.keep_file(now);
                Ok(news)
            }
            Err(e) if e.passes() && self.as_of.is_none() => self.take_file().map_err(|_| e),
            Err(e) => Err(e),
        }
    }

    fn whole(&mut self, now: Micros) -> Result<News, StoreError> {
        let mut entries = BTreeMap::new();
        let upto = self.store.visit(&Space::KNOWN, now, &mut |entry| {
            entries.insert(entry.key.clone(), entry);
            Ok(())
        })?;
        self.entries = entries;
        Ok(self.told_whole(upto, now))
    }

    fn told_whole(&self, upto: Revision, as_of: Micros) -> News {
        let told =
            |e: &Entry| Change { key: e.key.clone(), revision: e.revision, value: Some(e.value.clone()) };
        News { whole: true, changes: self.entries.values().map(told).collect(), upto, as_of }
    }

    fn changed(&mut self, now: Micros) -> Result<News, StoreError> {
        let mut upto = self.revision;
        let mut news: BTreeMap<Key, Change> = BTreeMap::new();
        for _ in 0..ROUNDS {
            match self.store.changes(upto, now)? {
                Changes::Compacted { .. } => return self.whole(now),
                Changes::Since { changes, upto: told, more } => {
                    upto = told;
                    for change in changes.into_iter().filter(|c| Space::KNOWN.contains(&c.key.space)) {
                        news.insert(change.key.clone(), change);
                    }
                    if !more {
                        break;
                    }
                }
            }
        }
        for change in news.values() {
            match &change.value {
                Some(value) => {
                    let (key, value) = (change.key.clone(), value.clone());
                    self.entries.insert(key.clone(), Entry { key, revision: change.revision, value });
                }
                None => {
                    self.entries.remove(&change.key);
                }
            }
        }
        Ok(News { whole: false, changes: news.into_values().collect(), upto, as_of: now })
    }

    /// Writes the file if it is due. That it can't be written is no fault of what is asked.
    fn keep_file(&mut self, now: Micros) {
        let Some(path) = &self.file else { return };
        let due = self.filed.is_none_or(|(when, what)| what < self.revision && now >= when + FILED_EVERY);
        if !due {
            return;
        }
        let text = |e: &Entry| (e.key.text(), e.revision.0, String::from_utf8_lossy(&e.value).into_owned());
        let filed =
            Filed { revision: self.revision, as_of: now, entries: self.entries.values().map(text).collect() };
        let Ok(text) = serde_json::to_vec(&filed) else { return };
        let whole = [hex(&Sha256::digest(&text)).as_bytes(), b"\n", &text].concat();
        if write_whole(path, &whole).is_ok() {
            self.filed = Some((now, self.revision));
        }
    }

    fn take_file(&mut self) -> Result<News, StoreError> {
        let Some(path) = &self.file else { return Err(StoreError::Missing { key: "copy".into() }) };
        let what = path.display().to_string();
        let bad = |cause: &str| StoreError::damaged(&what, cause);
        let bytes = fs::read(path).map_err(|e: io::Error| crate::embedded::io_error(&what, &e))?;
        let (sum, text) = bytes.split_at_checked(65).ok_or_else(|| bad("is too short"))?;
        if sum != [hex(&Sha256::digest(text)).as_bytes(), b"\n"].concat() {
            return Err(bad("its checksum differs"));
        }
        let filed: Filed = serde_json::from_slice(text).map_err(|e| StoreError::damaged(&what, e))?;
        let entry = |(key, revision, value): (String, u64, String)| {
            let key = Key::parse(&key)?;
            Some((key.clone(), Entry { key, revision: Revision(revision), value: value.into_bytes() }))
        };
        let entries: Option<_> = filed.entries.into_iter().map(entry).collect();
        self.entries = entries.ok_or_else(|| bad("has a key that is none"))?;
        (self.revision, self.as_of) = (filed.revision, Some(filed.as_of));
        Ok(self.told_whole(filed.revision, filed.as_of))
    }

    /// Whether the copy may answer instead of the engine that gave this error.
    fn stands_in(&self, space: Space, e: &StoreError) -> bool {
        e.passes() && self.as_of.is_some() && Space::KNOWN.contains(&space)
    }
}

impl Store for Cached {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        match self.store.get(key, now) {
            Err(e) if self.stands_in(key.space, &e) => Ok(self.entries.get(key).cloned()),
            answer => answer,
        }
    }

    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        match self.store.get_many(keys, now) {
            Err(e) if e.passes() => keys.iter().map(|key| self.get(key, now)).collect(),
            answer => answer,
        }
    }

    fn list(&mut self, ask: &Ask, now: Micros) -> Result<Page, StoreError> {
        match self.store.list(ask, now) {
            Err(e) if self.stands_in(ask.space, &e) => {
                let from = ask.after.as_deref().unwrap_or_default().max(ask.prefix.as_str());
                let mut within = self
                    .entries
                    .range(Key::new(ask.space, from)..)
                    .take_while(|(k, _)| k.space == ask.space && k.name.starts_with(&ask.prefix))
                    .filter(|(k, _)| Some(&k.name) != ask.after.as_ref());
                let entries = within.by_ref().take(ask.limit).map(|(_, e)| e.clone()).collect();
                Ok(Page { entries, more: within.next().is_some(), revision: self.revision })
            }
            answer => answer,
        }
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        self.store.apply(batch, now)
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        self.store.changes(since, now)
    }

    fn visit(&mut self, spaces: &[Space], now: Micros, each: Visitor<'_>) -> Result<Revision, StoreError> {
        self.store.visit(spaces, now, each)
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.store.replace(records, now)
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        self.store.verify(now)
    }

    fn health(&self) -> Health {
        self.store.health()
    }
}
