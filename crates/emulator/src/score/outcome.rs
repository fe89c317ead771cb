//! The result of a day: G and the figures that it is computed from.

use serde::Serialize;

use super::Score;
use crate::population::Cell;
use shorewharf_units::seconds_from_micros;

/// Value of the service asked for and earned, for a class, a tenant or the whole day. A second of service counts with
/// the worth of its class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Name of the class or tenant; empty for the whole day.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// Value asked for, in seconds of worth 1.
    pub asked: f64,
    /// Value earned, in the same unit.
    pub earned: f64,
}

impl Part {
    /// Earned value as a share of the value asked for; 1 if nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

/// The ten seconds with the smallest share earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WorstWindow {
    /// Earned value as a share of the value asked for.
    pub share: f64,
    /// Start of the window, in seconds since the start of the day.
    pub from_s: u32,
}

/// Value of the service in one second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Value asked for.
    pub asked: f64,
    /// Value earned.
    pub earned: f64,
}

/// Value of a tenant's service in one second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TenantSecond {
    /// Value asked for within the tenant's share.
    pub asked: f64,
    /// Value earned within the tenant's share.
    pub earned: f64,
    /// Value earned beyond the tenant's share, at the full worth of the class.
    pub beyond: f64,
}

/// The deduction for one price.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// The share or rate that is charged.
    pub rate: f64,
    /// The deduction from G.
    pub cost: f64,
}

/// The deductions for all prices. The simulator's prices for wasted work and for requests that fail after their
/// objective are not modelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Prices {
    /// For connections across zones: their seconds as a share of the seconds asked for.
    pub cross_zone: Cost,
    /// For new connections of pairs of balancer and node: their number per client.
    pub handshake: Cost,
    /// For open connections of pairs: their mean number, divided by 100 times the number of nodes.
    pub connection: Cost,
    /// For probes: their number per client.
    pub probe: Cost,
    /// For migrations: their number per client.
    pub moves: Cost,
}

impl Prices {
    /// The sum of all deductions.
    pub fn total(&self) -> f64 {
        [self.cross_zone, self.handshake, self.connection, self.probe, self.moves]
            .iter()
            .map(|p| p.cost)
            .sum()
    }
}

/// The result of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The figure that rates the day: a weighted sum of the shares below, less the deductions.
    pub g: f64,
    /// Earned share over the whole day.
    pub whole: f64,
    /// The ten seconds with the smallest earned share.
    pub worst_window: WorstWindow,
    /// The smallest earned share of a tenant, counting only service within the tenant's share.
    pub worst_tenant: f64,
    /// The smallest earned share of a class, counting only service within tenants' shares.
    pub worst_class: f64,
    /// All service of the day. Service beyond tenants' shares counts with its reduced worth.
    pub all: Part,
    /// Service by class, within tenants' shares.
    pub classes: Vec<Part>,
    /// Service by tenant, within the tenant's share.
    pub tenants: Vec<Part>,
    /// By second and tenant, the largest number of established connections.
    #[serde(skip)]
    pub peak_by_tenant: Vec<Vec<f64>>,
    /// The deductions that are included in `g`.
    pub prices: Prices,
    /// Number of clients that wanted a connection; one that reconnects counts once.
    pub clients: u64,
    /// Number of attempts sent to nodes.
    pub attempts: u64,
    /// Number of new connections of pairs of balancer and node.
    pub handshakes: u64,
    /// Number of probes.
    pub probes: u64,
    /// Number of migrations.
    pub moves: u64,
    /// Service by second; the last second may be shorter.
    pub seconds: Vec<Second>,
    /// Service by tenant and second.
    pub tenant_seconds: Vec<Vec<TenantSecond>>,
}

/// Length in seconds of the window of [`WorstWindow`].
const WINDOW_S: usize = 10;

/// The smallest share of the parts that asked for anything; 1 if none did.
fn worst_share(parts: &[Part]) -> f64 {
    parts.iter().filter(|p| p.asked > 0.0).map(Part::share).fold(1.0, f64::min)
}

/// Computes the result of a day.
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
            let factor = if within { 1.0 } else { day.traffic.over_share_worth };
            second.asked += a * factor;
            second.earned += e * factor;
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
                for part in [by_class.get_mut(class as usize), by_tenant.get_mut(tenant as usize)]
                    .into_iter()
                    .flatten()
                {
                    part.asked += a;
                    part.earned += e;
                }
            }
        }
        all.asked += second.asked;
        all.earned += second.earned;
        seconds.push(second);
    }
    let whole = all.share();
    let full_seconds = (score.end / super::SECOND) as usize;
    let worst_window = worst_window(&seconds[..full_seconds.min(seconds.len())], whole);
    let (worst_tenant, worst_class) = (worst_share(&by_tenant), worst_share(&by_class));
    let prices = prices(score, wanted_s);
    let goal = &day.goal;
    let g = goal.whole * whole
        + goal.worst_window * worst_window.share
        + goal.worst_tenant * worst_tenant
        + goal.worst_class * worst_class
        - prices.total();
    let counts = score.counts;
    Outcome {
        peak_by_tenant: score.peak_by_tenant.clone(),
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

/// The worst of the windows that start at a whole second and contain only whole seconds. On a day that is shorter
/// than the window, the result is the share of the whole day.
fn worst_window(seconds: &[Second], whole: f64) -> WorstWindow {
    let mut worst = WorstWindow { share: whole, from_s: 0 };
    let windows = seconds.windows(WINDOW_S).enumerate().filter_map(|(from, w)| {
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
    let ratio = |n: f64, of: f64| if of > 0.0 { n / of } else { 0.0 };
    let cost = |rate: f64, price: f64| Cost { rate, cost: rate * price };
    let clients = counts.clients as f64;
    let mean_open = score.open_pairs.total() / (seconds_from_micros(score.end)).max(f64::MIN_POSITIVE);
    Prices {
        cross_zone: cost(ratio(score.cross_zone.total(), wanted_s), day.prices.cross_zone),
        handshake: cost(ratio(counts.handshakes as f64, clients), day.prices.handshake),
        connection: cost(ratio(mean_open, 100.0 * day.nodes.len() as f64), day.prices.connection),
        probe: cost(ratio(counts.probes as f64, clients), day.prices.probe),
        moves: cost(ratio(counts.moves as f64, clients), day.prices.moves),
    }
}
