//! Tests of a node with scripted inputs. Values that are called measured were measured at the simulator's
//! servers.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use serde_json::json;

use super::*;
use crate::edge::ConnId;
use crate::population::tests::day;
use shorewharf_units::seconds_from_micros;

const S: Micros = 1_000_000;

fn ask(key: u64, group: u64) -> RequestLine {
    let (conn, patience) = (ConnId(key), 3 * S);
    RequestLine {
        conn,
        key,
        class: 0,
        tenant: 0,
        group,
        timeout: patience,
        hint: None,
        retry: false,
        is_reconnect: false,
        previous_node: None,
    }
}

/// A day with one node of core speed 1, whose usual connections each need 2 ms of work a second. Only the
/// work of set-ups is random. `change` maps JSON pointers to values that replace those of the day.
fn day_with_one_node(cores: u32, change: serde_json::Value) -> Day {
    let mut day = day(json!({
        "streams": {"per_core": 500, "cap": 100, "message_ms": 2, "buffer_s": 1.5, "sheds": "none", "group_cost": 0,
            "by_joins": 0},
        "classes": [{"name": "c", "share": 1, "set_up_ms": 100, "set_up_cv": 0, "attempt_noise": 0, "aim_ms": 800,
            "give_up_ms": 3200, "worth": 1, "message_aim_ms": 3, "load": 1, "life": 1, "load_sigma": 0,
            "swing_sigma": 0, "change_s": 1000, "idle": 0}],
    }));
    day.nodes.truncate(1);
    (day.nodes[0].speed, day.kinds[0].cores, day.kinds[0].queue) = (1.0, cores, 7);
    let mut whole = serde_json::to_value(&day).expect("a day can be serialized");
    for (at, value) in change.as_object().into_iter().flatten() {
        *whole.pointer_mut(at).expect("the day has this key") = value.clone();
    }
    serde_json::from_value(whole).expect("the changed day is valid")
}

/// A node with all of its outputs and their times.
struct TestNode {
    model: Node,
    outputs: Vec<(Micros, NodeOutput)>,
    last_link: u64,
}

impl TestNode {
    fn new(day: &Day) -> TestNode {
        TestNode {
            model: Node::new(day, NodeId(0), Pcg64Mcg::seed_from_u64(7)),
            outputs: Vec::new(),
            last_link: 0,
        }
    }

    /// Advances the node to `now`, one due time after the other.
    fn advance_to(&mut self, now: Micros) {
        while let Some(due) = self.model.next_due().filter(|due| *due <= now) {
            let mut out = Vec::new();
            self.model.advance(due, &mut out);
            assert!(
                self.model.next_due() > Some(due) || self.model.next_due().is_none(),
                "the node is due again at {due}"
            );
            self.outputs.extend(out.into_iter().map(|what| (due, what)));
        }
    }

    /// Advances the node to `now` and gives it an input.
    fn input(&mut self, now: Micros, what: NodeInput) {
        self.advance_to(now);
        let mut out = Vec::new();
        self.model.handle(now, what, &mut out);
        self.outputs.extend(out.into_iter().map(|what| (now, what)));
    }

    /// Returns a link that is not yet used.
    fn new_link(&mut self) -> LinkId {
        self.last_link += 1;
        LinkId(self.last_link)
    }

    /// Adds initial connections with a mean load of 1.
    fn add_connections(&mut self, now: Micros, count: usize) {
        for _ in 0..count {
            let link = self.new_link();
            let profile = LoadProfile { mean: 1.0, seed: 0 };
            self.input(
                now,
                NodeInput::InitialConnection { link, by: BalancerId(0), ask: ask(link.0, 0), profile },
            );
        }
    }

    /// Sends a request with a mean load of 1.
    fn open(&mut self, now: Micros) -> LinkId {
        let link = self.new_link();
        let profile = LoadProfile { mean: 1.0, seed: 0 };
        let ask = ask(link.0, 0);
        self.input(now, NodeInput::Open { link, by: BalancerId(0), ask, profile, patience: 3 * S });
        link
    }

    /// The times and links of this message.
    fn messages(&self, message: NodeMessage) -> Vec<(Micros, LinkId)> {
        let of = |(at, what): &(Micros, NodeOutput)| match what {
            NodeOutput::Message(link, sent) if *sent == message => Some((*at, *link)),
            _ => None,
        };
        self.outputs.iter().filter_map(of).collect()
    }

    /// The number of links that the node has closed.
    fn closed_links(&self) -> usize {
        self.outputs.iter().filter(|(_, what)| matches!(what, NodeOutput::Close(..))).count()
    }

    /// The share of messages in time between `from` and `to`.
    fn share_in_time(&mut self, from: Micros, to: Micros) -> f64 {
        self.advance_to(from);
        let before = self.model.served(0);
        self.advance_to(to);
        (self.model.served(0) - before) / ((to - from) as f64 / 1e6)
    }
}

/// A wrong formula would change the result of every scenario. At steady loads, the message delay and the
/// share of messages in time are those measured.
#[test]
fn message_delays_and_shares_in_time_are_as_measured() {
    // Cores, speed, burstiness, utilization; measured delay in ms and share of messages within 3 ms.
    let measured = [
        (1.0, 1.0, 1.0, 0.1796, 2.4378, 0.76955),
        (1.0, 1.0, 1.0, 0.7072, 6.8306, 0.52644),
        (1.0, 1.0, 4.0, 0.7072, 6.8306, 0.42874),
        (4.0, 1.0, 4.0, 0.45048, 2.5093, 0.74951),
        (4.0, 1.0, 4.0, 0.8064, 5.7308, 0.48249),
        (5.0, 1.5, 2.0, 0.63013, 2.0693, 0.87204),
        (5.0, 1.5, 2.0, 0.80964, 3.5400, 0.74712),
    ];
    for (cores, speed, burstiness, utilization, ms, share) in measured {
        let level = LoadLevel { cores, utilization, backlog: 0.0, message_time: 0.002 / speed };
        assert!((level.delay() * 1e3 / ms - 1.0).abs() < 3e-3, "{level:?}: {} ms", level.delay() * 1e3);
        assert!(
            (level.share_in_time(0.003, burstiness) - share).abs() < 3e-4,
            "{level:?}: {}",
            level.share_in_time(0.003, burstiness)
        );
    }
    let backlogged = LoadLevel { cores: 4.0, utilization: 0.5, backlog: 0.003, message_time: 0.002 };
    assert_eq!(backlogged.share_in_time(0.003, 1.0), 0.0);
    // Above the maximum utilization the delay is the measured maximum of 50.505 ms plus the backlog.
    let overloaded = LoadLevel { cores: 4.0, utilization: 7.0, backlog: 1.0, message_time: 0.002 };
    assert!((overloaded.delay() - 1.050_505).abs() < 1e-6);
}

/// If the backlog grew or drained at a wrong rate, overload would last too long or too short. With the load
/// steps of a simulator run, a node reports the measured delays and has the measured shares of messages in
/// time.
#[test]
fn the_backlog_grows_and_drains_as_measured() {
    let levels = [0.5, 1.05, 1.0, 0.95, 0.9, 0.8, 1.2, 0.5];
    let shape: Vec<(f64, f64)> = levels
        .iter()
        .enumerate()
        .flat_map(|(i, x)| [(5.0 * i as f64, *x), (5.0 * i as f64 + 4.9999, *x)])
        .collect();
    let day = day_with_one_node(4, json!({"/traffic/shape": shape, "/classes/0/message_aim_ms": 200}));
    let mut node = TestNode::new(&day);
    node.add_connections(0, 1818);
    let measured = [0.99254, 0.44259, 0.0, 0.92019, 1.0, 0.98944, 0.0645, 0.74969];
    for (i, share) in measured.into_iter().enumerate() {
        let got = node.share_in_time(i as Micros * 5 * S, (i as Micros + 1) * 5 * S);
        // The number of connections of the measured server varied by a few.
        assert!((got - share).abs() < 0.012, "from {} s: a share of {got}, measured {share}", 5 * i);
    }
    let reported_delay = |at: Micros| {
        node.outputs.iter().find_map(|(t, what)| match what {
            NodeOutput::Message(_, NodeMessage::Delay(ms)) if *t == at => Some(*ms),
            _ => None,
        })
    };
    for (at, ms) in [(6, 107.19), (9, 243.24), (18, 101.8), (31, 281.36), (34, 836.5)] {
        let got = reported_delay(at * S).unwrap_or(0.0);
        assert!((got / ms - 1.0).abs() < 0.02, "at {at} s: a delay of {got} ms, measured {ms}");
    }
    assert!(
        reported_delay(19 * S).is_none_or(|ms| ms < 67.0) && reported_delay(22 * S).is_none(),
        "a short delay was reported"
    );
}

/// With more lanes, a longer queue or a higher pace than the simulator's servers, a node would accept surges
/// that those reject. A node with four cores processes two set-ups at once, lets 28 wait and rejects the
/// rest; established connections slow the set-ups down as measured.
#[test]
fn set_ups_wait_in_a_bounded_queue_and_excess_ones_are_rejected() {
    let mut node = TestNode::new(&day_with_one_node(4, json!({})));
    let links: Vec<LinkId> = (0..40).map(|_| node.open(S)).collect();
    node.advance_to(10 * S);
    let up = node.messages(NodeMessage::Up);
    assert_eq!((up.len(), node.messages(NodeMessage::Busy).len()), (30, 10));
    assert!(
        links[30..].iter().all(|link| up.iter().all(|(_, l)| l != link)),
        "a rejected set-up was accepted"
    );
    // 30 set-ups of 100 ms mean work in two lanes: measured 1.50 s, with random work.
    let last = up.last().expect("a set-up was accepted").0 - S;
    assert!((1_200_000..1_800_000).contains(&last), "{last}");

    // The work of a probe is not random: 1 ms at a pace of 1.3 minus the utilization by established
    // connections, which is 0.9 here.
    node.add_connections(10 * S, 1607);
    let link = node.new_link();
    node.input(12 * S, NodeInput::Probe { link });
    node.advance_to(13 * S);
    let took = node.messages(NodeMessage::Pong)[0].0 - 12 * S;
    assert!((2490..2520).contains(&took), "{took}");
}

/// If a migration redrew a client's load, shedding heavy clients would reduce the total load. The load of a
/// client is the same on every node, is redrawn as often as its class states, and has the client's mean load
/// as its mean over time.
#[test]
fn the_load_of_a_client_is_the_same_on_every_node() {
    let day =
        day(json!({"classes": [{"name": "c", "share": 1, "set_up_ms": 0, "set_up_cv": 0, "attempt_noise": 0,
        "aim_ms": 800, "give_up_ms": 3200, "worth": 1, "message_aim_ms": 50, "load": 1, "life": 1,
        "load_sigma": 0, "swing_sigma": 0.6, "change_s": 10, "idle": 0.3}]}));
    let (one_node, other_node) = (
        load_oscillation::LoadOscillation::new(&day.classes[0]),
        load_oscillation::LoadOscillation::new(&day.classes[0]),
    );
    let (mut sum, mut idle, mut changes) = (0.0, 0, 0);
    for key in 0..4000 {
        let (load, next) = one_node.at(key, 17 * S);
        let next = next.expect("the load changes");
        assert_eq!(
            other_node.at(key, next - 1),
            (load, Some(next)),
            "the load of client {key} differs at another node"
        );
        assert_ne!(other_node.at(key, next), (load, Some(next)));
        (sum, idle) = (sum + load, idle + usize::from(load == 0.1));
        let mut at = 0;
        while let (_, Some(next)) = one_node.at(key, at) {
            if next >= 60 * S {
                break;
            }
            (at, changes) = (next, changes + 1);
        }
    }
    assert!((sum / 4000.0 - 1.0).abs() < 0.05, "{}", sum / 4000.0);
    assert!((idle as f64 / 4000.0 - 0.3).abs() < 0.03, "{idle}");
    assert!((changes as f64 / 24_000.0 - 1.0).abs() < 0.03, "{changes}");
}

/// A node must not shed the wrong connections or too many: at its maximum backlog it drops the heaviest
/// connections until its utilization is at most 0.9.
#[test]
fn at_the_maximum_backlog_the_heaviest_connections_are_shed() {
    let mut node = TestNode::new(&day_with_one_node(
        4,
        json!({"/streams/sheds": "heaviest", "/traffic/shape": [[0, 1.3]]}),
    ));
    for i in 0..1805u64 {
        let link = node.new_link();
        let profile = LoadProfile { mean: 0.5 + (i * 7919 % 1805) as f64 / 1805.0, seed: 0 };
        node.input(0, NodeInput::InitialConnection { link, by: BalancerId(0), ask: ask(link.0, 0), profile });
    }
    node.advance_to(20 * S);
    let shed: Vec<u64> = node
        .outputs
        .iter()
        .filter_map(|(_, o)| match o {
            NodeOutput::Close(link, End::Reset) => Some(link.0 - 1),
            _ => None,
        })
        .collect();
    let weight = |i: &u64| i * 7919 % 1805;
    assert!(
        shed.windows(2).all(|two| weight(&two[0]) > weight(&two[1])),
        "the heaviest connections were not shed first"
    );
    let state = node.model.state();
    let utilization = state.load / state.capacity;
    assert!((0.898..=0.9).contains(&utilization), "the utilization after shedding is {utilization}");
}

/// A cold node must not survive every surge, nor fail at a low rate. At 130 attempts per second it fails with
/// about the 96th, as measured; at 60 per second, or warm, it does not fail.
#[test]
fn a_cold_node_fails_when_overloaded() {
    let day = day_with_one_node(
        4,
        json!({"/streams/per_core": 100, "/kinds/0/cold_s": 20, "/classes/0/set_up_ms": 1}),
    );
    let attempts_until_failure = |start: bool, every: Micros| {
        let mut node = TestNode::new(&day);
        if start {
            node.input(0, NodeInput::Crash);
            node.input(S / 2, NodeInput::Start);
        }
        for i in 0..400 {
            node.open(S + i * every);
            if node.outputs.iter().any(|(_, what)| *what == NodeOutput::Overloaded) {
                assert_eq!(node.model.accepts(2 * S), Accepts::Refused);
                assert_eq!(node.model.next_due(), None, "a failed node is still due");
                return Some(i + 1);
            }
        }
        None
    };
    assert!(
        attempts_until_failure(true, S / 130).is_some_and(|n| (92..=100).contains(&n)),
        "{:?}",
        attempts_until_failure(true, S / 130)
    );
    assert_eq!((attempts_until_failure(true, S / 60), attempts_until_failure(false, S / 130)), (None, None));
}

/// Checks the effect of each fault on established connections, new requests and probes: no request may be
/// accepted or left open for ever by mistake. When a fault is over, the requests that it held are answered or
/// their links closed.
#[test]
fn faults_affect_requests_connections_and_probes_as_specified() {
    let at = |kind, on| NodeInput::Fault { kind, on, size: 1.0 };
    let mut node = TestNode::new(&day_with_one_node(4, json!({"/streams/go_away": "at-once"})));
    node.add_connections(0, 50);

    node.input(2 * S, at(FaultKind::Hang, true));
    let probe = node.new_link();
    node.input(2 * S, NodeInput::Probe { link: probe });
    node.open(2 * S);
    assert_eq!(node.share_in_time(3 * S, 5 * S), 0.0, "a hung node served messages in time");
    assert!(
        node.messages(NodeMessage::Pong).is_empty() && node.messages(NodeMessage::Up).is_empty(),
        "a hung node sent a message"
    );
    node.input(5 * S, at(FaultKind::Hang, false));
    node.advance_to(6 * S);
    assert_eq!(
        (node.messages(NodeMessage::Pong).len(), node.messages(NodeMessage::Up).len(), node.closed_links()),
        (1, 1, 0)
    );

    node.input(6 * S, at(FaultKind::HalfDead, true));
    let (probe, unanswered) = (node.new_link(), node.open(6 * S));
    node.input(6 * S, NodeInput::Probe { link: probe });
    assert!(node.share_in_time(7 * S, 8 * S) > 0.7, "established connections are not affected");
    assert_eq!((node.messages(NodeMessage::Pong).len(), node.messages(NodeMessage::Up).len()), (2, 1));
    node.input(8 * S, at(FaultKind::HalfDead, false));

    node.input(9 * S, at(FaultKind::Full, true));
    node.open(9 * S);
    node.input(10 * S, at(FaultKind::Full, false));
    node.input(10 * S, at(FaultKind::Failing, true));
    node.open(10 * S);
    node.input(11 * S, at(FaultKind::Failing, false));
    assert_eq!((node.messages(NodeMessage::Busy).len(), node.messages(NodeMessage::Err).len()), (1, 1));

    node.input(12 * S, at(FaultKind::CutOff, true));
    assert_eq!(node.model.accepts(12 * S), Accepts::Silent);
    node.input(14 * S, at(FaultKind::CutOff, false));
    assert_eq!(
        node.closed_links(),
        52,
        "50 initial connections, one set up and one unanswered are reset when the node is back"
    );
    assert!(node.outputs.iter().any(|(_, what)| *what == NodeOutput::Close(unanswered, End::Reset)));

    node.add_connections(15 * S, 20);
    node.input(16 * S, NodeInput::Drain);
    node.open(16 * S);
    assert_eq!((node.messages(NodeMessage::Move).len(), node.messages(NodeMessage::Busy).len()), (20, 2));
    node.input(17 * S, NodeInput::Stop);
    assert_eq!((node.model.accepts(17 * S), node.model.next_due()), (Accepts::Refused, None));
}

/// Sums must not drift, and no link may end twice or never. After thousands of random events, the sums of a
/// node match those computed from its connections, each link had at most one end, and no step was late.
#[test]
fn sums_match_the_connections_after_random_events() {
    let mut day = day_with_one_node(
        3,
        json!({"/streams/group_cost": 2, "/streams/sheds": "newest", "/streams/buffer_s": 0.3,
        "/streams/per_core": 20, "/classes/0/change_s": 3, "/classes/0/swing_sigma": 0.6, "/classes/0/idle": 0.3,
        "/classes/0/set_up_ms": 20, "/classes/0/attempt_noise": 0.4, "/kinds/0/error_rate": 0.02}),
    );
    (day.kinds[0].pause_every, day.kinds[0].pause) = (2 * S, S / 10);
    let mut node = TestNode::new(&day);
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (mut now, mut open) = (0, Vec::new());
    for _ in 0..20_000 {
        now += rng.random_range(0..40_000);
        match rng.random_range(0..1000) {
            0 => node.input(now, NodeInput::Crash),
            1..=5 => node.input(now, NodeInput::Start),
            6..=450 if !open.is_empty() => {
                let link = open.swap_remove(rng.random_range(0..open.len()));
                node.input(now, NodeInput::Close { link });
            }
            _ if node.model.accepts(now) == Accepts::Yes => {
                let link = node.new_link();
                let (ask, by) = (ask(link.0, rng.random_range(0..9)), BalancerId(rng.random_range(0..4)));
                let profile = LoadProfile { mean: rng.random_range(0.2..3.0), seed: 0 };
                node.input(now, NodeInput::Open { link, by, ask, profile, patience: S });
                open.push(link);
            }
            _ => node.advance_to(now),
        }
        assert!(node.model.next_due().is_none_or(|due| due > now), "an event due by {now} was not handled");
    }
    let mut links: BTreeMap<LinkId, (u32, u32, u32)> = BTreeMap::new();
    for (_, what) in &node.outputs {
        match what {
            NodeOutput::Message(link, NodeMessage::Up) => links.entry(*link).or_default().0 += 1,
            NodeOutput::Message(link, NodeMessage::Busy | NodeMessage::Err) => {
                links.entry(*link).or_default().1 += 1;
            }
            NodeOutput::Close(link, _) => links.entry(*link).or_default().2 += 1,
            _ => {}
        }
    }
    assert!(
        links.values().all(|(up, rejected, ends)| up + rejected <= 1 && ends + rejected <= 1),
        "a link was accepted and rejected, or ended twice"
    );
    assert!(links.values().filter(|l| l.0 == 1).count() > 1000 && links.values().any(|l| l.2 == 1));
    assert!(node.model.established.sums_are_right());
    let (served, all) = (node.model.served(0), seconds_from_micros(now));
    assert!((0.0..=all).contains(&served), "{served} of {all} s");
}
