//! Servers with slow messages: no new requests are sent to them, and some of their clients are migrated.

use crate::interface::{Action, RequestId, ServerId};
use crate::numeric::positive;
use crate::requests::TrackedRequest;
use crate::servers::DelayReport;
use crate::state::Balancer;
use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Ratio of message delay to message latency objective from which on a server counts as slow.
const SLOW_DELAY_RATIO: f64 = 0.4;
/// A slow server is unavailable for this time, until shortly after its next report is due.
const SLOW_UNAVAILABLE_SECONDS: f64 = 1.2 * HOUSEKEEPING_PERIOD_SECONDS;
/// Time within which the backlog of a slow server should be gone.
const BACKLOG_DRAIN_SECONDS: f64 = 0.4 * HOUSEKEEPING_PERIOD_SECONDS;
/// Largest share of a slow server's load that is migrated at once.
const MAX_MIGRATED_RATIO: f64 = 0.5;
/// Reports further apart than this say nothing about the growth of the backlog.
const MAX_REPORT_GAP_SECONDS: f64 = 1.5 * HOUSEKEEPING_PERIOD_SECONDS;
/// Reports closer together than this are treated as this far apart.
const MIN_REPORT_GAP_SECONDS: f64 = 0.5 * HOUSEKEEPING_PERIOD_SECONDS;

/// A client that may be migrated.
struct MigrationCandidate {
    request: RequestId,
    load: f64,
    /// Whether the server's delay is within the message latency objective of the client's class.
    tolerates_delay: bool,
}

/// The share of a server's load that has to be migrated. A backlog grows by the load that exceeds the
/// server's capacity and shrinks by its free capacity, so the growth since the last report counts: no client
/// leaves a server whose backlog is draining anyway.
fn excess_load_ratio(report: DelayReport, previous: DelayReport) -> f64 {
    let gap = report.reported_at - previous.reported_at;
    let growth = if gap < MAX_REPORT_GAP_SECONDS {
        (report.delay - previous.delay) / gap.max(MIN_REPORT_GAP_SECONDS)
    } else {
        0.0
    };
    (growth + report.delay / BACKLOG_DRAIN_SECONDS) / (1.0 + growth.max(0.0))
}

impl Balancer {
    /// Handles a report that messages at a server take `delay` seconds.
    pub(crate) fn on_message_delay(&mut self, now: f64, id: ServerId, delay: f64, actions: &mut Vec<Action>) {
        let Some(delay) = positive(delay) else { return };
        let objective = self.message_latency_objective();
        let Some(server) = self.servers.get_mut(id) else { return };
        let report = DelayReport { delay, reported_at: now };
        let previous = std::mem::replace(&mut server.last_delay, report);
        if delay / objective < SLOW_DELAY_RATIO {
            server.unavailable_until = server.unavailable_until.min(now);
            return;
        }
        server.reduce_health(now, SLOW_UNAVAILABLE_SECONDS);
        let share = excess_load_ratio(report, previous);
        if share > 0.0 {
            self.migrate_share(id, share.min(MAX_MIGRATED_RATIO), delay, actions);
        }
    }

    /// The strictest message latency objective of all classes.
    fn message_latency_objective(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.message_latency_objective);
        objectives.fold(f64::INFINITY, f64::min)
    }

    /// Migrates clients with the given share of a server's load, the heaviest first so that few are migrated.
    /// Clients whose class tolerates the delay come last.
    pub(crate) fn migrate_share(&mut self, id: ServerId, share: f64, delay: f64, actions: &mut Vec<Action>) {
        let candidates = self.migration_candidates(id, delay);
        let mut remaining = candidates.iter().map(|candidate| candidate.load).sum::<f64>() * share;
        for MigrationCandidate { request, load, .. } in candidates {
            if remaining <= 0.0 || self.migration_credit < 1.0 {
                break;
            }
            // A client whose load exceeds the remainder is migrated with a probability of remainder over
            // load.
            if remaining < load && self.draw() * load >= remaining {
                break;
            }
            remaining -= load;
            self.migration_credit -= 1.0;
            actions.push(Action::Migrate(request));
            if let Some(tracked) = self.requests.get_mut(request) {
                tracked.is_answered = true;
            }
        }
    }

    fn migration_candidates(&self, id: ServerId, delay: f64) -> Vec<MigrationCandidate> {
        let is_there =
            |tracked: &&TrackedRequest| tracked.connected_server == Some(id) && !tracked.is_answered;
        let candidate = |tracked: &TrackedRequest| {
            let class = self.settings.classes.get(tracked.request.class);
            MigrationCandidate {
                request: tracked.request.id,
                load: tracked.load,
                tolerates_delay: class.is_some_and(|class| class.message_latency_objective > delay),
            }
        };
        let mut candidates: Vec<_> = self.requests.iter().filter(is_there).map(candidate).collect();
        candidates.sort_by(|a, b| a.tolerates_delay.cmp(&b.tolerates_delay).then(b.load.total_cmp(&a.load)));
        candidates
    }
}
