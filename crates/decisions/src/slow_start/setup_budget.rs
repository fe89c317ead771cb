//! The budget of a warming server: how many set-ups all instances together may send it within an overload
//! window, from what is known about its capacity.

use crate::interface::Settings;
use crate::load::LoadEstimates;
use crate::servers::{Server, ServerTable};

use super::carried_connections::CarriedConnections;

/// Share of the tolerated set-ups that is used: servers differ in capacity, and requests in their work.
const BUDGET_SAFETY_RATIO: f64 = 0.9;
/// From this number of expected set-ups on, the margin for chance is the narrower one.
const NARROW_MARGIN_MIN_SETUPS: f64 = 30.0;

/// What is known about the capacity of servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityKnowledge<'a> {
    pub settings: &'a Settings,
    pub servers: &'a ServerTable,
    pub loads: &'a LoadEstimates,
    pub carried: &'a CarriedConnections,
}

impl CapacityKnowledge<'_> {
    /// Number of set-ups that a server with the given share of its warm capacity tolerates within a window.
    pub fn tolerated_setups(&self, server: &Server, warm_up_ratio: f64) -> f64 {
        let settings = self.settings;
        let per_window = self.warm_setup_rate(server) * warm_up_ratio * settings.overload_window;
        tolerated_setups(per_window)
    }

    /// Number of set-ups that all instances together may send the server within a window.
    pub fn window_budget(&self, server: &Server, warm_up_ratio: f64) -> u32 {
        (BUDGET_SAFETY_RATIO * self.tolerated_setups(server, warm_up_ratio)) as u32
    }

    /// Set-ups per second that overload the server if it has its whole capacity: the overload ratio times the
    /// rate that fills it within its warm-up time.
    fn warm_setup_rate(&self, server: &Server) -> f64 {
        let settings = self.settings;
        if settings.warm_up_time <= 0.0 {
            return 0.0;
        }
        let quota: f64 = settings.tenant_connection_quotas.iter().sum();
        let to_rate = settings.overload_ratio / settings.warm_up_time;
        let fleet_share = self.servers.share_of_fleet(server, settings.weight_kind);
        if quota > 0.0 {
            return quota * fleet_share * to_rate;
        }
        if let Some(capacity) = self.loads.capacity(server.entry.server) {
            return capacity.setup_rate * settings.instance_count;
        }
        self.carried.certain() * settings.instance_count * fleet_share * to_rate
    }
}

/// Number of set-ups within a window that a server tolerates where the settings allow `expected`: some more
/// may come by chance. Never falls as `expected` rises.
fn tolerated_setups(expected: f64) -> f64 {
    let with_margin = |setups: f64, margin: f64| setups + margin * setups.sqrt() + margin;
    if expected < NARROW_MARGIN_MIN_SETUPS {
        with_margin(expected, 3.0).min(with_margin(NARROW_MARGIN_MIN_SETUPS, 2.0))
    } else {
        with_margin(expected, 2.0)
    }
}
