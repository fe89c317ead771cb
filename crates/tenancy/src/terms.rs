//! What tenants and the fleet are told to be: checked once, where they are made.

use shorewharf_units::Micros;
use thiserror::Error;

/// A figure that can't be used; the text names it.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum TermsError {
    /// Out of its range.
    #[error("{key}: {value} is not {allowed}")]
    Range {
        /// The figure's name.
        key: &'static str,
        /// What it was.
        value: f64,
        /// What is allowed.
        allowed: &'static str,
    },
}

fn check(key: &'static str, value: f64, good: bool, allowed: &'static str) -> Result<(), TermsError> {
    if good { Ok(()) } else { Err(TermsError::Range { key, value, allowed }) }
}

/// A share above this is a slip of the pen, and sums of shares stay exact below it.
const MOST: f64 = 1e9;

/// A tenant's share of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    connections: f64,
    per_s: f64,
    weight: f64,
    borrows: bool,
}

impl Limits {
    /// So many connections over all instances together, and so many set-ups a second; weight 1, and it may borrow.
    pub fn new(connections: f64, per_s: f64) -> Result<Limits, TermsError> {
        for (key, value) in [("connections", connections), ("per_s", per_s)] {
            check(key, value, (0.0..=MOST).contains(&value), "from 0 to 1e9")?;
        }
        Ok(Limits { connections, per_s, weight: 1.0, borrows: true })
    }

    /// The same with another weight: a tenant of weight 2 counts as half as far beyond its share.
    pub fn weighing(self, weight: f64) -> Result<Limits, TermsError> {
        check("weight", weight, (1e-3..=1e3).contains(&weight), "from 0.001 to 1000")?;
        Ok(Limits { weight, ..self })
    }

    /// The same, but nothing beyond its share is ever lent to it.
    pub fn without_borrowing(self) -> Limits {
        Limits { borrows: false, ..self }
    }

    /// Connections over all instances together.
    pub fn connections(&self) -> f64 {
        self.connections
    }

    /// Set-ups a second over all instances together.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Its weight.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether it may use what others leave unused.
    pub fn borrows(&self) -> bool {
        self.borrows
    }
}

/// What an instance is told of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// How many instances share the traffic. Fewer may be alive.
    pub instances: f64,
    /// Beyond this part of all shares together nothing is lent. Measured (`docs/design/tenancy.md`): where shares are
    /// all that the fleet can do, served share falls by 1 % from load 0.34 to 0.46 and by 2 % to 0.5.
    pub lend: f64,
    /// When capacity is short, tenants within their shares are ranked as well, by weight and use; else only those
    /// beyond their shares wait.
    pub ration: bool,
    /// The longest time to come back that clients heed; 0 where they are told none.
    pub longest_wait: Micros,
    /// Streams of removed tenants that are moved a second, of all such tenants together.
    pub moves_per_s: f64,
}

impl Terms {
    /// Terms of a fleet of so many instances, with the measured defaults for the rest.
    pub fn new(instances: f64) -> Terms {
        Terms { instances, lend: 0.4, ration: false, longest_wait: 1_500_000, moves_per_s: 20.0 }
    }

    /// The same, if every figure can be used.
    pub fn checked(self) -> Result<Terms, TermsError> {
        check("instances", self.instances, (1.0..=MOST).contains(&self.instances), "from 1 to 1e9")?;
        check("lend", self.lend, (0.05..=1.0).contains(&self.lend), "from 0.05 to 1")?;
        let moves = self.moves_per_s;
        check("moves_per_s", moves, (0.1..=MOST).contains(&moves), "from 0.1 to 1e9")?;
        let wait = self.longest_wait as f64;
        check("longest_wait", wait, wait <= 3.6e9, "an hour at most")?;
        Ok(self)
    }
}
