//! Tests of the client population. Each test states how its balancers answer requests.

use std::collections::BTreeMap;

use rand::SeedableRng;
use serde_json::{Value, json};

use super::client::AbsenceReason;
use super::*;
use crate::day::Backoff;

const S: Micros = 1_000_000;

/// A day of 60 s on ten nodes, with the values in `change` in place of its own.
pub(crate) fn day(change: Value) -> Day {
    let nodes: Vec<_> =
        (0..10).map(|i| json!({"zone": i % 2, "kind": 0, "speed": 10.0, "weight": 1.0})).collect();
    let tenant =
        |name: &str, traffic: f64| json!({"name": name, "share": 0.5, "traffic": traffic, "quota": 0.5});
    let mut day = json!({
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
    merge(&mut day, change);
    serde_json::from_value(day).expect("the changed day is valid")
}

fn merge(into: &mut Value, change: Value) {
    match (into, change) {
        (Value::Object(into), Value::Object(change)) => {
            change.into_iter().for_each(|(k, v)| merge(into.entry(k).or_insert(Value::Null), v));
        }
        (into, change) => *into = change,
    }
}

/// The actions of all clients in a run, with their times.
#[derive(Default)]
struct Recording {
    /// The time, the request and the zone of each connection.
    requests: Vec<(Micros, RequestLine, u32)>,
    /// The times at which clients closed connections, and the connections.
    leaves: Vec<(Micros, ConnId)>,
    /// The times at which clients began to want service, and whether they were new.
    service_wanted: Vec<(Micros, bool)>,
    /// The times at which clients ceased to want service: at the end of their lifetime or in a pause.
    service_no_longer_wanted: Vec<Micros>,
    present_at_end: usize,
}

/// Runs a day. Each request is answered at once with what `answer` returns for it.
fn play(day: &Day, mut answer: impl FnMut(Micros, &RequestLine) -> Option<ClientInput>) -> Recording {
    let mut population = ClientPopulation::new(day, Pcg64Mcg::seed_from_u64(7));
    let mut recording = Recording::default();
    let mut out = Vec::new();
    let mut faults = day.faults.iter().peekable();
    population.connect_initial_clients(&mut out);
    let mut now = 0;
    loop {
        let mut answers = Vec::new();
        for what in out.drain(..) {
            match what {
                ClientAction::ServiceWanted { first, .. } => recording.service_wanted.push((now, first)),
                ClientAction::ServiceNoLongerWanted { .. } => recording.service_no_longer_wanted.push(now),
                ClientAction::Leave { conn } => recording.leaves.push((now, conn)),
                ClientAction::Done { .. } => {}
                ClientAction::Connect { ask, zone, .. } => {
                    recording.requests.push((now, ask, zone));
                    let first =
                        if ask.previous_node.is_some() { Some(ClientInput::Up) } else { answer(now, &ask) };
                    answers.extend(first.map(|h| (ask.conn, h)));
                }
            }
        }
        answers.into_iter().for_each(|(conn, h)| population.on_answer(now, conn, h));
        let fault = faults.peek().map(|f| f.at);
        let next = population.next_due().into_iter().chain(fault).min().filter(|t| *t < day.length);
        let Some(at) = next else { break };
        now = at;
        if fault == Some(at) {
            faults.next().into_iter().for_each(|f| population.apply_fault(now, f, &mut out));
        }
        population.advance(now, &mut out);
    }
    recording.present_at_end = population.present();
    recording
}

fn assert_close(what: &str, found: f64, expected: f64, tolerance: f64) {
    assert!(
        (found - expected).abs() <= tolerance * expected,
        "{what}: found {found}, expected {expected} within a ratio of {tolerance}"
    );
}

/// The traffic must match the day's parameters: the number of clients at the start, the arrival rate below
/// and above level 1, the arrivals and departures while the curve is steep, and the shares by tenant, zone
/// and group are those of the fitted formulas.
#[test]
fn client_counts_and_rates_follow_the_traffic_curve() {
    let curve = json!([[0, 0.5], [20, 0.5], [20.5, 2.0], [40, 2.0], [40.5, 0.5]]);
    let day = day(json!({"traffic": {"shape": curve, "load": 0.9}, "streams": {"per_core": 110}}));
    let capacity = capacity(&day);
    let (number, rate) = (0.9 * capacity.connections, 0.9 * capacity.per_s);
    assert_close("capacity", capacity.connections, 400.0 * 110.0 / 1.2, 1e-9);
    let recording = play(&day, |_, _| Some(ClientInput::Up));
    let initial = recording.requests.iter().filter(|a| a.1.previous_node.is_some()).count() as f64;
    assert_close("clients at the start", initial, number * 0.5f64.sqrt(), 0.0002);
    let arrivals = |from: Micros, to: Micros| {
        recording
            .service_wanted
            .iter()
            .filter(|w| w.0 > 0 && (from * S / 2..to * S / 2).contains(&w.0))
            .count() as f64
    };
    assert_close("arrivals at level 0.5", arrivals(0, 40), 20.0 * rate * 0.5, 0.03);
    assert_close(
        "arrivals in the rise",
        arrivals(40, 41),
        number * (2.0f64.sqrt() - 0.5f64.sqrt()) + 0.55 * rate,
        0.03,
    );
    assert_close("arrivals at level 2", arrivals(41, 80), 19.5 * rate * 2.0f64.sqrt(), 0.03);
    let departures =
        recording.service_no_longer_wanted.iter().filter(|t| (80 * S / 2..81 * S / 2).contains(t)).count()
            as f64;
    assert_close(
        "departures in the fall",
        departures,
        number * (2.0f64.sqrt() - 0.5f64.sqrt()) + 0.6 * rate,
        0.05,
    );
    let all = recording.requests.len() as f64;
    assert_close(
        "first tenant",
        recording.requests.iter().filter(|a| a.1.tenant == 0).count() as f64,
        0.75 * all,
        0.01,
    );
    assert_close(
        "second zone",
        recording.requests.iter().filter(|a| a.2 == 1).count() as f64,
        0.25 * all,
        0.03,
    );
    let mut groups = BTreeMap::new();
    recording.requests.iter().for_each(|a| *groups.entry(a.1.group).or_insert(0.0) += 1.0);
    let number = (0.65 * capacity.connections / 13.0).ceil();
    assert_close("groups", groups.len() as f64, number, 0.01);
    let total: f64 = (1..=number as u32).map(|k| (f64::from(k) + 2.0).powf(-0.8)).sum();
    assert_close(
        "largest group",
        groups.values().copied().fold(0.0, f64::max),
        all * 3f64.powf(-0.8) / total,
        0.1,
    );
}

/// Lifetimes, and the remaining lifetimes at the start, must be drawn from the right distributions: a
/// lifetime has the configured mean, and the remaining lifetime of a present client has the mean of the
/// equilibrium distribution.
#[test]
fn lifetimes_have_the_configured_mean() {
    let day = day(json!({"streams": {"life_sigma": 0.5}}));
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let traffic = Traffic::new(&day, &capacity(&day), &mut rng);
    let mut mean = |draw: &mut dyn FnMut(&mut Pcg64Mcg) -> Micros| {
        (0..40_000).map(|_| draw(&mut rng) as f64).sum::<f64>() / 40_000.0 / S as f64
    };
    assert_close("lifetime", mean(&mut |r| traffic.draw_lifetime(0, r)), 20.0, 0.02);
    assert_close(
        "remaining lifetime",
        mean(&mut |r| traffic.draw_remaining_lifetime(0, r)),
        10.0 * (0.25f64).exp(),
        0.02,
    );
}

/// Clients must not reconnect too early or too late. The delays are those measured, by reason and backoff; an
/// honoured retry-after time is limited to the configured maximum; many consecutive failures lengthen every
/// delay.
#[test]
fn reconnect_delays_are_as_measured() {
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
    for (backoff, reason, least, most) in cases {
        clients.backoff = backoff;
        let drawn: Vec<Micros> = (0..2000).map(|_| reason.draw(&clients, &mut rng)).collect();
        let (low, high) =
            (drawn.iter().min().copied().unwrap_or(0), drawn.iter().max().copied().unwrap_or(0));
        let spread = (most - least) * 1000 / 50;
        let right = (least * 1000..=least * 1000 + spread).contains(&low)
            && (most * 1000 - spread..=most * 1000).contains(&high);
        assert!(right, "{backoff:?} {reason:?}: {low} to {high} us, not {least} to {most} ms");
    }
}

/// Clients without an answer must neither wait for ever nor give up early. Such a client closes its
/// connection after its timeout and the answer slack, reconnects after a delay that counts from its timeout,
/// with the same key and another connection number, and continues until the end of its lifetime.
#[test]
fn unanswered_clients_reconnect_until_the_end_of_their_lifetime() {
    let day = day(json!({"traffic": {"load": 0.02}, "streams": {"per_core": 2}}));
    let recording = play(&day, |_, _| None);
    let mut attempts: BTreeMap<u64, Vec<(Micros, RequestLine)>> = BTreeMap::new();
    recording
        .requests
        .iter()
        .filter(|a| a.1.previous_node.is_none())
        .for_each(|a| attempts.entry(a.1.key).or_default().push((a.0, a.1)));
    let (at, first) = recording
        .requests
        .iter()
        .find(|a| a.1.previous_node.is_none())
        .map(|a| (a.0, a.1))
        .expect("a client arrived");
    let closed =
        recording.leaves.iter().find(|l| l.1 == first.conn).expect("the client closed its connection").0;
    assert!(closed <= at + 3_220_000);
    let repeated = attempts.values().filter(|t| t.len() > 1);
    let mut reconnected = 0;
    for t in repeated {
        assert_eq!(t[1].0 - t[0].0, 3_200_000 + 300_000, "the delay counts from the timeout");
        assert!(t[1].1.is_reconnect && !t[0].1.is_reconnect && t[1].1.conn != t[0].1.conn);
        reconnected += 1;
    }
    assert!(reconnected > 5, "{reconnected} clients reconnected");
    let still_wanting = recording.service_wanted.len() - recording.service_no_longer_wanted.len();
    assert_eq!(
        still_wanting, recording.present_at_end,
        "the clients that still want service are those present"
    );
}

/// A mass reconnect must not lose clients, and their absence must not count against balancers. The configured
/// share of clients disconnects at once, each reconnects after 0.2 s to 0.2 s plus the fault's length, and
/// wants no service meanwhile.
#[test]
fn a_mass_reconnect_disconnects_its_share_and_all_reconnect() {
    let fault = json!([{"kind": "reconnect", "at_s": 10, "len_s": 2, "size": 0.4}]);
    let day = day(json!({"faults": fault, "traffic": {"load": 0.9}, "streams": {"per_core": 110}}));
    let recording = play(&day, |_, _| Some(ClientInput::Up));
    let dropped: Vec<ConnId> = recording.leaves.iter().filter(|l| l.0 == 10 * S).map(|l| l.1).collect();
    let present = recording.service_wanted.iter().filter(|w| w.0 <= 10 * S).count()
        - recording.service_no_longer_wanted.iter().filter(|t| **t < 10 * S).count();
    assert_close("disconnected", dropped.len() as f64, 0.4 * present as f64, 0.03);
    let back: Vec<Micros> = recording.service_wanted.iter().filter(|w| !w.1).map(|w| w.0).collect();
    assert_eq!(back.len(), dropped.len());
    assert!(back.iter().all(|t| (10_200_000..=12_200_000).contains(t)));
}

/// The clients of a flooding tenant must not all count as within its share: of a tenant above its quota, only
/// the proportion that fits the quota does, and of a tenant below its quota all do.
#[test]
fn clients_beyond_their_tenants_quota_are_marked() {
    let fault = json!([{"kind": "tenant-flood", "at_s": 0, "len_s": 60, "size": 4, "on": [1]}]);
    let tenants = json!([{"name": "x", "share": 0.5, "traffic": 0.5, "quota": 0.3},
        {"name": "y", "share": 0.5, "traffic": 0.5, "quota": 0.25}]);
    let day = day(json!({"faults": fault, "tenants": tenants, "streams": {"per_core": 110}}));
    let mut population = ClientPopulation::new(&day, Pcg64Mcg::seed_from_u64(7));
    let mut out = Vec::new();
    population.apply_fault(0, &day.faults[0], &mut out);
    population.advance(30 * S, &mut out);
    let mut counts = [[0.0; 2]; 2];
    for what in out {
        if let ClientAction::ServiceWanted { cell, .. } = what {
            let (_, tenant, within) = cell.parts(2);
            counts[tenant as usize][usize::from(within)] += 1.0;
        }
    }
    assert_eq!(counts[0][0], 0.0, "all clients of a tenant below its quota count as within its share");
    assert_close("clients of the flooding tenant", counts[1][0] + counts[1][1], 4.0 * counts[0][1], 0.05);
    assert_close("clients within the share", counts[1][1], 0.25 * (counts[1][0] + counts[1][1]), 0.1);
}
