//! What is divided and by which terms; the same at all members but for the place.

use shorewharf_units::Micros;
use thiserror::Error;

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// So many a second.
    Rate,
    /// So many that stand at once, in whole ones.
    Level,
}

/// One budget of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name, the same at all members.
    pub name: String,
    /// What it counts.
    pub kind: Kind,
    /// What the whole fleet may use.
    pub whole: f64,
}

/// Terms by which budgets are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The budgets.
    pub budgets: Vec<Budget>,
    /// A grant is in force for so long after its holder sent the beat that it names.
    pub lease: Micros,
    /// So much is left out at the holder's end of a lease and added at the leader's: clocks may run apart by so much over a lease.
    pub margin: Micros,
    /// How often the store is looked at.
    pub look: Micros,
    /// Connections that stand under a part that is gone are moved within so long; the part counts as in use until then.
    pub linger: Micros,
    /// The part of each whole that is never divided by need: a fixed share of it is each member's.
    pub reserve: f64,
    /// The part of what is divided that all members get alike, whatever they need.
    pub floor: f64,
    /// The greatest number of members.
    pub members: usize,
    /// This member's place among them, from 0.
    pub place: usize,
}

/// Terms that can't be kept.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{key}: {why}")]
pub struct Problem {
    /// The term.
    pub key: &'static str,
    /// What is wrong with it.
    pub why: String,
}

/// Beats in a lease: two may be lost.
const BEATS: u64 = 3;
/// A look may take as long as the one after it begins, and a beat has to be read, confirmed and seen by looks.
const LOOKS: u64 = 8;

impl Rules {
    /// Refuses terms that can't be kept, by name.
    pub fn check(&self) -> Result<(), Problem> {
        let wrong = |key, why: String| Err(Problem { key, why });
        if self.look == 0 || self.lease < LOOKS * self.look {
            let least = LOOKS * self.look.max(1);
            return wrong(
                "lease",
                format!(
                    "{} us is under {LOOKS} looks ({least} us): it would end before it is renewed",
                    self.lease
                ),
            );
        }
        if self.margin == 0 || self.margin > self.lease / 4 {
            return wrong(
                "margin",
                format!("{} us is not above 0 and at most a quarter of the lease", self.margin),
            );
        }
        if !(0.0..=0.5).contains(&self.reserve) {
            return wrong("reserve", format!("{} is not from 0 to 0.5", self.reserve));
        }
        if !(0.0..=0.5).contains(&self.floor) {
            return wrong(
                "floor",
                format!("{} is not from 0 to 0.5: beyond that needs would count for little", self.floor),
            );
        }
        if self.members == 0 || self.place >= self.members {
            return wrong("members", format!("place {} of {} members", self.place, self.members));
        }
        for b in &self.budgets {
            if !b.whole.is_finite() || b.whole < 0.0 {
                return wrong("whole", format!("{} of {} is no amount", b.whole, b.name));
            }
            if self.budgets.iter().filter(|other| other.name == b.name).count() > 1 {
                return wrong("budgets", format!("{} comes twice", b.name));
            }
        }
        Ok(())
    }

    /// How often a member writes its row.
    pub fn beat(&self) -> Micros {
        self.lease / BEATS
    }

    /// What is divided by need of a whole.
    pub fn divided(&self, kind: Kind, whole: f64) -> f64 {
        whole - self.reserved(kind, whole)
    }

    fn reserved(&self, kind: Kind, whole: f64) -> f64 {
        match kind {
            Kind::Rate => whole * self.reserve,
            Kind::Level => (whole * self.reserve).floor(),
        }
    }

    /// This member's own part of the reserve. Whole ones are dealt out by place, so that all parts together are the reserve;
    /// where there are fewer of them than members some have none.
    pub fn own_reserve(&self, kind: Kind, whole: f64) -> f64 {
        let (all, n, i) = (self.reserved(kind, whole), self.members as f64, self.place as f64);
        match kind {
            Kind::Rate => all / n,
            Kind::Level => ((i + 1.0) * all / n).floor() - (i * all / n).floor(),
        }
    }
}
