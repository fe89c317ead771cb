//! A small day that the tests of the environment share, and the tests of discovery and of the fault schedule.

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{BalancerId, Listed, NodeId, Stage, ToBalancer};
use crate::environment::{BalancerEvent, Discovery, FaultEvent, FaultSchedule, NodeEvent};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

/// A day without faults: `nodes` nodes in its only zone 0, and one balancer for each zone in `balancers`.
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
    .expect("the day is valid")
}

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn fault(kind: FaultKind, at: u64, len: u64, size: f64, on: &[u32]) -> Fault {
    Fault { kind, at, len, size, on: on.to_vec(), zone: None, part: None }
}

/// The messages that discovery sent to balancers and the entries that it published, with their times.
#[derive(Default)]
struct Outputs {
    messages: Vec<(u64, BalancerId, ToBalancer)>,
    written: Vec<(u64, Listed)>,
}

/// Runs discovery up to `end`.
fn play(discovery: &mut Discovery, end: u64, outputs: &mut Outputs) {
    let (mut to, mut written) = (Vec::new(), Vec::new());
    while let Some(at) = discovery.next_due().filter(|&at| at <= end) {
        discovery.advance(at, &mut to, &mut written);
        outputs.messages.extend(to.drain(..).map(|(b, message)| (at, b, message)));
        outputs.written.extend(written.drain(..).map(|l| (at, l)));
    }
}

const S: u64 = 1_000_000;

/// More balancers call at once than discovery can serve in time. It serves as many as it can and rejects the
/// others at once at a small cost. The response times are those measured in the simulator: 0.25, 0.50 and
/// 0.75 s, and 0.5123 s for a rejected balancer that calls again at 0.5002 s.
#[test]
fn calls_are_served_in_order_and_excess_calls_are_rejected_at_once() {
    let day = day(14, &[0, 0, 0, 0]);
    let mut discovery = Discovery::new(&day, rng(1), rng(2));
    (0..4).for_each(|b| discovery.watch(0, BalancerId(b)));
    let mut outputs = Outputs::default();
    play(&mut discovery, 500_200, &mut outputs);
    discovery.watch(500_200, BalancerId(3));
    discovery.fetch(10 * S, BalancerId(0));
    play(&mut discovery, 20 * S, &mut outputs);
    let times: Vec<(u64, u32, bool)> = outputs
        .messages
        .iter()
        .map(|(at, b, message)| (*at, b.0, matches!(message, ToBalancer::List { .. })))
        .collect();
    let round_trip = 2_000;
    assert_eq!(
        times,
        [
            (round_trip, 3, false),
            (250_000 + round_trip, 0, true),
            (500_000 + round_trip, 1, true),
            (750_000 + round_trip, 2, true),
            (1_012_500 + round_trip, 3, true),
            // The full list costs one line per entry.
            (10 * S + 320_000 + round_trip, 0, true),
        ]
    );
    assert!(
        matches!(&outputs.messages[5].2, ToBalancer::List { full: true, entries } if entries.len() == 14)
    );
}

/// Processes end and restart while the list is written once a second, and discovery is stale for 11 s.
/// Each change is written at a multiple of the period, after the delay that the day states plus the delay of
/// the staleness, and at the latest when the staleness ends. A process that restarts before its end is
/// detected is never listed as gone.
#[test]
fn changes_are_listed_after_their_delay_and_later_while_discovery_is_stale() {
    let day = day(4, &[0]);
    let mut discovery = Discovery::new(&day, rng(5), rng(6));
    let mut outputs = Outputs::default();
    discovery.watch(0, BalancerId(0));
    let stale = fault(FaultKind::ListStale, 0, 0, 4.0, &[]);
    let node = |discovery: &mut Discovery, at, i, event| discovery.on_node_event(at, NodeId(i), event);
    node(&mut discovery, S, 0, NodeEvent::Crash);
    node(&mut discovery, S, 1, NodeEvent::Crash);
    node(&mut discovery, S + 300_000, 1, NodeEvent::Start);
    play(&mut discovery, 10 * S, &mut outputs);
    discovery.apply_fault(10 * S, &stale, true);
    node(&mut discovery, 10 * S, 0, NodeEvent::Start);
    play(&mut discovery, 18 * S, &mut outputs);
    node(&mut discovery, 18 * S, 2, NodeEvent::Crash);
    play(&mut discovery, 21 * S - 1, &mut outputs);
    discovery.apply_fault(21 * S - 1, &stale, false);
    node(&mut discovery, 30 * S, 3, NodeEvent::Fault { kind: FaultKind::CutOff, on: true, size: 0.0 });
    play(&mut discovery, 60 * S, &mut outputs);

    let written: Vec<(u64, u32, Stage)> =
        outputs.written.iter().map(|(at, l)| (at / S, l.node.0, l.stage)).collect();
    assert!(
        outputs.written.iter().all(|(at, _)| at % S == 0),
        "the list is written at multiples of the period"
    );
    let find = |node, stage| written.iter().find(|w| (w.1, w.2) == (node, stage)).map(|w| w.0);
    assert!((3..=4).contains(&find(0, Stage::Gone).expect("the crash of node 0 is listed")), "{written:?}");
    assert_eq!(find(1, Stage::Gone), None, "node 1 restarted before its end was detected");
    assert!(
        (2..=3).contains(&find(1, Stage::Ready).expect("the restart of node 1 is listed")),
        "{written:?}"
    );
    assert!(
        (15..=16).contains(
            &find(0, Stage::Ready).expect("the restart of node 0 is listed after the 4 s of staleness")
        ),
        "{written:?}"
    );
    assert_eq!(find(2, Stage::Gone), Some(21), "the crash of node 2 is listed when the staleness ends");
    assert!(
        (37..=40).contains(&find(3, Stage::Gone).expect("the network loss of node 3 is listed")),
        "{written:?}"
    );
    let born = outputs.written.iter().filter(|(_, l)| l.stage == Stage::Ready).map(|(_, l)| l.started_at);
    assert_eq!(born.collect::<Vec<_>>(), [Some(S + 300_000), Some(10 * S)]);
    // The watcher got every version, each after the work of writing it and at most the spread.
    let delays: Vec<u64> = outputs.messages.iter().skip(1).map(|(at, ..)| at % S).collect();
    assert!(delays.len() >= 5 && delays.iter().all(|delay| (10_000..=70_000).contains(delay)), "{delays:?}");
}

/// Discovery publishes versions faster than it can send updates, so that watchers fall behind; a watcher
/// dies; then the service goes down. A watcher that is one version behind gets the changes and one that is
/// further behind the full list; both lead to the published list. Watches break with a failure, and a
/// balancer that restarts knows the version that it was sent last.
#[test]
fn watchers_that_fall_behind_get_the_full_list_and_a_restart_keeps_the_old_list() {
    let mut day = day(60, &[0; 12]);
    day.discovery.period = 1_000;
    day.discovery.timeout = 60 * S;
    let mut discovery = Discovery::new(&day, rng(7), rng(8));
    let mut outputs = Outputs::default();
    (0..12).for_each(|b| discovery.watch(0, BalancerId(b)));
    play(&mut discovery, 10 * S, &mut outputs);
    for i in 0..40 {
        discovery.on_node_event(10 * S, NodeId(i), NodeEvent::Crash);
    }
    play(&mut discovery, 12 * S, &mut outputs);
    discovery.on_balancer_exit(BalancerId(11));
    play(&mut discovery, 20 * S, &mut outputs);
    discovery.on_node_event(20 * S, NodeId(50), NodeEvent::Crash);
    play(&mut discovery, 25 * S, &mut outputs);
    let mut lists = vec![discovery.known_list(BalancerId(11)); 12];
    let stale_list = lists[11].len();
    assert!(
        (21..60).contains(&stale_list),
        "{stale_list} entries: balancer 11 died before it got all updates"
    );
    let (mut full, mut changes) = (0, 0);
    for list in lists.iter_mut().take(11) {
        *list = (0..60).map(|i| Listed { node: NodeId(i), stage: Stage::Ready, started_at: None }).collect();
    }
    for (_, b, message) in &outputs.messages {
        let ToBalancer::List { full: all, entries } = message else {
            panic!("discovery is up, yet it sent {message:?}")
        };
        let list = &mut lists[b.0 as usize];
        if *all {
            full += 1;
            *list = entries.clone();
        } else if !entries.is_empty() {
            changes += 1;
        }
        list.retain(|l| !entries.iter().any(|e| e.node == l.node && e.stage == Stage::Gone));
    }
    assert!(full > 50 && changes >= 11, "{full} full lists, {changes} updates with changes");
    assert!(lists.iter().take(11).all(|l| *l == discovery.list() && l.len() == 19));

    let down = fault(FaultKind::ListDown, 0, 0, 0.0, &[]);
    outputs.messages.clear();
    discovery.apply_fault(30 * S, &down, true);
    discovery.watch(31 * S, BalancerId(0));
    play(&mut discovery, 32 * S, &mut outputs);
    assert!(outputs.messages.len() == 12 && outputs.messages.iter().all(|t| t.2 == ToBalancer::ListFailed));
    discovery.apply_fault(33 * S, &down, false);
    discovery.watch(34 * S, BalancerId(0));
    discovery.on_node_event(34 * S, NodeId(0), NodeEvent::Start);
    outputs.messages.clear();
    play(&mut discovery, 40 * S, &mut outputs);
    assert_eq!(
        outputs.messages.len(),
        2,
        "balancer 0 gets the response and one update, the others had no watch left"
    );
}

/// Faults overlap on the same machines. A node stops and starts once per outage and restarts when the last of
/// its faults is over. A terminating balancer is killed only after the longest client timeout. The affected
/// machines depend on the seed, and the same seed gives the same schedule.
#[test]
fn overlapping_faults_cause_one_outage_and_a_seed_gives_one_schedule() {
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
        let (mut events, mut at) = (Vec::new(), 0);
        while let Some(due) = schedule.next_due() {
            assert!(due >= at, "event at {due} follows one at {at}");
            at = due;
            let mut due_events = Vec::new();
            schedule.advance(due, &mut due_events);
            events.extend(due_events.into_iter().map(|event| (due, event)));
        }
        (events, schedule.intervals().to_vec())
    };
    let (events, intervals) = all(1);
    assert_eq!(all(1).0, events);
    assert_ne!(all(2).1[2].on, intervals[2].on, "another seed affects other nodes");
    assert_eq!(intervals[2].on.len(), 10);
    let of = |wanted: FaultEvent| events.iter().filter(|t| t.1 == wanted).map(|t| t.0).collect::<Vec<_>>();
    let node = |i, event| of(FaultEvent::Node(NodeId(i), event));
    if !intervals[2].on.contains(&2) {
        assert_eq!(node(2, NodeEvent::Crash), [10 * S], "the second crash finds the node down");
        let back = node(2, NodeEvent::Start);
        assert!(back.len() == 1 && (22 * S..23 * S).contains(&back[0]), "{back:?}");
    }
    // A release stops two of forty nodes at once, and the next two when these are back.
    assert_eq!(node(5, NodeEvent::Drain), [30 * S]);
    assert_eq!(node(6, NodeEvent::Drain), [34 * S]);
    assert_eq!(node(6, NodeEvent::Stop), [36 * S]);
    assert!(
        node(5, NodeEvent::Start)[0] <= node(6, NodeEvent::Drain)[0],
        "the second wave begins before the first is back"
    );
    let balancer = |i, event| of(FaultEvent::Balancer(BalancerId(i), event));
    assert_eq!(balancer(1, BalancerEvent::Start), [2 * S, 29_400_000]);
    assert_eq!(balancer(0, BalancerEvent::Kill), [23_700_000]);
    assert_eq!(balancer(1, BalancerEvent::Terminate), [24_700_000]);
    assert_eq!(node(9, NodeEvent::Fault { kind: FaultKind::Slow, on: false, size: 0.5 }), [41 * S]);
}
