//! Owns how reduced the service is at one instance: four named levels, when each is entered and left, and what it
//! changes. Operators see every change, so changes have to mean something: one figure, the strain, puts all signs on
//! one scale; a level is entered at once, left only after its cause has been gone for long enough, and load that hovers
//! at a threshold changes it no more than once in [`SPACING`].

mod gauge;

use std::collections::BTreeMap;
use std::fmt;

pub use gauge::{Counts, Gauge, share};

/// Changes under load that hovers are at least so far apart, in seconds; a level's cause has to be gone for so long.
pub const SPACING: f64 = 30.0;
/// Sooner than that a worsening needs so much more strain than the level's threshold: that of the next level. Load that
/// hovers at a threshold does not get there, and what truly gets worse does at once.
pub const CLEAR: f64 = 1.0;
/// A level's cause is gone once the strain is so far below its threshold.
pub const GONE: f64 = 0.35;
/// With it go the levels between whose causes have been gone for this part of that time.
pub const SKIP: f64 = 0.5;
/// A level that is entered again so soon after it was left is left more slowly the next time, up to so many spacings.
const RELAPSE: f64 = 2.0 * SPACING;
const PATIENCE_MOST: f64 = 4.0;
/// Changes kept for reports.
const KEPT: usize = 256;

/// How reduced the service is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Everything works.
    #[default]
    Normal,
    /// Nearly all are served, but what is left would not bear much more: little room, few repeats, servers missing, an
    /// old list.
    Strained,
    /// There is less room than is asked for: a part of the clients must be refused.
    Short,
    /// Most clients are refused, or hardly a server is left.
    Severe,
}

impl Level {
    /// All of them, the best first.
    pub const ALL: [Level; 4] = [Level::Normal, Level::Strained, Level::Short, Level::Severe];

    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Level::Normal => "normal",
            Level::Strained => "strained",
            Level::Short => "short",
            Level::Severe => "severe",
        }
    }

    /// What it changes.
    pub fn measures(self) -> Measures {
        match self {
            Level::Normal => Measures {
                refuse: Refuse::Nobody,
                repeats: Repeats::Budget,
                pace: 1.0,
                probes: f64::INFINITY,
            },
            // A tenth of a second between moves or a half: what is left must not be spent on tidiness.
            Level::Strained => Measures {
                refuse: Refuse::OverShare,
                repeats: Repeats::Budget,
                pace: 0.5,
                probes: f64::INFINITY,
            },
            Level::Short => {
                Measures { refuse: Refuse::New, repeats: Repeats::Unsent, pace: 0.0, probes: 8.0 }
            }
            Level::Severe => Measures { refuse: Refuse::New, repeats: Repeats::None, pace: 0.0, probes: 4.0 },
        }
    }

    fn at(strain: f64) -> Level {
        Level::ALL[(strain.max(0.0) as usize).min(Level::ALL.len() - 1)]
    }
}

/// Whom admission refuses first where not all can be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refuse {
    /// Nobody is refused for the level's sake.
    Nobody,
    /// Tenants over their share.
    OverShare,
    /// Besides, clients that are new: those whose streams broke have been promised one.
    New,
}

/// Which repeats of attempts may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// What the budget has.
    Budget,
    /// Of that, only attempts that reached no server: they cost the fleet nothing.
    Unsent,
    /// None.
    None,
}

/// What a level changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measures {
    /// Whom admission refuses first.
    pub refuse: Refuse,
    /// Which repeats may be made.
    pub repeats: Repeats,
    /// Pace of moves for balance, as a share of the usual one; 0 for none.
    pub pace: f64,
    /// Probes a second at most: servers that come back cold have other work.
    pub probes: f64,
}

/// What the strain is made of, as it stood at some moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Requests answered a second, over the last seconds.
    pub asked: f64,
    /// Clients that were refused and have not come up since, over those and the standing ones.
    pub away: f64,
    /// Repeats for each first attempt.
    pub repeats: f64,
    /// Demand over room by the estimate, where there is one.
    pub pressure: Option<f64>,
    /// Listed capacity in service over what is known, from 0 to 1.
    pub in_service: f64,
    /// Seconds since discovery said anything, in those that it may be silent.
    pub list_age: f64,
    /// Seconds that the loop runs behind.
    pub late: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            asked: 0.0,
            away: 0.0,
            repeats: 0.0,
            pressure: None,
            in_service: 1.0,
            list_age: 0.0,
            late: 0.0,
        }
    }
}

/// Where a figure puts the strain: at 1, 2 and 3 the thresholds of the three levels, linear between and beyond.
fn scale(x: f64, [strained, short, severe]: [f64; 3]) -> f64 {
    if x <= strained {
        (x / strained).max(0.0)
    } else if x <= short {
        1.0 + (x - strained) / (short - strained)
    } else {
        (2.0 + (x - short) / (severe - short)).min(4.0)
    }
}

impl Figures {
    /// The strain, and the figure that makes it.
    pub fn strain(&self) -> (f64, &'static str) {
        let signs = [
            // Three clients of a hundred without their stream are noticed by a helpdesk.
            ("away", scale(self.away, [0.03, 0.12, 0.35])),
            // Messages are late from 0.85 of a server's capacity on.
            ("room", self.pressure.map_or(0.0, |p| scale(p, [0.85, 1.05, 1.6]))),
            // Missing servers alone say only that there is less left for the next failure, unless hardly any is left.
            ("servers", scale(1.0 - self.in_service, [0.15, 0.8, 0.95])),
            ("repeats", scale(self.repeats, [0.15, 0.6, 2.0]).min(2.9)),
            // An old list makes nothing worse by itself.
            ("list", scale(self.list_age, [2.0, 1e3, 1e6]).min(1.4)),
            // Set-ups have an aim of some 0.8 s.
            ("late", scale(self.late, [0.05, 0.2, 0.8])),
        ];
        signs.into_iter().fold((0.0, "none"), |most, (name, at)| if at > most.0 { (at, name) } else { most })
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "asked={:.1} away={:.3} repeats={:.3} ", self.asked, self.away, self.repeats)?;
        if let Some(pressure) = self.pressure {
            write!(f, "pressure={pressure:.2} ")?;
        }
        write!(f, "in_service={:.2} list_age={:.1} late={:.3}", self.in_service, self.list_age, self.late)
    }
}

/// A change of level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// When.
    pub at: f64,
    /// The level before.
    pub from: Level,
    /// The level from now on.
    pub to: Level,
    /// The figure that is worst now; `none` where all are well.
    pub cause: &'static str,
    /// The strain.
    pub strain: f64,
    /// All figures at that moment.
    pub figures: Figures,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (to, from) = (self.to.name(), self.from.name());
        write!(f, "level={to} from={from} cause={} strain={:.2} {}", self.cause, self.strain, self.figures)
    }
}

/// Figures of the levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LevelStats {
    /// The level now.
    pub level: Level,
    /// The strain when it was looked at last.
    pub strain: f64,
    /// Changes, by `level cause`.
    pub changes: BTreeMap<String, u64>,
    /// The last changes, the oldest first.
    pub last: Vec<Change>,
    /// Seconds at each level, the best first.
    pub spent: [f64; 4],
}

/// The level of one instance.
#[derive(Debug, Default)]
pub struct Levels {
    level: Level,
    strain: f64,
    /// When each level's cause was there last.
    cause_at: [f64; 4],
    changed: Option<f64>,
    /// When a level was left last, by its place.
    left: [f64; 4],
    /// How long a cause has to be gone, in spacings.
    patience: f64,
    looked: Option<f64>,
    stats: LevelStats,
}

impl Levels {
    /// A fresh instance is at [`Level::Normal`] and knows of no strain.
    pub fn new() -> Self {
        Levels {
            cause_at: [f64::NEG_INFINITY; 4],
            left: [f64::NEG_INFINITY; 4],
            patience: 1.0,
            ..Levels::default()
        }
    }

    /// The level now.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Looks at the figures of now; the change that follows, if any. May be called as often as anything happens.
    pub fn look(&mut self, now: f64, figures: &Figures) -> Option<Change> {
        let (strain, cause) = figures.strain();
        if let Some(last) = self.looked.replace(now) {
            self.stats.spent[self.level as usize] += (now - last).max(0.0);
        }
        self.strain = strain;
        // While the list is old, that servers are missing or back is hearsay of then: nothing is taken for over.
        let old = figures.list_age >= 1.0;
        for (i, at) in self.cause_at.iter_mut().enumerate().skip(1) {
            let held = strain >= i as f64 - GONE || (old && now - *at < SPACING);
            *at = if held { now } else { *at };
        }
        let spaced = self.changed.is_none_or(|at| now >= at + SPACING);
        // Lately left levels are entered again only by what is clearly worse than the one that was left.
        let worse = match self.stats.last.last() {
            _ if spaced => Level::at(strain),
            Some(last) if last.to < last.from && Level::at(strain - CLEAR) <= last.from => self.level,
            _ => Level::at(strain - CLEAR),
        };
        if worse > self.level {
            if now < self.left[worse as usize] + RELAPSE {
                self.patience = (self.patience * 2.0).min(PATIENCE_MOST);
            }
            return Some(self.change(now, worse, cause, figures));
        }
        let gone = now - self.cause_at[self.level as usize];
        if self.level == Level::Normal || !spaced || gone < SPACING * self.patience {
            return None;
        }
        let lately = |l: &Level| now - self.cause_at[*l as usize] < SPACING * SKIP;
        let better = Level::ALL[1..self.level as usize].iter().rev().copied().find(lately);
        let better = better.unwrap_or(Level::Normal);
        if better == Level::Normal {
            self.patience = (self.patience / 2.0).max(1.0);
        }
        let left = &mut self.left[better as usize + 1..=self.level as usize];
        left.fill(now);
        Some(self.change(now, better, cause, figures))
    }

    fn change(&mut self, now: f64, to: Level, cause: &'static str, figures: &Figures) -> Change {
        let change = Change { at: now, from: self.level, to, cause, strain: self.strain, figures: *figures };
        self.level = to;
        self.changed = Some(now);
        *self.stats.changes.entry(format!("{} {cause}", to.name())).or_default() += 1;
        if self.stats.last.len() == KEPT {
            self.stats.last.remove(0);
        }
        self.stats.last.push(change);
        change
    }

    /// Its figures.
    pub fn stats(&self) -> LevelStats {
        LevelStats { level: self.level, strain: self.strain, ..self.stats.clone() }
    }
}
