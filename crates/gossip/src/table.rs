//! What others have said, by sender: the newest note of each, how old it is, and how much of it is believed.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, BTreeSet};

use crate::Rules;
use crate::datagram::Refusal;
use crate::note::Note;

/// A sender's clock may run slower than this one's by so much, in millionths.
const DRIFT: u64 = 200;
/// No entry counts for more connections than this, nor for more load than so many connections of the middle load.
const MOST_OPEN: u16 = 1_024;
const MOST_LOADS: f64 = 20.0;

/// What is known of one sender.
#[derive(Debug)]
struct Sender {
    life: u64,
    at: u32,
    /// Its clock's zero on this one, at the latest: each note came this much or more after it was said.
    zero: i64,
    zero_at: Micros,
    /// When its note was said, at the earliest.
    said: Micros,
    heard: Micros,
    note: Note,
}

/// What others hold, as far as it is believed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Elsewhere {
    /// By server: load, connections, and the groups of which there is any (the lower halves of their ids).
    pub servers: BTreeMap<u64, (f64, f64, BTreeSet<u32>)>,
    /// The part of the fleet's other balancers whose notes count, by how much they do.
    pub heard: f64,
}

/// The newest note of each sender of the fleet.
#[derive(Debug, Default)]
pub struct Table {
    senders: BTreeMap<u64, Sender>,
}

impl Table {
    /// Takes a note from a sender of the fleet in; what is no newer than what it said before is refused.
    pub fn take(&mut self, now: Micros, rules: &Rules, note: &Note) -> Result<(), Refusal> {
        let zero = now as i64 - i64::from(note.at) * 1_000;
        let before = self.senders.get(&note.sender);
        let mut s = Sender {
            life: note.life,
            at: note.at,
            zero,
            zero_at: now,
            said: now,
            heard: now,
            note: note.clone(),
        };
        if let Some(b) = before {
            let same = note.life == b.life;
            // A life that seems older is a clock set back, once nothing was heard of the later one for long.
            let gone = now >= b.heard + rules.forgotten;
            if (same && note.at <= b.at) || (note.life < b.life && !gone) {
                return Err(Refusal::Old);
            }
            let drifted = b.zero + ((now - b.zero_at) * DRIFT / 1_000_000) as i64;
            if same && drifted < zero {
                (s.zero, s.zero_at) = (drifted, now);
            }
        }
        // What took longer on its way than the quickest one is older by as much.
        s.said = (s.zero + i64::from(note.at) * 1_000).clamp(0, now as i64) as Micros;
        self.senders.insert(note.sender, s);
        Ok(())
    }

    /// Forgets all but these.
    pub fn keep(&mut self, senders: &[u64]) {
        self.senders.retain(|id, _| senders.contains(id));
    }

    /// The note of a sender.
    pub fn note(&self, sender: u64) -> Option<&Note> {
        self.senders.get(&sender).map(|s| &s.note)
    }

    /// How much a note counts: whole while it is fresh, then less, until it is forgotten.
    fn weight(now: Micros, rules: &Rules, s: &Sender) -> f64 {
        let age = now.saturating_sub(s.said);
        let left = rules.forgotten.saturating_sub(age) as f64;
        (left / (rules.forgotten - rules.fresh).max(1) as f64).min(1.0)
    }

    /// What all of them hold by now, of a fleet with so many others.
    pub fn elsewhere(&self, now: Micros, rules: &Rules, others: usize) -> Elsewhere {
        let all = self.senders.values().map(|s| (Table::weight(now, rules, s), &s.note));
        let all: Vec<_> = all.filter(|(w, _)| *w > 0.0).collect();
        let loads = all.iter().flat_map(|(_, n)| &n.held).map(|h| f64::from(h.load) / f64::from(h.open));
        let mut loads: Vec<f64> = loads.collect();
        loads.sort_by(f64::total_cmp);
        let most = loads.get(loads.len() / 2).map_or(0.0, |middle| middle * MOST_LOADS);
        let mut elsewhere = Elsewhere::default();
        for (w, note) in all {
            elsewhere.heard += w / others.max(1) as f64;
            for h in &note.held {
                let open = f64::from(h.open.min(MOST_OPEN));
                let (load, conns, groups) = elsewhere.servers.entry(h.server).or_default();
                *load += w * f64::from(h.load).min(open * most);
                *conns += w * open;
                if h.group != 0 {
                    groups.insert(h.group);
                }
            }
        }
        elsewhere
    }
}
