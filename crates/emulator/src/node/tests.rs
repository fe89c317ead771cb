//! A node alone, told what reaches it. Figures that are called measured were read off the simulator's servers.

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

/// A node of a core's speed 1 whose usual connections ask for 2 ms a second each, with no chance but in set-ups.
fn plain(cores: u32, change: serde_json::Value) -> Day {
    let mut day = day(json!({
        "streams": {"per_core": 500, "cap": 100, "message_ms": 2, "buffer_s": 1.5, "sheds": "none", "group_cost": 0,
            "by_joins": 0},
        "classes": [{"name": "c", "share": 1, "set_up_ms": 100, "set_up_cv": 0, "attempt_noise": 0, "aim_ms": 800,
            "give_up_ms": 3200, "worth": 1, "message_aim_ms": 3, "load": 1, "life": 1, "load_sigma": 0,
            "swing_sigma": 0, "change_s": 1000, "idle": 0}],
    }));
    day.nodes.truncate(1);
    (day.nodes[0].speed, day.kinds[0].cores, day.kinds[0].queue) = (1.0, cores, 7);
    let mut whole = serde_json::to_value(&day).expect("a day is data");
    for (at, value) in change.as_object().into_iter().flatten() {
        *whole.pointer_mut(at).expect("a figure of the day") = value.clone();
    }
    serde_json::from_value(whole).expect("a day")
}

struct Rig {
    node: Node,
    out: Vec<(Micros, NodeOutput)>,
    next: u64,
}

impl Rig {
    fn new(day: &Day) -> Rig {
        Rig { node: Node::new(day, NodeId(0), Pcg64Mcg::seed_from_u64(7)), out: Vec::new(), next: 0 }
    }

    /// Plays on until `now`, each thing at its time.
    fn until(&mut self, now: Micros) {
        while let Some(due) = self.node.next_due().filter(|due| *due <= now) {
            let mut out = Vec::new();
            self.node.advance(due, &mut out);
            assert!(
                self.node.next_due() > Some(due) || self.node.next_due().is_none(),
                "stands still at {due}"
            );
            self.out.extend(out.into_iter().map(|what| (due, what)));
        }
    }

    fn at(&mut self, now: Micros, what: NodeInput) {
        self.until(now);
        let mut out = Vec::new();
        self.node.handle(now, what, &mut out);
        self.out.extend(out.into_iter().map(|what| (now, what)));
    }

    fn link(&mut self) -> LinkId {
        self.next += 1;
        LinkId(self.next)
    }

    fn carry(&mut self, now: Micros, count: usize) {
        for _ in 0..count {
            let link = self.link();
            let profile = LoadProfile { mean: 1.0, seed: 0 };
            self.at(now, NodeInput::Carry { link, by: BalancerId(0), ask: ask(link.0, 0), profile });
        }
    }

    fn open(&mut self, now: Micros) -> LinkId {
        let link = self.link();
        let profile = LoadProfile { mean: 1.0, seed: 0 };
        let ask = ask(link.0, 0);
        self.at(now, NodeInput::Open { link, by: BalancerId(0), ask, profile, patience: 3 * S });
        link
    }

    fn said(&self, word: NodeMessage) -> Vec<(Micros, LinkId)> {
        let of = |(at, what): &(Micros, NodeOutput)| match what {
            NodeOutput::Message(link, said) if *said == word => Some((*at, *link)),
            _ => None,
        };
        self.out.iter().filter_map(of).collect()
    }

    fn ended(&self) -> usize {
        self.out.iter().filter(|(_, what)| matches!(what, NodeOutput::Close(..))).count()
    }

    /// Share of messages in time over a stretch.
    fn share(&mut self, from: Micros, to: Micros) -> f64 {
        self.until(from);
        let before = self.node.served(0);
        self.until(to);
        (self.node.served(0) - before) / ((to - from) as f64 / 1e6)
    }
}

/// A wrong formula shows in G on every day: at steady loads the time and the share of messages are the measured ones.
#[test]
fn messages_fare_as_measured() {
    // Cores, speed, burstiness, load over capacity; measured time in ms and share within 3 ms.
    let measured = [
        (1.0, 1.0, 1.0, 0.1796, 2.4378, 0.76955),
        (1.0, 1.0, 1.0, 0.7072, 6.8306, 0.52644),
        (1.0, 1.0, 4.0, 0.7072, 6.8306, 0.42874),
        (4.0, 1.0, 4.0, 0.45048, 2.5093, 0.74951),
        (4.0, 1.0, 4.0, 0.8064, 5.7308, 0.48249),
        (5.0, 1.5, 2.0, 0.63013, 2.0693, 0.87204),
        (5.0, 1.5, 2.0, 0.80964, 3.5400, 0.74712),
    ];
    for (cores, speed, bursty, rho, ms, share) in measured {
        let busy = LoadLevel { cores, utilization: rho, backlog: 0.0, message_time: 0.002 / speed };
        assert!((busy.delay() * 1e3 / ms - 1.0).abs() < 3e-3, "{busy:?}: {} ms", busy.delay() * 1e3);
        assert!(
            (busy.share_in_time(0.003, bursty) - share).abs() < 3e-4,
            "{busy:?}: {}",
            busy.share_in_time(0.003, bursty)
        );
    }
    let piled = LoadLevel { cores: 4.0, utilization: 0.5, backlog: 0.003, message_time: 0.002 };
    assert_eq!(piled.share_in_time(0.003, 1.0), 0.0);
    // A load beyond all bounds takes the most that a message takes, as measured: 50.505 ms and the pile.
    let over = LoadLevel { cores: 4.0, utilization: 7.0, backlog: 1.0, message_time: 0.002 };
    assert!((over.delay() - 1.050_505).abs() < 1e-6);
}

/// Piles that come or go at a wrong pace make jams of a wrong length: played at the simulator's own steps of load, a
/// node tells the measured times, and loses the measured share of its seconds.
#[test]
fn work_piles_up_and_drains_as_measured() {
    let levels = [0.5, 1.05, 1.0, 0.95, 0.9, 0.8, 1.2, 0.5];
    let shape: Vec<(f64, f64)> = levels
        .iter()
        .enumerate()
        .flat_map(|(i, x)| [(5.0 * i as f64, *x), (5.0 * i as f64 + 4.9999, *x)])
        .collect();
    let day = plain(4, json!({"/traffic/shape": shape, "/classes/0/message_aim_ms": 200}));
    let mut rig = Rig::new(&day);
    rig.carry(0, 1818);
    let measured = [0.99254, 0.44259, 0.0, 0.92019, 1.0, 0.98944, 0.0645, 0.74969];
    for (i, share) in measured.into_iter().enumerate() {
        let got = rig.share(i as Micros * 5 * S, (i as Micros + 1) * 5 * S);
        // The measured server's count of connections moved by a few.
        assert!((got - share).abs() < 0.012, "from {} s: {got} for {share}", 5 * i);
    }
    let told = |at: Micros| {
        rig.out.iter().find_map(|(t, what)| match what {
            NodeOutput::Message(_, NodeMessage::Delay(ms)) if *t == at => Some(*ms),
            _ => None,
        })
    };
    for (at, ms) in [(6, 107.19), (9, 243.24), (18, 101.8), (31, 281.36), (34, 836.5)] {
        let got = told(at * S).unwrap_or(0.0);
        assert!((got / ms - 1.0).abs() < 0.02, "at {at} s: {got} ms for {ms}");
    }
    assert!(
        told(19 * S).is_none_or(|ms| ms < 67.0) && told(22 * S).is_none(),
        "told of messages that were fast"
    );
}

/// More lanes, room or pace than the simulator's servers have would let a node take storms that those refuse: four
/// cores work on two set-ups at once, 28 wait, the rest is turned away, and standing load slows them as measured.
#[test]
fn set_ups_wait_in_turn_and_beyond_that_are_refused() {
    let mut rig = Rig::new(&plain(4, json!({})));
    let links: Vec<LinkId> = (0..40).map(|_| rig.open(S)).collect();
    rig.until(10 * S);
    let up = rig.said(NodeMessage::Up);
    assert_eq!((up.len(), rig.said(NodeMessage::Busy).len()), (30, 10));
    assert!(
        links[30..].iter().all(|link| up.iter().all(|(_, l)| l != link)),
        "a later one came before its turn"
    );
    // 30 set-ups of 100 ms in two lanes: measured 1.50 s, with chance in the work.
    let last = up.last().expect("some").0 - S;
    assert!((1_200_000..1_800_000).contains(&last), "{last}");

    // A probe has no chance in its work: 1 ms at a pace of 1.3 less the standing load, which is 0.9 here.
    rig.carry(10 * S, 1607);
    let link = rig.link();
    rig.at(12 * S, NodeInput::Probe { link });
    rig.until(13 * S);
    let took = rig.said(NodeMessage::Pong)[0].0 - 12 * S;
    assert!((2490..2520).contains(&took), "{took}");
}

/// A heavy client would turn light by moving, and shedding would pay: its load goes on as it was on any node, redrawn
/// as often as its class says, and is its mean over time.
#[test]
fn a_load_goes_on_from_node_to_node() {
    let day =
        day(json!({"classes": [{"name": "c", "share": 1, "set_up_ms": 0, "set_up_cv": 0, "attempt_noise": 0,
        "aim_ms": 800, "give_up_ms": 3200, "worth": 1, "message_aim_ms": 50, "load": 1, "life": 1,
        "load_sigma": 0, "swing_sigma": 0.6, "change_s": 10, "idle": 0.3}]}));
    let (here, there) = (
        load_oscillation::LoadOscillation::new(&day.classes[0]),
        load_oscillation::LoadOscillation::new(&day.classes[0]),
    );
    let (mut sum, mut idle, mut changes) = (0.0, 0, 0);
    for key in 0..4000 {
        let (load, next) = here.at(key, 17 * S);
        let next = next.expect("it changes");
        assert_eq!(there.at(key, next - 1), (load, Some(next)), "client {key} is another at another node");
        assert_ne!(there.at(key, next), (load, Some(next)));
        (sum, idle) = (sum + load, idle + usize::from(load == 0.1));
        let mut at = 0;
        while let (_, Some(next)) = here.at(key, at) {
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

/// A node that sheds the wrong ones or too many: with its buffer full it drops the heaviest, and stops at 0.9.
#[test]
fn a_full_buffer_sheds_the_heaviest_down_to_nine_tenths() {
    let mut rig = Rig::new(&plain(4, json!({"/streams/sheds": "heaviest", "/traffic/shape": [[0, 1.3]]})));
    for i in 0..1805u64 {
        let link = rig.link();
        let profile = LoadProfile { mean: 0.5 + (i * 7919 % 1805) as f64 / 1805.0, seed: 0 };
        rig.at(0, NodeInput::Carry { link, by: BalancerId(0), ask: ask(link.0, 0), profile });
    }
    rig.until(20 * S);
    let gone: Vec<u64> = rig
        .out
        .iter()
        .filter_map(|(_, o)| match o {
            NodeOutput::Close(link, End::Reset) => Some(link.0 - 1),
            _ => None,
        })
        .collect();
    let weight = |i: &u64| i * 7919 % 1805;
    assert!(gone.windows(2).all(|two| weight(&two[0]) > weight(&two[1])), "not the heaviest first");
    let state = rig.node.state();
    let rho = state.load / state.capacity;
    assert!((0.898..=0.9).contains(&rho), "{rho} is left");
}

/// A cold node that takes any storm, or falls at a drizzle: pushed at 130 a second it falls with about the 96th, as
/// measured; at 60 a second, or warm, it stands.
#[test]
fn a_cold_node_falls_when_pushed() {
    let day = plain(4, json!({"/streams/per_core": 100, "/kinds/0/cold_s": 20, "/classes/0/set_up_ms": 1}));
    let pushed = |start: bool, every: Micros| {
        let mut rig = Rig::new(&day);
        if start {
            rig.at(0, NodeInput::Crash);
            rig.at(S / 2, NodeInput::Start);
        }
        for i in 0..400 {
            rig.open(S + i * every);
            if rig.out.iter().any(|(_, what)| *what == NodeOutput::Overloaded) {
                assert_eq!(rig.node.accepts(2 * S), Accepts::Refused);
                assert_eq!(rig.node.next_due(), None, "a fallen node goes on");
                return Some(i + 1);
            }
        }
        None
    };
    assert!(pushed(true, S / 130).is_some_and(|n| (92..=100).contains(&n)), "{:?}", pushed(true, S / 130));
    assert_eq!((pushed(true, S / 60), pushed(false, S / 130)), (None, None));
}

/// Faults that let a client through, or leave one hanging for ever: each is as it should be to those who stand, those
/// who come and those who probe, and what was held is answered or ended when it is over.
#[test]
fn faults_are_what_they_are_called() {
    let at = |kind, on| NodeInput::Fault { kind, on, size: 1.0 };
    let mut rig = Rig::new(&plain(4, json!({"/streams/go_away": "at-once"})));
    rig.carry(0, 50);

    rig.at(2 * S, at(FaultKind::Hang, true));
    let probe = rig.link();
    rig.at(2 * S, NodeInput::Probe { link: probe });
    rig.open(2 * S);
    assert_eq!(rig.share(3 * S, 5 * S), 0.0, "a hung node served");
    assert!(
        rig.said(NodeMessage::Pong).is_empty() && rig.said(NodeMessage::Up).is_empty(),
        "a hung node spoke"
    );
    rig.at(5 * S, at(FaultKind::Hang, false));
    rig.until(6 * S);
    assert_eq!((rig.said(NodeMessage::Pong).len(), rig.said(NodeMessage::Up).len(), rig.ended()), (1, 1, 0));

    rig.at(6 * S, at(FaultKind::HalfDead, true));
    let (probe, held) = (rig.link(), rig.open(6 * S));
    rig.at(6 * S, NodeInput::Probe { link: probe });
    assert!(rig.share(7 * S, 8 * S) > 0.7, "those who stand are not struck");
    assert_eq!((rig.said(NodeMessage::Pong).len(), rig.said(NodeMessage::Up).len()), (2, 1));
    rig.at(8 * S, at(FaultKind::HalfDead, false));

    rig.at(9 * S, at(FaultKind::Full, true));
    rig.open(9 * S);
    rig.at(10 * S, at(FaultKind::Full, false));
    rig.at(10 * S, at(FaultKind::Failing, true));
    rig.open(10 * S);
    rig.at(11 * S, at(FaultKind::Failing, false));
    assert_eq!((rig.said(NodeMessage::Busy).len(), rig.said(NodeMessage::Err).len()), (1, 1));

    rig.at(12 * S, at(FaultKind::CutOff, true));
    assert_eq!(rig.node.accepts(12 * S), Accepts::Silent);
    rig.at(14 * S, at(FaultKind::CutOff, false));
    assert_eq!(rig.ended(), 52, "50 carried, one set up and one held are reset when it is back");
    assert!(rig.out.iter().any(|(_, what)| *what == NodeOutput::Close(held, End::Reset)));

    rig.carry(15 * S, 20);
    rig.at(16 * S, NodeInput::Drain);
    rig.open(16 * S);
    assert_eq!((rig.said(NodeMessage::Move).len(), rig.said(NodeMessage::Busy).len()), (20, 2));
    rig.at(17 * S, NodeInput::Stop);
    assert_eq!((rig.node.accepts(17 * S), rig.node.next_due()), (Accepts::Refused, None));
}

/// Sums that drift, links that end twice or never: after thousands of random events what a node counts is what an
/// account beside it counts, and no step is late.
#[test]
fn sums_hold_in_a_storm_of_events() {
    let mut day = plain(
        3,
        json!({"/streams/group_cost": 2, "/streams/sheds": "newest", "/streams/buffer_s": 0.3,
        "/streams/per_core": 20, "/classes/0/change_s": 3, "/classes/0/swing_sigma": 0.6, "/classes/0/idle": 0.3,
        "/classes/0/set_up_ms": 20, "/classes/0/attempt_noise": 0.4, "/kinds/0/error_rate": 0.02}),
    );
    (day.kinds[0].pause_every, day.kinds[0].pause) = (2 * S, S / 10);
    let mut rig = Rig::new(&day);
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (mut now, mut open) = (0, Vec::new());
    for _ in 0..20_000 {
        now += rng.random_range(0..40_000);
        match rng.random_range(0..1000) {
            0 => rig.at(now, NodeInput::Crash),
            1..=5 => rig.at(now, NodeInput::Start),
            6..=450 if !open.is_empty() => {
                let link = open.swap_remove(rng.random_range(0..open.len()));
                rig.at(now, NodeInput::Close { link });
            }
            _ if rig.node.accepts(now) == Accepts::Yes => {
                let link = rig.link();
                let (ask, by) = (ask(link.0, rng.random_range(0..9)), BalancerId(rng.random_range(0..4)));
                let profile = LoadProfile { mean: rng.random_range(0.2..3.0), seed: 0 };
                rig.at(now, NodeInput::Open { link, by, ask, profile, patience: S });
                open.push(link);
            }
            _ => rig.until(now),
        }
        assert!(rig.node.next_due().is_none_or(|due| due > now), "something due was not done");
    }
    let mut links: BTreeMap<LinkId, (u32, u32, u32)> = BTreeMap::new();
    for (_, what) in &rig.out {
        match what {
            NodeOutput::Message(link, NodeMessage::Up) => links.entry(*link).or_default().0 += 1,
            NodeOutput::Message(link, NodeMessage::Busy | NodeMessage::Err) => {
                links.entry(*link).or_default().1 += 1;
            }
            NodeOutput::Close(link, _) => links.entry(*link).or_default().2 += 1,
            _ => {}
        }
    }
    assert!(links.values().all(|(up, no, ends)| up + no <= 1 && ends + no <= 1), "a link had two ends");
    assert!(links.values().filter(|l| l.0 == 1).count() > 1000 && links.values().any(|l| l.2 == 1));
    assert!(rig.node.established.sums_are_right());
    let (served, all) = (rig.node.served(0), seconds_from_micros(now));
    assert!((0.0..=all).contains(&served), "{served} of {all} s");
}
