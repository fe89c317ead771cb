//! Recorded histories: legal ones of many kinds are drawn and must give no alarm, and each break put into one of them
//! must be found, with its reason and no other.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::edge::{Answer, End, NodeMessage, RequestLine, Stage};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const B: BalancerId = BalancerId(1);
/// Where connections go; nothing is wrong with it.
const NODE: NodeId = NodeId(0);

#[derive(Clone, Debug)]
enum Fact {
    To(ToBalancer),
    From(FromBalancer),
    Other(Observation<'static>),
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

    fn judge(&self, tolerances: AuditTolerances) -> Verdict {
        let mut order: Vec<&(Micros, Fact)> = self.0.iter().collect();
        order.sort_by_key(|(at, _)| *at);
        let mut auditor = Auditor::new(&crate::environment::tests::day(3, &[0, 0]), tolerances);
        for (at, fact) in &order {
            match fact {
                To(to) => auditor.observe(*at, Observation::To(B, to)),
                From(from) => auditor.observe(*at, Observation::From(B, from)),
                Other(seen) => auditor.observe(*at, *seen),
            }
        }
        auditor.finish(order.last().map_or(0, |(at, _)| at + 60 * S))
    }
}

fn tolerances(sockets: bool) -> AuditTolerances {
    let day = crate::environment::tests::day(3, &[0, 0]);
    if sockets { AuditTolerances::sockets_strict(&day) } else { AuditTolerances::virtual_time(&day) }
}

fn listed(node: NodeId, stage: Stage, born: Option<Micros>) -> Listed {
    Listed { node, stage, started_at: born }
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
            self.history.add(at, Other(Observation::Sent { by: B, link, node, conn, first: at - MS }));
        }
        self.history.add(at, From(F::Link { link, node, conn: Some(conn) }));
        link
    }

    fn says(&mut self, at: Micros, link: LinkId, word: NodeMessage) {
        self.history.add(at, To(T::NodeMessage(link, word)));
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
                    self.history.add(line + MS, Other(Observation::Passed(self.conn, Direction::ToNode)));
                }
                continue;
            }
            let late = if fault == Some(Reason::LineHeld) { 1_200 * MS } else { 0 };
            let (there, back) = (line + self.wait(300 * MS) + late, line + 400 * MS + late);
            self.says(back, link, NodeMessage::Reply);
            if self.sockets {
                self.history.add(there, Other(Observation::Passed(self.conn, Direction::ToNode)));
                let client = back + self.wait(300 * MS);
                self.history.add(client, Other(Observation::Passed(self.conn, Direction::ToClient)));
            }
        }
    }

    /// A whole life from `at`, legal but for `fault`, which says what is done wrong. Tells when it is over.
    #[expect(clippy::too_many_lines, reason = "one history, step by step")]
    fn live(&mut self, at: Micros, fault: Option<Reason>) -> Micros {
        use Reason::*;
        let (conn, patience) = (self.conn, 3 * S);
        let (key, group, home) = (conn.0, 0, None);
        let ask = RequestLine {
            conn,
            key,
            class: 0,
            tenant: 0,
            group,
            timeout: patience,
            hint: None,
            retry: false,
            is_reconnect: false,
            previous_node: home,
        };
        self.history.add(at, To(T::Request { request: ask, remaining: patience }));
        let mut now = at + self.wait(5 * MS);
        let failures = if fault == Some(TooManyAttempts) { 5 } else { self.rng.random_range(0..3) };
        for _ in 0..failures {
            let link = self.link(now, NODE);
            let up = self.rng.random_range(0..4);
            now += self.wait(300 * MS);
            match up {
                0 => self.history.add(now, To(T::LinkFailed(link))),
                1 => self.says(now, link, NodeMessage::Busy),
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
        self.says(now, link, NodeMessage::Up);
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
            Some(MoveInLine) => {
                self.history.add(until, Other(Observation::Garbled(conn, Corruption::MoveInLine)));
            }
            Some(LineChanged) => {
                self.history.add(until, Other(Observation::Garbled(conn, Corruption::Changed)));
            }
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
                self.says(until, link, NodeMessage::Bye);
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
        let legal = lives(seed, sockets, None).judge(tolerances(sockets));
        prop_assert!(legal.clean(), "{:#?}", legal.lines().collect::<Vec<_>>());
        for &reason in OF_LIVES {
            if reason == Reason::LineHeld && !sockets {
                continue;
            }
            let verdict = lives(seed, sockets, Some(reason)).judge(tolerances(sockets));
            let found: Vec<(Reason, u64)> = verdict.reasons.iter().map(|(r, n)| (*r, *n)).collect();
            prop_assert_eq!(&found, &[(reason, 1)], "{:#?}", verdict.lines().collect::<Vec<_>>());
            let first = &verdict.breaks[0];
            prop_assert!(first.conn == Some(7) && first.balancer == B.0 && first.trace[0].what.starts_with("client asks"), "{:?}", first);
        }
    }
}

fn ask(conn: u64, at: Micros, history: &mut History) {
    let (conn, patience) = (ConnId(conn), 3 * S);
    let (key, group, home) = (conn.0, 0, None);
    let ask = RequestLine {
        conn,
        key,
        class: 0,
        tenant: 0,
        group,
        timeout: patience,
        hint: None,
        retry: false,
        is_reconnect: false,
        previous_node: home,
    };
    history.add(at, To(T::Request { request: ask, remaining: patience }));
}

/// A client asks, is sent to this node and refused there.
fn send(history: &mut History, conn: u64, at: Micros, node: NodeId) {
    ask(conn, at, history);
    history.add(at, From(F::Link { link: LinkId(conn), node, conn: Some(ConnId(conn)) }));
    history.add(at + MS, To(T::NodeMessage(LinkId(conn), NodeMessage::Busy)));
    history.add(at + MS, From(F::Answer(ConnId(conn), Answer::Busy(0))));
}

/// A client asks, is served by node 0 and stands.
fn stand(history: &mut History, conn: u64, at: Micros) {
    let link = LinkId(conn);
    ask(conn, at, history);
    history.add(at, From(F::Link { link, node: NODE, conn: Some(ConnId(conn)) }));
    history.add(at + MS, To(T::NodeMessage(link, NodeMessage::Up)));
    history.add(at + MS, From(F::Answer(ConnId(conn), Answer::Up(link))));
}

fn reasons(verdict: &Verdict) -> Vec<(Reason, u64)> {
    verdict.reasons.iter().map(|(r, n)| (*r, *n)).collect()
}

/// Failure: a node drains, and a balancer hears of it by its watch, too late, or never, in each way that counts.
/// Promise: sends up to the moment at which it counts as told plus the grace are let pass, and the first one after it
/// is a break.
#[test]
fn sends_to_a_draining_node_count_from_when_its_end_was_told_or_counts_as_told() {
    // What is told, whether on sockets, and when the balancer counts as told; the node is listed as draining at 20 s.
    type Case = (&'static str, bool, Vec<(Micros, Fact)>, Option<Micros>);
    let off = |stage| T::List { full: false, entries: vec![listed(NODE, stage, None)] };
    let cases: Vec<Case> = vec![
        ("told by the watch", false, vec![(23 * S, To(off(Stage::Draining)))], Some(23 * S)),
        (
            "told twice",
            false,
            vec![(23 * S, To(off(Stage::Draining))), (25 * S, To(off(Stage::Gone)))],
            Some(23 * S),
        ),
        (
            "left out of the whole list",
            false,
            vec![(23 * S, To(T::List { full: true, entries: vec![] }))],
            Some(23 * S),
        ),
        (
            "told that it is ready again",
            false,
            vec![(23 * S, To(off(Stage::Gone))), (24 * S, To(off(Stage::Ready)))],
            None,
        ),
        ("watching, and not told", false, vec![], None),
        ("without a watch since 5 s", false, vec![(5 * S, From(F::Unwatch))], Some(30 * S)),
        ("without a watch since 22 s", false, vec![(22 * S, From(F::Unwatch))], Some(32 * S)),
        ("a watch broken at 5 s", false, vec![(5 * S, To(T::ListFailed))], Some(60 * S)),
        ("asked in time", false, vec![(25 * S, From(F::Unwatch)), (34 * S, From(F::Watch))], None),
        ("on sockets, watching", true, vec![], Some(26 * S)),
        ("on sockets, SIGHUP", true, vec![(21 * S, To(T::Reload { moved: true }))], Some(25 * S)),
        (
            "on sockets, started",
            true,
            vec![
                (23 * S, To(T::Kill)),
                (24 * S, To(T::Start { seed: 2, known: vec![listed(NODE, Stage::Ready, None)] })),
            ],
            Some(30 * S),
        ),
    ];
    for (name, sockets, facts, told) in cases {
        let mut legal = History::default();
        started(&mut legal, 0);
        legal.add(20 * S, Other(Observation::Listed(listed(NODE, Stage::Draining, None))));
        facts.into_iter().for_each(|(at, fact)| legal.add(at, fact));
        let grace = tolerances(sockets).drain_grace;
        let last = told.map_or(90 * S, |told| told + grace);
        send(&mut legal, 1, last, NODE);
        let verdict = legal.judge(tolerances(sockets));
        assert!(verdict.clean(), "{name}: {:#?}", verdict.lines().collect::<Vec<_>>());
        if told.is_some() {
            send(&mut legal, 2, last + 1, NODE);
            assert_eq!(reasons(&legal.judge(tolerances(sockets))), [(Reason::SentToDraining, 1)], "{name}");
        }
    }
}

/// Failure: balancers overrun a node that has just started. Promise: within the budget nothing is said; over it, it is
/// a break of who sent the most once, if two thirds came from balancers that knew, and else only counted.
#[test]
fn a_cold_node_pushed_over_is_a_break_if_most_of_it_was_sent_knowingly() {
    // Able to do 1 a second, it bears 3 * 1.5 = 4.5, and 3 * sqrt(4.5) + 3 = 9.4 more for chance.
    let most = 13;
    let push = |sent: u64, knowing: u64, over: Micros| {
        let mut history = History::default();
        started(&mut history, 0);
        history.add(10 * S, Other(Observation::Node(NODE, Health::Started)));
        for i in 0..sent {
            if i + knowing == sent {
                let entries = vec![listed(NODE, Stage::Ready, Some(10 * S))];
                history.add(15 * S, To(T::List { full: false, entries }));
            }
            let at = 15 * S + i * over / sent;
            send(&mut history, i + 1, at, NODE);
            let (by, link, node) = (B, LinkId(i + 1), NODE);
            history.add(at, Other(Observation::Reached { by, link, node, weight: 1.0, cold: Some(1.0) }));
        }
        history.judge(tolerances(false))
    };
    assert!(push(most, most, 0).clean());
    assert!(push(3 * most, 3 * most, 6 * S).clean(), "spread over longer than the window");
    let verdict = push(3 * most, 3 * most, S);
    assert_eq!(reasons(&verdict), [(Reason::PushedOver, 1)]);
    assert!(verdict.breaks[0].trace.iter().any(|s| s.what == "it starts"), "{:?}", verdict.breaks);
    let unknowing = push(most + 1, 9, 0);
    assert!(unknowing.clean() && unknowing.excused[&Exemption::PushedOverUnknowing] == 1, "{unknowing:?}");
    assert_eq!(reasons(&push(most + 1, 10, 0)), [(Reason::PushedOver, 1)]);
}

/// Failure: the ways in which a process ends with clients on it. Promise: a planned end must leave nobody behind or
/// cut off, a kill is nobody's fault, and an end that nobody ordered is one break and not one for each client.
#[test]
fn the_end_of_a_process_is_judged_by_how_it_came() {
    type Facts<'a> = &'a [(Micros, Fact)];
    let end = |facts: &[Facts<'_>]| {
        let mut history = History::default();
        started(&mut history, 0);
        (1..=3).for_each(|conn| stand(&mut history, conn, S));
        facts.iter().copied().flatten().for_each(|(at, fact)| history.add(*at, fact.clone()));
        reasons(&history.judge(tolerances(false)))
    };
    let term: Facts<'_> = &[(10 * S, To(T::Terminate))];
    let kill: Facts<'_> = &[(14 * S, To(T::Kill))];
    let exit: Facts<'_> = &[(12 * S, From(F::Exited))];
    let cut: Facts<'_> = &[(11 * S, From(F::EndClient(ConnId(1), End::Reset)))];
    let moves = |conn| [F::Answer(ConnId(conn), Answer::Move), F::EndClient(ConnId(conn), End::Fin)];
    let all: Vec<(Micros, Fact)> = (1..=3).flat_map(moves).map(|does| (11 * S, From(does))).collect();
    assert_eq!(end(&[kill]), []);
    assert_eq!(end(&[term, kill]), [(Reason::HeldAtKill, 3)]);
    assert_eq!(end(&[term, &all, exit]), []);
    assert_eq!(end(&[term, &all[..4], kill]), [(Reason::HeldAtKill, 1)]);
    assert_eq!(end(&[term, cut, &all[2..], kill]), [(Reason::CutOffAtRestart, 1)]);
    assert_eq!(end(&[term, exit, kill]), [(Reason::CutOffAtRestart, 3)]);
    assert_eq!(end(&[exit]), [(Reason::Exited, 1)]);
    let mut waits = History::default();
    ask(4, 13 * S, &mut waits);
    assert_eq!(end(&[term, &all, &waits.0, kill]), [(Reason::HeldUnanswered, 1)]);
}

/// Failure: the exceptions swallow too much, or too little. Promise: on the platform's hard days an unanswered or
/// unsent request is only counted; one that was sent on and cut off stays a loss, and so does a served bad client.
#[test]
fn what_hard_days_excuse_is_counted_and_nothing_else_is_excused() {
    let mut history = History::default();
    started(&mut history, 0);
    ask(1, S, &mut history);
    history.add(S + 3 * S + 100 * MS, From(F::Answer(ConnId(1), Answer::Err)));
    ask(2, S, &mut history);
    history.add(2 * S, From(F::EndClient(ConnId(2), End::Fin)));
    ask(3, S, &mut history);
    history.add(S, From(F::Link { link: LinkId(3), node: NODE, conn: Some(ConnId(3)) }));
    history.add(2 * S, From(F::EndClient(ConnId(3), End::Fin)));
    history.add(S, Other(Observation::Bad(B, ConnId(4))));
    history.add(2 * S, From(F::Answer(ConnId(4), Answer::Forged)));
    history.add(S, Other(Observation::Bad(B, ConnId(5))));
    history.add(2 * S, From(F::EndClient(ConnId(5), End::Reset)));
    stand(&mut history, 6, S);
    history.add(20 * S, Other(Observation::Node(NODE, Health::Silent)));
    history.add(22 * S, From(F::EndClient(ConnId(6), End::Fin)));
    history.add(23 * S, From(F::Link { link: LinkId(9), node: NodeId(2), conn: Some(ConnId(77)) }));
    history.add(23 * S, From(F::MalformedRequest(NODE)));
    history.add(23 * S, Other(Observation::Missed(B, ConnId(7))));
    send(&mut history, 8, 24 * S, NodeId(7));
    let day = crate::environment::tests::day(3, &[0, 0]);
    let verdict = history.judge(AuditTolerances::sockets(&day));
    let breaks = [
        Reason::EndedUnanswered,
        Reason::ServedBad,
        Reason::SentAfterEnd,
        Reason::NotCarried,
        Reason::Syntax,
        Reason::Unlisted,
    ];
    assert_eq!(reasons(&verdict), breaks.map(|r| (r, 1)));
    let excused: Vec<(Exemption, u64)> = verdict.excused.into_iter().collect();
    assert_eq!(
        excused,
        [(Exemption::Overdue, 1), (Exemption::ClosedUnsent, 1), (Exemption::ServerSilent, 1)]
    );
}

/// Failure: memory grows with the length of a run. Promise: connections that are over are let go of, and of many
/// breaks only the first keep their traces.
#[test]
fn what_is_over_is_forgotten_and_traces_are_bounded() {
    let mut auditor = Auditor::new(&crate::environment::tests::day(3, &[0, 0]), tolerances(false));
    for conn in 0..20_000 {
        let at = conn * 10 * MS;
        let mut history = History::default();
        ask(conn, at, &mut history);
        history.add(at, From(F::EndClient(ConnId(conn), End::Fin)));
        for (at, fact) in &history.0 {
            match fact {
                To(to) => auditor.observe(*at, Observation::To(B, to)),
                From(from) => auditor.observe(*at, Observation::From(B, from)),
                Other(seen) => auditor.observe(*at, *seen),
            }
        }
        assert!(auditor.tracked_connections() <= 1_100, "{}", auditor.tracked_connections());
    }
    let verdict = auditor.finish(400 * S);
    assert_eq!(reasons(&verdict), [(Reason::EndedUnanswered, 20_000)]);
    assert!(verdict.breaks.len() < 100);
}
