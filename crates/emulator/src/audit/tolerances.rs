//! The limits that the auditor applies: those of the day's rules, extended for runs on sockets and by the platform's
//! exceptions.

use crate::day::Day;
use shorewharf_units::Micros;

/// The time, in microseconds, added to most limits on sockets, because the emulator's own scheduling delays its
/// observations.
const SOCKETS_EXTRA: Micros = 50_000;
/// How long the system may take to end a process: tens of milliseconds with a thousand connections, and more on a busy
/// machine.
const PROCESS_EXIT_TIME: Micros = 500_000;
/// On sockets a balancer counts as notified of a change this long after it was listed.
const NOTIFIED_AFTER: Micros = 6_000_000;
/// On sockets a balancer counts as notified of all earlier changes this long after SIGHUP.
const NOTIFIED_AFTER_RELOAD: Micros = 4_000_000;
/// The longest time that a line may be held, and that a client's connection may stay open after its server has closed.
const MAX_LINE_HOLD: Micros = 1_000_000;
/// The longest time that a connection may be kept on which a reachable server returns nothing.
const MAX_SILENCE: Micros = 7_000_000;

/// The limits that an [`super::Auditor`] applies. All times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditTolerances {
    /// How long after the deadline an answer still counts as in time.
    pub answer_slack: Micros,
    /// How long it may take the balancer to learn that a client has closed its connection.
    pub propagation_delay: Micros,
    /// Two attempts that appear in flight at once for no longer than this were observed in the wrong order.
    pub allowed_overlap: Micros,
    /// How long after a connection is closed the end of the whole process may be observed. The system closes the
    /// sockets of a process before its exit can be seen, so the close may be part of it.
    pub process_exit_time: Micros,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// How long attempts may still be sent to a node after the balancer was notified that it is draining or gone.
    pub drain_grace: Micros,
    /// How often a balancer without a watch must ask for the list. One that has not asked for this long counts as
    /// notified of what was listed that long ago.
    pub poll_within: Micros,
    /// Time after which a balancer counts as notified of a listed change, if given.
    pub notified_after: Option<Micros>,
    /// Time after SIGHUP at which a balancer counts as notified of everything listed before it, if given.
    pub notified_after_reload: Option<Micros>,
    /// A cold node is overloaded by more than this multiple of the work that it can do within the overload window.
    pub overload_multiple: f64,
    /// Length of the overload window.
    pub overload_window: Micros,
    /// The longest time that a line may be held, and that a client's connection may stay open after its server has
    /// closed.
    pub max_line_hold: Micros,
    /// The longest time that a connection may be kept on which a reachable server returns nothing.
    pub max_silence: Micros,
    /// Whether lines are observed at both ends of an established connection (sockets), so that held lines can be
    /// detected.
    pub observes_lines: bool,
    /// Whether a request without an answer in time is a violation; otherwise it has failed and is only counted.
    pub overdue_is_violation: bool,
    /// Whether it is a violation to close a request's connection before any attempt was sent; otherwise it is only
    /// counted.
    pub unsent_is_violation: bool,
}

impl AuditTolerances {
    /// The limits in virtual time: those of the day's rules, without extensions.
    pub fn virtual_time(day: &Day) -> Self {
        AuditTolerances {
            answer_slack: day.rules.answer_slack,
            propagation_delay: 0,
            allowed_overlap: 0,
            process_exit_time: 0,
            max_attempts: day.limits.max_attempts,
            drain_grace: day.rules.drain_grace,
            poll_within: day.rules.ask_within,
            notified_after: None,
            notified_after_reload: None,
            overload_multiple: day.rules.fall_multiple,
            overload_window: day.rules.fall_for,
            max_line_hold: MAX_LINE_HOLD,
            max_silence: MAX_SILENCE,
            observes_lines: false,
            overdue_is_violation: true,
            unsent_is_violation: true,
        }
    }

    /// The limits on sockets with the two exceptions that apply on the platform's hard days: a request without an
    /// answer at its deadline has failed and is not lost, and neither is one whose connection the balancer closes
    /// before it has sent any attempt.
    pub fn sockets(day: &Day) -> Self {
        AuditTolerances {
            overdue_is_violation: false,
            unsent_is_violation: false,
            ..AuditTolerances::sockets_strict(day)
        }
    }

    /// The limits on sockets without the exceptions of [`AuditTolerances::sockets`].
    pub fn sockets_strict(day: &Day) -> Self {
        let rules = AuditTolerances::virtual_time(day);
        AuditTolerances {
            answer_slack: rules.answer_slack + SOCKETS_EXTRA,
            propagation_delay: SOCKETS_EXTRA,
            allowed_overlap: SOCKETS_EXTRA,
            process_exit_time: PROCESS_EXIT_TIME,
            drain_grace: rules.drain_grace + SOCKETS_EXTRA,
            notified_after: Some(NOTIFIED_AFTER),
            notified_after_reload: Some(NOTIFIED_AFTER_RELOAD),
            max_line_hold: MAX_LINE_HOLD + SOCKETS_EXTRA,
            max_silence: MAX_SILENCE + SOCKETS_EXTRA,
            observes_lines: true,
            ..rules
        }
    }
}
