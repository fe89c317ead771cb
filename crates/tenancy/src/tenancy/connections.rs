//! What becomes of admitted clients and of their connections.

use shorewharf_units::Micros;

use super::Tenancy;
use crate::decision::TenantIndex;
use crate::tenant::{SetupKind, TenantState};

impl Tenancy {
    /// A connection was established before the start of this instance.
    pub fn on_restored(&mut self, now: Micros, tenant: TenantIndex) {
        let Some(record) = self.tenants.get_mut(tenant.0) else { return };
        record.connections += 1;
        record.established += 1;
        let is_removed = record.state == TenantState::Removed;
        if record.is_counted() {
            self.connections.acquire(now, tenant);
        }
        if is_removed {
            self.draining.insert(tenant);
        }
    }

    /// A connection that was being set up is established.
    pub fn on_established(&mut self, now: Micros, tenant: TenantIndex) {
        let Some(record) = self.tenants.get_mut(tenant.0) else { return };
        record.established += 1;
        match self.end_setup(tenant) {
            Some(SetupKind::New) => self.setups.acquire(now, tenant),
            Some(SetupKind::Reconnect) => self.reconnects.acquire(now, tenant),
            None => {}
        }
    }

    /// A connection is no longer being set up. Only established ones count in the rates: a client that the decision
    /// module rejects, and that asks again and again, has set nothing up.
    fn end_setup(&mut self, tenant: TenantIndex) -> Option<SetupKind> {
        let kind = self.tenants.get_mut(tenant.0)?.on_setup_ended()?;
        let count = &mut self.setting_up[kind as usize];
        *count = count.saturating_sub(1);
        Some(kind)
    }

    fn on_setup_failed(&mut self, now: Micros, tenant: TenantIndex) {
        if self.end_setup(tenant) == Some(SetupKind::Reconnect) {
            self.tenants[tenant.0].on_reconnect_failed(now);
        }
    }

    /// An established connection has ended.
    pub fn on_connection_ended(&mut self, now: Micros, tenant: TenantIndex) {
        if self.release(now, tenant) {
            self.tenants[tenant.0].on_connection_ended(now);
        }
    }

    /// The decision module rejected a request, or failed it, before its connection was established.
    pub fn on_rejected(&mut self, now: Micros, tenant: TenantIndex) {
        if !self.release(now, tenant) {
            return;
        }
        self.on_setup_failed(now, tenant);
        let record = &mut self.tenants[tenant.0];
        record.counts.rejected_after_admission += 1;
        if record.limits.is_some() {
            self.shortage.on_rejected(now, self.connections.total_used(now));
        }
    }

    /// A client left before its connection was established, which is nobody's failure.
    pub fn on_client_left(&mut self, now: Micros, tenant: TenantIndex) {
        if self.release(now, tenant) {
            self.on_setup_failed(now, tenant);
        }
    }

    /// Takes one connection off a tenant; false if it has none.
    fn release(&mut self, now: Micros, tenant: TenantIndex) -> bool {
        let record = self.tenants.get_mut(tenant.0).filter(|record| record.connections > 0);
        let Some(record) = record else { return false };
        record.connections -= 1;
        let (connections, state) = (record.connections, record.state);
        if record.is_counted() {
            self.connections.release(now, tenant);
        }
        if state == TenantState::OverLoweredQuota && self.is_within_quota(now, tenant) {
            self.tenants[tenant.0].state = TenantState::Active;
        }
        if state == TenantState::Removed && connections == 0 {
            self.draining.remove(&tenant);
        }
        true
    }
}
