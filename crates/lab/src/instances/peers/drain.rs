//! The drain of a process after SIGTERM, in the steps of the real program: established clients stay at first, then they
//! are migrated evenly, and requests that still wait are rejected.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_emulator::edge::{Answer, FromBalancer};
use shorewharf_units::Micros;

use super::{EmulatedPeers, RETRY_AFTER, SWEEP_INTERVAL, SessionStage, TimerEvent};

/// Earlier migrated clients would return here: the front still sends clients for 0.4 s after SIGTERM.
pub(super) const DRAIN_MIGRATE_AFTER: Micros = 450_000;
/// Time from the longest wait of a client, capped by `MAX_CLIENT_WAIT`, to SIGKILL.
const KILL_GRACE: Micros = 700_000;
const MAX_CLIENT_WAIT: Micros = 3_000_000;

impl EmulatedPeers {
    /// Takes the next step of the drain: reply to waiting requests, migrate, reject the rest, exit.
    pub(super) fn advance_drain(&mut self) {
        let Some(from) = self.draining_since else { return };
        let since = self.now - from;
        let longest = self.directory.longest_wait().min(MAX_CLIENT_WAIT) + KILL_GRACE;
        // Clients get 0.5 s for final messages after the last migration, and 0.3 s are left for a busy machine.
        let move_until = longest.saturating_sub(800_000);
        let move_from = move_until.saturating_sub(900_000).max(DRAIN_MIGRATE_AFTER);
        let (answers, last) = (move_until.saturating_sub(500_000), longest - 300_000);
        let move_until = move_until.max(DRAIN_MIGRATE_AFTER + SWEEP_INTERVAL);
        let mut ids: Vec<(RequestId, SessionStage)> =
            self.sessions.iter().map(|(id, s)| (*id, s.stage)).collect();
        ids.sort_unstable_by_key(|(id, _)| *id);
        if since >= answers {
            for &(id, _) in ids.iter().filter(|(_, at)| *at == SessionStage::Pending) {
                self.emit(NetworkEvent::ClientLeft(id));
                self.abort_attempt(id, Outcome::Cancelled);
                self.answer_and_forget(id, Answer::Busy(RETRY_AFTER));
            }
        }
        if since >= move_from {
            let open: Vec<RequestId> =
                ids.iter().filter(|(_, at)| *at == SessionStage::Established).map(|(id, _)| *id).collect();
            let parts = move_until.saturating_sub(since) / SWEEP_INTERVAL;
            let n = open.len().div_ceil(parts as usize + 1);
            open.into_iter().take(n).for_each(|id| self.migrate(id));
        }
        if since >= last || (since >= DRAIN_MIGRATE_AFTER + SWEEP_INTERVAL && self.sessions.is_empty()) {
            if !std::mem::replace(&mut self.exited, true) {
                self.actions.push(FromBalancer::Exited);
            }
            return;
        }
        self.schedule(self.now + SWEEP_INTERVAL, TimerEvent::DrainStep);
    }
}
