//! One resource and who uses how much of it: a stock (connections that stand), or a flow (set-ups), which is a stock
//! that melts away with time.
//!
//! All uses of a flow melt alike, so they are kept as they would be by the time of the last sorting: then nothing
//! changes with time but one common factor, and no tenant is touched unless it acts.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::Place;
use crate::levels::{Bucket, Levels, bucket};

/// Uses of a flow are sorted anew after so many times the span in which they melt by e: factors stay below e^12.
const SORT_AFTER: u64 = 12;
/// Who has not acted for so many spans counts as using nothing.
const FORGET_AFTER: u64 = 4;
/// Sums of a stock are made anew after so many changes, which keeps rounding errors far below one connection.
const CHANGES_MOST: u32 = 1 << 20;

/// In single precision, so that 10,000 of them stay in a core's own cache: 24 bits tell every connection of a tenant
/// that has under 16 million.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// Its share of the whole fleet.
    size: f32,
    /// Its share times its weight.
    span: f32,
    used: f32,
    /// When it acted last (flows), in thousandths of the span.
    acted: u32,
    bucket: Option<Bucket>,
}

/// One resource.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// Uses melt by e in so long; none for a stock.
    span: Option<Micros>,
    /// Uses are as they would be at this time.
    sorted: Micros,
    members: Vec<Member>,
    levels: Levels,
    /// All shares together, as they are and by weight.
    size: f64,
    weighed: f64,
    changes: u32,
    /// Who acted when, oldest first (flows).
    acts: VecDeque<(Micros, u32)>,
}

impl Pool {
    /// A resource that is held and given back.
    pub fn stock() -> Pool {
        Pool {
            span: None,
            sorted: 0,
            members: Vec::new(),
            levels: Levels::new(),
            size: 0.0,
            weighed: 0.0,
            changes: 0,
            acts: VecDeque::new(),
        }
    }

    /// A resource that comes anew all the time, remembered for about `span`.
    pub fn flow(span: Micros, now: Micros) -> Pool {
        Pool { span: Some(span), sorted: now, ..Pool::stock() }
    }

    /// What one use at this time counts in the sums.
    fn unit(&self, now: Micros) -> f64 {
        self.span.map_or(1.0, |span| (now.saturating_sub(self.sorted) as f64 / span as f64).exp())
    }

    /// A time as members keep it; it comes round after 4 million spans, when the member is long forgotten.
    fn stamp(&self, now: Micros) -> u32 {
        self.span.map_or(0, |span| (now / (span / 1000).max(1)) as u32)
    }

    /// Gives a member its share of the whole fleet.
    pub fn set(&mut self, place: Place, size: f64, weight: f64) {
        if self.members.len() <= place.0 {
            self.members.resize(place.0 + 1, Member::default());
        }
        let m = self.members[place.0];
        if let Some(b) = m.bucket {
            self.levels.add(b, f64::from(-m.span), f64::from(-m.used));
        }
        let (size, weight) = (size as f32, weight as f32);
        self.size += f64::from(size) - f64::from(m.size);
        self.weighed += f64::from(size * weight) - f64::from(m.span);
        let m = Member { size, span: size * weight, bucket: None, ..m };
        self.members[place.0] = m;
        self.sort_in(place.0, m.used);
    }

    /// Puts a member that is in no bucket where it belongs.
    fn sort_in(&mut self, at: usize, used: f32) {
        let m = &mut self.members[at];
        m.used = used;
        // Buckets hold fullness at the time of the last sorting; the common factor is the same for all.
        m.bucket = (used > 0.0).then(|| bucket(f64::from(used), f64::from(m.span)));
        if let Some(b) = m.bucket {
            self.levels.add(b, f64::from(m.span), f64::from(used));
        }
    }

    fn change(&mut self, at: usize, to: f32) {
        let m = self.members[at];
        match m.bucket {
            Some(b) if to > 0.0 && bucket(f64::from(to), f64::from(m.span)) == b => {
                self.levels.grow(b, f64::from(to) - f64::from(m.used));
                self.members[at].used = to;
            }
            before => {
                if let Some(b) = before {
                    self.levels.add(b, f64::from(-m.span), f64::from(-m.used));
                }
                self.sort_in(at, to);
            }
        }
    }

    /// One more use.
    pub fn take(&mut self, now: Micros, place: Place) {
        self.tidy(now);
        let unit = self.unit(now);
        let acted = self.stamp(now);
        let Some(m) = self.members.get_mut(place.0) else { return };
        m.acted = acted;
        let to = m.used + unit as f32;
        self.change(place.0, to);
        if self.span.is_some() {
            self.acts.push_back((now, place.0 as u32));
        }
    }

    /// Sets what a member uses.
    pub fn put(&mut self, now: Micros, place: Place, used: f64) {
        let to = (used * self.unit(now)) as f32;
        if place.0 < self.members.len() {
            self.change(place.0, to);
        }
    }

    /// One use fewer (stocks).
    pub fn give_back(&mut self, now: Micros, place: Place) {
        self.tidy(now);
        if let Some(m) = self.members.get(place.0) {
            let to = (m.used - 1.0).max(0.0);
            self.change(place.0, to);
        }
    }

    /// Forgets who has not acted for long, and sorts anew when the common factor has grown large.
    fn tidy(&mut self, now: Micros) {
        self.changes += 1;
        let Some(span) = self.span else {
            if self.changes >= CHANGES_MOST {
                self.sort_all(1.0);
            }
            return;
        };
        while let Some(&(at, place)) = self.acts.front().filter(|a| now >= a.0 + FORGET_AFTER * span) {
            self.acts.pop_front();
            if self.members[place as usize].acted == self.stamp(at) {
                self.change(place as usize, 0.0);
            }
        }
        if now.saturating_sub(self.sorted) >= SORT_AFTER * span {
            let melted = 1.0 / self.unit(now);
            self.sorted = now;
            self.sort_all(melted);
        }
    }

    /// Makes all sums anew, each use times `factor`.
    fn sort_all(&mut self, factor: f64) {
        self.changes = 0;
        self.levels.clear();
        self.size = self.members.iter().map(|m| f64::from(m.size)).sum();
        self.weighed = self.members.iter().map(|m| f64::from(m.span)).sum();
        for at in 0..self.members.len() {
            let used = (f64::from(self.members[at].used) * factor) as f32;
            self.sort_in(at, used);
        }
    }

    /// A member's share of the whole fleet.
    pub fn size(&self, place: Place) -> f64 {
        self.members.get(place.0).map_or(0.0, |m| f64::from(m.size))
    }

    /// What a member uses.
    pub fn used(&self, now: Micros, place: Place) -> f64 {
        self.members.get(place.0).map_or(0.0, |m| f64::from(m.used) / self.unit(now))
    }

    /// All shares together.
    pub fn all(&self) -> f64 {
        self.size
    }

    /// All uses together.
    pub fn total(&self, now: Micros) -> f64 {
        (self.levels.used() / self.unit(now)).max(0.0)
    }

    /// The fullness at which all uses, cut off there, come to `limit`; infinite where they are less.
    pub fn level(&self, now: Micros, limit: f64) -> f64 {
        let unit = self.unit(now);
        self.levels.level(limit * unit) / unit
    }

    /// The fullness that this part of all shares stays below.
    pub fn quantile(&self, now: Micros, part: f64) -> f64 {
        self.levels.quantile(part, self.weighed) / self.unit(now)
    }
}
