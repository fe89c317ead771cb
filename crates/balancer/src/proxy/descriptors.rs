//! Counts the descriptors that sessions, attempts and probes hold, and evicts idle sessions when descriptors
//! run short.

use shorewharf_lifecycle::Cause;

use super::Proxy;
use crate::clients::session::SessionStage;
use crate::event_loop::context::LoopContext;
use crate::overload::descriptor_budget::DescriptorsInUse;

impl Proxy {
    /// Sets the number of descriptors that another process of this balancer holds, which is deducted from the
    /// limit.
    pub fn set_sibling_descriptors(&mut self, descriptors: usize) {
        self.sibling_descriptors = descriptors;
        self.descriptor_budget.set_limit(self.settings.max_descriptors.saturating_sub(descriptors));
    }

    pub(super) fn descriptors_in_use(&self) -> DescriptorsInUse {
        let all = self.sessions.len() + self.attempts.count() + self.probes.count();
        DescriptorsInUse { total: all, idle: self.sessions.idle_count() }
    }

    /// Whether a connection to a server may be opened with enough descriptors left to answer clients.
    pub fn has_capacity(&self) -> bool {
        self.descriptor_budget.can_connect(self.descriptors_in_use())
    }

    /// Ensures that a connection to a server may be opened, if necessary by evicting idle sessions. Returns
    /// false if eviction can't free enough descriptors.
    pub(super) fn ensure_capacity(&mut self, context: &mut LoopContext) -> bool {
        while !self.has_capacity() {
            let can_evict = self.descriptor_budget.can_evict(self.descriptors_in_use());
            if !can_evict || !self.evict_idle(context) {
                return false;
            }
        }
        true
    }

    /// Evicts idle sessions until they hold no more than their share and the limit on descriptors is kept.
    pub(super) fn evict_surplus(&mut self, context: &mut LoopContext) {
        while self.descriptor_budget.must_evict(self.descriptors_in_use()) && self.evict_idle(context) {}
    }

    /// Frees a descriptor by evicting an idle session, if there is any.
    pub fn free_descriptor(&mut self, context: &mut LoopContext) {
        self.evict_idle(context);
    }

    /// Closes the first idle session in the order of eviction. Its input is read first: a complete line is a
    /// request, which makes the session busy, and a close with unread input would send a reset, which could
    /// destroy a final answer before the client reads it. Returns false if no session is idle.
    fn evict_idle(&mut self, context: &mut LoopContext) -> bool {
        let Some(id) = self.sessions.eviction_candidate() else { return false };
        if self.read_incomplete_request(context, id) {
            self.evict_incomplete_request(context, id);
        } else if self.sessions.get(id).is_some_and(|session| session.stage() == SessionStage::Closing) {
            self.close_session(context, id, Cause::Descriptors);
        }
        true
    }

    /// Whether one more client may be accepted, if necessary by evicting an idle session afterwards.
    pub fn can_accept(&self) -> bool {
        self.descriptor_budget.can_accept(self.descriptors_in_use())
    }

    /// Records whether descriptors have run out, and logs a change.
    pub fn set_descriptor_shortage(&mut self, is_short: bool) {
        self.descriptor_budget.set_shortage(is_short, self.descriptors_in_use());
    }

    /// Whether descriptors had run out when that was last recorded.
    pub fn has_descriptor_shortage(&self) -> bool {
        self.descriptor_budget.has_shortage()
    }

    /// Publishes the numbers of open requests and of descriptors in use to the operators' counters.
    pub fn publish_gauges(&self) {
        let in_use = self.descriptors_in_use();
        self.counters.set_gauges(self.sessions.len() - in_use.idle, in_use.total);
    }
}
