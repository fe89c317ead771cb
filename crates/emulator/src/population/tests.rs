//! Clients played against balancers of a few lines: who says what to whom is in each test.

use std::collections::BTreeMap;

use rand::SeedableRng;
use serde_json::{Value, json};

use super::client::AbsenceReason;
use super::*;
use crate::day::Backoff;

const S: Micros = 1_000_000;

/// A day of 60 s on ten nodes; `change` overwrites what a test is about.
pub(crate) fn day(change: Value) -> Day {
    let nodes: Vec<_> =
        (0..10).map(|i| json!({"zone": i % 2, "kind": 0, "speed": 10.0, "weight": 1.0})).collect();
    let tenant =
        |name: &str, traffic: f64| json!({"name": name, "share": 0.5, "traffic": traffic, "quota": 0.5});
    let mut whole = json!({
        "name": "t", "about": "a test", "seed": 1, "length_s": 60, "tick_ms": 5, "zones": ["a", "b"],
        "net": {"same_ms": 0.2, "cross_ms": 1, "client_ms": 0.5, "jitter": 0.2}, "front": {"notice_s": 2},
        "discovery": {"notice_s": 2, "silent_notice_s": 8, "add_s": 1, "period_ms": 1000, "spread_ms": 400,
            "lines_per_s": 200, "call_lines": 50, "timeout_s": 1},
        "traffic": {"load": 0.5, "shape": [[0, 1]], "zone_share": [0.75, 0.25], "over_share_worth": 0.1},
        "clients": {"retries": 0, "try_share": 1, "backoff": "none", "backoff_ms": 300, "honour": 1,
            "max_retry_after_s": 1.5, "rejoin_ms": 200, "move_gap_ms": 100, "line_every_s": 2},
        "classes": [{"name": "c", "share": 1, "set_up_ms": 0, "set_up_cv": 0, "attempt_noise": 0, "aim_ms": 800,
            "give_up_ms": 3200, "worth": 1, "message_aim_ms": 50, "load": 1, "life": 1, "load_sigma": 0.5,
            "swing_sigma": 0.5, "change_s": 10, "idle": 0.2}],
        "tenants": [tenant("x", 0.75), tenant("y", 0.25)],
        "streams": {"per_core": 11, "cap": 2, "life_s": 20, "life_sigma": 1, "message_ms": 3, "bursty": 1,
            "buffer_s": 1, "by_joins": 0.5, "sheds": "heaviest", "go_away": "at-once", "group_cost": 1,
            "group_size": 13, "group_zipf": 0.8, "start_skew": 0, "tells_load": true, "tells_delay": true},
        "kinds": [{"name": "k", "cores": 4, "slots": 4, "queue": 4, "thrash": 0, "knee": 1, "cold_from": 0.2,
            "cold_s": 10, "pause_every_s": 0, "pause_ms": 0, "pause_grow": 0, "error_rate": 0}],
        "nodes": nodes, "balancers": [{"zone": 0}],
        "limits": {"probes": true, "cancel": true, "retry_after": true, "max_attempts": 5,
            "connect_timeout_ms": 150, "handshake_rtts": 1, "idle_close_s": 5, "probe_work_ms": 1,
            "probe_timeout_ms": 200, "cpu_us_per_s": 15000, "cores": 1, "memory_mb": 192, "sockets": 1024},
        "rules": {"answer_slack_ms": 20, "drain_grace_s": 1, "fall_multiple": 3, "fall_for_s": 1.5,
            "stated_cold_from": 0.13, "stated_cold_s": 22, "ask_within_s": 10},
        "goal": {"whole": 0.8, "worst_window": 0.1, "worst_class": 0, "worst_tenant": 0.1},
        "prices": {"cross_zone": 0.03, "waste": 0.05, "connection": 0.03, "handshake": 0.03, "probe": 0.002,
            "late_fail": 0.03, "moves": 0.01},
    });
    merge(&mut whole, change);
    serde_json::from_value(whole).expect("a whole day")
}

fn merge(into: &mut Value, change: Value) {
    match (into, change) {
        (Value::Object(into), Value::Object(change)) => {
            change.into_iter().for_each(|(k, v)| merge(into.entry(k).or_insert(Value::Null), v));
        }
        (into, change) => *into = change,
    }
}

/// What happened when a day was played.
#[derive(Default)]
struct Played {
    /// Each connection with its time.
    asks: Vec<(Micros, RequestLine, u32)>,
    leaves: Vec<(Micros, ConnId)>,
    /// Times of new clients, and of those who left for good or were done, or paused.
    wants: Vec<(Micros, bool)>,
    wants_no_more: Vec<Micros>,
    present_at_end: usize,
}

/// Plays a day: each connection hears what `hears` says, at once.
fn play(day: &Day, mut hears: impl FnMut(Micros, &RequestLine) -> Option<ClientInput>) -> Played {
    let mut people = ClientPopulation::new(day, Pcg64Mcg::seed_from_u64(7));
    let mut played = Played::default();
    let mut out = Vec::new();
    let mut faults = day.faults.iter().peekable();
    people.connect_initial_clients(&mut out);
    let mut now = 0;
    loop {
        let mut heard = Vec::new();
        for what in out.drain(..) {
            match what {
                ClientAction::ServiceWanted { first, .. } => played.wants.push((now, first)),
                ClientAction::ServiceNoLongerWanted { .. } => played.wants_no_more.push(now),
                ClientAction::Leave { conn } => played.leaves.push((now, conn)),
                ClientAction::Done { .. } => {}
                ClientAction::Connect { ask, zone, .. } => {
                    played.asks.push((now, ask, zone));
                    let first =
                        if ask.previous_node.is_some() { Some(ClientInput::Up) } else { hears(now, &ask) };
                    heard.extend(first.map(|h| (ask.conn, h)));
                }
            }
        }
        heard.into_iter().for_each(|(conn, h)| people.on_answer(now, conn, h));
        let fault = faults.peek().map(|f| f.at);
        let next = people.next_due().into_iter().chain(fault).min().filter(|t| *t < day.length);
        let Some(at) = next else { break };
        now = at;
        if fault == Some(at) {
            faults.next().into_iter().for_each(|f| people.apply_fault(now, f, &mut out));
        }
        people.advance(now, &mut out);
    }
    played.present_at_end = people.present();
    played
}

fn near(what: &str, found: f64, wanted: f64, by: f64) {
    assert!((found - wanted).abs() <= by * wanted, "{what}: {found}, not {wanted} within {by}");
}

/// Failure: the traffic is not the one that the day's figures say. Promise: numbers at the start, the flow below and
/// above level 1, joins and leaves where the course jumps, and shares by tenant, zone and group are as fitted.
#[test]
fn numbers_follow_the_days_course() {
    let course = json!([[0, 0.5], [20, 0.5], [20.5, 2.0], [40, 2.0], [40.5, 0.5]]);
    let day = day(json!({"traffic": {"shape": course, "load": 0.9}, "streams": {"per_core": 110}}));
    let capacity = capacity(&day);
    let (number, rate) = (0.9 * capacity.connections, 0.9 * capacity.per_s);
    near("capacity", capacity.connections, 400.0 * 110.0 / 1.2, 1e-9);
    let played = play(&day, |_, _| Some(ClientInput::Up));
    let stood = played.asks.iter().filter(|a| a.1.previous_node.is_some()).count() as f64;
    near("standing at the start", stood, number * 0.5f64.sqrt(), 0.0002);
    let came = |from: Micros, to: Micros| {
        played.wants.iter().filter(|w| w.0 > 0 && (from * S / 2..to * S / 2).contains(&w.0)).count() as f64
    };
    near("flow at 0.5", came(0, 40), 20.0 * rate * 0.5, 0.03);
    near("joins", came(40, 41), number * (2.0f64.sqrt() - 0.5f64.sqrt()) + 0.55 * rate, 0.03);
    near("flow at 2", came(41, 80), 19.5 * rate * 2.0f64.sqrt(), 0.03);
    let left = played.wants_no_more.iter().filter(|t| (80 * S / 2..81 * S / 2).contains(t)).count() as f64;
    near("leaves", left, number * (2.0f64.sqrt() - 0.5f64.sqrt()) + 0.6 * rate, 0.05);
    let all = played.asks.len() as f64;
    near("first tenant", played.asks.iter().filter(|a| a.1.tenant == 0).count() as f64, 0.75 * all, 0.01);
    near("second zone", played.asks.iter().filter(|a| a.2 == 1).count() as f64, 0.25 * all, 0.03);
    let mut groups = BTreeMap::new();
    played.asks.iter().for_each(|a| *groups.entry(a.1.group).or_insert(0.0) += 1.0);
    let number = (0.65 * capacity.connections / 13.0).ceil();
    near("groups", groups.len() as f64, number, 0.01);
    let total: f64 = (1..=number as u32).map(|k| (f64::from(k) + 2.0).powf(-0.8)).sum();
    near("largest group", groups.values().copied().fold(0.0, f64::max), all * 3f64.powf(-0.8) / total, 0.1);
}

/// Failure: lives, or what is left of them at the start, are drawn wrongly. Promise: a life is lognormal with the
/// stated mean; the rest of one met under way has the mean of its equilibrium, and is never under half a second.
#[test]
fn lives_have_the_stated_mean() {
    let day = day(json!({"streams": {"life_sigma": 0.5}}));
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let traffic = Traffic::new(&day, &capacity(&day), &mut rng);
    let mut mean = |draw: &mut dyn FnMut(&mut Pcg64Mcg) -> Micros| {
        (0..40_000).map(|_| draw(&mut rng) as f64).sum::<f64>() / 40_000.0 / S as f64
    };
    near("life", mean(&mut |r| traffic.life(0, r)), 20.0, 0.02);
    near("rest", mean(&mut |r| traffic.rest(0, r)), 10.0 * (0.25f64).exp(), 0.02);
}

/// Failure: a client comes back too early or too late. Promise: the measured gaps, by cause and kind of wait; a wait
/// that is heeded is cut to the stated most; many failures in a row lengthen any of them.
#[test]
fn gaps_are_those_measured() {
    let mut clients = day(json!({})).clients;
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let failed = |failures, wait| AbsenceReason::Failed { failures, wait };
    let cases = [
        (Backoff::None, AbsenceReason::Broken, 0, 200),
        (Backoff::None, AbsenceReason::Moved, 50, 150),
        (Backoff::None, failed(1, None), 300, 300),
        (Backoff::None, failed(5, None), 450, 750),
        (Backoff::Fixed, failed(1, None), 1200, 1200),
        (Backoff::Exp, failed(3, None), 1200, 3600),
        (Backoff::Exp, failed(3, Some(500_000)), 500, 500),
        (Backoff::Fixed, failed(1, Some(9_000_000)), 1500, 1500),
        (Backoff::None, failed(1, Some(1_000)), 50, 50),
        (Backoff::None, failed(11, Some(500_000)), 1125, 1875),
    ];
    for (backoff, gap, least, most) in cases {
        clients.backoff = backoff;
        let drawn: Vec<Micros> = (0..2000).map(|_| gap.draw(&clients, &mut rng)).collect();
        let (low, high) =
            (drawn.iter().min().copied().unwrap_or(0), drawn.iter().max().copied().unwrap_or(0));
        let spread = (most - least) * 1000 / 50;
        let right = (least * 1000..=least * 1000 + spread).contains(&low)
            && (most * 1000 - spread..=most * 1000).contains(&high);
        assert!(right, "{backoff:?} {gap:?}: {low} to {high} us, not {least} to {most} ms");
    }
}

/// Failure: clients that nobody answers hang about, or forget what they wanted. Promise: such a client hangs up once
/// its patience and the slack are over, comes again counted from the end of its patience, under the same key and
/// another number, and goes on until its life is over, not longer.
#[test]
fn unanswered_clients_come_again_until_their_life_is_over() {
    let day = day(json!({"traffic": {"load": 0.02}, "streams": {"per_core": 2}}));
    let played = play(&day, |_, _| None);
    let mut tries: BTreeMap<u64, Vec<(Micros, RequestLine)>> = BTreeMap::new();
    played
        .asks
        .iter()
        .filter(|a| a.1.previous_node.is_none())
        .for_each(|a| tries.entry(a.1.key).or_default().push((a.0, a.1)));
    let (at, first) =
        played.asks.iter().find(|a| a.1.previous_node.is_none()).map(|a| (a.0, a.1)).expect("somebody came");
    let gone = played.leaves.iter().find(|l| l.1 == first.conn).expect("it hung up").0;
    assert!(gone <= at + 3_220_000);
    let patient = tries.values().filter(|t| t.len() > 1);
    let mut seen = 0;
    for t in patient {
        assert_eq!(t[1].0 - t[0].0, 3_200_000 + 300_000, "from the end of its patience");
        assert!(t[1].1.is_reconnect && !t[0].1.is_reconnect && t[1].1.conn != t[0].1.conn);
        seen += 1;
    }
    assert!(seen > 5, "{seen} came again");
    let came = played.wants.len() - played.wants_no_more.len();
    assert_eq!(came, played.present_at_end, "all that wanted and don't are gone");
}

/// Failure: a mass reconnect loses clients, or its absence counts against balancers. Promise: the stated share drops at
/// once, each comes again between 0.2 s and 0.2 s plus the fault's length, and asks for nothing meanwhile.
#[test]
fn a_mass_reconnect_drops_its_share_and_brings_all_back() {
    let fault = json!([{"kind": "reconnect", "at_s": 10, "len_s": 2, "size": 0.4}]);
    let day = day(json!({"faults": fault, "traffic": {"load": 0.9}, "streams": {"per_core": 110}}));
    let played = play(&day, |_, _| Some(ClientInput::Up));
    let dropped: Vec<ConnId> = played.leaves.iter().filter(|l| l.0 == 10 * S).map(|l| l.1).collect();
    let present = played.wants.iter().filter(|w| w.0 <= 10 * S).count()
        - played.wants_no_more.iter().filter(|t| **t < 10 * S).count();
    near("dropped", dropped.len() as f64, 0.4 * present as f64, 0.03);
    let back: Vec<Micros> = played.wants.iter().filter(|w| !w.1).map(|w| w.0).collect();
    assert_eq!(back.len(), dropped.len());
    assert!(back.iter().all(|t| (10_200_000..=12_200_000).contains(t)));
}

/// Failure: a tenant that floods counts fully. Promise: beyond its quota only the fitting part of its clients counts
/// as within its share, and the other tenant's all do.
#[test]
fn clients_beyond_their_tenants_share_are_marked() {
    let fault = json!([{"kind": "tenant-flood", "at_s": 0, "len_s": 60, "size": 4, "on": [1]}]);
    let tenants = json!([{"name": "x", "share": 0.5, "traffic": 0.5, "quota": 0.3},
        {"name": "y", "share": 0.5, "traffic": 0.5, "quota": 0.25}]);
    let day = day(json!({"faults": fault, "tenants": tenants, "streams": {"per_core": 110}}));
    let mut people = ClientPopulation::new(&day, Pcg64Mcg::seed_from_u64(7));
    let mut out = Vec::new();
    people.apply_fault(0, &day.faults[0], &mut out);
    people.advance(30 * S, &mut out);
    let mut counts = [[0.0; 2]; 2];
    for what in out {
        if let ClientAction::ServiceWanted { cell, .. } = what {
            let (_, tenant, within) = cell.parts(2);
            counts[tenant as usize][usize::from(within)] += 1.0;
        }
    }
    assert_eq!(counts[0][0], 0.0, "within its share all count");
    near("flood", counts[1][0] + counts[1][1], 4.0 * counts[0][1], 0.05);
    near("within", counts[1][1], 0.25 * (counts[1][0] + counts[1][1]), 0.1);
}
