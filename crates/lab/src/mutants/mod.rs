//! Balancers that each violate one rule, to check that the auditor detects it for the right reason.
//!
//! A mutant wraps a correct instance. It drops or changes some of its inputs and outputs or adds its own, and passes
//! everything else, so that any other finding of a run is a false alarm. Violations that only occur on sockets (delayed
//! or changed lines, `MOVE` within a line, first lines that no client sent) have no mutant here.

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

/// Mutations of single connections affect one in this many.
const AFFECTED_CONNECTION_EVERY: u64 = 5;
/// First link number of a mutant's own attempts, above those of any instance.
const FIRST_OWN_LINK: u64 = 1 << 60;
/// Interval between a mutant's own actions.
const ACTION_INTERVAL: Micros = 5_000;
/// How long a connection is established before the mutation affects it.
const ESTABLISHED_BEFORE_START: Micros = 2_000_000;
/// How long `OverrunsStarts` sends everything to a node that has started.
const OVERRUN_DURATION: Micros = 4_000_000;
/// When `Exits` ends its process.
const EXIT_AT: Micros = 20_000_000;

/// The rule violation of a mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    /// It never answers some clients.
    Mute,
    /// It answers some clients after their time.
    Late,
    /// It closes some connections without an answer.
    HangsUp,
    /// It says `UP` where no node did.
    Forges,
    /// It answers some clients twice.
    AnswersTwice,
    /// It sends some requests to two nodes at once.
    TwoAtOnce,
    /// It tries more often than allowed.
    NeverGivesUp,
    /// It forwards some requests that it has rejected.
    SendsAfterEnd,
    /// It ignores that servers drain or are removed.
    IgnoresDrains,
    /// It sends everything to a node that has just started.
    OverrunsStarts,
    /// It closes some established clients.
    CutsOff,
    /// It keeps some clients whose server has ended the connection.
    KeepsEnded,
    /// It ends its own link and keeps the client.
    KeepsSevered,
    /// It never notices that a connection returns nothing.
    KeepsSilent,
    /// It ignores SIGTERM.
    IgnoresTerm,
    /// It closes all clients at SIGTERM.
    CutsOffAtTerm,
    /// It ends by itself.
    Exits,
}

impl Mutation {
    /// All of them.
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

    /// The reason that the auditor must give. `Late` needs a client delay above one tick: otherwise the late reply crosses
    /// with the client's own end and counts as missing.
    pub fn caught_for(self) -> Reason {
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

/// Wraps the instances of another host in mutants.
pub struct Mutants<H> {
    inner: H,
    mutation: Mutation,
}

impl<H: Host> Mutants<H> {
    /// Wraps the balancers of `inner` with this mutation.
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
            schedule: ActionSchedule::new(FIRST_OWN_LINK + (u64::from(id.0) << 40)),
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
    /// Allowed attempts per request.
    max_attempts: u64,
    /// How long after the deadline a reply counts as late.
    late_after: Micros,
    schedule: ActionSchedule,
    history: MutantHistory,
    /// The process has exited and does nothing until it starts again.
    has_exited: bool,
    /// When the process exits by itself.
    exit_at: Option<Micros>,
}

impl Instance for Mutant {
    fn turn(&mut self, now: Micros, messages: &[ToBalancer], out: &mut Vec<FromBalancer>) {
        let mut inputs = Vec::with_capacity(messages.len());
        for message in messages {
            self.on_input(now, message, &mut inputs, out);
        }
        self.schedule.due(now, out, &mut inputs);
        let mut outputs = Vec::new();
        self.inner.turn(now, &inputs, &mut outputs);
        for message in outputs {
            self.on_output(now, message, out);
        }
        // The instance's outputs may have scheduled more.
        let mut more = Vec::new();
        self.schedule.due(now, out, &mut more);
        if !more.is_empty() {
            self.inner.turn(now, &more, out);
        }
        if self.exit_at.is_some_and(|due| due <= now) {
            (self.exit_at, self.has_exited) = (None, true);
            out.push(FromBalancer::Exited);
        }
    }

    fn next_due(&self) -> Option<Micros> {
        let sound = self.inner.next_due().filter(|_| !self.has_exited);
        [sound, self.schedule.next_due(), self.exit_at].into_iter().flatten().min()
    }
}

impl Mutant {
    /// Processes an input and passes it to the instance where the mutation allows it.
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
                self.schedule.clear();
                self.history.clear();
            }
            _ => {}
        }
        if let ToBalancer::Request { request: ask, remaining: left } = message {
            // Connections from before the run are never affected.
            if ask.conn.0 % AFFECTED_CONNECTION_EVERY == 2 && ask.previous_node.is_none() {
                self.history.mark_affected(ask.conn, now + left + self.late_after);
                if self.mishandle_request(now, ask, out) {
                    return;
                }
            }
        }
        let pass = match (self.mutation, message) {
            (Mutation::IgnoresDrains, ToBalancer::List { full, entries }) => {
                let entries = self.history.all_ready(*full, entries);
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
                !self.schedule.owns(*link)
            }
            (_, ToBalancer::LinkUp(link) | ToBalancer::LinkFailed(link)) => !self.schedule.owns(*link),
            _ => true,
        };
        if let ToBalancer::ClientEnded(conn, _) = message {
            self.history.on_client_closed(*conn);
        }
        if pass {
            inputs.push(message.clone());
        }
    }

    /// Handles a request in place of the instance; false if the mutation doesn't.
    fn mishandle_request(&mut self, now: Micros, ask: &RequestLine, out: &mut Vec<FromBalancer>) -> bool {
        let conn = ask.conn;
        match self.mutation {
            Mutation::HangsUp => out.push(FromBalancer::EndClient(conn, End::Fin)),
            Mutation::Forges => out.push(FromBalancer::Answer(conn, Answer::Forged)),
            Mutation::SendsAfterEnd => {
                out.push(FromBalancer::Answer(conn, Answer::Busy(0)));
                self.schedule.tries(
                    now + ACTION_INTERVAL,
                    conn,
                    self.history.some_node(conn),
                    ACTION_INTERVAL,
                );
            }
            Mutation::NeverGivesUp => {
                for i in 0..=self.max_attempts {
                    self.schedule.tries(
                        now + 2 * i * ACTION_INTERVAL,
                        conn,
                        self.history.some_node(conn),
                        ACTION_INTERVAL,
                    );
                }
                let refuses = FromBalancer::Answer(conn, Answer::Busy(0));
                self.schedule
                    .at(now + 2 * (self.max_attempts + 1) * ACTION_INTERVAL, ScheduledAction::Does(refuses));
            }
            _ => return false,
        }
        true
    }

    fn schedule_cut_off(&mut self, now: Micros, conn: ConnId) {
        self.schedule.at(now, ScheduledAction::Does(FromBalancer::EndClient(conn, End::Fin)));
        self.schedule.at(now, ScheduledAction::Hears(ToBalancer::ClientEnded(conn, End::Fin)));
    }

    /// Processes an output of the instance: emits, drops or changes it.
    fn on_output(&mut self, now: Micros, message: FromBalancer, out: &mut Vec<FromBalancer>) {
        if self.has_exited {
            return;
        }
        if let FromBalancer::Answer(conn, Answer::Up(link)) = message {
            self.history.on_established(conn, link);
        }
        let about = match message {
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
        let Some(late) = about.and_then(|conn| self.history.late_after(conn)) else {
            return out.push(message);
        };
        match (self.mutation, message) {
            (Mutation::Mute, FromBalancer::Answer(..) | FromBalancer::EndClient(..)) => {}
            (Mutation::Late, FromBalancer::Answer(..) | FromBalancer::EndClient(..)) if late > now => {
                self.schedule.at(late, ScheduledAction::Does(message));
            }
            (Mutation::AnswersTwice, FromBalancer::Answer(conn, Answer::Up(_))) => {
                out.push(message);
                self.schedule.at(
                    now + ESTABLISHED_BEFORE_START,
                    ScheduledAction::Does(FromBalancer::Answer(conn, Answer::Err)),
                );
                self.schedule.at(
                    now + ESTABLISHED_BEFORE_START,
                    ScheduledAction::Hears(ToBalancer::ClientEnded(conn, End::Fin)),
                );
            }
            (Mutation::TwoAtOnce, FromBalancer::Link { node, conn: Some(conn), .. }) => {
                out.push(message);
                let other = self.history.other_than(node);
                self.schedule.tries(now, conn, other, ACTION_INTERVAL);
            }
            (Mutation::CutsOff, FromBalancer::Answer(conn, Answer::Up(_))) => {
                out.push(message);
                self.schedule_cut_off(now + ESTABLISHED_BEFORE_START, conn);
            }
            (Mutation::KeepsSevered, FromBalancer::Answer(_, Answer::Up(link))) => {
                out.push(message);
                self.schedule.at(
                    now + ESTABLISHED_BEFORE_START,
                    ScheduledAction::Does(FromBalancer::EndLink(link, End::Fin)),
                );
            }
            _ => out.push(message),
        }
    }
}
