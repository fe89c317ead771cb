//! Telling and hearing: the own note, whom it goes to, which notes of others go with it, and what is taken in.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::datagram::{Key, Refusal};
use crate::note::{Held, MOST_HELD, Note};
use crate::sender_id;
use crate::table::{Elsewhere, Table};

/// Figures that all balancers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A datagram goes out to each of `fanout` others this often.
    pub every: Micros,
    /// Others that are told each time.
    pub fanout: usize,
    /// The own note is said anew this often though nothing has changed.
    pub beat: Micros,
    /// A note counts whole up to this age ...
    pub fresh: Micros,
    /// ... and not at all from this one on.
    pub forgotten: Micros,
    /// With less than this part of the others heard of, a balancer is alone.
    pub least: f64,
}

impl Default for Rules {
    /// With 300 balancers most hear of a change within five rounds, and nine in ten of each beat; who is not heard of for two
    /// of them may be gone, and its connections with it.
    fn default() -> Self {
        Rules {
            every: 50_000,
            fanout: 3,
            beat: 1_000_000,
            fresh: 2_500_000,
            forgotten: 4_000_000,
            least: 0.5,
        }
    }
}

/// What was told and heard since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    /// Datagrams that went out, and their bytes.
    pub sent: u64,
    /// Bytes of them.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub came: u64,
    /// Notes in them that told something new.
    pub news: u64,
    /// Times at which more was held than a note has room for.
    pub untold: u64,
    /// What was not taken, by reason.
    pub refused: BTreeMap<Refusal, u64>,
}

/// A note that goes on, and how often it went.
#[derive(Debug)]
struct Passing {
    sender: u64,
    went: u32,
}

/// One balancer's part.
#[derive(Debug)]
pub struct Gossip {
    key: Key,
    rules: Rules,
    me: u64,
    life: u64,
    began: Micros,
    /// The others of the fleet; a place in here names one.
    others: Vec<u64>,
    table: Table,
    own: Note,
    changed: Micros,
    passing: Vec<Passing>,
    rng: Pcg64Mcg,
    stats: Stats,
}

impl Gossip {
    /// The balancer of this name in a fleet with these others, from now on. `life`: when its process began, as Unix time in
    /// microseconds. All its randomness comes from `seed`.
    pub fn new(
        now: Micros,
        life: u64,
        me: &str,
        others: &[String],
        key: Key,
        rules: Rules,
        seed: u64,
    ) -> Gossip {
        let own = Note { sender: sender_id(me), life, at: 0, held: Vec::new() };
        let others = others.iter().map(|name| sender_id(name)).collect();
        let (table, passing, stats) = Default::default();
        let (me, changed, rng) = (own.sender, 0, Pcg64Mcg::seed_from_u64(seed));
        Gossip { key, rules, me, life, began: now, others, table, own, changed, passing, rng, stats }
    }

    /// The others of the fleet are these from now on. Who is none of them any more is not believed.
    pub fn take_others(&mut self, others: &[String]) {
        self.others = others.iter().map(|name| sender_id(name)).collect();
        self.table.keep(&self.others);
        self.passing.retain(|p| p.sender == self.me || self.others.contains(&p.sender));
    }

    /// How often a note goes on from here: enough that it comes to all of them.
    fn most(&self) -> u32 {
        3 * ((self.others.len() + 2) as f64).ln().ceil() as u32
    }

    fn goes_on(&mut self, sender: u64) {
        self.passing.retain(|p| p.sender != sender);
        self.passing.insert(0, Passing { sender, went: 0 });
    }

    /// It is time to tell others, with what is held here by now: datagrams, each with the place of whom it goes to. Who holds
    /// more than a note has room for says nothing of it, and passes on what others say.
    pub fn due(&mut self, now: Micros, held: Vec<Held>) -> Vec<(usize, Vec<u8>)> {
        if held.len() > MOST_HELD {
            // A part of it would make the servers that are left out look empty to all others.
            self.stats.untold += 1;
            self.passing.retain(|p| p.sender != self.me);
        } else if held != self.own.held || self.own.at == 0 || now >= self.changed + self.rules.beat {
            // Times of one life differ, so that two notes never look alike.
            let at = ((now - self.began) / 1_000).max(u64::from(self.own.at) + 1).min(u64::from(u32::MAX));
            self.own = Note { sender: self.me, life: self.life, at: at as u32, held };
            self.changed = now;
            self.goes_on(self.me);
        }
        let mut places: Vec<usize> = (0..self.others.len()).collect();
        let (some, _) = places.partial_shuffle(&mut self.rng, self.rules.fanout);
        let (mut out, most) = (Vec::new(), self.most());
        for place in some.iter().copied() {
            // What has gone least often goes first, and of that what is newest.
            self.passing.sort_by_key(|p| p.went);
            let (mut room, mut notes) = (Key::ROOM, Vec::new());
            for p in &mut self.passing {
                let note = if p.sender == self.me { Some(&self.own) } else { self.table.note(p.sender) };
                let Some(note) = note.filter(|n| n.bytes() <= room && self.others[place] != n.sender) else {
                    continue;
                };
                (room, p.went) = (room - note.bytes(), p.went + 1);
                notes.push(note);
            }
            if !notes.is_empty() {
                let datagram = self.key.seal(notes);
                self.stats.sent += 1;
                self.stats.sent_bytes += datagram.len() as u64;
                out.push((place, datagram));
            }
        }
        self.passing.retain(|p| p.went < most);
        out
    }

    /// A datagram has come.
    pub fn heard(&mut self, now: Micros, datagram: &[u8]) {
        self.stats.came += 1;
        let notes = match self.key.open(datagram) {
            Ok(notes) => notes,
            Err(why) => return self.refuse(why),
        };
        for note in &notes {
            let taken = match note.sender {
                me if me == self.me => Err(Refusal::Own),
                sender if !self.others.contains(&sender) => Err(Refusal::Foreign),
                _ => self.table.take(now, &self.rules, note),
            };
            match taken {
                Ok(()) => {
                    self.stats.news += 1;
                    self.goes_on(note.sender);
                }
                Err(why) => self.refuse(why),
            }
        }
    }

    fn refuse(&mut self, why: Refusal) {
        *self.stats.refused.entry(why).or_default() += 1;
    }

    /// What the others hold by now; none where too few of them are heard of, or there is nobody else.
    pub fn elsewhere(&self, now: Micros) -> Option<Elsewhere> {
        let elsewhere = self.table.elsewhere(now, &self.rules, self.others.len());
        (!self.others.is_empty() && elsewhere.heard >= self.rules.least).then_some(elsewhere)
    }

    /// What was told and heard.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }
}
