//! The form of a trial's file, and who is struck by what it breaks.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::{BalancerId, NodeId};
use shorewharf_emulator::sockets::network_faults::{NetworkFault, NetworkFaultKind};
use shorewharf_units::{Micros, micros_from_seconds};
use thiserror::Error;

/// What is wrong with a trial's file.
#[derive(Debug, Error, PartialEq)]
pub enum Problem {
    /// It is no TOML, or a key is unknown, missing or of another form; with line and column.
    #[error("{0}")]
    Form(String),
    /// A key's figure means nothing.
    #[error("{key}: {why}")]
    Figure {
        /// The key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

fn figure(key: impl Into<String>, why: impl Into<String>) -> Problem {
    Problem::Figure { key: key.into(), why: why.into() }
}

/// A trial as it is written.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    /// What it shows.
    pub about: String,
    /// The day's scenario, seen from this file.
    pub day: String,
    /// The balancers tell each other what they hold.
    #[serde(default)]
    pub together: bool,
    /// Budgets of the fleet: the operator's words on them but for the store and the members, which the lab adds.
    pub budgets: Option<toml::Table>,
    /// What is broken between the processes.
    #[serde(default, rename = "breaks")]
    pub rifts: Vec<Rift>,
    /// What has to hold.
    #[serde(default)]
    pub promises: Promises,
}

/// One thing that is broken.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rift {
    /// What.
    pub what: Kind,
    /// It begins then, in seconds of the day.
    pub at_s: f64,
    /// It lasts so long.
    #[serde(default)]
    pub len_s: f64,
    /// What is slow is so much later, in milliseconds.
    pub by_ms: Option<f64>,
    /// For these balancers; all if left out.
    #[serde(default)]
    pub balancers: Group,
    /// On their links to these nodes; all if left out.
    pub nodes: Option<Group>,
    /// What they tell these balancers; all if left out.
    pub others: Option<Group>,
}

/// Kinds of what is broken.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Connections to nodes are refused; those that stand go on.
    Refused,
    /// Nothing passes and nothing ends: half open.
    Silent,
    /// What nodes say is lost, what balancers say arrives.
    AnswersLost,
    /// Connections that stand are reset.
    Reset,
    /// What nodes say comes later.
    Slow,
    /// Discovery's words don't arrive.
    NewsLost,
    /// What balancers tell each other is lost.
    NotesLost,
    /// It arrives twice.
    NotesDoubled,
    /// It comes up to `by_ms` later, each datagram by itself.
    NotesLate,
    /// Balancers stand still: SIGSTOP, then SIGCONT.
    Stall,
    /// The store does not answer, and its connections stay open. What is of the store begins and ends at full seconds.
    StoreSilent,
    /// It closes every connection.
    StoreRefused,
    /// It does what it is asked for, and its answers are lost.
    StoreAnswersLost,
    /// It has lost everything, once.
    StoreEmptied,
}

impl Kind {
    /// Whether it is between balancers and the store.
    pub fn is_of_store(self) -> bool {
        matches!(self, Kind::StoreSilent | Kind::StoreRefused | Kind::StoreAnswersLost | Kind::StoreEmptied)
    }
}

/// What is broken between balancers and the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreBreak {
    /// What.
    pub what: Kind,
    /// From then ...
    pub from: Micros,
    /// ... until then, on the day's clock.
    pub to: Micros,
    /// For these balancers.
    pub balancers: Vec<u32>,
}

/// Some of the balancers or nodes. What is left out sets no bound.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// These places.
    pub on: Option<Vec<u32>>,
    /// Those of the zone of this name.
    pub zone: Option<String>,
    /// So large a part of them, drawn by the seed; one at least.
    pub part: Option<f64>,
}

/// What has to hold. No process may end by itself in any trial.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Promises {
    /// No rule of the platform is broken, and no connection lost. Late answers of a process that stood still are excused.
    pub rules: bool,
    /// At least so large a share of the day's worth is served.
    pub served: Option<f64>,
    /// The same in each of these stretches of the day.
    pub served_within: Vec<Band>,
    /// No node that takes clients is asked for more than this share of what it can do, over `window_s`.
    pub load_most: Option<f64>,
    /// ... nor for more than this multiple of the mean share of all of them.
    pub over_mean_most: Option<f64>,
    /// Each gets at least this part of the mean, over `idle_s`.
    pub under_mean_least: Option<f64>,
    /// In no fifth of a second does one get more than this multiple of an even part of all set-ups; a part is one at least.
    pub set_ups_most: Option<f64>,
    /// The whole fleet's set-ups stay within this, in every fifth of a second, every second, every
    /// five and every twenty.
    pub set_ups_within: Option<Within>,
    /// A tenant holds no more connections than this over the whole fleet, at any time.
    pub holds_most: Vec<Holds>,
    /// The three before hold in these stretches, in seconds of the day: once it has settled.
    pub settled_s: Vec<(f64, f64)>,
    /// Loads are means over so long.
    pub window_s: f64,
    /// A node may be idle for shorter than this.
    pub idle_s: f64,
}

impl Default for Promises {
    fn default() -> Self {
        Promises {
            rules: true,
            served: None,
            served_within: Vec::new(),
            load_most: None,
            over_mean_most: None,
            under_mean_least: None,
            set_ups_most: None,
            set_ups_within: None,
            holds_most: Vec::new(),
            settled_s: Vec::new(),
            window_s: 2.0,
            idle_s: 5.0,
        }
    }
}

/// A rate over the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Within {
    /// So many a second ...
    pub per_s: f64,
    /// ... and so many besides, that were saved up or on their way.
    pub over: f64,
    /// From then on.
    #[serde(default)]
    pub from_s: f64,
}

/// What a tenant may hold.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Holds {
    /// The tenant's name.
    pub tenant: String,
    /// At most so many connections.
    pub most: f64,
    /// From then on.
    #[serde(default)]
    pub from_s: f64,
}

/// A share of the worth within a stretch.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Band {
    /// From then ...
    pub from_s: f64,
    /// ... until then.
    pub to_s: f64,
    /// At least this share is served.
    pub least: f64,
}

impl Trial {
    /// Reads a file's text.
    pub fn read(text: &str) -> Result<Trial, Problem> {
        let trial: Trial = toml::from_str(text).map_err(|e| Problem::Form(e.to_string()))?;
        trial.check()?;
        Ok(trial)
    }

    fn check(&self) -> Result<(), Problem> {
        let some = |key: String, x: f64, most: f64| match (0.0..=most).contains(&x) {
            true => Ok(()),
            false => Err(figure(key, format!("must be from 0 to {most}, is {x}"))),
        };
        for (i, r) in self.rifts.iter().enumerate() {
            let key = |k: &str| format!("breaks[{i}].{k}");
            some(key("at_s"), r.at_s, 1e6)?;
            some(key("len_s"), r.len_s, 1e6)?;
            match (r.what, r.by_ms) {
                (Kind::Slow | Kind::NotesLate, Some(ms)) => some(key("by_ms"), ms, 1e5)?,
                (Kind::Slow | Kind::NotesLate, None) => {
                    return Err(figure(key("by_ms"), "is missing: how slow?"));
                }
                (_, Some(_)) => return Err(figure(key("by_ms"), "says nothing for this kind")),
                (_, None) => {}
            }
            let notes = matches!(r.what, Kind::NotesLost | Kind::NotesDoubled | Kind::NotesLate);
            if notes && !self.together {
                return Err(figure(
                    key("what"),
                    "needs together = true: the balancers tell each other nothing",
                ));
            }
            if r.others.is_some() && !notes {
                return Err(figure(key("others"), "says nothing for this kind"));
            }
            if r.nodes.is_some() && (notes || matches!(r.what, Kind::NewsLost | Kind::Stall))
                || r.nodes.is_some() && r.what.is_of_store()
            {
                return Err(figure(key("nodes"), "says nothing for this kind"));
            }
            if r.what.is_of_store() && self.budgets.is_none() {
                return Err(figure(key("what"), "needs [budgets]: there is no store"));
            }
            if r.len_s == 0.0 && !matches!(r.what, Kind::Reset | Kind::StoreEmptied) {
                return Err(figure(key("len_s"), "must be above 0"));
            }
        }
        if self.budgets.is_some() && self.together {
            return Err(figure("budgets", "and together: not both yet"));
        }
        let p = &self.promises;
        for (key, share) in [("served", p.served), ("under_mean_least", p.under_mean_least)] {
            share.map_or(Ok(()), |x| some(format!("promises.{key}"), x, 1.0))?;
        }
        for (i, band) in p.served_within.iter().enumerate() {
            some(format!("promises.served_within[{i}].least"), band.least, 1.0)?;
            if band.from_s >= band.to_s {
                return Err(figure(format!("promises.served_within[{i}]"), "ends before it begins"));
            }
        }
        for (i, (from, to)) in p.settled_s.iter().enumerate() {
            if from >= to {
                return Err(figure(format!("promises.settled_s[{i}]"), "ends before it begins"));
            }
        }
        let even = p.load_most.or(p.over_mean_most).or(p.under_mean_least);
        if even.is_some() && p.settled_s.is_empty() {
            return Err(figure("promises.settled_s", "is missing: when has the load to be even?"));
        }
        if p.window_s < 1.0 || p.idle_s < 1.0 {
            return Err(figure(
                "promises.window_s",
                "and idle_s must be 1 s at least: loads are looked at once a second",
            ));
        }
        Ok(())
    }

    /// Who is struck when on this day, drawn by its seed.
    pub fn breaks(&self, day: &Day) -> Result<Vec<NetworkFault>, Problem> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ 0x7269_6674);
        let balancers: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let nodes: Vec<u32> = day.nodes.iter().map(|n| n.zone).collect();
        let all = Group::default();
        let mut breaks = Vec::new();
        for (i, r) in self.rifts.iter().enumerate().filter(|(_, r)| !r.what.is_of_store()) {
            let key = |k: &str| format!("breaks[{i}].{k}");
            let of_nodes = r.nodes.as_ref().unwrap_or(&all);
            let of_others = r.others.as_ref().unwrap_or(&all);
            let what = match r.what {
                Kind::Refused => NetworkFaultKind::Refused,
                Kind::Silent => NetworkFaultKind::Silent,
                Kind::AnswersLost => NetworkFaultKind::AnswersLost,
                Kind::Reset => NetworkFaultKind::Reset,
                Kind::Slow => NetworkFaultKind::Slow(micros_from_seconds(r.by_ms.unwrap_or(0.0) / 1e3)),
                Kind::NewsLost => NetworkFaultKind::NewsLost,
                Kind::NotesLost => NetworkFaultKind::NotesLost,
                Kind::NotesDoubled => NetworkFaultKind::NotesDoubled,
                Kind::NotesLate => {
                    NetworkFaultKind::NotesLate(micros_from_seconds(r.by_ms.unwrap_or(0.0) / 1e3))
                }
                Kind::Stall => NetworkFaultKind::Stall,
                Kind::StoreSilent | Kind::StoreRefused | Kind::StoreAnswersLost | Kind::StoreEmptied => {
                    continue;
                }
            };
            let struck = r.balancers.drawn(&key("balancers"), &day.zones, &balancers, &mut rng)?;
            let on = of_nodes.drawn(&key("nodes"), &day.zones, &nodes, &mut rng)?;
            let others = of_others.drawn(&key("others"), &day.zones, &balancers, &mut rng)?;
            breaks.push(NetworkFault {
                what,
                from: micros_from_seconds(r.at_s),
                to: micros_from_seconds(r.at_s + r.len_s),
                balancers: struck.into_iter().map(BalancerId).collect(),
                nodes: on.into_iter().map(NodeId).collect(),
                others: others.into_iter().map(BalancerId).collect(),
            });
        }
        Ok(breaks)
    }
}

impl Trial {
    /// Whom the store fails when on this day, drawn by its seed.
    pub fn store_breaks(&self, day: &Day) -> Result<Vec<StoreBreak>, Problem> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ 0x7374_6f72);
        let zones: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let of_store = self.rifts.iter().enumerate().filter(|(_, r)| r.what.is_of_store());
        let one = |(i, r): (usize, &Rift)| {
            let balancers =
                r.balancers.drawn(&format!("breaks[{i}].balancers"), &day.zones, &zones, &mut rng)?;
            Ok(StoreBreak {
                what: r.what,
                from: micros_from_seconds(r.at_s),
                to: micros_from_seconds(r.at_s + r.len_s),
                balancers,
            })
        };
        of_store.map(one).collect()
    }
}

impl Group {
    fn drawn(
        &self,
        key: &str,
        zones: &[String],
        of: &[u32],
        rng: &mut Pcg64Mcg,
    ) -> Result<Vec<u32>, Problem> {
        let zone = match &self.zone {
            Some(name) => match zones.iter().position(|z| z == name) {
                Some(at) => Some(at as u32),
                None => {
                    let why = format!("no zone {name}; the day has {}", zones.join(", "));
                    return Err(figure(format!("{key}.zone"), why));
                }
            },
            None => None,
        };
        let named: Option<BTreeSet<u32>> = self.on.as_ref().map(|on| on.iter().copied().collect());
        if let Some(far) = named.iter().flatten().find(|at| **at as usize >= of.len()) {
            return Err(figure(
                format!("{key}.on"),
                format!("there is none at place {far}: {} in all", of.len()),
            ));
        }
        let is_in = |at: &u32| {
            zone.is_none_or(|z| of[*at as usize] == z) && named.as_ref().is_none_or(|n| n.contains(at))
        };
        let mut struck: Vec<u32> = (0..of.len() as u32).filter(is_in).collect();
        if let Some(part) = self.part {
            if !(0.0..=1.0).contains(&part) {
                return Err(figure(format!("{key}.part"), format!("must be from 0 to 1, is {part}")));
            }
            struck.shuffle(rng);
            struck.truncate(((part * struck.len() as f64).round() as usize).max(1));
            struck.sort_unstable();
        }
        Ok(struck)
    }
}
