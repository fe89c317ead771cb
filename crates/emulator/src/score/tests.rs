//! Tests on scores with few events, whose sums can be computed by hand.

use serde_json::json;

use super::*;
use crate::population::tests::day;
use shorewharf_units::seconds_from_micros;

const S: Micros = 1_000_000;
const X: u32 = 0;
const Y: u32 = 1;

fn cell(tenant: u32, within: bool) -> Cell {
    Cell::new(0, tenant, within, 2)
}

/// Guards against a G that differs from its parts: each part and each price must equal the sum computed by hand, the
/// worst window must consist of ten whole seconds, and nothing after the end of the day may count.
#[test]
fn g_is_the_sum_of_its_parts() {
    let day = day(json!({"length_s": 30.5}));
    let mut score = Score::new(&day);
    let (a, b) = (NodeId(3), NodeId(4));
    // Tenant x wants one connection all day. Tenant y wants two from 10 s on, one of them beyond its share.
    score.on_service_wanted(0, cell(X, true), true);
    score.on_established(0, cell(X, true), a, false, 0.0);
    let mut y_started = false;
    // Node a serves well all day, node b not from 10 s to 20 s.
    let served = |at: Micros, node: NodeId| {
        let s = seconds_from_micros(at);
        if node == b { s - (s.min(20.0) - 10.0).max(0.0) } else { s }
    };
    while let Some(due) = score.next_due() {
        if due > 10 * S && !y_started {
            y_started = true;
            for within in [true, false] {
                score.on_service_wanted(10 * S, cell(Y, within), true);
                score.on_established(10 * S, cell(Y, within), b, true, served(10 * S, b));
            }
            score.on_handshake(10 * S);
            score.set_open_pairs(10 * S, 2);
            score.on_attempt(10 * S);
            score.on_probe(10 * S);
            score.on_migration(29 * S);
        }
        score.tick(due, &mut |node, _| served(due, node));
    }
    score.on_migration(31 * S);
    score.on_service_wanted(31 * S, cell(X, true), true);
    score.on_connection_ended(31 * S, cell(X, true), a, false, 31.0);
    let o = score.finish();
    let near = |what: &str, found: f64, wanted: f64| {
        assert!((found - wanted).abs() < 1e-9, "{what}: found {found}, expected {wanted}");
    };
    near("asked", o.all.asked, 30.5 + 20.5 * 1.1);
    near("earned", o.all.earned, 30.5 + 10.5 * 1.1);
    near("x", o.tenants[0].share(), 1.0);
    near("y, within its share", o.tenants[1].asked, 20.5);
    near("worst tenant", o.worst_tenant, 10.5 / 20.5);
    assert_eq!(o.worst_window.from_s, 10);
    near("worst window", o.worst_window.share, 10.0 / 21.0);
    near("cross-zone connections", o.prices.cross_zone.rate, 41.0 / 71.5);
    near("pairs", o.prices.connection.rate, 2.0 * 20.5 / 30.5 / 1000.0);
    near("handshakes", o.prices.handshake.rate, 1.0 / 3.0);
    near("probes", o.prices.probe.cost, 0.002 / 3.0);
    near("moves", o.prices.moves.cost, 0.01 / 3.0);
    assert_eq!((o.clients, o.attempts, o.moves, o.seconds.len()), (3, 1, 1, 31));
    let parts = 0.8 * o.whole + 0.1 * o.worst_window.share + 0.1 * o.worst_tenant;
    near("g", o.g, parts - o.prices.total());
}

/// Guards against connections that are lost or counted twice because they start or end between two sums: the earned
/// value is the integral over the time of each connection.
#[test]
fn short_connections_earn_their_own_time() {
    let day = day(json!({"length_s": 10}));
    let mut score = Score::new(&day);
    let share = 0.5;
    let mut earned = 0.0;
    for i in 0..100u64 {
        let (from, to) = (i * 77_000, i * 77_000 + 130_000 * (1 + i % 9));
        let on = NodeId((i % 3) as u32);
        let at = |t: Micros| share * t as f64 / 1e6;
        score.on_established(from, cell(X, true), on, false, at(from));
        score.on_connection_ended(to, cell(X, true), on, false, at(to));
        earned += at(to.min(10 * S)) - at(from);
    }
    score.on_service_wanted(0, cell(X, true), true);
    while let Some(due) = score.next_due() {
        score.tick(due, &mut |_, _| share * due as f64 / 1e6);
    }
    let found = score.finish().all.earned;
    assert!((found - earned).abs() < 1e-6, "found {found}, expected {earned}");
}
