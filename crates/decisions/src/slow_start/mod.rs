//! Slow start: limits what all instances together send to a server that is warming up.
//!
//! Instances that know nothing of each other take turns, as in time-division multiple access (`slots`). The
//! turns of all instances within any overload window are no more than the server tolerates at its age
//! (`setup_budget`), whoever uses them. A turn that is not used is lost.

mod carried_connections;
mod setup_budget;
mod slots;

use std::collections::BTreeMap;

use crate::hashing::{hash_pair, pseudo_random_ratio};
use crate::interface::{RequestId, ServerId, Settings, SlowStartAdmission};
use crate::load::LoadEstimates;
use crate::servers::{Server, ServerTable};
use carried_connections::CarriedConnections;
use setup_budget::CapacityKnowledge;
use slots::Slot;

/// Inputs of slow start besides its own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartInputs<'a> {
    pub settings: &'a Settings,
    pub servers: &'a ServerTable,
    pub loads: &'a LoadEstimates,
    /// Whether the loads of other instances are known.
    pub is_fleet_known: bool,
}

impl SlowStartInputs<'_> {
    /// This instance's share of the connections that a warming server can hold by now, if the loads of other
    /// instances are known; the shares of all instances add up to the whole.
    pub fn sustained_connections(&self, server: &Server) -> Option<f64> {
        let capacity = self.loads.comparable_capacity(server.entry.server).filter(|_| self.is_fleet_known)?;
        Some(capacity.load / self.loads.mean_load)
    }

    /// Whether the server can hold one more connection of this instance by now, if that is known. The share is
    /// rounded pseudo-randomly, so that many instances with a share below one connection don't all send a
    /// request.
    fn can_hold_one_more(&self, server: &Server) -> bool {
        let Some(connections) = self.sustained_connections(server) else { return true };
        let entry = &server.entry;
        let rounding = pseudo_random_ratio(self.settings.instance_index, entry.server, entry.started_at);
        server.warm_up_admissions + rounding < connections
    }
}

/// The last slot of a server in which this instance has sent requests.
#[derive(Clone, Copy, Debug)]
struct UsedSlot {
    server_started_at: f64,
    slot: Slot,
    requests: u32,
}

/// The state of slow start: which turns this instance has used.
#[derive(Debug)]
pub(crate) struct SlowStart {
    /// Slots that began before this time may have been used by another process of this instance.
    usable_from: f64,
    /// By server, and kept apart from the server table: a server that is removed from the endpoint list and
    /// listed again is still the same process.
    used_slots: BTreeMap<ServerId, UsedSlot>,
    carried: CarriedConnections,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            usable_from: f64::NEG_INFINITY,
            used_slots: BTreeMap::new(),
            carried: CarriedConnections::default(),
        }
    }
}

impl SlowStart {
    /// Records that other processes of this instance may have used the slots that have begun so far: it has
    /// just started, or its slots are divided differently.
    pub fn on_slots_reassigned(&mut self, now: f64) {
        self.usable_from = now;
    }

    /// Forgets slots that have ended long ago, and takes over the number of established connections.
    pub fn run_housekeeping(&mut self, now: f64, connections: f64, settings: &Settings) {
        let oldest = now - settings.warm_up_time;
        self.used_slots.retain(|_, used| used.slot.begins_at >= oldest);
        self.carried.record(now, connections, settings.warm_up_time);
    }

    /// Whether a server is warm, or this instance may send one more request to it now.
    pub fn may_admit(&self, inputs: &SlowStartInputs, server: &Server, now: f64) -> bool {
        if server.warm_up_ratio(inputs.settings, now) >= 1.0 {
            return true;
        }
        let slot = Slot::at(inputs.settings, server.entry.started_at, now);
        slot.begins_at >= self.usable_from
            && inputs.can_hold_one_more(server)
            && self.requests_sent(server, slot) < self.allocation(inputs, server, slot)
    }

    /// When this instance's turn at a warming server begins, if that is in the next slot.
    pub fn next_turn(&self, inputs: &SlowStartInputs, server: &Server, now: f64) -> Option<f64> {
        if server.warm_up_ratio(inputs.settings, now) >= 1.0 {
            return None;
        }
        let slot = Slot::at(inputs.settings, server.entry.started_at, now).next(inputs.settings);
        (self.allocation(inputs, server, slot) > 0).then_some(slot.begins_at)
    }

    /// Records that a request is sent to a server. Returns why it was admitted, if the server is warming up.
    pub fn record_admission(
        &mut self,
        inputs: &SlowStartInputs,
        server: &Server,
        request: RequestId,
        now: f64,
    ) -> Option<SlowStartAdmission> {
        if server.warm_up_ratio(inputs.settings, now) >= 1.0 {
            return None;
        }
        let entry = &server.entry;
        let slot = Slot::at(inputs.settings, entry.started_at, now);
        let requests = self.requests_sent(server, slot) + 1;
        let used = UsedSlot { server_started_at: entry.started_at, slot, requests };
        self.used_slots.insert(entry.server, used);
        let knowledge = self.knowledge(inputs);
        let warm_up_ratio = server.warm_up_ratio(inputs.settings, slot.begins_at);
        Some(SlowStartAdmission {
            request,
            server: entry.server,
            age: now - entry.started_at,
            slot: slot.number,
            tolerated: knowledge.tolerated_setups(server, warm_up_ratio),
            budget: knowledge.window_budget(server, warm_up_ratio),
        })
    }

    /// Number of requests that this instance has sent to a server in a slot.
    fn requests_sent(&self, server: &Server, slot: Slot) -> u32 {
        let is_same = |used: &&UsedSlot| {
            used.server_started_at == server.entry.started_at && used.slot.number == slot.number
        };
        self.used_slots.get(&server.entry.server).filter(is_same).map_or(0, |used| used.requests)
    }

    /// Number of requests that this instance may send to a warming server in a slot. The budget is that of the
    /// slot's begin, when the server is youngest.
    fn allocation(&self, inputs: &SlowStartInputs, server: &Server, slot: Slot) -> u32 {
        let warm_up_ratio = server.warm_up_ratio(inputs.settings, slot.begins_at);
        let budget = self.knowledge(inputs).window_budget(server, warm_up_ratio);
        let entry = &server.entry;
        let server_hash = hash_pair(entry.server.0, entry.started_at.to_bits());
        slot.allocation(inputs.settings, server_hash, budget)
    }

    fn knowledge<'a>(&'a self, inputs: &SlowStartInputs<'a>) -> CapacityKnowledge<'a> {
        let SlowStartInputs { settings, servers, loads, .. } = *inputs;
        CapacityKnowledge { settings, servers, loads, carried: &self.carried }
    }
}
