//! When clients come, and who they are.
//!
//! The day's shape moves both the number of clients and the load of each: where it stands at `s`, numbers are at
//! `s^by_joins` (and loads, the nodes' business, at `s^(1 - by_joins)`). Where numbers rise, clients come beyond the
//! steady flow; where they fall, some leave early. In the steady flow the simulator lets `s` itself through while that
//! is below 1.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};
use shorewharf_units::Micros;

use crate::day::{Class, Day, Fault};
use crate::population::Capacity;

/// What happens to the number of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CountChange {
    /// A new one comes.
    Arrival,
    /// One leaves before its time.
    Departure,
}

/// More traffic than the day's course has, for a while.
#[derive(Clone, Copy, Debug)]
struct Surge {
    until: Micros,
    factor: f64,
    /// Of this tenant alone.
    tenant: Option<u32>,
}

/// A stretch of the day's course: from one point to the next.
#[derive(Clone, Copy, Debug)]
struct RateSegment {
    from: Micros,
    to: Micros,
    at_from: f64,
    at_to: f64,
}

impl RateSegment {
    fn level(&self, t: Micros) -> f64 {
        let part = (t - self.from) as f64 / (self.to - self.from).max(1) as f64;
        self.at_from + (self.at_to - self.at_from) * part
    }

    /// Change of the level, per microsecond.
    fn slope(&self) -> f64 {
        (self.at_to - self.at_from) / (self.to - self.from).max(1) as f64
    }
}

/// Levels below this count as this: powers of 0 have no slope.
const LEAST_LEVEL: f64 = 0.01;

/// Who comes when.
#[derive(Debug)]
pub(super) struct Traffic {
    classes: Vec<Class>,
    life_us: f64,
    life_sigma: f64,
    /// Connections at level 1.
    number: f64,
    /// New ones a microsecond at level 1.
    rate: f64,
    by_joins: f64,
    course: Vec<RateSegment>,
    length: Micros,
    tenants: Vec<f64>,
    /// By tenant: connections within its share.
    quotas: Vec<f64>,
    zones: Vec<f64>,
    surges: Vec<Surge>,
    bursts: Option<(Gamma<f64>, Micros)>,
    burst: f64,
    burst_until: Micros,
    recorded: Option<std::vec::IntoIter<Micros>>,
    next: Option<(Micros, CountChange)>,
}

impl Traffic {
    /// The traffic of this day.
    pub fn new(day: &Day, capacity: &Capacity, rng: &mut impl Rng) -> Traffic {
        let t = &day.traffic;
        let per_s = t.arrivals_per_s.unwrap_or(t.load * capacity.per_s);
        let total: f64 = day.tenants.iter().map(|x| x.traffic).sum();
        let tenants = if day.tenants.is_empty() {
            vec![1.0]
        } else {
            day.tenants.iter().map(|x| x.traffic / total.max(f64::MIN_POSITIVE)).collect()
        };
        let quotas = if day.tenants.is_empty() {
            vec![f64::INFINITY]
        } else {
            day.tenants.iter().map(|x| x.quota * capacity.connections).collect()
        };
        let cv = t.burst_cv;
        let gamma = (cv > 0.0 && t.burst > 0).then(|| Gamma::new(1.0 / (cv * cv), cv * cv).ok()).flatten();
        let recorded = (!t.recorded_s.is_empty()).then(|| {
            let mut times: Vec<Micros> = t.recorded_s.iter().map(|s| (s.max(0.0) * 1e6) as Micros).collect();
            times.sort_unstable();
            times.into_iter()
        });
        let mut traffic = Traffic {
            classes: day.classes.clone(),
            life_us: day.streams.life as f64,
            life_sigma: day.streams.life_sigma,
            number: per_s * capacity.life_s,
            rate: per_s / 1e6,
            by_joins: day.streams.by_joins.clamp(0.0, 1.0),
            course: course(&t.shape, day.length),
            length: day.length,
            tenants,
            quotas,
            zones: t.zone_share.clone(),
            surges: Vec::new(),
            bursts: gamma.map(|g| (g, t.burst)),
            burst: 1.0,
            burst_until: 0,
            recorded,
            next: None,
        };
        traffic.next = traffic.draw(0, rng);
        traffic
    }

    /// When somebody comes or leaves early next.
    pub fn next_due(&self) -> Option<Micros> {
        self.next.map(|(at, _)| at)
    }

    /// Takes that one, and draws the one after.
    pub fn pop(&mut self, rng: &mut impl Rng) -> Option<(Micros, CountChange)> {
        let (at, turn) = self.next.take()?;
        self.next = self.draw(at, rng);
        Some((at, turn))
    }

    /// Traffic, or one tenant's, is the fault's `size` times as much for its length.
    pub fn surge(&mut self, now: Micros, fault: &Fault, tenant: Option<u32>, rng: &mut impl Rng) {
        self.surges.push(Surge { until: now + fault.len, factor: fault.size.max(0.0), tenant });
        // The flow has no memory: what was to come next may be drawn again.
        if self.recorded.is_none() {
            self.next = self.draw(now, rng);
        }
    }

    /// How much more than usual a tenant's traffic is.
    fn surge_of(&self, t: Micros, tenant: u32) -> f64 {
        let on = self.surges.iter().filter(|s| t < s.until && s.tenant.is_none_or(|x| x == tenant));
        on.map(|s| s.factor).product()
    }

    fn surged(&self, t: Micros) -> f64 {
        if self.surges.iter().all(|s| t >= s.until) {
            return 1.0;
        }
        self.tenants.iter().enumerate().map(|(i, share)| share * self.surge_of(t, i as u32)).sum()
    }

    fn draw(&mut self, from: Micros, rng: &mut impl Rng) -> Option<(Micros, CountChange)> {
        if let Some(times) = &mut self.recorded {
            let length = self.length;
            return times.find(|t| *t < length).map(|t| (t, CountChange::Arrival));
        }
        let mut at = from;
        while at < self.length {
            if at >= self.burst_until
                && let Some((gamma, len)) = &self.bursts
            {
                (self.burst, self.burst_until) = (gamma.sample(rng), at + len);
            }
            let stretch = *self.course.iter().find(|s| at < s.to)?;
            let ends = self.surges.iter().map(|s| s.until).filter(|u| *u > at);
            let bursts = self.bursts.as_ref().map(|_| self.burst_until);
            let to = ends.chain(bursts).fold(stretch.to, Micros::min);
            // Flow and slope are largest at one of the ends of what is left of the stretch.
            let (low, high) = (stretch.level(at), stretch.level(to));
            let (low, high) = (low.min(high), low.max(high));
            let factor = self.surged(at) * self.burst;
            let most = factor * self.flow(high) + self.slope(low, stretch.slope()).abs();
            let step = if most > 0.0 { rng.sample::<f64, _>(Exp1) / most } else { f64::INFINITY };
            if step >= (to - at) as f64 {
                at = to;
                continue;
            }
            at += step as Micros;
            let level = stretch.level(at);
            let (flow, slope) = (factor * self.flow(level), self.slope(level, stretch.slope()));
            let lot = rng.random::<f64>() * most;
            if lot < flow + slope.max(0.0) {
                return Some((at, CountChange::Arrival));
            }
            if lot < flow + slope.abs() {
                return Some((at, CountChange::Departure));
            }
        }
        None
    }

    /// The steady flow at this level, per microsecond.
    fn flow(&self, level: f64) -> f64 {
        let level = level.max(0.0);
        self.rate * if level < 1.0 { level } else { level.powf(self.by_joins) }
    }

    /// How fast numbers rise (or, below 0, fall) at this level and slope, per microsecond.
    fn slope(&self, level: f64, slope: f64) -> f64 {
        self.number * self.by_joins * level.max(LEAST_LEVEL).powf(self.by_joins - 1.0) * slope
    }

    /// Expected clients at this time, as a factor of those at level 1.
    fn numbers(&self, t: Micros) -> f64 {
        let stretch = self.course.iter().find(|s| t < s.to).or(self.course.last());
        stretch.map_or(1.0, |s| s.level(t.min(s.to)).max(0.0).powf(self.by_joins))
    }

    /// How many stand when the day starts.
    pub fn standing_at_start(&self) -> f64 {
        self.number * self.numbers(0)
    }

    /// Shares of the traffic, by tenant.
    pub fn tenant_shares(&self) -> &[f64] {
        &self.tenants
    }

    /// Draws a tenant.
    pub fn tenant(&self, now: Micros, rng: &mut impl Rng) -> u32 {
        let weights = self.tenants.iter().enumerate().map(|(i, share)| share * self.surge_of(now, i as u32));
        pick(weights, rng)
    }

    /// Draws a class of what comes.
    pub fn class(&self, rng: &mut impl Rng) -> u32 {
        pick(self.classes.iter().map(|c| c.share), rng)
    }

    /// Draws a class of what stands: those that live long are met more often.
    pub fn class_standing(&self, rng: &mut impl Rng) -> u32 {
        pick(self.classes.iter().map(|c| c.share * c.life), rng)
    }

    /// Draws a zone.
    pub fn zone(&self, rng: &mut impl Rng) -> u32 {
        pick(self.zones.iter().copied(), rng)
    }

    /// The chance that a tenant's client that comes now is within its tenant's share.
    pub fn within(&self, now: Micros, tenant: u32) -> f64 {
        let (share, quota) = (self.tenants[tenant as usize], self.quotas[tenant as usize]);
        let expected = self.number * share * self.numbers(now) * self.surge_of(now, tenant);
        if expected <= quota { 1.0 } else { (quota / expected).max(0.0) }
    }

    /// Draws a life.
    pub fn life(&self, class: u32, rng: &mut impl Rng) -> Micros {
        let mean = self.life_us * self.classes[class as usize].life;
        (mean * lognormal(self.life_sigma, rng)).min(1e15) as Micros
    }

    /// Draws the rest of a life that is met under way: its length counts for its chance to be met.
    pub fn rest(&self, class: u32, rng: &mut impl Rng) -> Micros {
        let sigma = self.life_sigma;
        let mean = self.life_us * self.classes[class as usize].life;
        let met = mean * (sigma * sigma).exp() * lognormal(sigma, rng);
        (met * rng.random::<f64>()).min(1e15) as Micros
    }

    /// Draws a client's mean load, in usual loads.
    pub fn load(&self, class: u32, rng: &mut impl Rng) -> f64 {
        let class = &self.classes[class as usize];
        class.load * lognormal(class.load_sigma, rng)
    }
}

/// A lognormal of mean 1.
fn lognormal(sigma: f64, rng: &mut impl Rng) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng))
}

/// Draws a place by weight; the first where all are 0.
fn pick(weights: impl Iterator<Item = f64> + Clone, rng: &mut impl Rng) -> u32 {
    let mut lot = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate() {
        if w > 0.0 {
            last = i;
            if lot < w {
                break;
            }
            lot -= w;
        }
    }
    last as u32
}

/// The course in stretches that cover the whole day; level 1 where it says nothing.
fn course(points: &[(f64, f64)], length: Micros) -> Vec<RateSegment> {
    let us = |s: f64| (s.max(0.0) * 1e6).round() as Micros;
    let mut all: Vec<RateSegment> = Vec::new();
    let first = points.first().map_or((0, 1.0), |p| (us(p.0), p.1));
    let mut push = |from: (Micros, f64), to: (Micros, f64)| {
        if to.0 > from.0 {
            all.push(RateSegment { from: from.0, to: to.0, at_from: from.1, at_to: to.1 });
        }
    };
    push((0, first.1), first);
    for pair in points.windows(2) {
        push((us(pair[0].0), pair[0].1), (us(pair[1].0), pair[1].1));
    }
    let last = points.last().map_or(first, |p| (us(p.0), p.1));
    push(last, (length.max(last.0 + 1), last.1));
    all
}
