//! What the books come to: G and every figure that it is made of.

use serde::Serialize;

use super::Score;
use crate::population::Cell;
use shorewharf_units::seconds_from_micros;

/// Worth asked for and earned.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Whose it is; empty for the whole.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Worth asked for, in seconds of worth 1.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Part {
    /// The share earned; 1 where nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

/// The ten seconds in which the smallest share was earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WorstWindow {
    /// The share.
    pub share: f64,
    /// They begin then.
    pub from_s: u32,
}

/// Worth of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Asked for.
    pub asked: f64,
    /// Earned.
    pub earned: f64,
}

/// One tenant's worth of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TenantSecond {
    /// Asked for within its share.
    pub asked: f64,
    /// Earned within its share.
    pub earned: f64,
    /// Earned beyond its share, at full worth.
    pub beyond: f64,
}

/// What one price took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// The share or rate that is charged.
    pub rate: f64,
    /// What it took from G.
    pub cost: f64,
}

/// The deductions for all prices. The simulator's prices for wasted work and for requests that fail after their
/// objective are not modelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Prices {
    /// Share of the seconds asked for that stood across zones.
    pub cross_zone: Cost,
    /// New connections of pairs of balancer and node, per client.
    pub handshake: Cost,
    /// Open connections of pairs on average, over 100 a node.
    pub connection: Cost,
    /// Probes per client.
    pub probe: Cost,
    /// Moves per client.
    pub moves: Cost,
}

impl Prices {
    /// What they took together.
    pub fn total(&self) -> f64 {
        [self.cross_zone, self.handshake, self.connection, self.probe, self.moves]
            .iter()
            .map(|p| p.cost)
            .sum()
    }
}

/// A day's result.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The figure that a day is judged by.
    pub g: f64,
    /// Share earned over the whole day.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_window: WorstWindow,
    /// The smallest share of a tenant's worth within its share of the service.
    pub worst_tenant: f64,
    /// The smallest share of a class's.
    pub worst_class: f64,
    /// Everything asked for, with what is beyond tenants' shares at its small worth.
    pub all: Part,
    /// By class, within tenants' shares.
    pub classes: Vec<Part>,
    /// By tenant, within its share.
    pub tenants: Vec<Part>,
    /// By second and tenant, the most connections that stood.
    #[serde(skip)]
    pub held_most: Vec<Vec<f64>>,
    /// What was taken off.
    pub prices: Prices,
    /// Clients that asked for a connection, however often they came.
    pub clients: u64,
    /// Attempts at nodes.
    pub attempts: u64,
    /// New connections of pairs.
    pub handshakes: u64,
    /// Probes.
    pub probes: u64,
    /// Moves.
    pub moves: u64,
    /// Second by second; the last may be shorter.
    pub seconds: Vec<Second>,
    /// By tenant, second by second.
    pub tenant_seconds: Vec<Vec<TenantSecond>>,
}

/// Seconds in the window that is judged.
const WINDOW: usize = 10;

fn worst(parts: &[Part]) -> f64 {
    parts.iter().filter(|p| p.asked > 0.0).map(Part::share).fold(1.0, f64::min)
}

pub(super) fn outcome(score: &Score) -> Outcome {
    let day = &score.day;
    let tenants = day.tenants.len();
    let named = |name: &str| Part { name: name.to_string(), ..Part::default() };
    let mut by_class: Vec<Part> = day.classes.iter().map(|c| named(&c.name)).collect();
    let mut by_tenant: Vec<Part> = day.tenants.iter().map(|t| named(&t.name)).collect();
    let mut all = Part::default();
    let mut seconds = Vec::with_capacity(score.seconds.len());
    let mut wanted_s = 0.0;
    let mut tenant_seconds = vec![Vec::with_capacity(score.seconds.len()); tenants];
    for row in &score.seconds {
        tenant_seconds.iter_mut().for_each(|t| t.push(TenantSecond::default()));
        let mut second = Second::default();
        for (cell, (asked, earned)) in row.iter().enumerate() {
            let (class, tenant, within) = Cell(cell as u32).parts(tenants);
            let worth = day.classes.get(class as usize).map_or(1.0, |c| c.worth);
            let (a, e) = (asked * worth, earned * worth);
            let part = if within { 1.0 } else { day.traffic.over_share_worth };
            second.asked += a * part;
            second.earned += e * part;
            wanted_s += asked;
            if let Some(t) = tenant_seconds.get_mut(tenant as usize).and_then(|t| t.last_mut()) {
                if within {
                    t.asked += a;
                    t.earned += e;
                } else {
                    t.beyond += e;
                }
            }
            if within {
                for of in [by_class.get_mut(class as usize), by_tenant.get_mut(tenant as usize)]
                    .into_iter()
                    .flatten()
                {
                    of.asked += a;
                    of.earned += e;
                }
            }
        }
        all.asked += second.asked;
        all.earned += second.earned;
        seconds.push(second);
    }
    let whole = all.share();
    let full = (score.end / super::SECOND) as usize;
    let worst_window = worst_window(&seconds[..full.min(seconds.len())], whole);
    let (worst_tenant, worst_class) = (worst(&by_tenant), worst(&by_class));
    let prices = prices(score, wanted_s);
    let goal = &day.goal;
    let g = goal.whole * whole
        + goal.worst_window * worst_window.share
        + goal.worst_tenant * worst_tenant
        + goal.worst_class * worst_class
        - prices.total();
    let counts = score.counts;
    Outcome {
        held_most: score.held_most.clone(),
        g,
        whole,
        worst_window,
        worst_tenant,
        worst_class,
        all,
        classes: by_class,
        tenants: by_tenant,
        prices,
        clients: counts.clients,
        attempts: counts.attempts,
        handshakes: counts.handshakes,
        probes: counts.probes,
        moves: counts.moves,
        seconds,
        tenant_seconds,
    }
}

/// The window moves on by whole seconds and holds only whole ones; on a shorter day it is the day.
fn worst_window(seconds: &[Second], whole: f64) -> WorstWindow {
    let mut worst = WorstWindow { share: whole, from_s: 0 };
    let windows = seconds.windows(WINDOW).enumerate().filter_map(|(from, w)| {
        let (asked, earned) = w.iter().fold((0.0, 0.0), |(a, e), s| (a + s.asked, e + s.earned));
        (asked > 0.0).then(|| WorstWindow { share: earned / asked, from_s: from as u32 })
    });
    for window in windows {
        if window.share < worst.share {
            worst = window;
        }
    }
    worst
}

fn prices(score: &Score, wanted_s: f64) -> Prices {
    let (day, counts) = (&score.day, score.counts);
    let per = |n: f64, of: f64| if of > 0.0 { n / of } else { 0.0 };
    let price = |rate: f64, each: f64| Cost { rate, cost: rate * each };
    let clients = counts.clients as f64;
    let mean_open = score.open.area() / (seconds_from_micros(score.end)).max(f64::MIN_POSITIVE);
    Prices {
        cross_zone: price(per(score.crossing.area(), wanted_s), day.prices.cross_zone),
        handshake: price(per(counts.handshakes as f64, clients), day.prices.handshake),
        connection: price(per(mean_open, 100.0 * day.nodes.len() as f64), day.prices.connection),
        probe: price(per(counts.probes as f64, clients), day.prices.probe),
        moves: price(per(counts.moves as f64, clients), day.prices.moves),
    }
}
