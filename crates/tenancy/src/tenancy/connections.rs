//! Follows admitted requests and their connections.

use shorewharf_units::Micros;

use super::Tenancy;
use crate::decision::TenantIndex;
use crate::tenant::{SetupKind, TenantState};

impl Tenancy {
    /// Records a connection that was established before the start of this instance.
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

    /// Records that a connection that was being set up is established.
    pub fn on_established(&mut self, now: Micros, tenant: TenantIndex) {
        let Some(record) = self.tenants.get_mut(tenant.0) else { return };
        record.established += 1;
        match self.end_setup(tenant) {
            Some(SetupKind::New) => self.setups.acquire(now, tenant),
            Some(SetupKind::Reconnect) => self.reconnects.acquire(now, tenant),
            None => {}
        }
    }

    /// Records that a connection is no longer being set up, and returns its kind. It does not count in the
    /// rates yet: only established connections do, since a client that the decisions reject again and again
    /// has set up nothing.
    fn end_setup(&mut self, tenant: TenantIndex) -> Option<SetupKind> {
        let kind = self.tenants.get_mut(tenant.0)?.on_setup_ended()?;
        let count = &mut self.setting_up[kind as usize];
        *count = count.saturating_sub(1);
        Some(kind)
    }

    /// Records that a connection is no longer being set up and was not established.
    fn on_setup_failed(&mut self, now: Micros, tenant: TenantIndex) {
        if self.end_setup(tenant) == Some(SetupKind::Reconnect) {
            self.tenants[tenant.0].on_reconnect_failed(now);
        }
    }

    /// Records that an established connection ended.
    pub fn on_connection_ended(&mut self, now: Micros, tenant: TenantIndex) {
        if self.release(now, tenant) {
            self.tenants[tenant.0].on_connection_ended(now);
        }
    }

    /// Records that the decisions rejected or failed an admitted request before its connection was
    /// established.
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

    /// Records that a client left before its connection was established. This is no sign of a shortage of
    /// capacity.
    pub fn on_client_left(&mut self, now: Micros, tenant: TenantIndex) {
        if self.release(now, tenant) {
            self.on_setup_failed(now, tenant);
        }
    }

    /// Removes one connection from a tenant's count. Returns false if it has none.
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
