//! A planned end, step by step as the real program takes it: standing clients stay until near its end, then they are
//! moved evenly, and who still waits is refused.

use shorewharf_decisions::interface::{Outcome, RequestId};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_emulator::edge::{Answer, FromBalancer};
use shorewharf_units::Micros;

use super::{COME_BACK, EmulatedPeers, SWEEP, SessionStage, TimerEvent};

/// After SIGTERM the front still sends clients for 0.4 s; moved any sooner, they would come back here.
pub(super) const LEAVE_AFTER: Micros = 450_000;
/// SIGKILL comes no sooner than this after the longest wait of a client, which counts as 3 s where it is longer.
const GRACE: Micros = 700_000;
const GRACE_WAIT: Micros = 3_000_000;

impl EmulatedPeers {
    /// The steps of a planned end: accept and answer, move everybody, refuse who still waits, go.
    pub(super) fn leave(&mut self) {
        let Some(from) = self.leaving else { return };
        let since = self.now - from;
        let longest = self.places.longest_wait().min(GRACE_WAIT) + GRACE;
        // Clients have 0.5 s for their last words after the last move, and 0.3 s are left for a busy machine.
        let move_until = longest.saturating_sub(800_000);
        let move_from = move_until.saturating_sub(900_000).max(LEAVE_AFTER);
        let (answers, last) = (move_until.saturating_sub(500_000), longest - 300_000);
        let move_until = move_until.max(LEAVE_AFTER + SWEEP);
        let mut ids: Vec<(RequestId, SessionStage)> =
            self.sessions.iter().map(|(id, s)| (*id, s.at)).collect();
        ids.sort_unstable_by_key(|(id, _)| *id);
        if since >= answers {
            for &(id, _) in ids.iter().filter(|(_, at)| *at == SessionStage::Waiting) {
                self.tell(NetworkEvent::ClientLeft(id));
                self.fetch_over(id, Outcome::Cancelled);
                self.answer(id, Answer::Busy(COME_BACK));
            }
        }
        if since >= move_from {
            let open: Vec<RequestId> =
                ids.iter().filter(|(_, at)| *at == SessionStage::Open).map(|(id, _)| *id).collect();
            let parts = move_until.saturating_sub(since) / SWEEP;
            let n = open.len().div_ceil(parts as usize + 1);
            open.into_iter().take(n).for_each(|id| self.migrate(id));
        }
        if since >= last || (since >= LEAVE_AFTER + SWEEP && self.sessions.is_empty()) {
            if !std::mem::replace(&mut self.exited, true) {
                self.did.push(FromBalancer::Exited);
            }
            return;
        }
        self.at(self.now + SWEEP, TimerEvent::Leave);
    }
}
