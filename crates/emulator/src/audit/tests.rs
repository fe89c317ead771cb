//! Recorded histories: legal ones of many kinds are drawn and must give no alarm, and each break put into one of them
//! must be found, with its reason and no other.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::edge::{Answer, Ask, End, NodeWord, Stage};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const B: BalancerId = BalancerId(1);
/// Where connections go; nothing is wrong with it.
const NODE: NodeId = NodeId(0);

#[derive(Clone, Debug)]
enum Fact {
    To(ToBalancer),
    From(FromBalancer),
    Other(Seen<'static>),
}
use Fact::{From, Other, To};
use FromBalancer as F;
use ToBalancer as T;

/// A history, in the order in which it is told; those of one time stay in order.
#[derive(Clone, Debug, Default)]
struct History(Vec<(Micros, Fact)>);

impl History {
    fn add(&mut self, at: Micros, fact: Fact) {
        self.0.push((at, fact));
    }

    fn judge(&self, judging: Judging) -> Verdict {
        let mut order: Vec<&(Micros, Fact)> = self.0.iter().collect();
        order.sort_by_key(|(at, _)| *at);
        let mut auditor = Auditor::new(&crate::places::tests::day(3, &[0, 0]), judging);
        for (at, fact) in &order {
            match fact {
                To(to) => auditor.see(*at, Seen::To(B, to)),
                From(from) => auditor.see(*at, Seen::From(B, from)),
                Other(seen) => auditor.see(*at, *seen),
            }
        }
        auditor.finish(order.last().map_or(0, |(at, _)| at + 60 * S))
    }
}

fn judging(sockets: bool) -> Judging {
    let day = crate::places::tests::day(3, &[0, 0]);
    if sockets { Judging::sockets_strict(&day) } else { Judging::virtual_time(&day) }
}

fn listed(node: NodeId, stage: Stage, born: Option<Micros>) -> Listed {
    Listed { node, stage, born }
}

fn started(history: &mut History, at: Micros) {
    let known = (0..3).map(|n| listed(NodeId(n), Stage::Ready, None)).collect();
    history.add(at, To(T::Start { seed: 1, known }));
    history.add(at, From(F::Watch));
}

/// What is said of one connection.
struct Life<'a> {
    history: &'a mut History,
    rng: &'a mut Pcg64Mcg,
    sockets: bool,
    conn: ConnId,
    links: u64,
}

impl Life<'_> {
    fn wait(&mut self, most: Micros) -> Micros {
        self.rng.random_range(MS..=most)
    }

    fn link(&mut self, at: Micros, node: NodeId) -> LinkId {
        self.links += 1;
        let link = LinkId(self.conn.0 * 100 + self.links);
        let conn = self.conn;
        if self.sockets && self.rng.random() {
            self.history.add(at, Other(Seen::Sent { by: B, link, node, conn, first: at - MS }));
        }
        self.history.add(at, From(F::Link { link, node, conn: Some(conn) }));
        link
    }

    fn says(&mut self, at: Micros, link: LinkId, word: NodeWord) {
        self.history.add(at, To(T::NodeSays(link, word)));
    }

    fn answer(&mut self, at: Micros, answer: Answer) {
        self.history.add(at, From(F::Answer(self.conn, answer)));
    }

    fn client_ends(&mut self, at: Micros) {
        self.history.add(at, To(T::ClientEnded(self.conn, End::Fin)));
    }

    /// The balancer ends the client's side.
    fn cut(&mut self, at: Micros) {
        self.history.add(at, From(F::EndClient(self.conn, End::Fin)));
    }

    /// Lines every two seconds from `at` to `until`, each passed on and returned, but for what the fault does to them.
    fn lines(&mut self, link: LinkId, at: Micros, until: Micros, fault: Option<Reason>) {
        for line in (at..until).step_by(2 * S as usize) {
            self.history.add(line, To(T::ClientLine(self.conn)));
            if fault == Some(Reason::SilentKept) {
                if self.sockets {
                    self.history.add(line + MS, Other(Seen::Passed(self.conn, Way::ToNode)));
                }
                continue;
            }
            let late = if fault == Some(Reason::LineHeld) { 1_200 * MS } else { 0 };
            let (there, back) = (line + self.wait(300 * MS) + late, line + 400 * MS + late);
            self.says(back, link, NodeWord::Reply);
            if self.sockets {
                self.history.add(there, Other(Seen::Passed(self.conn, Way::ToNode)));
                let client = back + self.wait(300 * MS);
                self.history.add(client, Other(Seen::Passed(self.conn, Way::ToClient)));
            }
        }
    }

    /// A whole life from `at`, legal but for `fault`, which says what is done wrong. Tells when it is over.
    fn live(&mut self, at: Micros, fault: Option<Reason>) -> Micros {
        use Reason::*;
        let (conn, patience) = (self.conn, 3 * S);
        let (key, group, home) = (conn.0, 0, None);
        let ask = Ask {
            conn,
            key,
            class: 0,
            tenant: 0,
            group,
            patience,
            hint: None,
            retry: false,
            again: false,
            home,
        };
        self.history.add(at, To(T::Asked { ask, left: patience }));
        let mut now = at + self.wait(5 * MS);
        let failures = if fault == Some(TooManyAttempts) { 5 } else { self.rng.random_range(0..3) };
        for _ in 0..failures {
            let link = self.link(now, NODE);
            let up = self.rng.random_range(0..4);
            now += self.wait(300 * MS);
            match up {
                0 => self.history.add(now, To(T::LinkFailed(link))),
                1 => self.says(now, link, NodeWord::Busy),
                2 => self.history.add(now, To(T::NodeEnded(link, End::Reset))),
                _ => self.history.add(now, From(F::EndLink(link, End::Fin))),
            }
        }
        match fault {
            Some(NoAnswer) => {
                self.client_ends(at + patience + 500 * MS);
                return now;
            }
            Some(LateAnswer) => {
                self.answer(at + patience + 500 * MS, Answer::Busy(0));
                return now;
            }
            Some(EndedUnanswered) => {
                self.cut(now);
                return now;
            }
            Some(Forged) => {
                self.answer(now, Answer::Up(LinkId(conn.0 * 100)));
                return now;
            }
            None if self.rng.random_bool(0.3) => {
                if self.rng.random() {
                    self.client_ends(now);
                    self.link(now, NODE);
                } else {
                    self.answer(now, Answer::Busy(100 * MS));
                    self.cut(now);
                }
                return now;
            }
            _ => {}
        }
        let link = self.link(now, NODE);
        if fault == Some(SecondCopy) {
            self.link(now + 10 * MS, NodeId(1));
        }
        now += 100 * MS;
        self.says(now, link, NodeWord::Up);
        now += self.wait(40 * MS);
        self.answer(now, Answer::Up(link));
        let until = now + self.rng.random_range(10 * S..30 * S);
        let first = now + self.wait(2 * S);
        self.lines(link, first, until - 2 * S, fault);
        match fault {
            Some(SecondAnswer) => self.answer(until, Answer::Err),
            Some(SentAfterEnd) => {
                self.client_ends(until);
                self.link(until + 200 * MS, NODE);
                return until;
            }
            Some(CutOff) => {
                self.cut(until);
                return until;
            }
            Some(EndedKept) => {
                self.history.add(until, To(T::NodeEnded(link, End::Reset)));
                self.client_ends(until + 1_100 * MS);
                return until;
            }
            Some(SeveredKept) => {
                self.history.add(until, From(F::EndLink(link, End::Fin)));
                self.client_ends(until + 1_100 * MS);
                return until;
            }
            Some(MoveInLine) => self.history.add(until, Other(Seen::Garbled(conn, Garble::MoveInLine))),
            Some(LineChanged) => self.history.add(until, Other(Seen::Garbled(conn, Garble::Changed))),
            _ => {}
        }
        match self.rng.random_range(0..4) {
            0 => self.client_ends(until),
            1 => {
                self.answer(until, Answer::Move);
                self.cut(until);
                self.history.add(until, From(F::EndLink(link, End::Fin)));
            }
            2 => {
                self.history.add(until, To(T::NodeEnded(link, End::Fin)));
                let late = self.wait(900 * MS);
                self.cut(until + late);
            }
            _ => {
                self.says(until, link, NodeWord::Bye);
                self.history.add(until, To(T::NodeEnded(link, End::Fin)));
                self.cut(until);
                self.client_ends(until + 2 * MS);
            }
        }
        until
    }
}

fn lives(seed: u64, sockets: bool, fault: Option<Reason>) -> History {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut history = History::default();
    started(&mut history, 0);
    for conn in 1..=12 {
        let at = rng.random_range(S..20 * S);
        let (history, rng) = (&mut history, &mut rng);
        let mut life = Life { history, rng, sockets, conn: ConnId(conn), links: 0 };
        life.live(at, fault.filter(|_| conn == 7));
    }
    history
}

/// Those of one connection that can be seen in virtual time, and those that only sockets show.
const OF_LIVES: &[Reason] = &[
    Reason::NoAnswer,
    Reason::LateAnswer,
    Reason::EndedUnanswered,
    Reason::Forged,
    Reason::SecondAnswer,
    Reason::SecondCopy,
    Reason::TooManyAttempts,
    Reason::SentAfterEnd,
    Reason::CutOff,
    Reason::EndedKept,
    Reason::SeveredKept,
    Reason::SilentKept,
    Reason::LineHeld,
    Reason::MoveInLine,
    Reason::LineChanged,
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Failure: an auditor that cries wolf, or sleeps. Promise: legal lives give no alarm, and of a life with one break
    /// exactly that break is reported, on that connection, with steps that led to it.
    #[test]
    fn legal_lives_are_let_pass_and_each_break_is_found(seed: u64, sockets: bool) {
        let legal = lives(seed, sockets, None).judge(judging(sockets));
        prop_assert!(legal.clean(), "{:#?}", legal.lines().collect::<Vec<_>>());
        for &reason in OF_LIVES {
            if reason == Reason::LineHeld && !sockets {
                continue;
            }
            let verdict = lives(seed, sockets, Some(reason)).judge(judging(sockets));
            let found: Vec<(Reason, u64)> = verdict.reasons.iter().map(|(r, n)| (*r, *n)).collect();
            prop_assert_eq!(&found, &[(reason, 1)], "{:#?}", verdict.lines().collect::<Vec<_>>());
            let first = &verdict.breaks[0];
            prop_assert!(first.conn == Some(7) && first.balancer == B.0 && first.trace[0].what.starts_with("client asks"), "{:?}", first);
        }
    }
}
