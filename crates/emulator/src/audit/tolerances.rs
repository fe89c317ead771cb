//! With what figures a run is judged: the day's rules, and how far sockets and the platform's exceptions widen them.

use crate::day::Day;
use shorewharf_units::Micros;

/// Every time limit is so much longer on sockets: what the other side sees is late by its own scheduling.
const SOCKETS_EXTRA: Micros = 50_000;
/// A process with a thousand connections takes the system tens of milliseconds to end, more on a busy machine.
const PROCESS_EXIT_TIME: Micros = 500_000;
/// Whatever discovery has to tell counts as told so long after, on sockets.
const NOTIFIED_AFTER: Micros = 6_000_000;
/// And so long after SIGHUP, on sockets.
const NOTIFIED_AFTER_RELOAD: Micros = 4_000_000;
/// A line may be held back, and a connection outlive its server's end, for so long.
const MAX_LINE_HOLD: Micros = 1_000_000;
/// A connection that returns nothing from a running server may be kept so long.
const MAX_SILENCE: Micros = 7_000_000;

/// The figures that an [`super::Auditor`] goes by. All times are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditTolerances {
    /// An answer so long after the deadline is in time.
    pub answer_slack: Micros,
    /// What the balancer can't know yet: a client's end, read so much later than it happened.
    pub propagation_delay: Micros,
    /// Two attempts seen out at once for no longer than this were read in the wrong order, not sent so.
    pub allowed_overlap: Micros,
    /// The system closes the sockets of a process that ends before its end is seen: so long an end of a connection may
    /// be part of that.
    pub process_exit_time: Micros,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Sends to a node are a break so long after its end was told.
    pub drain_grace: Micros,
    /// A balancer that watches nothing and has not asked for so long counts as told of what was listed that long ago.
    pub poll_within: Micros,
    /// Whatever is listed counts as told after this, if given.
    pub notified_after: Option<Micros>,
    /// Whatever is listed counts as told so long after SIGHUP, if given.
    pub notified_after_reload: Option<Micros>,
    /// A cold node falls when sent over so many times what it can do ...
    pub fall_multiple: f64,
    /// ... over any window of this length.
    pub fall_for: Micros,
    /// The longest that a line may be held, and that a connection may outlive its server's end.
    pub max_line_hold: Micros,
    /// The longest that a connection may be kept that returns nothing.
    pub max_silence: Micros,
    /// Lines are seen at both ends of a standing connection (sockets), so held ones can be judged.
    pub lines: bool,
    /// A request with no answer in time is a break; else it has failed and is only counted.
    pub overdue_breaks: bool,
    /// A request whose connection is closed with nothing sent on for it is a break; else only counted.
    pub unsent_breaks: bool,
}

impl AuditTolerances {
    /// In virtual time: the rules as they are worded for the simulator.
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
            fall_multiple: day.rules.fall_multiple,
            fall_for: day.rules.fall_for,
            max_line_hold: MAX_LINE_HOLD,
            max_silence: MAX_SILENCE,
            lines: false,
            overdue_breaks: true,
            unsent_breaks: true,
        }
    }

    /// On sockets, with the two exceptions that hold on the platform's hard days: a request without an answer when its
    /// time runs out has failed and is not lost, and neither is one whose connection the balancer closes before it has
    /// sent anything on for it.
    pub fn sockets(day: &Day) -> Self {
        AuditTolerances {
            overdue_breaks: false,
            unsent_breaks: false,
            ..AuditTolerances::sockets_strict(day)
        }
    }

    /// On sockets, without these exceptions.
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
            lines: true,
            ..rules
        }
    }
}
