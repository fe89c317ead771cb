//! The schedule of a graceful shutdown.

use shorewharf_units::Micros;

/// For this long after SIGTERM clients may still be sent here. Migrated any sooner, they would come back.
pub const MIN_DRAIN_TIME: Micros = 450_000;
/// SIGKILL follows the longest client timeout by at least this much ...
const KILL_DELAY: Micros = 700_000;
/// ... which counts as no more than this.
const MAX_CLIENT_TIMEOUT: Micros = 3_000_000;
/// All migrations are done this long before SIGKILL: clients have 0.5 s to receive what is left, and 0.3 s are spare.
const MIGRATED_BEFORE_KILL: Micros = 800_000;
/// Migrations begin this long before they are to be done.
const MIGRATION_TIME: Micros = 900_000;
/// The least time for migrations.
const MIN_MIGRATION_TIME: Micros = 100_000;
/// With a successor, established connections are transferred to it. Clients of those that could not be are migrated from
/// this time on.
const MIGRATE_FROM_WITH_SUCCESSOR: Micros = 1_000_000;
/// Waiting requests are answered from this long before all migrations are done.
const ANSWER_BEFORE_MIGRATED: Micros = 500_000;
/// All waiting requests are answered this long before SIGKILL, so that their clients can receive the reply.
const ANSWER_ALL_BEFORE_KILL: Micros = 600_000;
/// The process ends this long before SIGKILL.
const END_BEFORE_KILL: Micros = 300_000;

/// When the steps of a graceful shutdown are due, in time since SIGTERM.
///
/// Established clients stay until near the end: during a rolling restart the balancer before this one may not be back yet,
/// and clients migrated early would find none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Migrations begin. They are spread, as all at once would be a reconnect storm.
    pub migrate_from: Micros,
    /// All clients have been migrated.
    pub migrate_until: Micros,
    /// Waiting requests are answered, except those that may have run and must not be rejected.
    pub answer_from: Micros,
    /// Those are answered too, unless their own deadlines have come before.
    pub answer_all_from: Micros,
    /// The process ends.
    pub end: Micros,
}

impl ShutdownSchedule {
    /// The schedule where another process serves in place of this one, which migrated clients reach.
    pub fn with_successor(client_timeouts: &[Micros]) -> Self {
        let schedule = ShutdownSchedule::new(client_timeouts);
        let migrate_from = schedule.migrate_from.min(MIGRATE_FROM_WITH_SUCCESSOR);
        ShutdownSchedule { migrate_from, ..schedule }
    }

    /// The schedule for these timeouts, by class.
    pub fn new(client_timeouts: &[Micros]) -> Self {
        let longest_timeout = client_timeouts.iter().copied().max().unwrap_or(0);
        let kill = longest_timeout.min(MAX_CLIENT_TIMEOUT) + KILL_DELAY;
        let migrated = kill.saturating_sub(MIGRATED_BEFORE_KILL);
        ShutdownSchedule {
            migrate_from: migrated.saturating_sub(MIGRATION_TIME).max(MIN_DRAIN_TIME),
            migrate_until: migrated.max(MIN_DRAIN_TIME + MIN_MIGRATION_TIME),
            answer_from: migrated.saturating_sub(ANSWER_BEFORE_MIGRATED),
            answer_all_from: kill - ANSWER_ALL_BEFORE_KILL,
            end: kill - END_BEFORE_KILL,
        }
    }
}

#[cfg(test)]
mod tests;
