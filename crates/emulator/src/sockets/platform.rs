//! The whole platform on sockets: the world as the stage, the auditor as who looks on, and the result of both.

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

/// What a run looks like at some second.
#[derive(Debug)]
pub struct StatusSample<'a> {
    /// The day's clock.
    pub now: Micros,
    /// The second that has just passed; none at the start.
    pub second: Option<&'a Second>,
    /// Each node as it truly is.
    pub nodes: &'a [GroundTruth],
    /// Each balancer.
    pub balancers: &'a [BalancerStatus],
}

/// A day on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct SocketsRun {
    /// The account, the verdict and the series, as in virtual time.
    pub result: RunResult,
    /// How the driver and the processes fared; a run that it calls void must not be scored.
    pub report: Report,
}

/// Plays a day in real time against the program, and is told how it stands once a second.
///
/// # Errors
///
/// Fails as [`run_day`] does.
pub fn run(
    day: &Day,
    options: &Options,
    watch: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<SocketsRun, RunError> {
    let mut platform = Platform {
        world: World::new(day, Mode::Sockets),
        auditor: Auditor::new(day, AuditTolerances::sockets(day)),
        day_end: day.length,
        answer_deadline: day.length + answer_window(day),
        ground_truth: Vec::new(),
        homes: BTreeMap::new(),
        watch,
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
    /// The day's length, and the time after which no answer is awaited.
    day_end: Micros,
    answer_deadline: Micros,
    ground_truth: Vec<GroundTruth>,
    /// Who stood where before the day.
    homes: BTreeMap<ConnId, BalancerId>,
    watch: &'a mut dyn FnMut(&StatusSample<'_>),
}

/// Collects what the world says, and shows its facts to the auditor.
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
        // To the balancer it looks as though the node had ended it, and it owes its client the same.
        self.auditor.observe(now, Observation::Input(who, &ToBalancer::NodeEnded(link, End::Reset)));
        let gone = FromBalancer::EndLink(link, End::Reset);
        self.world.on_balancer_action(now, who, gone, &mut Listener { commands, auditor: &mut self.auditor });
    }

    fn reachability(&self, node: NodeId) -> Reachability {
        self.world.reachability(node)
    }

    fn connections_at_start(&mut self) -> Vec<(BalancerId, RequestLine)> {
        let mut commands = Vec::new();
        self.world
            .open_standing_connections(&mut Listener { commands: &mut commands, auditor: &mut self.auditor });
        let asked = |(who, what)| match what {
            ToBalancer::Request { request: ask, .. } => Some((who, ask)),
            _ => None,
        };
        let all: Vec<(BalancerId, RequestLine)> = commands.into_iter().filter_map(asked).collect();
        self.homes = all.iter().map(|(who, ask)| (ask.conn, *who)).collect();
        all
    }

    fn on_connections_restored(&mut self, up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {
        // All of it was said on the sockets already.
        let mut commands = Vec::new();
        for (conn, who) in std::mem::take(&mut self.homes) {
            let mut listener = Listener { commands: &mut commands, auditor: &mut self.auditor };
            let Some((_, link, node)) = up.get(&conn).copied() else {
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
            // Seen when they have gone out in whole; and links come up by themselves here.
            ToBalancer::Request { .. } | ToBalancer::ClientLine(_) | ToBalancer::LinkUp(_) => {}
            _ => self.auditor.observe(now, Observation::Input(who, what)),
        }
    }

    fn on_observation(&mut self, now: Micros, who: BalancerId, observation: ConnectionObservation) {
        let (to, seen);
        let seen = match observation {
            ConnectionObservation::RequestSent(ask, left) => {
                to = ToBalancer::Request { request: ask, remaining: left };
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
                seen = FromBalancer::Answer(conn, Answer::Forged);
                Observation::Output(who, &seen)
            }
        };
        self.auditor.observe(now, seen);
    }

    fn on_status_sample(&mut self, now: Micros, balancers: &[BalancerStatus]) {
        self.world.ground_truth(&mut self.ground_truth);
        let seconds = &self.world.series().seconds;
        let second = (now / 1_000_000).checked_sub(1).and_then(|s| seconds.get(s as usize));
        (self.watch)(&StatusSample { now, second, nodes: &self.ground_truth, balancers });
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.answer_deadline || (now >= self.day_end && self.world.waiting() == 0)
    }
}
