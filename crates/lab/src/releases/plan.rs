//! A release to be played: the fleet, its settings, and which servers are replaced how and when.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use shorewharf_decisions::interface::Settings;

/// The parts of the settings that releases don't vary.
const BASE_SETTINGS: &[u8] = br#"{"classes":[{"promise_s":0.8,"semantics":"read_like","worth":1.0}],
    "registry_mode":"push","tick_s":0.005,"zones":["z0"],
    "specifics":{"groups":true,"message_aim_s":[0.05],"mode":"proxy"},
    "limits":{"cancel":true,"max_attempts":5,"max_retry_after_s":1.5,"retry_after":true}}"#;
/// Most connections of a fleet, so that a release is played within seconds.
const MAX_CONNECTIONS: f64 = 2000.0;

/// How a replaced server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replacement {
    /// It drains: it is listed as draining and sends its clients away at once.
    Drain,
    /// It is removed from the list at once, and its clients are moved by their balancers or cut off.
    Removal,
    /// Its process dies, and the list says so later.
    Crash,
    /// Its process dies and starts again under the same name.
    RestartInPlace,
}

/// What the endpoint list and the settings tell about capacities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapacityHints {
    /// Quotas, which are this share of what the fleet can hold, and the servers' sizes.
    Quotas(f64),
    /// The servers' sizes.
    Sizes,
    /// Nothing; all servers are of the same size.
    Nothing,
}

/// A release. Times are in seconds.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    /// Seed of the plan, the clients and the balancers.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Connections that each server can hold when it is warm.
    pub servers: Vec<f64>,
    /// Number of clients in each group.
    pub groups: Vec<usize>,
    /// Share of the servers that is replaced.
    pub replaced_ratio: f64,
    /// Number of steps in which they are replaced.
    pub steps: usize,
    /// Time within which they are replaced.
    pub duration: f64,
    /// How they leave.
    pub replacement: Replacement,
    /// Share of the balancers that restart in the middle of the release.
    pub restarted_ratio: f64,
    /// What is known about capacities.
    pub hints: CapacityHints,
    /// Whether balancers may probe.
    pub may_probe: bool,
    /// Whether balancers know each other's loads.
    pub shares_loads: bool,
    /// Settings of all balancers except their index.
    pub settings: Settings,
}

impl ReleasePlan {
    /// Draws a plan: 4 to 900 balancers, 4 to 90 servers, groups of 1 to 60 clients or a giant one.
    pub fn draw(seed: u64) -> ReleasePlan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let balancers = (4.0 * 225.0_f64.powf(rng.random::<f64>())).round() as usize;
        let server_count = (4.0 * 22.5_f64.powf(rng.random::<f64>())).round() as usize;
        let mean_size = (MAX_CONNECTIONS / server_count as f64).min(rng.random_range(8.0..80.0));
        let hints = match rng.random_range(0..5) {
            0 => CapacityHints::Sizes,
            1 => CapacityHints::Nothing,
            _ => CapacityHints::Quotas(rng.random_range(0.71..0.92)),
        };
        let spread = if hints == CapacityHints::Nothing { 0.0 } else { rng.random_range(0.0..0.4) };
        let servers: Vec<f64> =
            (0..server_count).map(|_| mean_size * (1.0 + spread * rng.random_range(-1.0..1.0))).collect();
        let clients = (servers.iter().sum::<f64>() * rng.random_range(0.4..0.8)) as usize;
        let replacements =
            [Replacement::Drain, Replacement::Removal, Replacement::Crash, Replacement::RestartInPlace];
        let mut plan = ReleasePlan {
            seed,
            balancers,
            groups: draw_groups(&mut rng, clients),
            replaced_ratio: rng.random_range(0.1..0.6),
            steps: rng.random_range(1..9),
            duration: rng.random_range(0.0..10.0),
            replacement: *replacements.choose(&mut rng).expect("not empty"),
            restarted_ratio: *[0.0, 0.0, 0.1, 0.5].choose(&mut rng).expect("not empty"),
            hints,
            may_probe: rng.random_bool(0.7),
            shares_loads: balancers <= 60 && rng.random_bool(0.3),
            servers,
            settings: base_settings(),
        };
        plan.settings.overload_ratio = rng.random_range(2.0..3.0);
        plan.settings.overload_window = rng.random_range(1.0..3.0);
        plan.settings.warm_up_time = rng.random_range(10.0..22.0);
        plan.settings.cold_capacity_ratio = rng.random_range(0.13..0.33);
        plan.settings.connect_timeout = rng.random_range(0.1..0.25);
        plan.complete_settings();
        plan
    }

    /// A release like that of the independent review: a hundred balancers, 14 servers of which 8 are replaced
    /// within 7 s, 300 clients.
    pub fn of_a_hundred_balancers(seed: u64) -> ReleasePlan {
        let mut plan = ReleasePlan {
            seed,
            balancers: 100,
            servers: vec![384.0 / 0.71 / 14.0; 14],
            groups: vec![60, 45, 35, 28, 22, 18, 14, 12, 10, 9, 8, 7, 6, 6, 5, 5, 5, 5],
            replaced_ratio: 0.6,
            steps: 4,
            duration: 7.0,
            replacement: Replacement::Drain,
            restarted_ratio: 0.0,
            hints: CapacityHints::Quotas(0.71),
            may_probe: true,
            shares_loads: false,
            settings: base_settings(),
        };
        plan.settings.overload_ratio = 3.0;
        plan.settings.overload_window = 1.5;
        plan.settings.warm_up_time = 22.0;
        plan.settings.cold_capacity_ratio = 0.13;
        plan.settings.connect_timeout = 0.15;
        plan.complete_settings();
        plan
    }

    /// Derives the settings that follow from the rest of the plan. To be called after the plan is changed.
    pub fn complete_settings(&mut self) {
        use shorewharf_decisions::interface::WeightKind;
        let capacity: f64 = self.servers.iter().sum();
        let settings = &mut self.settings;
        settings.instance_count = self.balancers as f64;
        settings.may_probe = self.may_probe;
        settings.tenant_connection_quotas = match self.hints {
            CapacityHints::Quotas(ratio) => vec![capacity * ratio * 0.6, capacity * ratio * 0.4],
            CapacityHints::Sizes | CapacityHints::Nothing => Vec::new(),
        };
        settings.weight_kind = match self.hints {
            CapacityHints::Nothing => WeightKind::Uniform,
            CapacityHints::Quotas(_) | CapacityHints::Sizes => WeightKind::Capacity,
        };
    }

    /// The settings of one balancer.
    pub fn settings_of(&self, balancer: usize) -> Settings {
        Settings { instance_index: balancer as u64, ..self.settings.clone() }
    }
}

fn base_settings() -> Settings {
    shorewharf_settings::parse(BASE_SETTINGS).expect("the base settings are valid").settings
}

/// Draws groups of 1 to 60 clients, or a giant one in one of eight plans.
fn draw_groups(rng: &mut Pcg64Mcg, clients: usize) -> Vec<usize> {
    if rng.random_bool(0.125) {
        return vec![clients];
    }
    let mut groups = Vec::new();
    let mut left = clients;
    while left > 0 {
        let size = (60.0_f64.powf(rng.random::<f64>()) as usize).clamp(1, left);
        groups.push(size);
        left -= size;
    }
    groups
}
