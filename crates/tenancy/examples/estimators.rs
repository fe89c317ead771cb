//! Compares ways to estimate an instance's fraction of the fleet's traffic. Simulates a fleet whose instances
//! can't communicate, in situations that make the fractions uneven. For each estimate, prints the percentage
//! of rejected clients of tenants within their quotas, the flooding tenant's connections over its quota, and
//! all connections over all quotas.
//!
//! `cargo run --release -p shorewharf-tenancy --example estimators`

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Exp1};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{QuotaDecision, Tenancy, TenancySettings, TenantIndex, TenantLimits};
use shorewharf_units::{MICROS_PER_SECOND, Micros};

const TENANTS: usize = 4;
const INSTANCES: usize = 4;
const QUOTAS: [f64; TENANTS] = [380.0, 290.0, 180.0, 150.0];
const FLOODING_TENANT: usize = 2;
/// Mean lifetime of a connection.
const LIFETIME_SECONDS: f64 = 20.0;
/// Time at which a flood begins or an instance fails.
const DISTURBANCE_AT_SECONDS: f64 = 60.0;
const END_AT_SECONDS: f64 = 120.0;
/// Time after the disturbance from which on connections are sampled.
const SETTLE_SECONDS: f64 = 20.0;
/// Fraction of an instance's count of arrivals that is left after a second.
const ARRIVALS_RETENTION: f64 = 0.9;
/// Seeds of the runs of each situation.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// A way for an instance to learn its fraction of the traffic.
#[derive(Clone, Copy, Debug)]
enum Estimate {
    /// An even fraction: one over the number of instances.
    Even,
    /// The rate of arrivals at the instance over the sum of all quotas of set-ups.
    Arrivals,
    /// The estimate that tenancy itself makes.
    LowerThird,
    /// The true fraction, set by a caller that sees the whole fleet.
    Known,
}

/// A situation of the fleet.
struct Situation {
    name: &'static str,
    /// Fraction of the traffic of each instance.
    fractions: [f64; INSTANCES],
    /// Fraction of their quotas that tenants use.
    usage: f64,
    /// Factor on the flooding tenant's requests after the disturbance.
    flood_factor: f64,
    /// Whether the first instance fails at the disturbance.
    first_instance_fails: bool,
}

/// A connection that will end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Connection {
    ends_at: Micros,
    instance: usize,
    tenant: usize,
}

/// Results of a run.
#[derive(Clone, Copy, Default)]
struct Outcome {
    /// Fraction of the clients of tenants within their quotas that were rejected.
    rejected: f64,
    /// Mean connections of the flooding tenant over its quota.
    flooding_tenant: f64,
    /// Mean connections of all tenants over all quotas.
    all_tenants: f64,
}

/// A simulated fleet in a situation.
struct Fleet<'a> {
    situation: &'a Situation,
    estimate: Estimate,
    rng: Pcg64Mcg,
    now_seconds: f64,
    instances: Vec<Tenancy>,
    fractions: Vec<f64>,
    recent_arrivals: Vec<f64>,
    connections: BinaryHeap<Reverse<Connection>>,
    held: [f64; TENANTS],
    has_failed: bool,
    next_sample_at: f64,
    /// Number of requests of tenants within their quotas.
    requests: f64,
    /// Number of these requests that were rejected.
    rejected: f64,
    /// Number of samples after the disturbance.
    samples: f64,
    /// Sum over the samples of the flooding tenant's connections.
    held_by_flooding_tenant: f64,
    /// Sum over the samples of all connections.
    held_by_all: f64,
}

/// Draws an index with probabilities in proportion to the weights.
fn draw_index(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    let is_drawn = |weight: &f64| {
        remaining -= weight;
        remaining < 0.0
    };
    weights.iter().position(is_drawn).unwrap_or(0)
}

fn micros(seconds: f64) -> Micros {
    (seconds * MICROS_PER_SECOND as f64) as Micros
}

fn instance() -> Tenancy {
    let mut tenancy = Tenancy::new(TenancySettings::new(INSTANCES as f64), 0);
    for (tenant, quota) in QUOTAS.iter().enumerate() {
        let limits = TenantLimits::new(*quota, quota / LIFETIME_SECONDS).expect("in range");
        tenancy.set_limits(0, TenantIndex(tenant), Some(limits));
    }
    tenancy
}

impl Fleet<'_> {
    fn new(situation: &Situation, estimate: Estimate, seed: u64) -> Fleet<'_> {
        Fleet {
            situation,
            estimate,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_seconds: 0.0,
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            fractions: situation.fractions.to_vec(),
            recent_arrivals: vec![0.0; INSTANCES],
            connections: BinaryHeap::new(),
            held: [0.0; TENANTS],
            has_failed: false,
            next_sample_at: 1.0,
            requests: 0.0,
            rejected: 0.0,
            samples: 0.0,
            held_by_flooding_tenant: 0.0,
            held_by_all: 0.0,
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_seconds < END_AT_SECONDS {
            let is_disturbed = self.now_seconds >= DISTURBANCE_AT_SECONDS;
            let flood_factor = if is_disturbed { self.situation.flood_factor } else { 1.0 };
            let rates: Vec<f64> = (0..TENANTS)
                .map(|tenant| {
                    let factor = if tenant == FLOODING_TENANT { flood_factor } else { 1.0 };
                    QUOTAS[tenant] / LIFETIME_SECONDS * self.situation.usage * factor
                })
                .collect();
            self.now_seconds += self.rng.sample::<f64, _>(Exp1) / rates.iter().sum::<f64>();
            self.end_connections();
            if self.situation.first_instance_fails
                && self.now_seconds >= DISTURBANCE_AT_SECONDS
                && !self.has_failed
            {
                self.kill_first_instance();
            }
            if self.now_seconds >= self.next_sample_at {
                self.next_sample_at += 1.0;
                self.update_fractions();
                self.sample();
            }
            self.request(&rates, flood_factor);
        }
        Outcome {
            rejected: self.rejected / self.requests,
            flooding_tenant: self.held_by_flooding_tenant / self.samples / QUOTAS[FLOODING_TENANT],
            all_tenants: self.held_by_all / self.samples / QUOTAS.iter().sum::<f64>(),
        }
    }

    fn end_connections(&mut self) {
        let now = micros(self.now_seconds);
        let has_ended = |Reverse(connection): &&Reverse<Connection>| connection.ends_at <= now;
        while let Some(&Reverse(connection)) = self.connections.peek().filter(has_ended) {
            self.connections.pop();
            let Connection { ends_at, instance, tenant } = connection;
            if !(self.has_failed && instance == 0) {
                self.instances[instance].on_connection_ended(ends_at, TenantIndex(tenant));
                self.held[tenant] -= 1.0;
            }
        }
    }

    /// Ends the first instance. Its clients reconnect at the second one, which also gets its further traffic.
    fn kill_first_instance(&mut self) {
        self.has_failed = true;
        self.fractions[1] += self.fractions[0];
        self.fractions[0] = 0.0;
        let lost = self.connections.iter().map(|Reverse(connection)| *connection);
        let lost: Vec<Connection> = lost.filter(|connection| connection.instance == 0).collect();
        for connection in lost {
            self.requests += 1.0;
            self.held[connection.tenant] -= 1.0;
            if !self.connect(Connection { instance: 1, ..connection }, true) {
                self.rejected += 1.0;
            }
        }
    }

    fn update_fractions(&mut self) {
        let setups_per_second = QUOTAS.iter().sum::<f64>() / LIFETIME_SECONDS;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            self.recent_arrivals[index] *= ARRIVALS_RETENTION;
            let arrivals_per_second = self.recent_arrivals[index] * (1.0 - ARRIVALS_RETENTION);
            instance.set_local_fraction(match self.estimate {
                Estimate::Even => Some(1.0 / INSTANCES as f64),
                Estimate::Known => Some(self.fractions[index]).filter(|fraction| *fraction > 0.0),
                Estimate::Arrivals => Some((arrivals_per_second / setups_per_second).clamp(0.01, 1.0)),
                Estimate::LowerThird => None,
            });
        }
    }

    fn sample(&mut self) {
        if self.now_seconds >= DISTURBANCE_AT_SECONDS + SETTLE_SECONDS {
            self.samples += 1.0;
            self.held_by_flooding_tenant += self.held[FLOODING_TENANT];
            self.held_by_all += self.held.iter().sum::<f64>();
        }
    }

    /// Lets a new client of a random tenant request a connection.
    fn request(&mut self, rates: &[f64], flood_factor: f64) {
        let tenant = draw_index(&mut self.rng, rates);
        let instance = draw_index(&mut self.rng, &self.fractions);
        self.recent_arrivals[instance] += 1.0;
        let lifetime = Exp::new(1.0 / LIFETIME_SECONDS).expect("above 0").sample(&mut self.rng);
        let ends_at = micros(self.now_seconds) + micros(lifetime);
        let is_served = self.connect(Connection { ends_at, instance, tenant }, false);
        if tenant != FLOODING_TENANT || flood_factor == 1.0 {
            self.requests += 1.0;
            self.rejected += if is_served { 0.0 } else { 1.0 };
        }
    }

    /// Connects a client if its instance admits it. Returns whether it did.
    fn connect(&mut self, connection: Connection, is_returning: bool) -> bool {
        let now = micros(self.now_seconds);
        let (instance, tenant) = (&mut self.instances[connection.instance], TenantIndex(connection.tenant));
        if instance.check(now, tenant, is_returning) != QuotaDecision::Admit {
            return false;
        }
        instance.on_admitted(now);
        instance.on_established(now, tenant);
        self.held[connection.tenant] += 1.0;
        self.connections.push(Reverse(connection));
        true
    }
}

/// Returns the mean outcome over all seeds as a cell of the table.
fn cell(situation: &Situation, estimate: Estimate) -> String {
    let outcomes: Vec<Outcome> = SEEDS.map(|seed| Fleet::new(situation, estimate, seed).run()).collect();
    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let rejected = mean(|outcome| outcome.rejected) * 100.0;
    let flooding_tenant = mean(|outcome| outcome.flooding_tenant);
    format!("{rejected:.1} %; {flooding_tenant:.2}; {:.2}", mean(|outcome| outcome.all_tenants))
}

fn main() {
    let even = [0.25; INSTANCES];
    let skewed = [0.45, 0.25, 0.2, 0.1];
    let situation = |name, fractions, usage, flood_factor, first_instance_fails| Situation {
        name,
        fractions,
        usage,
        flood_factor,
        first_instance_fails,
    };
    let situations = [
        situation("even, 0.3 in use", even, 0.3, 1.0, false),
        situation("even, 0.9 in use", even, 0.9, 1.0, false),
        situation("skewed, 0.3 in use", skewed, 0.3, 1.0, false),
        situation("skewed, 0.9 in use", skewed, 0.9, 1.0, false),
        situation("skewed, 0.5 in use, the busiest instance dies", skewed, 0.5, 1.0, true),
        situation("even, 0.3 in use, flood", even, 0.3, 33.0, false),
        situation("skewed, 0.3 in use, flood", skewed, 0.3, 33.0, false),
        situation("even, 0.7 in use, flood", even, 0.7, 14.0, false),
        situation("skewed, 0.7 in use, flood", skewed, 0.7, 14.0, false),
    ];
    println!("| situation | even | arrivals | lower third | known |\n| --- | --- | --- | --- | --- |");
    let estimates = [Estimate::Even, Estimate::Arrivals, Estimate::LowerThird, Estimate::Known];
    for situation in &situations {
        let cells = estimates.map(|estimate| cell(situation, estimate));
        println!("| {} | {} |", situation.name, cells.join(" | "));
    }
}
