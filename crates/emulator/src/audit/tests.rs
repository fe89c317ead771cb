//! Tests on generated histories: legal ones must give no findings, and each violation put into one of them must be
//! found, with its reason and no other.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::edge::{Answer, End, NodeMessage, RequestLine, Stage};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const B: BalancerId = BalancerId(1);
/// The node of all connections, which is healthy unless a test says otherwise.
const NODE: NodeId = NodeId(0);

#[derive(Clone, Debug)]
enum Event {
    Input(ToBalancer),
    Output(FromBalancer),
    Other(Observation<'static>),
}
use Event::{Input, Other, Output};
use FromBalancer as F;
use ToBalancer as T;

impl Event {
    fn observe(&self, at: Micros, auditor: &mut Auditor) {
        match self {
            Input(input) => auditor.observe(at, Observation::Input(B, input)),
            Output(output) => auditor.observe(at, Observation::Output(B, output)),
            Other(observation) => auditor.observe(at, *observation),
        }
    }
}

/// Events with their times. They are replayed in order of time; events of the same time keep their order.
#[derive(Clone, Debug, Default)]
struct History(Vec<(Micros, Event)>);

impl History {
    fn add(&mut self, at: Micros, event: Event) {
        self.0.push((at, event));
    }

    /// Replays the events to an auditor and returns its verdict 60 s after the last one.
    fn verdict(&self, tolerances: AuditTolerances) -> Verdict {
        let mut order: Vec<&(Micros, Event)> = self.0.iter().collect();
        order.sort_by_key(|(at, _)| *at);
        let mut auditor = Auditor::new(&crate::environment::tests::day(3, &[0, 0]), tolerances);
        for (at, event) in &order {
            event.observe(*at, &mut auditor);
        }
        auditor.finish(order.last().map_or(0, |(at, _)| at + 60 * S))
    }
}

fn tolerances(sockets: bool) -> AuditTolerances {
    let day = crate::environment::tests::day(3, &[0, 0]);
    if sockets { AuditTolerances::sockets_strict(&day) } else { AuditTolerances::virtual_time(&day) }
}

fn listed(node: NodeId, stage: Stage, started_at: Option<Micros>) -> Listed {
    Listed { node, stage, started_at }
}

/// Starts the balancer with nodes 0 to 2 on its list, and its watch.
fn start_balancer(history: &mut History, at: Micros) {
    let known = (0..3).map(|n| listed(NodeId(n), Stage::Ready, None)).collect();
    history.add(at, Input(T::Start { seed: 1, known }));
    history.add(at, Output(F::Watch));
}

/// Adds the events of one connection to a history.
struct ConnectionHistory<'a> {
    history: &'a mut History,
    rng: &'a mut Pcg64Mcg,
    sockets: bool,
    conn: ConnId,
    links: u64,
}

impl ConnectionHistory<'_> {
    /// A random interval from 1 ms to `most`.
    fn random_delay(&mut self, most: Micros) -> Micros {
        self.rng.random_range(MS..=most)
    }

    /// The balancer starts an attempt at a node.
    fn start_link(&mut self, at: Micros, node: NodeId) -> LinkId {
        self.links += 1;
        let link = LinkId(self.conn.0 * 100 + self.links);
        let conn = self.conn;
        if self.sockets && self.rng.random() {
            self.history
                .add(at, Other(Observation::AttemptSent { balancer: B, link, node, conn, first: at - MS }));
        }
        self.history.add(at, Output(F::Link { link, node, conn: Some(conn) }));
        link
    }

    fn node_sends(&mut self, at: Micros, link: LinkId, message: NodeMessage) {
        self.history.add(at, Input(T::NodeMessage(link, message)));
    }

    fn answer(&mut self, at: Micros, answer: Answer) {
        self.history.add(at, Output(F::Answer(self.conn, answer)));
    }

    fn client_closes(&mut self, at: Micros) {
        self.history.add(at, Input(T::ClientEnded(self.conn, End::Fin)));
    }

    /// The balancer closes the client's connection.
    fn balancer_closes(&mut self, at: Micros) {
        self.history.add(at, Output(F::EndClient(self.conn, End::Fin)));
    }

    /// The client sends a line every two seconds from `at` to `until`. Each is delivered and gets a reply, except as
    /// the fault changes that.
    fn lines(&mut self, link: LinkId, at: Micros, until: Micros, fault: Option<Reason>) {
        for line in (at..until).step_by(2 * S as usize) {
            self.history.add(line, Input(T::ClientLine(self.conn)));
            if fault == Some(Reason::SilentKept) {
                if self.sockets {
                    self.history
                        .add(line + MS, Other(Observation::LineDelivered(self.conn, Direction::ToNode)));
                }
                continue;
            }
            let late = if fault == Some(Reason::LineHeld) { 1_200 * MS } else { 0 };
            let (delivered, replied) = (line + self.random_delay(300 * MS) + late, line + 400 * MS + late);
            self.node_sends(replied, link, NodeMessage::Reply);
            if self.sockets {
                self.history.add(delivered, Other(Observation::LineDelivered(self.conn, Direction::ToNode)));
                let returned = replied + self.random_delay(300 * MS);
                self.history.add(returned, Other(Observation::LineDelivered(self.conn, Direction::ToClient)));
            }
        }
    }

    /// The whole connection from its request at `at`, legal except for the violation `fault`. Returns when it ends.
    #[expect(clippy::too_many_lines, reason = "one history, step by step")]
    fn run(&mut self, at: Micros, fault: Option<Reason>) -> Micros {
        use Reason::*;
        let (conn, timeout) = (self.conn, 3 * S);
        let (key, group, home) = (conn.0, 0, None);
        let request = RequestLine {
            conn,
            key,
            class: 0,
            tenant: 0,
            group,
            timeout,
            hint: None,
            retry: false,
            is_reconnect: false,
            previous_node: home,
        };
        self.history.add(at, Input(T::Request { request, remaining: timeout }));
        let mut now = at + self.random_delay(5 * MS);
        let failures = if fault == Some(TooManyAttempts) { 5 } else { self.rng.random_range(0..3) };
        for _ in 0..failures {
            let link = self.start_link(now, NODE);
            let outcome = self.rng.random_range(0..4);
            now += self.random_delay(300 * MS);
            match outcome {
                0 => self.history.add(now, Input(T::LinkFailed(link))),
                1 => self.node_sends(now, link, NodeMessage::Busy),
                2 => self.history.add(now, Input(T::NodeEnded(link, End::Reset))),
                _ => self.history.add(now, Output(F::EndLink(link, End::Fin))),
            }
        }
        match fault {
            Some(NoAnswer) => {
                self.client_closes(at + timeout + 500 * MS);
                return now;
            }
            Some(LateAnswer) => {
                self.answer(at + timeout + 500 * MS, Answer::Busy(0));
                return now;
            }
            Some(EndedUnanswered) => {
                self.balancer_closes(now);
                return now;
            }
            Some(Forged) => {
                self.answer(now, Answer::Up(LinkId(conn.0 * 100)));
                return now;
            }
            None if self.rng.random_bool(0.3) => {
                if self.rng.random() {
                    self.client_closes(now);
                    self.start_link(now, NODE);
                } else {
                    self.answer(now, Answer::Busy(100 * MS));
                    self.balancer_closes(now);
                }
                return now;
            }
            _ => {}
        }
        let link = self.start_link(now, NODE);
        if fault == Some(SecondCopy) {
            self.start_link(now + 10 * MS, NodeId(1));
        }
        now += 100 * MS;
        self.node_sends(now, link, NodeMessage::Up);
        now += self.random_delay(40 * MS);
        self.answer(now, Answer::Up(link));
        let until = now + self.rng.random_range(10 * S..30 * S);
        let first = now + self.random_delay(2 * S);
        self.lines(link, first, until - 2 * S, fault);
        match fault {
            Some(SecondAnswer) => self.answer(until, Answer::Err),
            Some(SentAfterEnd) => {
                self.client_closes(until);
                self.start_link(until + 200 * MS, NODE);
                return until;
            }
            Some(CutOff) => {
                self.balancer_closes(until);
                return until;
            }
            Some(EndedKept) => {
                self.history.add(until, Input(T::NodeEnded(link, End::Reset)));
                self.client_closes(until + 1_100 * MS);
                return until;
            }
            Some(SeveredKept) => {
                self.history.add(until, Output(F::EndLink(link, End::Fin)));
                self.client_closes(until + 1_100 * MS);
                return until;
            }
            Some(MoveInLine) => {
                self.history.add(until, Other(Observation::Corrupted(conn, Corruption::MoveInLine)));
            }
            Some(LineChanged) => {
                self.history.add(until, Other(Observation::Corrupted(conn, Corruption::Changed)));
            }
            _ => {}
        }
        match self.rng.random_range(0..4) {
            0 => self.client_closes(until),
            1 => {
                self.answer(until, Answer::Move);
                self.balancer_closes(until);
                self.history.add(until, Output(F::EndLink(link, End::Fin)));
            }
            2 => {
                self.history.add(until, Input(T::NodeEnded(link, End::Fin)));
                let late = self.random_delay(900 * MS);
                self.balancer_closes(until + late);
            }
            _ => {
                self.node_sends(until, link, NodeMessage::Bye);
                self.history.add(until, Input(T::NodeEnded(link, End::Fin)));
                self.balancer_closes(until);
                self.client_closes(until + 2 * MS);
            }
        }
        until
    }
}

/// A history of twelve connections, of which the one with id 7 has the fault.
fn random_history(seed: u64, sockets: bool, fault: Option<Reason>) -> History {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut history = History::default();
    start_balancer(&mut history, 0);
    for conn in 1..=12 {
        let at = rng.random_range(S..20 * S);
        let (history, rng) = (&mut history, &mut rng);
        let mut connection = ConnectionHistory { history, rng, sockets, conn: ConnId(conn), links: 0 };
        connection.run(at, fault.filter(|_| conn == 7));
    }
    history
}

/// The violations that a single connection can have. [`Reason::LineHeld`] can only be detected on sockets.
const CONNECTION_REASONS: &[Reason] = &[
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

    /// Guards against an auditor that reports legal histories or misses violations. A history with one violation must
    /// give exactly that one, on its connection, with a trace of the events before it.
    #[test]
    fn legal_histories_have_no_findings_and_each_violation_is_found(seed: u64, sockets: bool) {
        let legal = random_history(seed, sockets, None).verdict(tolerances(sockets));
        prop_assert!(legal.is_clean(), "{:#?}", legal.lines().collect::<Vec<_>>());
        for &reason in CONNECTION_REASONS {
            if reason == Reason::LineHeld && !sockets {
                continue;
            }
            let verdict = random_history(seed, sockets, Some(reason)).verdict(tolerances(sockets));
            let found: Vec<(Reason, u64)> = verdict.reasons.iter().map(|(r, n)| (*r, *n)).collect();
            prop_assert_eq!(&found, &[(reason, 1)], "{:#?}", verdict.lines().collect::<Vec<_>>());
            let first = &verdict.breaks[0];
            prop_assert!(first.conn == Some(7) && first.balancer == B.0 && first.trace[0].what.starts_with("client sends its request"), "{:?}", first);
        }
    }
}

/// A client sends its request.
fn send_request(conn: u64, at: Micros, history: &mut History) {
    let (conn, timeout) = (ConnId(conn), 3 * S);
    let (key, group, home) = (conn.0, 0, None);
    let request = RequestLine {
        conn,
        key,
        class: 0,
        tenant: 0,
        group,
        timeout,
        hint: None,
        retry: false,
        is_reconnect: false,
        previous_node: home,
    };
    history.add(at, Input(T::Request { request, remaining: timeout }));
}

/// A client sends its request, which is attempted at `node` and rejected there.
fn attempt_at(history: &mut History, conn: u64, at: Micros, node: NodeId) {
    send_request(conn, at, history);
    history.add(at, Output(F::Link { link: LinkId(conn), node, conn: Some(ConnId(conn)) }));
    history.add(at + MS, Input(T::NodeMessage(LinkId(conn), NodeMessage::Busy)));
    history.add(at + MS, Output(F::Answer(ConnId(conn), Answer::Busy(0))));
}

/// A client sends its request and is established at node 0.
fn establish(history: &mut History, conn: u64, at: Micros) {
    let link = LinkId(conn);
    send_request(conn, at, history);
    history.add(at, Output(F::Link { link, node: NODE, conn: Some(ConnId(conn)) }));
    history.add(at + MS, Input(T::NodeMessage(link, NodeMessage::Up)));
    history.add(at + MS, Output(F::Answer(ConnId(conn), Answer::Up(link))));
}

fn reasons(verdict: &Verdict) -> Vec<(Reason, u64)> {
    verdict.reasons.iter().map(|(r, n)| (*r, *n)).collect()
}

/// A balancer is notified that a node is draining by its watch, late or never, in each way that counts as a
/// notification. Attempts up to the notification plus the grace time are legal, and the first one after that is a
/// violation.
#[test]
fn attempts_at_a_draining_node_are_violations_after_notification_and_grace_time() {
    // Name, whether on sockets, events, and when the balancer counts as notified; the node is listed as draining at
    // 20 s.
    type Case = (&'static str, bool, Vec<(Micros, Event)>, Option<Micros>);
    let off = |stage| T::List { full: false, entries: vec![listed(NODE, stage, None)] };
    let cases: Vec<Case> = vec![
        ("notified by the watch", false, vec![(23 * S, Input(off(Stage::Draining)))], Some(23 * S)),
        (
            "notified twice",
            false,
            vec![(23 * S, Input(off(Stage::Draining))), (25 * S, Input(off(Stage::Gone)))],
            Some(23 * S),
        ),
        (
            "missing in a snapshot",
            false,
            vec![(23 * S, Input(T::List { full: true, entries: vec![] }))],
            Some(23 * S),
        ),
        (
            "notified that it is ready again",
            false,
            vec![(23 * S, Input(off(Stage::Gone))), (24 * S, Input(off(Stage::Ready)))],
            None,
        ),
        ("watching, and not notified", false, vec![], None),
        ("without a watch since 5 s", false, vec![(5 * S, Output(F::Unwatch))], Some(30 * S)),
        ("without a watch since 22 s", false, vec![(22 * S, Output(F::Unwatch))], Some(32 * S)),
        ("a watch broken at 5 s", false, vec![(5 * S, Input(T::ListFailed))], Some(60 * S)),
        (
            "asked for the list in time",
            false,
            vec![(25 * S, Output(F::Unwatch)), (34 * S, Output(F::Watch))],
            None,
        ),
        ("on sockets, watching", true, vec![], Some(26 * S)),
        ("on sockets, SIGHUP", true, vec![(21 * S, Input(T::Reload { moved: true }))], Some(25 * S)),
        (
            "on sockets, started again",
            true,
            vec![
                (23 * S, Input(T::Kill)),
                (24 * S, Input(T::Start { seed: 2, known: vec![listed(NODE, Stage::Ready, None)] })),
            ],
            Some(30 * S),
        ),
    ];
    for (name, sockets, events, notified) in cases {
        let mut legal = History::default();
        start_balancer(&mut legal, 0);
        legal.add(20 * S, Other(Observation::Listed(listed(NODE, Stage::Draining, None))));
        events.into_iter().for_each(|(at, event)| legal.add(at, event));
        let grace = tolerances(sockets).drain_grace;
        let last = notified.map_or(90 * S, |at| at + grace);
        attempt_at(&mut legal, 1, last, NODE);
        let verdict = legal.verdict(tolerances(sockets));
        assert!(verdict.is_clean(), "{name}: {:#?}", verdict.lines().collect::<Vec<_>>());
        if notified.is_some() {
            attempt_at(&mut legal, 2, last + 1, NODE);
            assert_eq!(reasons(&legal.verdict(tolerances(sockets))), [(Reason::SentToDraining, 1)], "{name}");
        }
    }
}

/// Balancers overload a node that has just started. Within the budget nothing is reported. Over it, there is one
/// violation if at least two thirds of the load came from balancers that knew of the start; otherwise the case is
/// only counted.
#[test]
fn overload_of_a_cold_node_is_a_violation_if_most_of_the_load_was_sent_knowingly() {
    // The node can do 1 per second, so it can take 3 * 1.5 = 4.5, and 3 * sqrt(4.5) + 3 = 9.4 more as slack.
    let most = 13;
    let run = |sent: u64, knowing: u64, duration: Micros| {
        let mut history = History::default();
        start_balancer(&mut history, 0);
        history.add(10 * S, Other(Observation::NodeHealth(NODE, Health::Started)));
        for i in 0..sent {
            if i + knowing == sent {
                let entries = vec![listed(NODE, Stage::Ready, Some(10 * S))];
                history.add(15 * S, Input(T::List { full: false, entries }));
            }
            let at = 15 * S + i * duration / sent;
            attempt_at(&mut history, i + 1, at, NODE);
            let (balancer, link, node) = (B, LinkId(i + 1), NODE);
            history.add(
                at,
                Other(Observation::AttemptArrived { balancer, link, node, weight: 1.0, cold: Some(1.0) }),
            );
        }
        history.verdict(tolerances(false))
    };
    assert!(run(most, most, 0).is_clean());
    assert!(run(3 * most, 3 * most, 6 * S).is_clean(), "spread over longer than the window");
    let verdict = run(3 * most, 3 * most, S);
    assert_eq!(reasons(&verdict), [(Reason::PushedOver, 1)]);
    assert!(verdict.breaks[0].trace.iter().any(|s| s.what == "the node has started"), "{:?}", verdict.breaks);
    let unknowing = run(most + 1, 9, 0);
    assert!(unknowing.is_clean() && unknowing.excused[&Exemption::PushedOverUnknowing] == 1, "{unknowing:?}");
    assert_eq!(reasons(&run(most + 1, 10, 0)), [(Reason::PushedOver, 1)]);
}

/// A process ends while it has clients. In a planned restart none of them may be held until the kill or disconnected, a
/// kill without warning is exempted, and an exit without a SIGTERM is one violation and not one for each client.
#[test]
fn the_end_of_a_process_is_checked_by_its_cause() {
    type Events<'a> = &'a [(Micros, Event)];
    let run = |events: &[Events<'_>]| {
        let mut history = History::default();
        start_balancer(&mut history, 0);
        (1..=3).for_each(|conn| establish(&mut history, conn, S));
        events.iter().copied().flatten().for_each(|(at, event)| history.add(*at, event.clone()));
        reasons(&history.verdict(tolerances(false)))
    };
    let term: Events<'_> = &[(10 * S, Input(T::Terminate))];
    let kill: Events<'_> = &[(14 * S, Input(T::Kill))];
    let exit: Events<'_> = &[(12 * S, Output(F::Exited))];
    let close_one: Events<'_> = &[(11 * S, Output(F::EndClient(ConnId(1), End::Reset)))];
    let migrate = |conn| [F::Answer(ConnId(conn), Answer::Move), F::EndClient(ConnId(conn), End::Fin)];
    let migrate_all: Vec<(Micros, Event)> =
        (1..=3).flat_map(migrate).map(|action| (11 * S, Output(action))).collect();
    assert_eq!(run(&[kill]), []);
    assert_eq!(run(&[term, kill]), [(Reason::HeldAtKill, 3)]);
    assert_eq!(run(&[term, &migrate_all, exit]), []);
    assert_eq!(run(&[term, &migrate_all[..4], kill]), [(Reason::HeldAtKill, 1)]);
    assert_eq!(run(&[term, close_one, &migrate_all[2..], kill]), [(Reason::CutOffAtRestart, 1)]);
    assert_eq!(run(&[term, exit, kill]), [(Reason::CutOffAtRestart, 3)]);
    assert_eq!(run(&[exit]), [(Reason::Exited, 1)]);
    let mut waiting = History::default();
    send_request(4, 13 * S, &mut waiting);
    assert_eq!(run(&[term, &migrate_all, &waiting.0, kill]), [(Reason::HeldUnanswered, 1)]);
}

/// Guards against exemptions that cover too much or too little. On the platform's hard days a request that is not
/// answered in time or never attempted is only counted. A disconnect after an attempt and an answer to a misbehaving
/// client remain violations.
#[test]
fn cases_exempted_on_hard_days_are_counted_and_nothing_else_is_exempted() {
    let mut history = History::default();
    start_balancer(&mut history, 0);
    send_request(1, S, &mut history);
    history.add(S + 3 * S + 100 * MS, Output(F::Answer(ConnId(1), Answer::Err)));
    send_request(2, S, &mut history);
    history.add(2 * S, Output(F::EndClient(ConnId(2), End::Fin)));
    send_request(3, S, &mut history);
    history.add(S, Output(F::Link { link: LinkId(3), node: NODE, conn: Some(ConnId(3)) }));
    history.add(2 * S, Output(F::EndClient(ConnId(3), End::Fin)));
    history.add(S, Other(Observation::MisbehavingClient(B, ConnId(4))));
    history.add(2 * S, Output(F::Answer(ConnId(4), Answer::Forged)));
    history.add(S, Other(Observation::MisbehavingClient(B, ConnId(5))));
    history.add(2 * S, Output(F::EndClient(ConnId(5), End::Reset)));
    establish(&mut history, 6, S);
    history.add(20 * S, Other(Observation::NodeHealth(NODE, Health::Silent)));
    history.add(22 * S, Output(F::EndClient(ConnId(6), End::Fin)));
    history.add(23 * S, Output(F::Link { link: LinkId(9), node: NodeId(2), conn: Some(ConnId(77)) }));
    history.add(23 * S, Output(F::MalformedRequest(NODE)));
    history.add(23 * S, Other(Observation::NotReestablished(B, ConnId(7))));
    attempt_at(&mut history, 8, 24 * S, NodeId(7));
    let day = crate::environment::tests::day(3, &[0, 0]);
    let verdict = history.verdict(AuditTolerances::sockets(&day));
    let violations = [
        Reason::EndedUnanswered,
        Reason::ServedBad,
        Reason::SentAfterEnd,
        Reason::NotCarried,
        Reason::Syntax,
        Reason::Unlisted,
    ];
    assert_eq!(reasons(&verdict), violations.map(|r| (r, 1)));
    let excused: Vec<(Exemption, u64)> = verdict.excused.into_iter().collect();
    assert_eq!(
        excused,
        [(Exemption::Overdue, 1), (Exemption::ClosedUnsent, 1), (Exemption::ServerSilent, 1)]
    );
}

/// Guards against memory that grows with the length of a run: ended connections are dropped, and of many violations
/// only the first keep their traces.
#[test]
fn ended_connections_are_dropped_and_traces_are_bounded() {
    let mut auditor = Auditor::new(&crate::environment::tests::day(3, &[0, 0]), tolerances(false));
    for conn in 0..20_000 {
        let at = conn * 10 * MS;
        let mut history = History::default();
        send_request(conn, at, &mut history);
        history.add(at, Output(F::EndClient(ConnId(conn), End::Fin)));
        for (at, event) in &history.0 {
            event.observe(*at, &mut auditor);
        }
        assert!(auditor.tracked_connections() <= 1_100, "{}", auditor.tracked_connections());
    }
    let verdict = auditor.finish(400 * S);
    assert_eq!(reasons(&verdict), [(Reason::EndedUnanswered, 20_000)]);
    assert!(verdict.breaks.len() < 100);
}
