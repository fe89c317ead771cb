//! The drain of a process after SIGTERM, in the steps of the real program: established clients stay at first,
//! then they are migrated evenly, and requests that still wait are rejected.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_emulator::edge::{Answer, FromBalancer};
use shorewharf_units::Micros;

use super::{EmulatedPeers, RETRY_AFTER, SWEEP_INTERVAL, SessionStage, TimerEvent};

/// Delay from SIGTERM to the first migrations. The front sends clients here for another 0.4 s after SIGTERM,
/// so clients that are migrated earlier would return.
pub(super) const DRAIN_MIGRATE_AFTER: Micros = 450_000;
/// SIGKILL follows SIGTERM after the maximum wait of clients, capped by `MAX_CLIENT_WAIT`, plus this time.
const KILL_GRACE: Micros = 700_000;
const MAX_CLIENT_WAIT: Micros = 3_000_000;

impl EmulatedPeers {
    /// Takes the next step of the drain: reply to waiting requests, migrate, reject the rest, exit.
    pub(super) fn advance_drain(&mut self) {
        let Some(from) = self.draining_since else { return };
        let elapsed = self.now - from;
        let kill_at = self.directory.longest_wait().min(MAX_CLIENT_WAIT) + KILL_GRACE;
        // Clients get 0.5 s for final messages after the last migration, and 0.3 s are kept in reserve for a
        // busy machine.
        let migrate_until = kill_at.saturating_sub(800_000);
        let migrate_from = migrate_until.saturating_sub(900_000).max(DRAIN_MIGRATE_AFTER);
        let (reject_from, exit_at) = (migrate_until.saturating_sub(500_000), kill_at - 300_000);
        let migrate_until = migrate_until.max(DRAIN_MIGRATE_AFTER + SWEEP_INTERVAL);
        let mut ids: Vec<(RequestId, SessionStage)> =
            self.sessions.iter().map(|(id, s)| (*id, s.stage)).collect();
        ids.sort_unstable_by_key(|(id, _)| *id);
        if elapsed >= reject_from {
            for &(id, _) in ids.iter().filter(|(_, stage)| *stage == SessionStage::Pending) {
                self.emit(NetworkEvent::ClientLeft(id));
                self.abort_attempt(id, Outcome::Cancelled);
                self.answer_and_forget(id, Answer::Busy(RETRY_AFTER));
            }
        }
        if elapsed >= migrate_from {
            let established: Vec<RequestId> = ids
                .iter()
                .filter(|(_, stage)| *stage == SessionStage::Established)
                .map(|(id, _)| *id)
                .collect();
            let remaining_steps = migrate_until.saturating_sub(elapsed) / SWEEP_INTERVAL;
            let n = established.len().div_ceil(remaining_steps as usize + 1);
            established.into_iter().take(n).for_each(|id| self.migrate(id));
        }
        if elapsed >= exit_at || (elapsed >= DRAIN_MIGRATE_AFTER + SWEEP_INTERVAL && self.sessions.is_empty())
        {
            if !std::mem::replace(&mut self.exited, true) {
                self.actions.push(FromBalancer::Exited);
            }
            return;
        }
        self.schedule(self.now + SWEEP_INTERVAL, TimerEvent::DrainStep);
    }
}
