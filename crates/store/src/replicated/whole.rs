//! All records at once: read at one revision, replaced by a switch of generations, brought to another schema.

use super::link::Failure;
use super::wire::{Bytes, Compare, Num, Op, RangeAnswer, RangeRequest, TxnAnswer, TxnRequest};
use super::{About, Replicated};
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::migrate::{self, Records, SCHEMA};
use crate::record::Micros;
use crate::store::{Batch, Revision, Visitor};

/// Records that one call reads at most.
const AT_ONCE: u64 = 500;

impl Replicated {
    /// Shows the records of a generation as they are at one revision.
    pub(super) fn visit_of(
        &mut self,
        about: &About,
        spaces: &[Space],
        now: Micros,
        each: Visitor<'_>,
    ) -> Result<Revision, StoreError> {
        let mut revision = None;
        for space in spaces {
            let mut from = self.place(about, &format!("{}/", space.as_str()));
            let end = self.place(about, &format!("{}0", space.as_str()));
            loop {
                let ask = RangeRequest {
                    key: from,
                    range_end: Some(end.clone()),
                    limit: Some(Num(AT_ONCE)),
                    revision,
                };
                let found: RangeAnswer =
                    self.link.call("/v3/kv/range", &ask, true, now).map_err(Failure::told)?;
                revision = revision.or(Some(found.header.revision));
                let Some(last) = found.kvs.last().map(|kv| kv.key.clone()) else { break };
                for kv in found.kvs {
                    each(self.entry(about, kv)?)?;
                }
                if !found.more {
                    break;
                }
                from = Bytes([&last.0[..], b"\0"].concat());
            }
        }
        // Had the generation been replaced before this was read, its records would have been gone.
        if self.reread(now)?.is_none_or(|found| found != *about) {
            return Err(self.moving());
        }
        Ok(revision.map_or(Revision(0), |r| Revision(r.0)))
    }

    fn reread(&mut self, now: Micros) -> Result<Option<About>, StoreError> {
        let ask = RangeRequest { key: self.own("about"), ..RangeRequest::default() };
        let found: RangeAnswer = self.link.call("/v3/kv/range", &ask, true, now).map_err(Failure::told)?;
        Ok(found.kvs.first().and_then(|kv| serde_json::from_slice(&kv.value.0).ok()))
    }

    /// Writes records as a new generation and switches to it. With `head`, only if nothing else was written since
    /// that revision. What is not switched to is nobody's, and is removed with the next switch.
    pub(super) fn exchange(
        &mut self,
        about: &(About, Vec<u8>),
        records: Vec<(Key, Vec<u8>)>,
        head: Option<Revision>,
        now: Micros,
    ) -> Result<Revision, StoreError> {
        self.sequence += 1;
        let generation =
            format!("g{}-{:016x}", self.link.seen().0 + 1, self.nonce.wrapping_add(self.sequence));
        let next = About { schema: SCHEMA, generation };
        let mut puts: Vec<Op> = Vec::new();
        let mut weight = 0;
        for (key, value) in records {
            weight += key.name.len() + value.len();
            if !puts.is_empty() && (puts.len() == Batch::LARGEST || weight > Batch::HEAVIEST) {
                weight = key.name.len() + value.len();
                self.put_all(std::mem::take(&mut puts), now)?;
            }
            puts.push(Op::Put { key: self.place(&next, &key.text()), value: Bytes(value) });
        }
        self.put_all(puts, now)?;
        let value = serde_json::to_vec(&next).map_err(|e| StoreError::damaged("engine/about", e))?;
        let mut compare = vec![Compare::is(self.own("about"), Bytes(about.1.clone()))];
        compare.extend(head.map(|head| Compare::at(self.own("head"), head.0)));
        let put = |key, value| Op::Put { key, value };
        let switch = TxnRequest {
            compare,
            success: vec![
                put(self.own("about"), Bytes(value.clone())),
                put(self.own("head"), Bytes(next.generation.clone().into_bytes())),
            ],
            failure: vec![Op::read(self.own("about"))],
        };
        self.about = None;
        // Asked again where the answer is lost: `about` tells by the generation's name whether it was done.
        let answer: TxnAnswer = self.link.call("/v3/kv/txn", &switch, true, now).map_err(|e| match e {
            Failure::Unsure(e) => StoreError::Unsure { what: self.prefix.clone(), cause: e.to_string() },
            e => e.told(),
        })?;
        let found =
            answer.responses.first().and_then(|r| r.response_range.as_ref()).and_then(|r| r.kvs.first());
        let revision = match (answer.succeeded, found) {
            (true, _) => Revision(answer.header.revision.0),
            (false, Some(kv)) if kv.value.0 == value => Revision(kv.mod_revision.0),
            _ => return Err(self.moving()),
        };
        self.about = Some((next.clone(), value));
        // Generations other than this one, on both sides of it in the order of keys. Left behind if that fails.
        let (first, last) = (format!("{}/g", self.prefix), format!("{}/h", self.prefix));
        let mine = format!("{}/{}/", self.prefix, next.generation);
        let after = format!("{}/{}0", self.prefix, next.generation);
        let bytes = |text: String| Bytes(text.into_bytes());
        let remove = |from: String, to: String| Op::Remove { key: bytes(from), range_end: Some(bytes(to)) };
        let _ = self.put_all(vec![remove(first, mine), remove(after, last)], now);
        Ok(revision)
    }

    /// Does operations that may be done twice.
    fn put_all(&mut self, ops: Vec<Op>, now: Micros) -> Result<(), StoreError> {
        if ops.is_empty() {
            return Ok(());
        }
        let ask = TxnRequest { compare: vec![], success: ops, failure: vec![] };
        self.link.call::<TxnAnswer>("/v3/kv/txn", &ask, true, now).map(drop).map_err(Failure::told)
    }

    /// Brings the records to this program's schema: a new generation, switched to if nobody wrote meanwhile.
    pub(super) fn migrate(&mut self, about: (About, Vec<u8>), now: Micros) -> Result<(), StoreError> {
        let head = self.head(now)?;
        let mut records = Records::new();
        self.visit_of(&about.0, &Space::ALL, now, &mut |entry| {
            records.insert(entry.key, entry.value);
            Ok(())
        })?;
        migrate::steps(about.0.schema, &mut records, now)?;
        self.exchange(&about, records.into_iter().collect(), Some(head), now).map(drop)
    }
}
