//! Servers with slow messages: they get nothing new, and some of their clients are migrated.

use crate::interface::{Action, RequestId, ServerId};
use crate::numeric::positive;
use crate::requests::TrackedRequest;
use crate::servers::DelayReport;
use crate::state::Balancer;
use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// Delay over the message latency objective from which on a server counts as slow.
const SLOW_DELAY_RATIO: f64 = 0.4;
/// A slow server gets nothing new until shortly after its next report.
const SLOW_UNAVAILABLE_SECONDS: f64 = 1.2 * HOUSEKEEPING_PERIOD_SECONDS;
/// The backlog of a slow server is to be gone after this time.
const BACKLOG_DRAIN_SECONDS: f64 = 0.4 * HOUSEKEEPING_PERIOD_SECONDS;
/// The largest share of a slow server's load that is migrated at once.
const MAX_MIGRATED_RATIO: f64 = 0.5;
/// Reports further apart than this say nothing of the backlog's growth.
const MAX_REPORT_GAP_SECONDS: f64 = 1.5 * HOUSEKEEPING_PERIOD_SECONDS;
/// Reports closer together than this count as this far apart.
const MIN_REPORT_GAP_SECONDS: f64 = 0.5 * HOUSEKEEPING_PERIOD_SECONDS;

/// A client that may be migrated.
struct MigrationCandidate {
    request: RequestId,
    load: f64,
    /// Its class can live with the server's delay.
    tolerates_delay: bool,
}

/// The share of a server's load that has to leave. A backlog grows by the load beyond what the server can do
/// and shrinks by what it has free, so the growth since the last report counts: a backlog that drains already
/// sheds nobody.
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
    /// Messages at a server take `delay` seconds.
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

    /// The strictest objective of any class.
    fn message_latency_objective(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.message_latency_objective);
        objectives.fold(f64::INFINITY, f64::min)
    }

    /// Migrates clients with this share of a server's load, the heaviest first so that few are migrated.
    /// Those whose class can live with the delay come last.
    pub(crate) fn migrate_share(&mut self, id: ServerId, share: f64, delay: f64, actions: &mut Vec<Action>) {
        let candidates = self.migration_candidates(id, delay);
        let mut due = candidates.iter().map(|candidate| candidate.load).sum::<f64>() * share;
        for MigrationCandidate { request, load, .. } in candidates {
            if due <= 0.0 || self.migration_credit < 1.0 {
                break;
            }
            // A client with more than the load that is still due leaves with that chance.
            if due < load && self.draw() * load >= due {
                break;
            }
            due -= load;
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
