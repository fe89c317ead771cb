//! The arrivals of clients, and the distributions of their properties.
//!
//! The level `s` of the day's traffic curve changes both the number of clients, by the factor `s^by_joins`,
//! and their loads, by the factor `s^(1 - by_joins)`, which the nodes apply. While the number rises, clients
//! arrive in addition to the steady rate; while it falls, some clients leave early. The steady rate is
//! proportional to `s^by_joins` above level 1, but to `s` below it, as in the simulator.

use rand::Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};
use shorewharf_units::Micros;

use crate::day::{Class, Day, Fault};
use crate::population::Capacity;

/// A change of the number of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CountChange {
    /// A new client arrives.
    Arrival,
    /// A client leaves before the end of its lifetime.
    Departure,
}

/// A temporary factor on the traffic of the day's curve.
#[derive(Clone, Copy, Debug)]
struct Surge {
    until: Micros,
    factor: f64,
    /// The only affected tenant; none for all tenants.
    tenant: Option<u32>,
}

/// A segment of the day's traffic curve, from one point to the next, with its level at both ends.
#[derive(Clone, Copy, Debug)]
struct CurveSegment {
    from: Micros,
    to: Micros,
    level_from: f64,
    level_to: f64,
}

impl CurveSegment {
    fn level(&self, t: Micros) -> f64 {
        let ratio = (t - self.from) as f64 / (self.to - self.from).max(1) as f64;
        self.level_from + (self.level_to - self.level_from) * ratio
    }

    /// The change of the level per microsecond.
    fn slope(&self) -> f64 {
        (self.level_to - self.level_from) / (self.to - self.from).max(1) as f64
    }
}

/// The lowest level for which the slope is computed, because a power of 0 has no finite slope.
const MIN_LEVEL: f64 = 0.01;

/// The traffic of a day.
#[derive(Debug)]
pub(super) struct Traffic {
    classes: Vec<Class>,
    /// The mean lifetime of a usual connection, in microseconds.
    life_us: f64,
    /// The sigma of the lognormal lifetimes.
    life_sigma: f64,
    /// The expected number of clients at level 1.
    count: f64,
    /// The steady rate of arrivals at level 1, per microsecond.
    rate: f64,
    /// The exponent of the level for the number of clients.
    by_joins: f64,
    curve: Vec<CurveSegment>,
    length: Micros,
    tenant_shares: Vec<f64>,
    /// By tenant: the number of connections within its quota.
    quotas: Vec<f64>,
    zone_shares: Vec<f64>,
    surges: Vec<Surge>,
    /// The distribution of the burst factor and the length of a burst; none if the traffic has no bursts.
    bursts: Option<(Gamma<f64>, Micros)>,
    /// The present burst factor.
    burst: f64,
    /// When the next burst factor is drawn.
    burst_until: Micros,
    /// The arrival times of a recording, in place of drawn ones.
    recorded: Option<std::vec::IntoIter<Micros>>,
    /// The next change; none after the end of the day.
    next: Option<(Micros, CountChange)>,
}

impl Traffic {
    /// Creates the traffic of a day and draws its first change.
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
            count: per_s * capacity.life_s,
            rate: per_s / 1e6,
            by_joins: day.streams.by_joins.clamp(0.0, 1.0),
            curve: segments(&t.shape, day.length),
            length: day.length,
            tenant_shares: tenants,
            quotas,
            zone_shares: t.zone_share.clone(),
            surges: Vec::new(),
            bursts: gamma.map(|g| (g, t.burst)),
            burst: 1.0,
            burst_until: 0,
            recorded,
            next: None,
        };
        traffic.next = traffic.draw_change(0, rng);
        traffic
    }

    /// The time of the next arrival or early departure.
    pub fn next_due(&self) -> Option<Micros> {
        self.next.map(|(at, _)| at)
    }

    /// Returns the next change and draws the one after it.
    pub fn pop(&mut self, rng: &mut impl Rng) -> Option<(Micros, CountChange)> {
        let (at, change) = self.next.take()?;
        self.next = self.draw_change(at, rng);
        Some((at, change))
    }

    /// Multiplies the traffic, or that of one tenant, by the fault's `size` for the fault's length.
    pub fn surge(&mut self, now: Micros, fault: &Fault, tenant: Option<u32>, rng: &mut impl Rng) {
        self.surges.push(Surge { until: now + fault.len, factor: fault.size.max(0.0), tenant });
        // The arrival process is memoryless, so the next change can be drawn again at the new rate.
        if self.recorded.is_none() {
            self.next = self.draw_change(now, rng);
        }
    }

    /// The product of the active surge factors of a tenant.
    fn surge_factor_of(&self, t: Micros, tenant: u32) -> f64 {
        let on = self.surges.iter().filter(|s| t < s.until && s.tenant.is_none_or(|x| x == tenant));
        on.map(|s| s.factor).product()
    }

    fn surge_factor(&self, t: Micros) -> f64 {
        if self.surges.iter().all(|s| t >= s.until) {
            return 1.0;
        }
        self.tenant_shares
            .iter()
            .enumerate()
            .map(|(i, share)| share * self.surge_factor_of(t, i as u32))
            .sum()
    }

    fn draw_change(&mut self, from: Micros, rng: &mut impl Rng) -> Option<(Micros, CountChange)> {
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
            let segment = *self.curve.iter().find(|s| at < s.to)?;
            let ends = self.surges.iter().map(|s| s.until).filter(|u| *u > at);
            let bursts = self.bursts.as_ref().map(|_| self.burst_until);
            let to = ends.chain(bursts).fold(segment.to, Micros::min);
            // Within the rest of the segment, the rate and the slope are largest at one of its ends.
            // Candidates are drawn at this maximum rate and accepted in proportion to the rate at their time
            // (thinning).
            let (low, high) = (segment.level(at), segment.level(to));
            let (low, high) = (low.min(high), low.max(high));
            let factor = self.surge_factor(at) * self.burst;
            let max_rate = factor * self.arrival_rate(high) + self.count_slope(low, segment.slope()).abs();
            let step = if max_rate > 0.0 { rng.sample::<f64, _>(Exp1) / max_rate } else { f64::INFINITY };
            if step >= (to - at) as f64 {
                at = to;
                continue;
            }
            at += step as Micros;
            let level = segment.level(at);
            let (rate, slope) = (factor * self.arrival_rate(level), self.count_slope(level, segment.slope()));
            let sample = rng.random::<f64>() * max_rate;
            if sample < rate + slope.max(0.0) {
                return Some((at, CountChange::Arrival));
            }
            if sample < rate + slope.abs() {
                return Some((at, CountChange::Departure));
            }
        }
        None
    }

    /// The steady rate of arrivals at this level, per microsecond.
    fn arrival_rate(&self, level: f64) -> f64 {
        let level = level.max(0.0);
        self.rate * if level < 1.0 { level } else { level.powf(self.by_joins) }
    }

    /// The change of the expected number of clients at this level and slope of the curve, per microsecond.
    fn count_slope(&self, level: f64, slope: f64) -> f64 {
        self.count * self.by_joins * level.max(MIN_LEVEL).powf(self.by_joins - 1.0) * slope
    }

    /// The expected number of clients at this time, as a ratio of the number at level 1.
    fn count_ratio(&self, t: Micros) -> f64 {
        let segment = self.curve.iter().find(|s| t < s.to).or(self.curve.last());
        segment.map_or(1.0, |s| s.level(t.min(s.to)).max(0.0).powf(self.by_joins))
    }

    /// The expected number of clients at the start of the day.
    pub fn count_at_start(&self) -> f64 {
        self.count * self.count_ratio(0)
    }

    /// The tenants' shares of the traffic.
    pub fn tenant_shares(&self) -> &[f64] {
        &self.tenant_shares
    }

    /// Draws the tenant of a client that arrives at this time.
    pub fn draw_tenant(&self, now: Micros, rng: &mut impl Rng) -> u32 {
        let weights = self
            .tenant_shares
            .iter()
            .enumerate()
            .map(|(i, share)| share * self.surge_factor_of(now, i as u32));
        pick(weights, rng)
    }

    /// Draws the class of an arriving client.
    pub fn draw_class(&self, rng: &mut impl Rng) -> u32 {
        pick(self.classes.iter().map(|c| c.share), rng)
    }

    /// Draws the class of a present client: classes with longer lifetimes are more frequent than among
    /// arrivals.
    pub fn draw_class_of_present_client(&self, rng: &mut impl Rng) -> u32 {
        pick(self.classes.iter().map(|c| c.share * c.life), rng)
    }

    /// Draws the zone of a client.
    pub fn draw_zone(&self, rng: &mut impl Rng) -> u32 {
        pick(self.zone_shares.iter().copied(), rng)
    }

    /// The probability that a client of this tenant that arrives now is within the tenant's quota.
    pub fn within_quota_probability(&self, now: Micros, tenant: u32) -> f64 {
        let (share, quota) = (self.tenant_shares[tenant as usize], self.quotas[tenant as usize]);
        let expected = self.count * share * self.count_ratio(now) * self.surge_factor_of(now, tenant);
        if expected <= quota { 1.0 } else { (quota / expected).max(0.0) }
    }

    /// Draws the lifetime of an arriving client.
    pub fn draw_lifetime(&self, class: u32, rng: &mut impl Rng) -> Micros {
        let mean = self.life_us * self.classes[class as usize].life;
        (mean * lognormal(self.life_sigma, rng)).min(1e15) as Micros
    }

    /// Draws the remaining lifetime of a present client: the probability that a client is present is
    /// proportional to its lifetime.
    pub fn draw_remaining_lifetime(&self, class: u32, rng: &mut impl Rng) -> Micros {
        let sigma = self.life_sigma;
        let mean = self.life_us * self.classes[class as usize].life;
        let lifetime = mean * (sigma * sigma).exp() * lognormal(sigma, rng);
        (lifetime * rng.random::<f64>()).min(1e15) as Micros
    }

    /// Draws the mean load of a client, in usual loads.
    pub fn draw_load(&self, class: u32, rng: &mut impl Rng) -> f64 {
        let class = &self.classes[class as usize];
        class.load * lognormal(class.load_sigma, rng)
    }
}

/// Draws from a lognormal distribution of mean 1.
fn lognormal(sigma: f64, rng: &mut impl Rng) -> f64 {
    LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng))
}

/// Draws an index with a probability proportional to its weight; returns 0 if all weights are 0.
fn pick(weights: impl Iterator<Item = f64> + Clone, rng: &mut impl Rng) -> u32 {
    let mut sample = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate() {
        if w > 0.0 {
            last = i;
            if sample < w {
                break;
            }
            sample -= w;
        }
    }
    last as u32
}

/// Returns the segments of the traffic curve. They cover the whole day: the level of the first and last point
/// extends to the start and end of the day, and a curve without points has level 1.
fn segments(points: &[(f64, f64)], length: Micros) -> Vec<CurveSegment> {
    let micros = |s: f64| (s.max(0.0) * 1e6).round() as Micros;
    let mut all: Vec<CurveSegment> = Vec::new();
    let first = points.first().map_or((0, 1.0), |p| (micros(p.0), p.1));
    let mut push = |from: (Micros, f64), to: (Micros, f64)| {
        if to.0 > from.0 {
            all.push(CurveSegment { from: from.0, to: to.0, level_from: from.1, level_to: to.1 });
        }
    };
    push((0, first.1), first);
    for pair in points.windows(2) {
        push((micros(pair[0].0), pair[0].1), (micros(pair[1].0), pair[1].1));
    }
    let last = points.last().map_or(first, |p| (micros(p.0), p.1));
    push(last, (length.max(last.0 + 1), last.1));
    all
}
