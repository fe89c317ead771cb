//! The schedule of a graceful shutdown.

use shorewharf_units::Micros;

/// Time after SIGTERM during which the platform may still send clients to this balancer. A client that is
/// migrated earlier may be sent to this balancer again.
pub const MIN_DRAIN_TIME: Micros = 450_000;
/// SIGKILL follows SIGTERM after the longest client timeout and at least this much time more.
const KILL_DELAY: Micros = 700_000;
/// Maximum by which the longest client timeout delays SIGKILL.
const MAX_CLIENT_TIMEOUT: Micros = 3_000_000;
/// Time from the last migration to SIGKILL: clients have 0.5 s to receive remaining data, and 0.3 s are a
/// safety margin.
const MIGRATED_BEFORE_KILL: Micros = 800_000;
/// Time over which the migrations are spread.
const MIGRATION_TIME: Micros = 900_000;
/// Minimum time over which the migrations are spread if the client timeouts are short.
const MIN_MIGRATION_TIME: Micros = 100_000;
/// Time after SIGTERM from which clients are migrated if there is a successor. Established connections are
/// transferred to the successor from the start, and only the clients of the remaining ones are migrated.
const MIGRATE_FROM_WITH_SUCCESSOR: Micros = 1_000_000;
/// Time from the first answers to waiting requests to the last migration.
const ANSWER_BEFORE_MIGRATED: Micros = 500_000;
/// Time before SIGKILL at which all waiting requests are answered, so that their clients can receive the
/// reply.
const ANSWER_ALL_BEFORE_KILL: Micros = 600_000;
/// Time from the end of the process to SIGKILL.
const END_BEFORE_KILL: Micros = 300_000;
/// Time that a client which connects at the end of the drain time has for its first line.
const FIRST_LINE_TIME: Micros = 350_000;
/// Time from the rejection of incomplete requests to the end of the process, within which their clients can
/// receive it.
const REJECT_BEFORE_END: Micros = 100_000;

/// The times at which the steps of a graceful shutdown are due, in microseconds since SIGTERM.
///
/// Established connections are kept until near the end: during a rolling restart, the balancer that was
/// restarted before this one may not be serving again yet, and clients migrated early might find no balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// When migrations begin. They are spread over time to avoid a reconnect surge.
    pub migrate_from: Micros,
    /// When all clients have been migrated.
    pub migrate_until: Micros,
    /// When connections without a complete request are rejected.
    pub reject_incomplete_from: Micros,
    /// When waiting requests are answered, except those that may have run and must not be rejected.
    pub answer_from: Micros,
    /// When the remaining waiting requests are answered too, unless their own deadlines are earlier.
    pub answer_all_from: Micros,
    /// When the process ends.
    pub end: Micros,
}

/// A graceful shutdown that has begun. A reload does not change its schedule, as SIGKILL follows the settings
/// at SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started_at: Micros,
    schedule: ShutdownSchedule,
}

impl Shutdown {
    /// Begins a shutdown at `now` with the client timeouts of all classes.
    pub fn begin(now: Micros, client_timeouts: &[Micros]) -> Self {
        Shutdown { started_at: now, schedule: ShutdownSchedule::new(client_timeouts) }
    }

    /// The time since the beginning.
    pub fn elapsed(&self, now: Micros) -> Micros {
        now - self.started_at
    }

    /// The schedule, depending on whether the process has a successor that serves.
    pub fn schedule(&self, has_successor: bool) -> ShutdownSchedule {
        if has_successor { self.schedule.with_successor() } else { self.schedule }
    }
}

impl ShutdownSchedule {
    /// Returns the schedule for a process with a successor that serves, so that migrated clients can reconnect
    /// to that at once.
    pub fn with_successor(self) -> Self {
        let migrate_from = self.migrate_from.min(MIGRATE_FROM_WITH_SUCCESSOR);
        ShutdownSchedule { migrate_from, ..self }
    }

    /// Creates the schedule for the client timeouts of all classes.
    pub fn new(client_timeouts: &[Micros]) -> Self {
        let longest_timeout = client_timeouts.iter().copied().max().unwrap_or(0);
        let kill = longest_timeout.min(MAX_CLIENT_TIMEOUT) + KILL_DELAY;
        let migrated = kill.saturating_sub(MIGRATED_BEFORE_KILL);
        let answer_from = migrated.saturating_sub(ANSWER_BEFORE_MIGRATED);
        // With short client timeouts, the last migrations are closer to SIGKILL.
        let end = (kill - END_BEFORE_KILL).max(MIN_DRAIN_TIME + MIN_MIGRATION_TIME);
        let first_lines_complete = MIN_DRAIN_TIME + FIRST_LINE_TIME;
        ShutdownSchedule {
            migrate_from: migrated.saturating_sub(MIGRATION_TIME).max(MIN_DRAIN_TIME),
            migrate_until: migrated.max(MIN_DRAIN_TIME + MIN_MIGRATION_TIME),
            reject_incomplete_from: answer_from.max(first_lines_complete).min(end - REJECT_BEFORE_END),
            answer_from,
            answer_all_from: kill - ANSWER_ALL_BEFORE_KILL,
            end,
        }
    }
}

#[cfg(test)]
mod tests;
