//! Owns the budget for repeated attempts. A repeat is work that the fleet does twice, and a failure that has the same
//! cause everywhere (a fleet that is full, a store that is gone) makes every repeat fail as well. So an attempt is
//! repeated only where the first one's failure says nothing of the other servers, and within a share of first attempts.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use shorewharf_decisions::{Outcome, ServerId};

/// Repeats that one request may have: with two, one request finds a sound server past two that died unheard of.
const OF_A_REQUEST: u32 = 2;
/// Repeats that each first attempt adds to the instance's budget: in the long run a fifth of all attempts at most.
const EARNED: f64 = 0.25;
/// Repeats saved up at most, and at the start: one server's end strands a few requests at once.
const SAVED: f64 = 10.0;
/// An outcome speaks of its server for so long, in seconds.
const HEARD: f64 = 3.0;
/// Failures count as correlated from so many servers on, if they are this share of those heard of.
const SERVERS: usize = 2;
const SHARE: f64 = 0.34;
/// The budget stays closed for so long, in seconds; each trial that fails doubles it up to the longest.
const CLOSED: f64 = 2.0;
const CLOSED_LONGEST: f64 = 8.0;

/// Why a repeat was granted or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grant {
    /// It may be made.
    Granted,
    /// It may be made, as the one trial after failures that were correlated.
    Trial,
    /// Servers fail alike: another one would do no better.
    Correlated,
    /// The instance's budget is spent.
    Spent,
    /// This request has had its share.
    OfRequest,
    /// The level of service forbids it.
    Level,
}

impl Grant {
    /// Whether the repeat may be made.
    pub fn yes(self) -> bool {
        matches!(self, Grant::Granted | Grant::Trial)
    }

    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Grant::Granted => "granted",
            Grant::Trial => "trial",
            Grant::Correlated => "correlated",
            Grant::Spent => "spent",
            Grant::OfRequest => "of-request",
            Grant::Level => "level",
        }
    }
}

/// Whether an outcome of an attempt says that its server could not serve it.
pub fn fails(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Open,
    /// Closed until then, for so long.
    Closed(f64, f64),
    /// One trial is out since then.
    Trying(f64, f64),
}

/// Figures of the budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryStats {
    /// Repeats that may be made now, by the instance's budget.
    pub left: f64,
    /// It is closed since failures are correlated.
    pub closed: bool,
    /// First attempts.
    pub first: u64,
    /// Repeats made.
    pub repeats: u64,
    /// Times it closed.
    pub closures: u64,
    /// Questions by answer.
    pub grants: BTreeMap<&'static str, u64>,
}

/// The budget of one instance.
#[derive(Debug)]
pub struct Retry {
    left: f64,
    state: State,
    /// When a server was heard of last, and whether it failed.
    heard: BTreeMap<ServerId, (f64, bool)>,
    rng: Pcg64Mcg,
    /// Lines for the log.
    notes: Vec<String>,
    stats: RetryStats,
}

impl Retry {
    /// A full budget; when it opens again is drawn from `seed`, so that instances don't all try at once.
    pub fn new(seed: u64) -> Self {
        Retry {
            left: SAVED,
            state: State::Open,
            heard: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            notes: Vec::new(),
            stats: RetryStats::default(),
        }
    }

    /// A first attempt has gone out.
    pub fn first(&mut self) {
        self.stats.first += 1;
        self.left = (self.left + EARNED).min(SAVED);
    }

    /// A repeat has gone out.
    pub fn repeated(&mut self, now: f64) {
        self.stats.repeats += 1;
        self.left = (self.left - 1.0).max(0.0);
        if let State::Closed(until, span) = self.state
            && now >= until
        {
            self.state = State::Trying(now, span);
        }
    }

    /// An attempt at a server has come to something.
    pub fn outcome(&mut self, now: f64, server: ServerId, outcome: Outcome) {
        // Nobody there: that speaks of this server alone, and trying costs the fleet nothing.
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::ConnectFailed) {
            return;
        }
        self.heard.retain(|_, h| now < h.0 + HEARD);
        self.heard.insert(server, (now, fails(outcome)));
        let failing = self.heard.values().filter(|h| h.1).count();
        let alike = failing >= SERVERS && failing as f64 >= SHARE * self.heard.len() as f64;
        match (self.state, fails(outcome)) {
            (State::Open, true) if alike => {
                self.notes.push(format!("repeats=closed failing={failing} of={}", self.heard.len()));
                self.close(now, CLOSED);
            }
            // What fails while a trial is out says what the trial was to find out.
            (State::Trying(_, span), true) if alike => self.close(now, (span * 2.0).min(CLOSED_LONGEST)),
            // Servers answer and fail no more alike: it opens without a trial where nobody needed one.
            (State::Closed(until, _), false) if !alike && now >= until => {
                self.state = State::Open;
                self.notes.push(format!("repeats=open left={:.1}", self.left));
            }
            (State::Trying(..), false) if !alike => {
                self.state = State::Open;
                self.notes.push(format!("repeats=open left={:.1}", self.left));
            }
            _ => {}
        }
    }

    fn close(&mut self, now: f64, span: f64) {
        let drawn = 0.75 + 0.5 * (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        self.stats.closures += 1;
        self.state = State::Closed(now + span * drawn, span);
    }

    /// Whether a request that has had so many attempts may have another one now.
    pub fn may(&mut self, now: f64, attempts: u32) -> Grant {
        if let State::Trying(since, span) = self.state
            && now >= since + span
        {
            // The trial came to nothing that speaks of a server: another one may go out.
            self.state = State::Closed(now, span);
        }
        let grant = match self.state {
            _ if attempts > OF_A_REQUEST => Grant::OfRequest,
            State::Closed(until, _) if now < until => Grant::Correlated,
            State::Trying(..) => Grant::Correlated,
            _ if self.left < 1.0 => Grant::Spent,
            State::Closed(..) => Grant::Trial,
            State::Open => Grant::Granted,
        };
        self.count(grant)
    }

    /// Whether no repeat may go out now, whoever asks.
    pub fn closed(&self, now: f64) -> bool {
        match self.state {
            State::Open => self.left < 1.0,
            State::Closed(until, _) => now < until || self.left < 1.0,
            State::Trying(since, span) => now < since + span,
        }
    }

    /// Counts an answer that was given for a reason of someone else's.
    pub fn count(&mut self, grant: Grant) -> Grant {
        *self.stats.grants.entry(grant.name()).or_default() += 1;
        grant
    }

    /// Lines for the log since the last call.
    pub fn notes(&mut self) -> impl Iterator<Item = String> {
        self.notes.drain(..)
    }

    /// Its figures.
    pub fn stats(&self) -> RetryStats {
        RetryStats { left: self.left, closed: self.state != State::Open, ..self.stats.clone() }
    }
}
