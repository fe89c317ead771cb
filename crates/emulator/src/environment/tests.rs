//! A small day that the tests of this folder share, and the tests in which its parts work together.

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, Listed, NodeId, Stage, ToBalancer};
use crate::environment::{BalancerEvent, Discovery, FaultEvent, FaultSchedule, NodeEvent};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

/// A day with so many nodes, all in zone 0 of one, and balancers in these zones; nothing goes wrong.
pub(crate) fn day(nodes: usize, balancers: &[u32]) -> Day {
    let nodes: Vec<_> =
        (0..nodes).map(|_| json!({"zone": 0, "kind": 0, "speed": 1.0, "weight": 1.0})).collect();
    let balancers: Vec<_> = balancers.iter().map(|zone| json!({"zone": zone})).collect();
    serde_json::from_value(json!({
        "name": "t", "about": "a test", "seed": 1, "length_s": 60, "tick_ms": 5, "zones": ["a"],
        "net": {"same_ms": 0.2, "cross_ms": 1, "client_ms": 0.5, "jitter": 0.2},
        "front": {"notice_s": 2},
        "discovery": {"notice_s": 2, "silent_notice_s": 8, "add_s": 1, "period_ms": 1000, "spread_ms": 400,
            "lines_per_s": 200, "call_lines": 50, "timeout_s": 1},
        "traffic": {"load": 0.3, "shape": [[0, 1]], "zone_share": [1.0], "over_share_worth": 0.1},
        "clients": {"retries": 0, "try_share": 1, "backoff": "none", "backoff_ms": 0, "honour": 1,
            "max_retry_after_s": 1, "rejoin_ms": 100, "move_gap_ms": 100, "line_every_s": 2},
        "classes": [], "tenants": [],
        "streams": {"per_core": 10, "cap": 2, "life_s": 20, "life_sigma": 1, "message_ms": 3, "bursty": 1,
            "buffer_s": 1, "by_joins": 0.5, "sheds": "heaviest", "go_away": "at-once", "group_cost": 0,
            "group_size": 1, "group_zipf": 1, "start_skew": 0, "tells_load": true, "tells_delay": true},
        "kinds": [], "nodes": nodes, "balancers": balancers,
        "limits": {"probes": true, "cancel": true, "retry_after": true, "max_attempts": 5,
            "connect_timeout_ms": 150, "handshake_rtts": 1, "idle_close_s": 5, "probe_work_ms": 1,
            "probe_timeout_ms": 200, "cpu_us_per_s": 15000, "cores": 1, "memory_mb": 192, "sockets": 1024},
        "rules": {"answer_slack_ms": 20, "drain_grace_s": 1, "fall_multiple": 3, "fall_for_s": 1.5,
            "stated_cold_from": 0.13, "stated_cold_s": 22, "ask_within_s": 10},
        "goal": {"whole": 1, "worst_window": 0, "worst_class": 0, "worst_tenant": 0},
        "prices": {"cross_zone": 0, "waste": 0, "connection": 0, "handshake": 0, "probe": 0, "late_fail": 0,
            "moves": 0},
    }))
    .expect("a whole day")
}

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn fault(kind: FaultKind, at: u64, len: u64, size: f64, on: &[u32]) -> Fault {
    Fault { kind, at, len, size, on: on.to_vec(), zone: None, part: None }
}

/// What discovery told whom, and what it wrote, with times.
struct Told {
    told: Vec<(u64, BalancerId, ToBalancer)>,
    written: Vec<(u64, Listed)>,
}

/// Plays discovery alone up to `end`.
fn play(discovery: &mut Discovery, end: u64, told: &mut Told) {
    let (mut to, mut written) = (Vec::new(), Vec::new());
    while let Some(at) = discovery.next_due().filter(|&at| at <= end) {
        discovery.advance(at, &mut to, &mut written);
        told.told.extend(to.drain(..).map(|(b, word)| (at, b, word)));
        told.written.extend(written.drain(..).map(|l| (at, l)));
    }
}

fn nothing() -> Told {
    Told { told: Vec::new(), written: Vec::new() }
}

const S: u64 = 1_000_000;

/// Failure: more balancers call at once than discovery can serve in time. Promise: it serves as many as it can, turns
/// the others away at once at a small cost, and its times are those measured at the simulator (0.25, 0.50, 0.75 s,
/// then 0.5002 s + 0.5123 s for who asked again).
#[test]
fn calls_wait_in_turn_and_the_excess_is_turned_away_at_once() {
    let day = day(14, &[0, 0, 0, 0]);
    let mut discovery = Discovery::new(&day, rng(1), rng(2));
    (0..4).for_each(|b| discovery.watch(0, BalancerId(b)));
    let mut told = nothing();
    play(&mut discovery, 500_200, &mut told);
    discovery.watch(500_200, BalancerId(3));
    discovery.fetch(10 * S, BalancerId(0));
    play(&mut discovery, 20 * S, &mut told);
    let times: Vec<(u64, u32, bool)> =
        told.told.iter().map(|(at, b, word)| (*at, b.0, matches!(word, ToBalancer::List { .. }))).collect();
    let trip = 2_000;
    assert_eq!(
        times,
        [
            (trip, 3, false),
            (250_000 + trip, 0, true),
            (500_000 + trip, 1, true),
            (750_000 + trip, 2, true),
            (1_012_500 + trip, 3, true),
            // The whole list costs a line for each entry.
            (10 * S + 320_000 + trip, 0, true),
        ]
    );
    assert!(matches!(&told.told[5].2, ToBalancer::List { full: true, entries } if entries.len() == 14));
}

/// Failure: processes end and come back while the list is written once a second and its view falls behind for a spell.
/// Promise: each change is written at a whole period, late by what the day states, later by the spell, and at the end
/// of the spell at the latest; one that came back before its end was noticed is never called gone.
#[test]
fn changes_are_noticed_late_written_in_turn_and_put_off_while_the_view_is_stale() {
    let day = day(4, &[0]);
    let mut discovery = Discovery::new(&day, rng(5), rng(6));
    let mut told = nothing();
    discovery.watch(0, BalancerId(0));
    let stale = fault(FaultKind::ListStale, 0, 0, 4.0, &[]);
    let node = |discovery: &mut Discovery, at, i, turn| discovery.node(at, NodeId(i), turn);
    node(&mut discovery, S, 0, NodeEvent::Crash);
    node(&mut discovery, S, 1, NodeEvent::Crash);
    node(&mut discovery, S + 300_000, 1, NodeEvent::Start);
    play(&mut discovery, 10 * S, &mut told);
    discovery.struck(10 * S, &stale, true);
    node(&mut discovery, 10 * S, 0, NodeEvent::Start);
    play(&mut discovery, 18 * S, &mut told);
    node(&mut discovery, 18 * S, 2, NodeEvent::Crash);
    play(&mut discovery, 21 * S - 1, &mut told);
    discovery.struck(21 * S - 1, &stale, false);
    node(&mut discovery, 30 * S, 3, NodeEvent::Fault { kind: FaultKind::CutOff, on: true, size: 0.0 });
    play(&mut discovery, 60 * S, &mut told);

    let written: Vec<(u64, u32, Stage)> =
        told.written.iter().map(|(at, l)| (at / S, l.node.0, l.stage)).collect();
    assert!(told.written.iter().all(|(at, _)| at % S == 0), "the list is written at whole periods");
    let find = |node, stage| written.iter().find(|w| (w.1, w.2) == (node, stage)).map(|w| w.0);
    assert!((3..=4).contains(&find(0, Stage::Gone).expect("noticed")), "{written:?}");
    assert_eq!(find(1, Stage::Gone), None, "it was back before anybody noticed");
    assert!((2..=3).contains(&find(1, Stage::Ready).expect("born anew")), "{written:?}");
    assert!((15..=16).contains(&find(0, Stage::Ready).expect("after the spell's 4 s")), "{written:?}");
    assert_eq!(find(2, Stage::Gone), Some(21), "the spell's end brings it");
    assert!((37..=40).contains(&find(3, Stage::Gone).expect("a silent failure")), "{written:?}");
    let born = told.written.iter().filter(|(_, l)| l.stage == Stage::Ready).map(|(_, l)| l.started_at);
    assert_eq!(born.collect::<Vec<_>>(), [Some(S + 300_000), Some(10 * S)]);
    // The watcher heard it all, each version within its spread and the work of writing it.
    let news: Vec<u64> = told.told.iter().skip(1).map(|(at, ..)| at % S).collect();
    assert!(news.len() >= 5 && news.iter().all(|late| (10_000..=70_000).contains(late)), "{news:?}");
}

/// Failure: discovery is slower than its news, so that watchers fall behind; it goes down; a watcher dies. Promise: who
/// is one version behind gets changes, who is further behind the whole list, and applying them always gives the list
/// as it was written; watches break with a failure; a balancer that starts again knows what it was sent last.
#[test]
fn watchers_who_fall_behind_get_everything_and_old_knowledge_stays_old() {
    let mut day = day(60, &[0; 12]);
    day.discovery.period = 1_000;
    day.discovery.timeout = 60 * S;
    let mut discovery = Discovery::new(&day, rng(7), rng(8));
    let mut told = nothing();
    (0..12).for_each(|b| discovery.watch(0, BalancerId(b)));
    play(&mut discovery, 10 * S, &mut told);
    for i in 0..40 {
        discovery.node(10 * S, NodeId(i), NodeEvent::Crash);
    }
    play(&mut discovery, 12 * S, &mut told);
    discovery.ended(BalancerId(11));
    play(&mut discovery, 20 * S, &mut told);
    discovery.node(20 * S, NodeId(50), NodeEvent::Crash);
    play(&mut discovery, 25 * S, &mut told);
    let mut lists = vec![discovery.known_list(BalancerId(11)); 12];
    let stale_list = lists[11].len();
    assert!((21..60).contains(&stale_list), "{stale_list} entries: it died halfway through the news");
    let (mut full, mut changes) = (0, 0);
    for list in lists.iter_mut().take(11) {
        *list = (0..60).map(|i| Listed { node: NodeId(i), stage: Stage::Ready, started_at: None }).collect();
    }
    for (_, b, word) in &told.told {
        let ToBalancer::List { full: all, entries } = word else { panic!("nothing failed: {word:?}") };
        let list = &mut lists[b.0 as usize];
        if *all {
            full += 1;
            *list = entries.clone();
        } else if !entries.is_empty() {
            changes += 1;
        }
        list.retain(|l| !entries.iter().any(|e| e.node == l.node && e.stage == Stage::Gone));
    }
    assert!(full > 50 && changes >= 11, "{full} whole lists, {changes} lists of changes");
    assert!(lists.iter().take(11).all(|l| *l == discovery.list() && l.len() == 19));

    let down = fault(FaultKind::ListDown, 0, 0, 0.0, &[]);
    told.told.clear();
    discovery.struck(30 * S, &down, true);
    discovery.watch(31 * S, BalancerId(0));
    play(&mut discovery, 32 * S, &mut told);
    assert!(told.told.len() == 12 && told.told.iter().all(|t| t.2 == ToBalancer::ListFailed));
    discovery.struck(33 * S, &down, false);
    discovery.watch(34 * S, BalancerId(0));
    discovery.node(34 * S, NodeId(0), NodeEvent::Start);
    told.told.clear();
    play(&mut discovery, 40 * S, &mut told);
    assert_eq!(told.told.len(), 2, "its answer and the news, and nothing for those whose watch broke");
}

/// Failure: faults that overlap on the same machines. Promise: a node dies and starts once for each time it is away, and
/// comes back when the last cause is over; a balancer's planned end gives it the longest wait; the seed decides who is
/// struck, and the same seed strikes the same.
#[test]
fn overlapping_faults_strike_once_and_the_same_seed_strikes_the_same() {
    let mut day = day(40, &[0, 0]);
    day.balancers[1].start = 2 * S;
    day.faults = vec![
        fault(FaultKind::Crash, 10 * S, 5 * S, 0.0, &[1, 2]),
        fault(FaultKind::Crash, 13 * S, 9 * S, 0.0, &[2]),
        Fault { part: Some(0.25), ..fault(FaultKind::Crash, 50 * S, 5 * S, 0.0, &[]) },
        fault(FaultKind::Release, 30 * S, S, 2.0, &[4, 5, 6, 7]),
        fault(FaultKind::BalancerRestart, 20 * S, S, 0.0, &[0, 1]),
        fault(FaultKind::Slow, 40 * S, S, 0.5, &[9]),
    ];
    let all = |seed| {
        let mut schedule = FaultSchedule::new(&day, rng(seed));
        let (mut turns, mut at) = (Vec::new(), 0);
        while let Some(due) = schedule.next_due() {
            assert!(due >= at, "out of order");
            at = due;
            let mut some = Vec::new();
            schedule.advance(due, &mut some);
            turns.extend(some.into_iter().map(|turn| (due, turn)));
        }
        (turns, schedule.intervals().to_vec())
    };
    let (turns, bands) = all(1);
    assert_eq!(all(1).0, turns);
    assert_ne!(all(2).1[2].on, bands[2].on, "another seed strikes others");
    assert_eq!(bands[2].on.len(), 10);
    let of = |wanted: FaultEvent| turns.iter().filter(|t| t.1 == wanted).map(|t| t.0).collect::<Vec<_>>();
    let node = |i, turn| of(FaultEvent::Node(NodeId(i), turn));
    if !bands[2].on.contains(&2) {
        assert_eq!(node(2, NodeEvent::Crash), [10 * S], "it was down already");
        let back = node(2, NodeEvent::Start);
        assert!(back.len() == 1 && (22 * S..23 * S).contains(&back[0]), "{back:?}");
    }
    // Two of forty leave at once; the next two when these are back.
    assert_eq!(node(5, NodeEvent::Drain), [30 * S]);
    assert_eq!(node(6, NodeEvent::Drain), [34 * S]);
    assert_eq!(node(6, NodeEvent::Stop), [36 * S]);
    assert!(node(5, NodeEvent::Start)[0] <= node(6, NodeEvent::Drain)[0], "one wave after the other");
    let balancer = |i, turn| of(FaultEvent::Balancer(BalancerId(i), turn));
    assert_eq!(balancer(1, BalancerEvent::Start), [2 * S, 29_400_000]);
    assert_eq!(balancer(0, BalancerEvent::Kill), [23_700_000]);
    assert_eq!(balancer(1, BalancerEvent::Terminate), [24_700_000]);
    assert_eq!(node(9, NodeEvent::Fault { kind: FaultKind::Slow, on: false, size: 0.5 }), [41 * S]);
}
