//! Evaluates expectations with constructed observations: each expectation is broken only by the observation that it
//! forbids.

use shorewharf_emulator::audit::{Reason, RuleViolation, Verdict as AuditVerdict};
use shorewharf_emulator::edge::{BalancerId, NodeId};
use shorewharf_emulator::sockets::network_faults::{NetworkFault, NetworkFaultKind};
use shorewharf_emulator::world::series::NodeSeries;
use shorewharf_fault_scenarios::{
    Expectations, Observations, Scenario, ScenarioError, WeightedRequests, evaluate,
};

const STEP: WeightedRequests = WeightedRequests { requested: 10.0, served: 9.0 };

const HEAD: &str = "about = \"a\"\nday = \"d.toml\"\n";

fn expectations(text: &str) -> Expectations {
    Scenario::read(&format!("{HEAD}[promises]\n{text}")).expect("a scenario").expectations
}

fn node(load: &[f32]) -> NodeSeries {
    NodeSeries { load: load.to_vec(), takes: vec![true; load.len()], ..NodeSeries::default() }
}

fn broken(observed: &Observations<'_>, text: &str) -> Vec<String> {
    let all = evaluate(&expectations(text), observed);
    all.into_iter().filter(|v| !v.is_met).map(|v| v.expectation).collect()
}

fn observations<'a>(
    rules: &'a AuditVerdict,
    nodes: &'a [NodeSeries],
    faults: &'a [NetworkFault],
) -> Observations<'a> {
    Observations {
        rules,
        served: 0.9,
        weighted_requests: &[STEP; 12],
        step_s: 1.0,
        nodes,
        setups: &[],
        tenants: &[],
        max_connections: &[],
        slot_s: 0.2,
        crashes: Vec::new(),
        faults,
    }
}

#[test]
fn bounds_of_loads_hold_only_in_settled_parts_of_the_day() {
    let rules = AuditVerdict::default();
    let even = [node(&[0.5; 12]), node(&[0.5; 12]), node(&[0.4; 12])];
    let all = "load_most = 0.8\nover_mean_most = 1.5\nunder_mean_least = 0.5\nsettled_s = [[2, 10]]";
    assert_eq!(broken(&observations(&rules, &even, &[]), all), [""; 0]);
    // A peak of one second does not break a bound, and neither does one before the day has settled.
    let mut peak = even.clone();
    peak[0].load[5] = 1.05;
    peak[1].load[0] = 9.0;
    assert_eq!(broken(&observations(&rules, &peak, &[]), all), [""; 0]);
    peak[0].load[6] = 1.05;
    assert_eq!(broken(&observations(&rules, &peak, &[]), all), ["load_most", "over_mean_most"]);
    let mut idle = even.clone();
    idle[2].load[4..6].fill(0.0);
    assert_eq!(broken(&observations(&rules, &idle, &[]), all), [""; 0], "two seconds of five");
    idle[2].load[2..9].fill(0.0);
    assert_eq!(broken(&observations(&rules, &idle, &[]), all), ["under_mean_least"]);
    // A node that does not accept clients may be idle.
    idle[2].takes[2..9].fill(false);
    assert_eq!(broken(&observations(&rules, &idle, &[]), all), [""; 0]);
    assert_eq!(
        broken(&observations(&rules, &[], &[]), all),
        ["load_most", "over_mean_most", "under_mean_least"]
    );
}

#[test]
fn a_burst_exceeds_a_multiple_of_an_even_share_which_is_at_least_one() {
    let rules = AuditVerdict::default();
    let mut observed = observations(&rules, &[], &[]);
    let slots = [vec![3, 0, 0, 0], vec![8, 6, 5, 5], vec![7, 1, 0, 0]]; // Even shares of 1, 6 and 2.
    observed.setups = &slots[..2];
    assert_eq!(broken(&observed, "set_ups_most = 3"), [""; 0]);
    observed.setups = &slots;
    assert_eq!(broken(&observed, "set_ups_most = 3"), ["set_ups_most"]);
    assert_eq!(broken(&observed, "set_ups_most = 3.5"), [""; 0]);
}

#[test]
fn served_shares_and_crashes_are_compared_with_the_observations() {
    let rules = AuditVerdict::default();
    let mut observed = observations(&rules, &[], &[]);
    assert_eq!(
        broken(&observed, "served = 0.9\nserved_within = [{ from_s = 3, to_s = 5, least = 0.9 }]"),
        [""; 0]
    );
    assert_eq!(broken(&observed, "served = 0.91"), ["served"]);
    let mut steps = [STEP; 12];
    steps[4].served = 0.0;
    observed.weighted_requests = &steps;
    assert_eq!(
        broken(&observed, "served_within = [{ from_s = 3, to_s = 5, least = 0.5 }]"),
        ["served from 3 to 5 s"]
    );
    assert_eq!(broken(&observed, "served_within = [{ from_s = 5, to_s = 9, least = 0.9 }]"), [""; 0]);
    assert_eq!(
        broken(&observed, "served_within = [{ from_s = 50, to_s = 90, least = 0.9 }]").len(),
        1,
        "no requests"
    );
    observed.crashes = vec!["balancer 3: signal 6".to_owned()];
    assert_eq!(broken(&observed, ""), ["processes"]);
}

#[test]
fn only_violations_that_a_fault_explains_are_excused() {
    let by = |reason, at, balancer, node| {
        let rule = Reason::rule(reason);
        let (conn, detail, trace) = (None, String::new(), Vec::new());
        let one = RuleViolation { rule, reason, at, balancer, conn, node, detail, trace };
        AuditVerdict { reasons: [(reason, 1)].into(), breaks: vec![one], ..AuditVerdict::default() }
    };
    let between = |what| {
        let (balancers, nodes) = (vec![BalancerId(1)], vec![NodeId(2)]);
        [NetworkFault {
            kind: what,
            from: 5_000_000,
            to: 7_000_000,
            balancers,
            nodes,
            gossip_receivers: Vec::new(),
        }]
    };
    let is_excused =
        |rules: &AuditVerdict, what| broken(&observations(rules, &[], &between(what)), "").is_empty();
    for (what, reason, at, balancer, node, excused) in [
        (NetworkFaultKind::ProcessStopped, Reason::NoAnswer, 6_000_000, 1, None, true),
        (NetworkFaultKind::ProcessStopped, Reason::NoAnswer, 6_000_000, 2, None, false),
        (NetworkFaultKind::ProcessStopped, Reason::NoAnswer, 9_000_000, 1, None, false),
        (NetworkFaultKind::ProcessStopped, Reason::LineHeld, 8_000_000, 1, Some(4), true),
        // A stop does not excuse the content of what the balancer sends after it continues.
        (NetworkFaultKind::ProcessStopped, Reason::SentToDraining, 7_100_000, 1, Some(2), false),
        (NetworkFaultKind::ProcessStopped, Reason::SecondCopy, 7_100_000, 1, Some(2), false),
        (NetworkFaultKind::ProcessStopped, Reason::Forged, 7_100_000, 1, Some(2), false),
        (NetworkFaultKind::HalfOpen, Reason::LineHeld, 6_000_000, 1, Some(2), true),
        (NetworkFaultKind::HalfOpen, Reason::LineHeld, 6_000_000, 1, Some(3), false),
        (NetworkFaultKind::HalfOpen, Reason::NoAnswer, 6_000_000, 1, Some(2), false),
        (NetworkFaultKind::HalfOpen, Reason::SilentKept, 6_000_000, 1, Some(2), false),
        (NetworkFaultKind::ConnectionsReset, Reason::CutOff, 6_000_000, 1, Some(2), false),
        (NetworkFaultKind::EndpointListLost, Reason::SentToDraining, 12_000_000, 1, Some(2), true),
        (NetworkFaultKind::EndpointListLost, Reason::SentToDraining, 14_000_000, 1, Some(2), false),
        (NetworkFaultKind::EndpointListLost, Reason::SentToDraining, 6_000_000, 2, Some(2), false),
        (NetworkFaultKind::EndpointListLost, Reason::NoAnswer, 6_000_000, 1, None, false),
    ] {
        let rules = by(reason, at, balancer, node);
        assert_eq!(
            is_excused(&rules, what),
            excused,
            "{what:?} {reason:?} at {at} by {balancer} on {node:?}"
        );
    }
    let rules = by(Reason::NoAnswer, 1, 1, None);
    assert_eq!(broken(&observations(&rules, &[], &[]), "rules = false"), [""; 0]);
}

#[test]
fn setup_rates_hold_in_windows_of_every_length_and_connection_bounds_in_every_second() {
    let rules = AuditVerdict::default();
    let mut observed = observations(&rules, &[], &[]);
    let within = "set_ups_within = { per_s = 10, over = 4 }";
    assert_eq!(broken(&observed, within), ["set_ups_within"], "no setups");
    // Two setups in each slot of 0.2 s are ten per second.
    let even = vec![vec![1, 1]; 150];
    observed.setups = &even;
    assert_eq!(broken(&observed, within), [""; 0]);
    let burst = [&even[..70], &[vec![4, 3]], &even[..70]].concat();
    observed.setups = &burst;
    assert_eq!(
        broken(&observed, within),
        ["set_ups_within"],
        "seven in a slot that allows two plus a burst of four"
    );
    assert_eq!(broken(&observed, "set_ups_within = { per_s = 10, over = 4, from_s = 20 }"), [""; 0]);
    // A small excess for a long time: five setups in every two slots.
    let long: Vec<Vec<u32>> = (0..150).map(|i| vec![1, 1 + i % 2]).collect();
    observed.setups = &long;
    assert_eq!(broken(&observed, within), ["set_ups_within"]);
    let (tenants, held) =
        (["a".to_owned(), "b".to_owned()], [vec![3.0, 8.0], vec![4.0, 9.0], vec![9.0, 1.0]]);
    (observed.tenants, observed.max_connections) = (&tenants, &held);
    assert_eq!(broken(&observed, "holds_most = [{ tenant = \"b\", most = 9 }]"), [""; 0]);
    assert_eq!(broken(&observed, "holds_most = [{ tenant = \"b\", most = 8 }]"), ["holds_most b"]);
    assert_eq!(broken(&observed, "holds_most = [{ tenant = \"b\", most = 8, from_s = 2 }]"), [""; 0]);
    assert_eq!(broken(&observed, "holds_most = [{ tenant = \"c\", most = 8 }]"), ["holds_most c"]);
}

#[test]
fn an_invalid_file_is_rejected_with_the_key_or_the_line() {
    let fault = |text: &str| Scenario::read(&format!("{HEAD}[[breaks]]\n{text}"));
    for (text, words) in [
        ("what = \"odd\"\nat_s = 1\nlen_s = 1", "unknown variant `odd`"),
        ("what = \"odd\"\nat_s = 1\nlen_s = 1", "line 4"),
        ("what = \"silent\"\nat = 1", "unknown field `at`"),
        ("what = \"silent\"\nat_s = -1\nlen_s = 1", "breaks[0].at_s: must be from 0"),
        ("what = \"silent\"\nat_s = 1", "breaks[0].len_s: must be greater than 0"),
        ("what = \"slow\"\nat_s = 1\nlen_s = 1", "breaks[0].by_ms: is missing"),
        ("what = \"stall\"\nat_s = 1\nlen_s = 1\nby_ms = 3", "breaks[0].by_ms: does not apply"),
        ("what = \"stall\"\nat_s = 1\nlen_s = 1\nnodes = { part = 0.5 }", "breaks[0].nodes: does not apply"),
        ("what = \"reset\"\nat_s = nan", "breaks[0].at_s"),
        ("what = \"store-silent\"\nat_s = 1\nlen_s = 1", "breaks[0].what: needs [budgets]"),
    ] {
        let error = fault(text).expect_err(text).to_string();
        assert!(error.contains(words), "{error}");
    }
    let unsettled = Scenario::read(&format!("{HEAD}[promises]\nload_most = 0.9"));
    assert!(
        matches!(unsettled, Err(ScenarioError::InvalidValue { ref key, .. }) if key == "promises.settled_s"),
        "{unsettled:?}"
    );
    assert!(fault("what = \"reset\"\nat_s = 1").is_ok());
}
