//! Balancers that each violate one rule, to check that the auditor reports the violation with the right
//! reason.
//!
//! A mutant wraps a correct instance. It drops or changes some of the instance's inputs and outputs or adds
//! its own, and passes all others unchanged, so that any other finding of the auditor is a false alarm.
//! Violations that only occur on sockets (delayed or changed lines, `MOVE` within a line, first lines that no
//! client sent) have no mutant here.

mod history;
pub mod on_sockets;
mod schedule;

use shorewharf_emulator::audit::Reason;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::{Answer, BalancerId, ConnId, End, FromBalancer, RequestLine, ToBalancer};
use shorewharf_emulator::virtual_time::{GroundTruth, Host, Instance};
use shorewharf_units::Micros;

use history::MutantHistory;
use schedule::{ActionSchedule, ScheduledAction};

/// Mutations of single connections affect one connection in this many.
const AFFECTED_CONNECTION_EVERY: u64 = 5;
/// First number of the links of a mutant's own attempts, above the numbers of all instances' links.
const FIRST_OWN_LINK: u64 = 1 << 60;
/// Interval between a mutant's own actions, and duration of its own attempts.
const ACTION_INTERVAL: Micros = 5_000;
/// How long a connection is established before the mutation affects it.
const ESTABLISHED_BEFORE_FAULT: Micros = 2_000_000;
/// How long `OverrunsStarts` sends all requests to a node that has started.
const OVERRUN_DURATION: Micros = 4_000_000;
/// The time at which `Exits` ends its process.
const EXIT_AT: Micros = 20_000_000;

/// The rule violation of a mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    /// Never answers some clients.
    Mute,
    /// Answers some clients after their deadline.
    Late,
    /// Closes the connections of some clients without an answer.
    HangsUp,
    /// Sends `UP` to some clients although no node did.
    Forges,
    /// Answers some clients twice.
    AnswersTwice,
    /// Sends some requests to two nodes at once.
    TwoAtOnce,
    /// Makes more attempts for some requests than allowed.
    NeverGivesUp,
    /// Sends some requests to a node after it has rejected them.
    SendsAfterEnd,
    /// Ignores that nodes drain or are removed from the endpoint list.
    IgnoresDrains,
    /// Sends all requests to a node that has just started.
    OverrunsStarts,
    /// Closes some established connections.
    CutsOff,
    /// Keeps some clients connected whose node has ended the connection.
    KeepsEnded,
    /// Closes the links of some established connections and keeps their clients connected.
    KeepsSevered,
    /// Never notices that a node has stopped replying on an established connection.
    KeepsSilent,
    /// Ignores SIGTERM.
    IgnoresTerm,
    /// Closes all established connections at SIGTERM.
    CutsOffAtTerm,
    /// Ends its process without being told to.
    Exits,
}

impl Mutation {
    /// All mutations.
    pub const ALL: &[Mutation] = &[
        Mutation::Mute,
        Mutation::Late,
        Mutation::HangsUp,
        Mutation::Forges,
        Mutation::AnswersTwice,
        Mutation::TwoAtOnce,
        Mutation::NeverGivesUp,
        Mutation::SendsAfterEnd,
        Mutation::IgnoresDrains,
        Mutation::OverrunsStarts,
        Mutation::CutsOff,
        Mutation::KeepsEnded,
        Mutation::KeepsSevered,
        Mutation::KeepsSilent,
        Mutation::IgnoresTerm,
        Mutation::CutsOffAtTerm,
        Mutation::Exits,
    ];

    /// The reason that the auditor must report. For `Late`, the delay of the clients' network must exceed one
    /// tick: otherwise the client closes its connection before the late reply arrives, and the reply counts
    /// as missing.
    pub fn expected_reason(self) -> Reason {
        match self {
            Mutation::Mute => Reason::NoAnswer,
            Mutation::Late => Reason::LateAnswer,
            Mutation::HangsUp => Reason::EndedUnanswered,
            Mutation::Forges => Reason::Forged,
            Mutation::AnswersTwice => Reason::SecondAnswer,
            Mutation::TwoAtOnce => Reason::SecondCopy,
            Mutation::NeverGivesUp => Reason::TooManyAttempts,
            Mutation::SendsAfterEnd => Reason::SentAfterEnd,
            Mutation::IgnoresDrains => Reason::SentToDraining,
            Mutation::OverrunsStarts => Reason::PushedOver,
            Mutation::CutsOff => Reason::CutOff,
            Mutation::KeepsEnded => Reason::EndedKept,
            Mutation::KeepsSevered => Reason::SeveredKept,
            Mutation::KeepsSilent => Reason::SilentKept,
            Mutation::IgnoresTerm => Reason::HeldAtKill,
            Mutation::CutsOffAtTerm => Reason::CutOffAtRestart,
            Mutation::Exits => Reason::Exited,
        }
    }
}

/// A host whose instances are those of another host, wrapped in mutants.
pub struct Mutants<H> {
    inner: H,
    mutation: Mutation,
}

impl<H: Host> Mutants<H> {
    /// Wraps the instances of `inner` with `mutation`.
    pub fn new(inner: H, mutation: Mutation) -> Self {
        Mutants { inner, mutation }
    }
}

impl<H: Host> Host for Mutants<H> {
    fn instance(&self, day: &Day, id: BalancerId, settings: &str) -> Box<dyn Instance> {
        Box::new(Mutant {
            inner: self.inner.instance(day, id, settings),
            mutation: self.mutation,
            max_attempts: u64::from(day.limits.max_attempts),
            late_after: day.rules.answer_slack + 1,
            actions: ActionSchedule::new(FIRST_OWN_LINK + (u64::from(id.0) << 40)),
            history: MutantHistory::default(),
            has_exited: false,
            exit_at: None,
        })
    }

    fn wants_ground_truth(&self) -> bool {
        self.inner.wants_ground_truth()
    }

    fn observe_ground_truth(&self, now: Micros, nodes: &[GroundTruth]) {
        self.inner.observe_ground_truth(now, nodes);
    }
}

struct Mutant {
    inner: Box<dyn Instance>,
    mutation: Mutation,
    /// Maximum number of attempts of a request.
    max_attempts: u64,
    /// Time after a request's deadline from which a reply is late.
    late_after: Micros,
    /// Actions that the mutant takes independently of the instance.
    actions: ActionSchedule,
    history: MutantHistory,
    /// Whether the process has exited; it then emits nothing until it starts again.
    has_exited: bool,
    /// The time at which the process exits by itself, if that is still to come.
    exit_at: Option<Micros>,
}

impl Instance for Mutant {
    fn turn(&mut self, now: Micros, messages: &[ToBalancer], out: &mut Vec<FromBalancer>) {
        let mut inputs = Vec::with_capacity(messages.len());
        for message in messages {
            self.on_input(now, message, &mut inputs, out);
        }
        self.actions.run_due(now, out, &mut inputs);
        let mut outputs = Vec::new();
        self.inner.turn(now, &inputs, &mut outputs);
        for message in outputs {
            self.on_output(now, message, out);
        }
        // Processing the outputs may have scheduled actions that are due now.
        let mut further_inputs = Vec::new();
        self.actions.run_due(now, out, &mut further_inputs);
        if !further_inputs.is_empty() {
            self.inner.turn(now, &further_inputs, out);
        }
        if self.exit_at.is_some_and(|due| due <= now) {
            (self.exit_at, self.has_exited) = (None, true);
            out.push(FromBalancer::Exited);
        }
    }

    fn next_due(&self) -> Option<Micros> {
        let inner_due = self.inner.next_due().filter(|_| !self.has_exited);
        [inner_due, self.actions.next_due(), self.exit_at].into_iter().flatten().min()
    }
}

impl Mutant {
    /// Processes an input, and passes it on to the instance in `inputs` unless the mutation drops or replaces
    /// it.
    fn on_input(
        &mut self,
        now: Micros,
        message: &ToBalancer,
        inputs: &mut Vec<ToBalancer>,
        out: &mut Vec<FromBalancer>,
    ) {
        match message {
            ToBalancer::Start { known, .. } => {
                self.has_exited = false;
                self.history.on_start(known);
                if self.mutation == Mutation::Exits && now < EXIT_AT {
                    self.exit_at = Some(EXIT_AT);
                }
            }
            ToBalancer::Kill => {
                self.actions.clear();
                self.history.clear();
            }
            _ => {}
        }
        if let ToBalancer::Request { request, remaining } = message {
            // Requests that name a previous node continue an earlier connection and are never affected.
            if request.conn.0 % AFFECTED_CONNECTION_EVERY == 2 && request.previous_node.is_none() {
                self.history.mark_affected(request.conn, now + remaining + self.late_after);
                if self.mishandle_request(now, request, out) {
                    return;
                }
            }
        }
        let passes = match (self.mutation, message) {
            (Mutation::IgnoresDrains, ToBalancer::List { full, entries }) => {
                let entries = self.history.record_as_ready(*full, entries);
                inputs.push(ToBalancer::List { full: *full, entries });
                false
            }
            (Mutation::OverrunsStarts, ToBalancer::List { entries, .. }) => {
                self.history.record_started_nodes(now + OVERRUN_DURATION, entries);
                true
            }
            (Mutation::KeepsEnded, ToBalancer::NodeEnded(link, _)) => {
                self.history.connection_on(*link).is_none_or(|conn| self.history.late_after(conn).is_none())
            }
            (Mutation::KeepsSilent, ToBalancer::ClientLine(_))
            | (Mutation::IgnoresTerm, ToBalancer::Terminate) => false,
            (Mutation::CutsOffAtTerm, ToBalancer::Terminate) => {
                for conn in self.history.established() {
                    self.schedule_cut_off(now, conn);
                }
                true
            }
            (_, ToBalancer::NodeMessage(link, _) | ToBalancer::NodeEnded(link, _)) => {
                !self.actions.owns(*link)
            }
            (_, ToBalancer::LinkUp(link) | ToBalancer::LinkFailed(link)) => !self.actions.owns(*link),
            _ => true,
        };
        if let ToBalancer::ClientEnded(conn, _) = message {
            self.history.on_client_closed(*conn);
        }
        if passes {
            inputs.push(message.clone());
        }
    }

    /// Handles a request in place of the instance if the mutation does so; else returns false.
    fn mishandle_request(&mut self, now: Micros, request: &RequestLine, out: &mut Vec<FromBalancer>) -> bool {
        let conn = request.conn;
        match self.mutation {
            Mutation::HangsUp => out.push(FromBalancer::EndClient(conn, End::Fin)),
            Mutation::Forges => out.push(FromBalancer::Answer(conn, Answer::Forged)),
            Mutation::SendsAfterEnd => {
                out.push(FromBalancer::Answer(conn, Answer::Busy(0)));
                self.actions.schedule_attempt(
                    now + ACTION_INTERVAL,
                    conn,
                    self.history.node_for(conn),
                    ACTION_INTERVAL,
                );
            }
            Mutation::NeverGivesUp => {
                for i in 0..=self.max_attempts {
                    self.actions.schedule_attempt(
                        now + 2 * i * ACTION_INTERVAL,
                        conn,
                        self.history.node_for(conn),
                        ACTION_INTERVAL,
                    );
                }
                let reject = FromBalancer::Answer(conn, Answer::Busy(0));
                self.actions.schedule(
                    now + 2 * (self.max_attempts + 1) * ACTION_INTERVAL,
                    ScheduledAction::Emit(reject),
                );
            }
            _ => return false,
        }
        true
    }

    /// Schedules the close of a client's connection, which the instance sees as closed by the client.
    fn schedule_cut_off(&mut self, now: Micros, conn: ConnId) {
        self.actions.schedule(now, ScheduledAction::Emit(FromBalancer::EndClient(conn, End::Fin)));
        self.actions.schedule(now, ScheduledAction::Deliver(ToBalancer::ClientEnded(conn, End::Fin)));
    }

    /// Processes an output of the instance: emits, delays, drops or changes it, or adds others, as the
    /// mutation says.
    fn on_output(&mut self, now: Micros, message: FromBalancer, out: &mut Vec<FromBalancer>) {
        if self.has_exited {
            return;
        }
        if let FromBalancer::Answer(conn, Answer::Up(link)) = message {
            self.history.on_established(conn, link);
        }
        let conn_of_message = match message {
            FromBalancer::Answer(conn, _) | FromBalancer::EndClient(conn, _) => Some(conn),
            FromBalancer::Link { conn, .. } => conn,
            _ => None,
        };
        let message = match (self.mutation, message) {
            (Mutation::OverrunsStarts, FromBalancer::Link { link, conn: Some(conn), node }) => {
                let node = self.history.overrun_node(now).unwrap_or(node);
                FromBalancer::Link { link, node, conn: Some(conn) }
            }
            _ => message,
        };
        let Some(late_after) = conn_of_message.and_then(|conn| self.history.late_after(conn)) else {
            return out.push(message);
        };
        match (self.mutation, message) {
            (Mutation::Mute, FromBalancer::Answer(..) | FromBalancer::EndClient(..)) => {}
            (Mutation::Late, FromBalancer::Answer(..) | FromBalancer::EndClient(..)) if late_after > now => {
                self.actions.schedule(late_after, ScheduledAction::Emit(message));
            }
            (Mutation::AnswersTwice, FromBalancer::Answer(conn, Answer::Up(_))) => {
                out.push(message);
                self.actions.schedule(
                    now + ESTABLISHED_BEFORE_FAULT,
                    ScheduledAction::Emit(FromBalancer::Answer(conn, Answer::Err)),
                );
                self.actions.schedule(
                    now + ESTABLISHED_BEFORE_FAULT,
                    ScheduledAction::Deliver(ToBalancer::ClientEnded(conn, End::Fin)),
                );
            }
            (Mutation::TwoAtOnce, FromBalancer::Link { node, conn: Some(conn), .. }) => {
                out.push(message);
                let other = self.history.node_other_than(node);
                self.actions.schedule_attempt(now, conn, other, ACTION_INTERVAL);
            }
            (Mutation::CutsOff, FromBalancer::Answer(conn, Answer::Up(_))) => {
                out.push(message);
                self.schedule_cut_off(now + ESTABLISHED_BEFORE_FAULT, conn);
            }
            (Mutation::KeepsSevered, FromBalancer::Answer(_, Answer::Up(link))) => {
                out.push(message);
                self.actions.schedule(
                    now + ESTABLISHED_BEFORE_FAULT,
                    ScheduledAction::Emit(FromBalancer::EndLink(link, End::Fin)),
                );
            }
            _ => out.push(message),
        }
    }
}
