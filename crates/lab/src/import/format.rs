//! The JSON of a drawn day. Field names are the simulator's keys; times are in microseconds unless the
//! name has another unit.

use serde::Deserialize;
use shorewharf_emulator::day::{Backoff, Goal, Tenant};

#[derive(Deserialize)]
pub(super) struct ImportedDay {
    pub(super) site: String,
    pub(super) family: String,
    pub(super) kind: String,
    pub(super) noise: u64,
    pub(super) length: f64,
    pub(super) tick: f64,
    pub(super) zones: Vec<String>,
    pub(super) net: ImportedNetwork,
    pub(super) entry: String,
    pub(super) front_notice: f64,
    pub(super) traffic: ImportedTraffic,
    pub(super) clients: ImportedClients,
    pub(super) discovery: ImportedDiscovery,
    pub(super) allow: ImportedLimits,
    pub(super) drain_grace: f64,
    pub(super) fall_multiple: f64,
    pub(super) fall_for: f64,
    pub(super) goal: Goal,
    pub(super) prices: ImportedCosts,
    pub(super) classes: Vec<ImportedClass>,
    pub(super) tenants: Vec<Tenant>,
    pub(super) tiers: Vec<ImportedTier>,
    pub(super) servers: Vec<ImportedServer>,
    pub(super) balancers: Vec<ImportedBalancer>,
    pub(super) troubles: Vec<ImportedFault>,
    pub(super) fam: ImportedConnectionModel,
}

#[derive(Deserialize)]
pub(super) struct ImportedNetwork {
    pub(super) same: f64,
    pub(super) cross: f64,
    pub(super) client: f64,
    pub(super) jitter: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedTraffic {
    pub(super) load: f64,
    pub(super) shape: Vec<(f64, f64)>,
    pub(super) burst_cv: f64,
    pub(super) burst_ms: f64,
    pub(super) zone_share: Vec<f64>,
    pub(super) over_share_worth: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedClients {
    pub(super) retries: u32,
    pub(super) try_share: f64,
    pub(super) backoff: Backoff,
    pub(super) backoff_us: f64,
    pub(super) honour: f64,
    pub(super) max_retry_after: f64,
    pub(super) impatient: f64,
    pub(super) marks_retry: bool,
}

#[derive(Deserialize)]
pub(super) struct ImportedDiscovery {
    pub(super) notice: f64,
    pub(super) silent_notice: f64,
    pub(super) add: f64,
    pub(super) period: f64,
    pub(super) spread: f64,
    pub(super) lines_per_s: f64,
    pub(super) call_lines: f64,
    pub(super) timeout: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedLimits {
    pub(super) probes: bool,
    pub(super) cancel: bool,
    pub(super) retry_after: bool,
    pub(super) max_attempts: u32,
    pub(super) cpu_us_per_s: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedCosts {
    pub(super) cross_zone: f64,
    pub(super) waste: f64,
    pub(super) connection: f64,
    pub(super) handshake: f64,
    pub(super) probe: f64,
    pub(super) late_fail: f64,
    pub(super) moves: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedClass {
    pub(super) name: String,
    pub(super) share: f64,
    pub(super) work: f64,
    pub(super) cv: f64,
    pub(super) attempt_noise: f64,
    pub(super) aim: f64,
    pub(super) deadline: f64,
    pub(super) worth: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedTier {
    pub(super) kinds: Vec<ImportedMachineKind>,
    pub(super) handshake_rtts: f64,
    pub(super) conn_idle: f64,
    pub(super) connect_timeout: f64,
    pub(super) probe_work: f64,
    pub(super) probe_cap_per_core: f64,
    pub(super) probe_timeout: f64,
    pub(super) stated_cold_from: f64,
    pub(super) stated_cold: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedMachineKind {
    pub(super) name: String,
    pub(super) cores: u32,
    pub(super) slots: u32,
    pub(super) queue: u32,
    pub(super) thrash: f64,
    pub(super) knee: f64,
    pub(super) cold_from: f64,
    pub(super) cold: f64,
    pub(super) pause_every: f64,
    pub(super) pause: f64,
    pub(super) pause_grow: f64,
    pub(super) error_rate: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedServer {
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cell: u32,
    pub(super) speed: f64,
    pub(super) weight: f64,
    pub(super) up: bool,
}

#[derive(Deserialize)]
pub(super) struct ImportedBalancer {
    pub(super) zone: u32,
    pub(super) start: f64,
}

#[derive(Deserialize)]
pub(super) struct ImportedFault {
    pub(super) kind: String,
    pub(super) at: f64,
    pub(super) len: f64,
    pub(super) size: f64,
    pub(super) on: Vec<u32>,
}

#[derive(Deserialize)]
pub(super) struct ImportedConnectionModel {
    pub(super) pass: bool,
    pub(super) per_core: f64,
    pub(super) cap: f64,
    pub(super) life_s: f64,
    pub(super) life_sigma: f64,
    pub(super) message_us: f64,
    pub(super) bursty: f64,
    pub(super) buffer_s: f64,
    pub(super) by_joins: f64,
    pub(super) sheds: String,
    pub(super) goaway: String,
    pub(super) group_cost: f64,
    pub(super) group_size: f64,
    pub(super) group_zipf: f64,
    pub(super) start_skew: f64,
    pub(super) tells_load: bool,
    pub(super) tells_delay: bool,
    pub(super) rejoin: f64,
    pub(super) move_gap: f64,
    pub(super) uses: Vec<ImportedUsage>,
}

#[derive(Deserialize)]
pub(super) struct ImportedUsage {
    pub(super) load: f64,
    pub(super) life: f64,
    pub(super) load_sigma: f64,
    pub(super) swing_sigma: f64,
    pub(super) change_s: f64,
    pub(super) idle: f64,
    pub(super) message_ms: f64,
}
