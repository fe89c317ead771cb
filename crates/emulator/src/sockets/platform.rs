//! The whole platform on sockets: the world as the stage, the auditor as who looks on, and the result of both.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use super::run::{Options, Report, RunError, play};
use super::stage::{Post, Said, Sight, Stage};
use crate::audit::{Auditor, Garble, Judging, Seen, Way};
use crate::day::Day;
use crate::edge::{
    Answer, Ask, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeWord, Reach, ToBalancer,
};
use crate::virtual_time::{RunResult, Truth, last_answers};
use crate::world::series::Second;
use crate::world::{Ear, Mode, World};

/// What a run looks like at some second.
#[derive(Debug)]
pub struct Glance<'a> {
    /// The day's clock.
    pub now: Micros,
    /// The second that has just passed; none at the start.
    pub second: Option<&'a Second>,
    /// Each node as it truly is.
    pub nodes: &'a [Truth],
    /// Each balancer.
    pub balancers: &'a [Post],
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
pub fn run(day: &Day, options: &Options, watch: &mut dyn FnMut(&Glance<'_>)) -> Result<SocketsRun, RunError> {
    let mut platform = Platform {
        world: World::new(day, Mode::Sockets),
        auditor: Auditor::new(day, Judging::sockets(day)),
        end: day.length,
        last: day.length + last_answers(day),
        truths: Vec::new(),
        homes: BTreeMap::new(),
        watch,
    };
    let report = play(&mut platform, day, options)?;
    let verdict = platform.auditor.finish(report.ended);
    Ok(SocketsRun { result: platform.world.finish(report.ended, verdict), report })
}

struct Platform<'a> {
    world: World,
    auditor: Auditor,
    /// The day's length, and the time after which no answer is awaited.
    end: Micros,
    last: Micros,
    truths: Vec<Truth>,
    /// Who stood where before the day.
    homes: BTreeMap<ConnId, BalancerId>,
    watch: &'a mut dyn FnMut(&Glance<'_>),
}

/// Collects what the world says, and shows its facts to the auditor.
struct Listener<'a> {
    said: &'a mut Said,
    auditor: &'a mut Auditor,
}

impl Ear for Listener<'_> {
    fn to(&mut self, _at: Micros, balancer: BalancerId, what: ToBalancer) {
        self.said.push((balancer, what));
    }

    fn fact(&mut self, at: Micros, what: Seen<'_>) {
        self.auditor.see(at, what);
    }
}

impl Stage for Platform<'_> {
    fn next_due(&self) -> Option<Micros> {
        self.world.next_due()
    }

    fn advance(&mut self, now: Micros, said: &mut Said) {
        self.world.advance(now, &mut Listener { said, auditor: &mut self.auditor });
    }

    fn did(&mut self, now: Micros, who: BalancerId, what: FromBalancer, said: &mut Said) {
        self.auditor.see(now, Seen::From(who, &what));
        self.world.did(now, who, what, &mut Listener { said, auditor: &mut self.auditor });
    }

    fn broke(&mut self, now: Micros, who: BalancerId, link: LinkId, said: &mut Said) {
        // To the balancer it looks as though the node had ended it, and it owes its client the same.
        self.auditor.see(now, Seen::To(who, &ToBalancer::NodeEnded(link, End::Reset)));
        let gone = FromBalancer::EndLink(link, End::Reset);
        self.world.did(now, who, gone, &mut Listener { said, auditor: &mut self.auditor });
    }

    fn reach(&self, node: NodeId) -> Reach {
        self.world.reach(node)
    }

    fn standing(&mut self) -> Vec<(BalancerId, Ask)> {
        let mut said = Vec::new();
        self.world.stand(&mut Listener { said: &mut said, auditor: &mut self.auditor });
        let asked = |(who, what)| match what {
            ToBalancer::Asked { ask, .. } => Some((who, ask)),
            _ => None,
        };
        let all: Vec<(BalancerId, Ask)> = said.into_iter().filter_map(asked).collect();
        self.homes = all.iter().map(|(who, ask)| (ask.conn, *who)).collect();
        all
    }

    fn carried(&mut self, up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {
        // All of it was said on the sockets already.
        let mut said = Vec::new();
        for (conn, who) in std::mem::take(&mut self.homes) {
            let mut ear = Listener { said: &mut said, auditor: &mut self.auditor };
            let Some((_, link, node)) = up.get(&conn).copied() else {
                self.world.did(0, who, FromBalancer::EndClient(conn, End::Reset), &mut ear);
                self.auditor.see(0, Seen::Missed(who, conn));
                continue;
            };
            self.world.did(0, who, FromBalancer::Link { link, node, conn: Some(conn) }, &mut ear);
            self.world.did(0, who, FromBalancer::Answer(conn, Answer::Up(link)), &mut ear);
            self.auditor.see(0, Seen::Stands { by: who, conn, link, node });
        }
    }

    fn carried_out(&mut self, now: Micros, who: BalancerId, what: &ToBalancer) {
        match what {
            // Seen when they have gone out in whole; and links come up by themselves here.
            ToBalancer::Asked { .. } | ToBalancer::ClientLine(_) | ToBalancer::LinkUp(_) => {}
            _ => self.auditor.see(now, Seen::To(who, what)),
        }
    }

    fn saw(&mut self, now: Micros, who: BalancerId, sight: Sight) {
        let (to, seen);
        let seen = match sight {
            Sight::Asked(ask, left) => {
                to = ToBalancer::Asked { ask, left };
                Seen::To(who, &to)
            }
            Sight::Wrote(conn) => {
                to = ToBalancer::ClientLine(conn);
                Seen::To(who, &to)
            }
            Sight::Returned(link) => {
                to = ToBalancer::NodeSays(link, NodeWord::Reply);
                Seen::To(who, &to)
            }
            Sight::AtNode(conn) => Seen::Passed(conn, Way::ToNode),
            Sight::AtClient(conn) => Seen::Passed(conn, Way::ToClient),
            Sight::Changed(conn) => Seen::Garbled(conn, Garble::Changed),
            Sight::MoveInLine(conn) => Seen::Garbled(conn, Garble::MoveInLine),
            Sight::BadServed(conn) => {
                self.auditor.see(now, Seen::Bad(who, conn));
                seen = FromBalancer::Answer(conn, Answer::Forged);
                Seen::From(who, &seen)
            }
        };
        self.auditor.see(now, seen);
    }

    fn second(&mut self, now: Micros, balancers: &[Post]) {
        self.world.truths(&mut self.truths);
        let seconds = &self.world.series().seconds;
        let second = (now / 1_000_000).checked_sub(1).and_then(|s| seconds.get(s as usize));
        (self.watch)(&Glance { now, second, nodes: &self.truths, balancers });
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.last || (now >= self.end && self.world.waiting() == 0)
    }
}
