//! The replicated engine: an etcd cluster that several instances share, spoken to through its JSON gateway.
//!
//! Records stand under `PREFIX/GENERATION/`, what this module needs for itself under `PREFIX/engine/`:
//!
//! - `engine/about`: the schema and the generation. Every transaction has the condition that it is as this
//!   instance knows it, so a program that is too old can't write into a store that has moved on, and replacing
//!   all records is one switch from one generation to the next.
//! - `engine/head`: written by every transaction. Its revision is the newest that matters, so asking for it tells
//!   whether there are changes, and it marks in a watch that all up to there has come.
//! - `engine/mark/INSTANCE`: the number of this instance's last transaction, and a condition of its next one. If
//!   an answer is lost, a fence (a transaction that only moves the mark) finds out whether the lost one was done
//!   and keeps it from being done later. So no change is made twice, and none is reported wrongly.
//!
//! A watch is opened when the head has moved and read until it shows the head, rather than left standing: a
//! standing stream that is silent can't be told from one that is cut, and the client library blocks.

mod link;
mod whole;
mod wire;

use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::migrate::SCHEMA;
use crate::record::Micros;
use crate::store::{Ask, Batch, Change, Changes, Condition, Entry, Health, Page, Revision, Store, Visitor};
use link::{Failure, Link, unsure};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wire::{
    Bytes, Compare, Kv, Num, Op, RangeAnswer, RangeRequest, TxnAnswer, TxnRequest, WatchCreate, WatchLine,
    WatchRequest,
};

/// The most revisions that one answer about changes covers.
const CHANGES_AT_ONCE: usize = 500;

/// How often a call is made anew because what this instance knew of the store was out of date.
const TRIES: usize = 4;

/// Where the engine is and who speaks to it.
#[derive(Clone, Debug)]
pub struct Options {
    /// The members' addresses, as `http://HOST:PORT`.
    pub endpoints: Vec<String>,
    /// What all keys begin with; several services may share a cluster.
    pub prefix: String,
    /// This instance's name, which no other instance has.
    pub instance: String,
    /// A call is given up after this time.
    pub call: Duration,
    /// Seed for waits that are partly chance, and for a mark that is new at each start.
    pub seed: u64,
}

impl Options {
    /// The usual times: a call is given up after 700 ms, so that trying another member stays within 2 s.
    pub fn new(endpoints: Vec<String>, prefix: &str, instance: &str, seed: u64) -> Options {
        let (prefix, instance) = (prefix.to_string(), instance.to_string());
        Options { endpoints, prefix, instance, call: Duration::from_millis(700), seed }
    }
}

/// What the store says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct About {
    schema: u32,
    generation: String,
}

/// A transaction whose answer did not come.
struct Lost {
    /// What the mark was before it.
    before: Option<String>,
    /// What it would make of the mark.
    mark: String,
}

/// A store that several instances share.
pub struct Replicated {
    link: Link,
    prefix: String,
    instance: String,
    /// New at each start, so that an earlier process of the same name is told from this one.
    nonce: u64,
    sequence: u64,
    /// As it was read; `None` before.
    about: Option<(About, Vec<u8>)>,
    /// The mark as it was last seen; `None` outside for not read yet, inside for not there.
    mark: Option<Option<String>>,
    lost: Option<Lost>,
}

impl Replicated {
    /// Speaks to nobody yet: an instance starts whether or not the engine is there.
    pub fn new(options: &Options) -> Result<Replicated, Invalid> {
        let fits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        if !fits(&options.prefix) {
            return Err(Invalid::new("prefix", "is not visible ASCII without '/'"));
        }
        if !fits(&options.instance) {
            return Err(Invalid::new("instance", "is not visible ASCII without '/'"));
        }
        Ok(Replicated {
            link: Link::new(&options.endpoints, options.call, options.seed)?,
            prefix: options.prefix.clone(),
            instance: options.instance.clone(),
            nonce: Pcg64Mcg::seed_from_u64(options.seed ^ 0x6d61_726b).next_u64(),
            sequence: 0,
            about: None,
            mark: None,
            lost: None,
        })
    }

    fn own(&self, name: &str) -> Bytes {
        Bytes(format!("{}/engine/{name}", self.prefix).into_bytes())
    }

    fn mark_key(&self) -> Bytes {
        self.own(&format!("mark/{}", self.instance))
    }

    /// A record's key in the engine.
    fn place(&self, about: &About, key: &str) -> Bytes {
        Bytes(format!("{}/{}/{key}", self.prefix, about.generation).into_bytes())
    }

    /// What the store says of itself; begins the store where there is none, and brings its schema up to date.
    fn about(&mut self, now: Micros) -> Result<(About, Vec<u8>), StoreError> {
        if let Some(about) = &self.about {
            return Ok(about.clone());
        }
        for _ in 0..TRIES {
            let key = self.own("about");
            let ask = RangeRequest { key: key.clone(), ..RangeRequest::default() };
            let found: RangeAnswer =
                self.link.call("/v3/kv/range", &ask, true, now).map_err(Failure::told)?;
            let Some(kv) = found.kvs.into_iter().next() else {
                let first = About { schema: SCHEMA, generation: format!("g1-{:016x}", self.nonce) };
                let value = serde_json::to_vec(&first).map_err(|e| StoreError::damaged("engine/about", e))?;
                let put = |key, value| Op::Put { key, value };
                let begin = TxnRequest {
                    compare: vec![Compare::absent(key.clone())],
                    success: vec![put(key, Bytes(value)), put(self.own("head"), Bytes(b"begin".into()))],
                    failure: vec![],
                };
                // Doing it twice does no harm: the second finds what the first began.
                let _: TxnAnswer = self.link.call("/v3/kv/txn", &begin, true, now).map_err(Failure::told)?;
                continue;
            };
            let what = format!("{}/engine/about", self.prefix);
            let about: About =
                serde_json::from_slice(&kv.value.0).map_err(|e| StoreError::damaged(&what, e))?;
            if about.schema > SCHEMA {
                return Err(StoreError::NewerSchema { what, found: about.schema, known: SCHEMA });
            }
            if about.schema < SCHEMA {
                self.migrate((about, kv.value.0), now)?;
                continue;
            }
            self.about = Some((about.clone(), kv.value.0.clone()));
            return Ok((about, kv.value.0));
        }
        Err(self.moving())
    }

    /// The store was changed from under each try.
    fn moving(&self) -> StoreError {
        let cause = "the store is being replaced or is moving to another schema".into();
        StoreError::Unavailable { endpoint: self.prefix.clone(), cause }
    }

    /// Reads one key, or from there on those that begin with `within`, under the condition that the generation
    /// still stands.
    fn read(
        &mut self,
        now: Micros,
        mut range: RangeRequest,
        key: &str,
        within: Option<&str>,
    ) -> Result<RangeAnswer, StoreError> {
        for _ in 0..TRIES {
            let (about, value) = self.about(now)?;
            range.key = self.place(&about, key);
            // Keys are UTF-8, so none that begins so has this byte next.
            range.range_end = within.map(|w| Bytes([&self.place(&about, w).0[..], b"\xff"].concat()));
            let ask = TxnRequest {
                compare: vec![Compare::is(self.own("about"), Bytes(value))],
                success: vec![Op::Range(range.clone())],
                failure: vec![],
            };
            let answer: TxnAnswer = self.link.call("/v3/kv/txn", &ask, true, now).map_err(Failure::told)?;
            if !answer.succeeded {
                self.about = None;
                continue;
            }
            let revision = answer.header.revision;
            let found = answer.responses.into_iter().next().and_then(|r| r.response_range);
            let mut found =
                found.ok_or_else(|| StoreError::damaged(key, "the engine answers something else"))?;
            found.header.revision = revision;
            return Ok(found);
        }
        Err(self.moving())
    }

    /// Reads up to as many keys as a transaction may.
    fn read_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        for _ in 0..TRIES {
            let (about, value) = self.about(now)?;
            let ask = TxnRequest {
                compare: vec![Compare::is(self.own("about"), Bytes(value))],
                success: keys.iter().map(|key| Op::read(self.place(&about, &key.text()))).collect(),
                failure: vec![],
            };
            let answer: TxnAnswer = self.link.call("/v3/kv/txn", &ask, true, now).map_err(Failure::told)?;
            if !answer.succeeded {
                self.about = None;
                continue;
            }
            if answer.responses.len() != keys.len() {
                return Err(StoreError::damaged(&self.prefix, "the engine answers something else"));
            }
            let found =
                answer.responses.into_iter().map(|r| r.response_range.and_then(|r| r.kvs.into_iter().next()));
            return found.map(|kv| kv.map(|kv| self.entry(&about, kv)).transpose()).collect();
        }
        Err(self.moving())
    }

    /// A record of what the engine told.
    fn entry(&self, about: &About, kv: Kv) -> Result<Entry, StoreError> {
        let text = String::from_utf8_lossy(&kv.key.0).into_owned();
        let key = text.strip_prefix(&format!("{}/{}/", self.prefix, about.generation)).and_then(Key::parse);
        let key = key.ok_or_else(|| StoreError::damaged(&text, "is no key"))?;
        Ok(Entry { key, revision: Revision(kv.mod_revision.0), value: kv.value.0 })
    }

    fn next_mark(&mut self) -> String {
        self.sequence += 1;
        format!("{:016x}:{:020}", self.nonce, self.sequence)
    }

    /// What the mark is now.
    fn marked(&mut self, now: Micros) -> Result<Option<String>, StoreError> {
        if let Some(mark) = &self.mark {
            return Ok(mark.clone());
        }
        let ask = RangeRequest { key: self.mark_key(), ..RangeRequest::default() };
        let found: RangeAnswer = self.link.call("/v3/kv/range", &ask, true, now).map_err(Failure::told)?;
        let mark = found.kvs.into_iter().next().map(|kv| text(kv.value));
        self.mark = Some(mark.clone());
        Ok(mark)
    }

    fn mark_is(&self, mark: &Option<String>) -> Compare {
        match mark {
            Some(mark) => Compare::is(self.mark_key(), Bytes(mark.clone().into_bytes())),
            None => Compare::absent(self.mark_key()),
        }
    }

    /// Finds out what became of a transaction whose answer did not come, and keeps it from being done later: the
    /// revision in which it was done, or `None`.
    ///
    /// `urgent` asks members that were to be left alone for a moment too: somebody waits for the answer.
    fn settle(&mut self, urgent: bool, now: Micros) -> Result<Option<Revision>, StoreError> {
        let Some(lost) = &self.lost else { return Ok(None) };
        let (before, mine) = (lost.before.clone(), lost.mark.clone());
        let fence = self.next_mark();
        let ask = TxnRequest {
            compare: vec![self.mark_is(&before)],
            success: vec![Op::Put { key: self.mark_key(), value: Bytes(fence.clone().into_bytes()) }],
            failure: vec![Op::read(self.mark_key())],
        };
        if urgent {
            self.link.forgive();
        }
        // A fence may be done twice: the second finds the first.
        let answer: TxnAnswer = self.link.call("/v3/kv/txn", &ask, true, now).map_err(Failure::told)?;
        if answer.succeeded {
            self.mark = Some(Some(fence));
            self.lost = None;
            return Ok(None);
        }
        let found = answer.responses.into_iter().next().and_then(|r| r.response_range);
        let found = found.and_then(|range| range.kvs.into_iter().next());
        let found = found.map(|kv| (text(kv.value), Revision(kv.mod_revision.0)));
        self.mark = Some(found.as_ref().map(|(mark, _)| mark.clone()));
        self.lost = None;
        match found {
            Some((mark, revision)) if mark == mine => Ok(Some(revision)),
            // A fence of ours: since it was done, the lost one was not and will not be.
            Some((mark, _)) if mark.starts_with(&format!("{:016x}:", self.nonce)) && mark > mine => Ok(None),
            _ => {
                let cause = format!("another process writes as {:?}", self.instance);
                Err(StoreError::damaged(format!("{}/engine/mark", self.prefix), cause))
            }
        }
    }

    /// Why a transaction's conditions did not hold; `None` if it is to be tried anew with what is known now.
    fn refused(&mut self, batch: &Batch, about: &[u8], answer: TxnAnswer) -> Option<StoreError> {
        let mut found =
            answer.responses.into_iter().map(|r| r.response_range.and_then(|r| r.kvs.into_iter().next()));
        let now_about = found.next().flatten();
        let now_mark = found.next().flatten();
        if now_about.is_none_or(|kv| kv.value.0 != about) {
            self.about = None;
            return None;
        }
        let mark = now_mark.map(|kv| text(kv.value));
        if self.mark.as_ref() != Some(&mark) {
            self.mark = Some(mark);
            return None;
        }
        for (condition, kv) in batch.conditions.iter().zip(found) {
            let found = kv.map_or(Revision(0), |kv| Revision(kv.mod_revision.0));
            match condition {
                Condition::Absent(key) if found > Revision(0) => {
                    return Some(StoreError::Exists { key: key.text() });
                }
                Condition::At(key, expected) if found != *expected => {
                    return Some(StoreError::Conflict { key: key.text(), expected: *expected, found });
                }
                _ => {}
            }
        }
        None
    }

    fn transaction(
        &self,
        batch: &Batch,
        about: &(About, Vec<u8>),
        before: &Option<String>,
        mark: &str,
    ) -> TxnRequest {
        let place = |key: &Key| self.place(&about.0, &key.text());
        let put = |key, value| Op::Put { key, value };
        let mut compare = vec![Compare::is(self.own("about"), Bytes(about.1.clone())), self.mark_is(before)];
        let mut failure = vec![Op::read(self.own("about")), Op::read(self.mark_key())];
        for condition in &batch.conditions {
            let (Condition::Absent(key) | Condition::At(key, _)) = condition;
            compare.push(match condition {
                Condition::Absent(key) => Compare::absent(place(key)),
                Condition::At(key, revision) => Compare::at(place(key), revision.0),
            });
            failure.push(Op::read(place(key)));
        }
        let mut success: Vec<Op> = batch
            .writes
            .iter()
            .map(|(key, value)| match value {
                Some(value) => put(place(key), Bytes(value.clone())),
                None => Op::Remove { key: place(key), range_end: None },
            })
            .collect();
        success.push(put(self.own("head"), Bytes(mark.as_bytes().to_vec())));
        success.push(put(self.mark_key(), Bytes(mark.as_bytes().to_vec())));
        TxnRequest { compare, success, failure }
    }

    /// The revision of the last transaction, as a member that can't be behind tells it.
    fn head(&mut self, now: Micros) -> Result<Revision, StoreError> {
        let ask = RangeRequest { key: self.own("head"), ..RangeRequest::default() };
        let found: RangeAnswer = self.link.call("/v3/kv/range", &ask, true, now).map_err(Failure::told)?;
        Ok(found.kvs.first().map_or(Revision(0), |kv| Revision(kv.mod_revision.0)))
    }

    /// Reads a watch from after `since` until it shows the head at `head`.
    fn watch(&mut self, since: Revision, head: Revision, now: Micros) -> Result<Changes, StoreError> {
        let (about, _) = self.about(now)?;
        let start = Num(since.0 + 1);
        let (key, range_end) = (
            Bytes(format!("{}/", self.prefix).into_bytes()),
            Bytes(format!("{}0", self.prefix).into_bytes()),
        );
        let ask = WatchRequest { create_request: WatchCreate { key, range_end, start_revision: start } };
        let (head_key, about_key) = (self.own("head"), self.own("about"));
        let within = format!("{}/{}/", self.prefix, about.generation);
        let (mut changes, mut upto, mut more) = (Vec::new(), since, true);
        let mut compacted = None;
        let (mut told, mut replaced) = (0, false);
        let result = self.link.lines("/v3/watch", &ask, now, &mut |line| {
            let line: WatchLine = serde_json::from_str(line).map_err(|e| unsure("watch", e))?;
            if let Some(refusal) = line.error {
                return Err(unsure("watch", refusal.message));
            }
            let result = line.result;
            if result.compact_revision.0 > 0 {
                compacted = Some(Revision(result.compact_revision.0));
                return Ok(true);
            }
            if result.canceled {
                return Err(unsure("watch", result.cancel_reason));
            }
            for event in result.events {
                let revision = Revision(event.kv.mod_revision.0);
                upto = upto.max(revision);
                replaced |= event.kv.key == about_key;
                if event.kv.key == head_key {
                    told += 1;
                    more &= revision < head;
                }
                let text = text(event.kv.key);
                let Some(key) = text.strip_prefix(&within).and_then(Key::parse) else { continue };
                let removed = event.kind.as_deref() == Some("DELETE");
                let value = (!removed).then_some(event.kv.value.0);
                changes.push(Change { key, revision, value });
            }
            // One line holds whole revisions.
            Ok(!more || replaced || told >= CHANGES_AT_ONCE)
        });
        if let Some(oldest) = compacted {
            return Ok(Changes::Compacted { oldest });
        }
        if replaced {
            self.about = None;
            return Ok(Changes::Compacted { oldest: upto });
        }
        match result {
            // Some of it came before the stream broke off: that much is known.
            Err(Failure::Unsure(_)) if upto > since => {}
            Err(e) => return Err(e.told()),
            Ok(()) => {}
        }
        Ok(Changes::Since { changes, upto, more })
    }
}

fn text(bytes: Bytes) -> String {
    String::from_utf8_lossy(&bytes.0).into_owned()
}

impl Store for Replicated {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        let found = self.read(now, RangeRequest::default(), &key.text(), None)?;
        let (about, _) = self.about(now)?;
        found.kvs.into_iter().next().map(|kv| self.entry(&about, kv)).transpose()
    }

    fn get_many(&mut self, keys: &[Key], now: Micros) -> Result<Vec<Option<Entry>>, StoreError> {
        let mut entries = Vec::with_capacity(keys.len());
        for keys in keys.chunks(Batch::LARGEST) {
            entries.extend(self.read_many(keys, now)?);
        }
        Ok(entries)
    }

    fn list(&mut self, ask: &Ask, now: Micros) -> Result<Page, StoreError> {
        let within = format!("{}/{}", ask.space.as_str(), ask.prefix);
        let after = ask.after.as_ref().map(|name| format!("{}/{name}\0", ask.space.as_str()));
        let from = after.filter(|a| *a > within).unwrap_or_else(|| within.clone());
        let range = RangeRequest { limit: Some(Num(ask.limit as u64)), ..RangeRequest::default() };
        let found = self.read(now, range, &from, Some(&within))?;
        let (about, _) = self.about(now)?;
        let revision = Revision(found.header.revision.0);
        let entries = found.kvs.into_iter().map(|kv| self.entry(&about, kv)).collect::<Result<_, _>>()?;
        Ok(Page { entries, more: found.more, revision })
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        batch.check()?;
        self.settle(false, now)?;
        let mut lost = 0;
        for _ in 0..TRIES {
            let about = self.about(now)?;
            let before = self.marked(now)?;
            let mark = self.next_mark();
            let ask = self.transaction(batch, &about, &before, &mark);
            match self.link.call::<TxnAnswer>("/v3/kv/txn", &ask, false, now) {
                Ok(answer) if answer.succeeded => {
                    self.mark = Some(Some(mark));
                    return Ok(Revision(answer.header.revision.0));
                }
                Ok(answer) => match self.refused(batch, &about.1, answer) {
                    Some(e) => return Err(e),
                    None => continue,
                },
                Err(Failure::Unsure(e)) => {
                    self.lost = Some(Lost { before, mark });
                    lost += 1;
                    match self.settle(true, now) {
                        Ok(Some(revision)) => return Ok(revision),
                        Ok(None) if lost == 1 => continue,
                        Ok(None) => return Err(e),
                        Err(_) => {
                            let what = self.prefix.clone();
                            return Err(StoreError::Unsure { what, cause: e.to_string() });
                        }
                    }
                }
                Err(e) => return Err(e.told()),
            }
        }
        Err(self.moving())
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        self.about(now)?;
        let head = self.head(now)?;
        match head > since {
            true => self.watch(since, head, now),
            false => Ok(Changes::Since { changes: Vec::new(), upto: since, more: false }),
        }
    }

    fn visit(&mut self, spaces: &[Space], now: Micros, each: Visitor<'_>) -> Result<Revision, StoreError> {
        self.about = None;
        let about = self.about(now)?;
        self.visit_of(&about.0, spaces, now, each)
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.settle(false, now)?;
        let about = self.about(now)?;
        self.exchange(&about, records, None, now)
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        self.visit(&Space::ALL, now, &mut |_| Ok(())).map(drop)
    }

    fn health(&self) -> Health {
        Health {
            engine: format!("etcd under {}/", self.prefix),
            revision: self.link.seen(),
            answered: self.link.answered(),
            trouble: self.link.trouble().cloned(),
            schema: self.about.as_ref().map_or(SCHEMA, |(about, _)| about.schema),
        }
    }
}
