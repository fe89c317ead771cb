//! Runs a day on sockets: the world decides what happens, the auditor checks the rules, and the result combines both.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use super::harness::{BalancerStatus, Commands, ConnectionObservation, Harness};
use super::run::{Options, Report, RunError, run_day};
use crate::audit::{AuditTolerances, Auditor, Corruption, Direction, Observation};
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, Reachability, RequestLine,
    ToBalancer,
};
use crate::virtual_time::{GroundTruth, RunResult, answer_window};
use crate::world::series::Second;
use crate::world::{Mode, World, WorldListener};

/// The state of a run at one second of the day.
#[derive(Debug)]
pub struct StatusSample<'a> {
    /// The time on the day's clock.
    pub now: Micros,
    /// The series of the second that has just passed; none at the start.
    pub second: Option<&'a Second>,
    /// The actual state of each node.
    pub nodes: &'a [GroundTruth],
    /// The status of each balancer.
    pub balancers: &'a [BalancerStatus],
}

/// The result of a day on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct SocketsRun {
    /// The score, the verdict and the series, as in virtual time.
    pub result: RunResult,
    /// The report on the driver and the processes. A run that it reports as void must not be scored.
    pub report: Report,
}

/// Runs a day in real time against the program, and calls `on_sample` with the state once a second.
///
/// # Errors
///
/// Fails as [`run_day`] does.
pub fn run(
    day: &Day,
    options: &Options,
    on_sample: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<SocketsRun, RunError> {
    let mut platform = Platform {
        world: World::new(day, Mode::Sockets),
        auditor: Auditor::new(day, AuditTolerances::sockets(day)),
        day_end: day.length,
        answer_deadline: day.length + answer_window(day),
        ground_truth: Vec::new(),
        initial_connections: BTreeMap::new(),
        on_sample,
    };
    let report = run_day(&mut platform, day, options)?;
    let verdict = platform.auditor.finish(report.ended);
    Ok(SocketsRun {
        result: RunResult::new(platform.world.finish(), verdict, report.ended, Vec::new()),
        report,
    })
}

struct Platform<'a> {
    world: World,
    auditor: Auditor,
    /// The day's length.
    day_end: Micros,
    /// The time after which answers are no longer awaited.
    answer_deadline: Micros,
    ground_truth: Vec<GroundTruth>,
    /// The balancers of the connections that are established before the day.
    initial_connections: BTreeMap<ConnId, BalancerId>,
    on_sample: &'a mut dyn FnMut(&StatusSample<'_>),
}

/// Collects the world's commands, and passes its observations to the auditor.
struct Listener<'a> {
    commands: &'a mut Commands,
    auditor: &'a mut Auditor,
}

impl WorldListener for Listener<'_> {
    fn deliver(&mut self, _at: Micros, balancer: BalancerId, what: ToBalancer) {
        self.commands.push((balancer, what));
    }

    fn observe(&mut self, at: Micros, what: Observation<'_>) {
        self.auditor.observe(at, what);
    }
}

impl Harness for Platform<'_> {
    fn next_due(&self) -> Option<Micros> {
        self.world.next_due()
    }

    fn advance(&mut self, now: Micros, commands: &mut Commands) {
        self.world.advance(now, &mut Listener { commands, auditor: &mut self.auditor });
    }

    fn on_balancer_action(
        &mut self,
        now: Micros,
        who: BalancerId,
        what: FromBalancer,
        commands: &mut Commands,
    ) {
        self.auditor.observe(now, Observation::Output(who, &what));
        self.world.on_balancer_action(now, who, what, &mut Listener { commands, auditor: &mut self.auditor });
    }

    fn on_link_reset(&mut self, now: Micros, who: BalancerId, link: LinkId, commands: &mut Commands) {
        // To the balancer this is the same as a reset by the node, and it has the same obligations to the client.
        self.auditor.observe(now, Observation::Input(who, &ToBalancer::NodeEnded(link, End::Reset)));
        let reset = FromBalancer::EndLink(link, End::Reset);
        self.world.on_balancer_action(
            now,
            who,
            reset,
            &mut Listener { commands, auditor: &mut self.auditor },
        );
    }

    fn reachability(&self, node: NodeId) -> Reachability {
        self.world.reachability(node)
    }

    fn connections_at_start(&mut self) -> Vec<(BalancerId, RequestLine)> {
        let mut commands = Vec::new();
        self.world
            .open_standing_connections(&mut Listener { commands: &mut commands, auditor: &mut self.auditor });
        let request = |(who, what)| match what {
            ToBalancer::Request { request, .. } => Some((who, request)),
            _ => None,
        };
        let all: Vec<(BalancerId, RequestLine)> = commands.into_iter().filter_map(request).collect();
        self.initial_connections = all.iter().map(|(who, request)| (request.conn, *who)).collect();
        all
    }

    fn on_connections_restored(&mut self, established: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {
        // The commands that the world issues here are dropped: the sockets are in that state already.
        let mut commands = Vec::new();
        for (conn, who) in std::mem::take(&mut self.initial_connections) {
            let mut listener = Listener { commands: &mut commands, auditor: &mut self.auditor };
            let Some((_, link, node)) = established.get(&conn).copied() else {
                self.world.on_balancer_action(
                    0,
                    who,
                    FromBalancer::EndClient(conn, End::Reset),
                    &mut listener,
                );
                self.auditor.observe(0, Observation::NotReestablished(who, conn));
                continue;
            };
            self.world.on_balancer_action(
                0,
                who,
                FromBalancer::Link { link, node, conn: Some(conn) },
                &mut listener,
            );
            self.world.on_balancer_action(
                0,
                who,
                FromBalancer::Answer(conn, Answer::Up(link)),
                &mut listener,
            );
            self.auditor.observe(0, Observation::AlreadyEstablished { balancer: who, conn, link, node });
        }
    }

    fn on_command_executed(&mut self, now: Micros, who: BalancerId, what: &ToBalancer) {
        match what {
            // Requests and lines are observed when they have been written completely; links are established by the
            // operating system.
            ToBalancer::Request { .. } | ToBalancer::ClientLine(_) | ToBalancer::LinkUp(_) => {}
            _ => self.auditor.observe(now, Observation::Input(who, what)),
        }
    }

    fn on_observation(&mut self, now: Micros, who: BalancerId, observation: ConnectionObservation) {
        let (to, from);
        let observation = match observation {
            ConnectionObservation::RequestSent(request, remaining) => {
                to = ToBalancer::Request { request, remaining };
                Observation::Input(who, &to)
            }
            ConnectionObservation::LineSent(conn) => {
                to = ToBalancer::ClientLine(conn);
                Observation::Input(who, &to)
            }
            ConnectionObservation::LineReturned(link) => {
                to = ToBalancer::NodeMessage(link, NodeMessage::Reply);
                Observation::Input(who, &to)
            }
            ConnectionObservation::LineAtNode(conn) => Observation::LineDelivered(conn, Direction::ToNode),
            ConnectionObservation::LineAtClient(conn) => {
                Observation::LineDelivered(conn, Direction::ToClient)
            }
            ConnectionObservation::Changed(conn) => Observation::Corrupted(conn, Corruption::Changed),
            ConnectionObservation::MoveInLine(conn) => Observation::Corrupted(conn, Corruption::MoveInLine),
            ConnectionObservation::MisbehavingClientServed(conn) => {
                self.auditor.observe(now, Observation::MisbehavingClient(who, conn));
                from = FromBalancer::Answer(conn, Answer::Forged);
                Observation::Output(who, &from)
            }
        };
        self.auditor.observe(now, observation);
    }

    fn on_status_sample(&mut self, now: Micros, balancers: &[BalancerStatus]) {
        self.world.ground_truth(&mut self.ground_truth);
        let seconds = &self.world.series().seconds;
        let second = (now / 1_000_000).checked_sub(1).and_then(|s| seconds.get(s as usize));
        (self.on_sample)(&StatusSample { now, second, nodes: &self.ground_truth, balancers });
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.answer_deadline || (now >= self.day_end && self.world.waiting() == 0)
    }
}
