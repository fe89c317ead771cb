//! Capacity estimates learned from message delays, setup times and the absence of delay reports.

use proptest::prelude::*;
use shorewharf_decisions::interface::{
    Action, Event, RequestId, ServerEntry, ServerId, ServerState, Settings,
};
use shorewharf_recovery::capacity_estimate::{CapacityEstimator, LocalLoad};

/// A local load that is the same on every server.
struct SameLoad(f64);

impl LocalLoad for SameLoad {
    fn local_load(&self, _server: ServerId) -> f64 {
        self.0
    }
}

fn settings() -> Settings {
    let text = br#"{"classes":[{"promise_s":0.5,"semantics":"read_like","worth":1.0}],
        "group_size":2,"me":0,"zone":0,"zones":["z"],"registry_mode":"push","tick_s":0.005,"weights":"nominal",
        "specifics":{"groups":true,"message_aim_s":[0.05],"mode":"proxy"},
        "limits":{"cancel":true,"connect_timeout_s":0.25,"max_attempts":4,"max_retry_after_s":1.0,"retry_after":true},
        "rules":{"ask_within_s":10,"start_capacity":0.2,"warm_within_s":20,"fall_multiple":3,"drain_grace_s":0.5}}"#;
    shorewharf_settings::parse(text).expect("valid settings").settings
}

fn entry(id: u64, started_at: f64) -> ServerEntry {
    ServerEntry { server: ServerId(id), zone: 0, cell: 0, state: ServerState::Ready, weight: 8.0, started_at }
}

fn endpoint_list(entries: &[ServerEntry]) -> Event {
    Event::EndpointList { is_complete: true, is_cached: false, entries: entries.to_vec().into() }
}

/// An estimator with two warm servers, 1 and 2, that has received one load report.
fn estimator_with_two_servers(load: &SameLoad) -> CapacityEstimator {
    let mut estimator = CapacityEstimator::new(&settings());
    estimator.observe_event(0.0, &endpoint_list(&[entry(1, 0.0), entry(2, 0.0)]), load);
    estimator.observe_event(0.0, &Event::LoadChanged { request: RequestId(0), load: 0.1 }, load);
    estimator
}

fn capacity(estimator: &CapacityEstimator, now: f64, load: &SameLoad, id: u64) -> f64 {
    estimator.fleet(now, load).servers[&ServerId(id)].capacity
}

fn report_delay(estimator: &mut CapacityEstimator, now: f64, load: &SameLoad, delay: f64) {
    estimator.observe_event(now, &Event::MessageDelay { server: ServerId(1), delay }, load);
}

#[test]
fn a_growing_backlog_determines_the_capacity_and_a_shrinking_one_does_not_reduce_it() {
    let load = SameLoad(3.0);
    let mut estimator = estimator_with_two_servers(&load);
    report_delay(&mut estimator, 1.0, &load, 0.1);
    report_delay(&mut estimator, 2.0, &load, 0.3);
    // The backlog grows by 20 % of the capacity per second under a load of 3 from each of two balancers, so that the
    // capacity is 5.
    assert!(
        (capacity(&estimator, 2.0, &load, 1) - 5.0).abs() < 0.01,
        "{}",
        capacity(&estimator, 2.0, &load, 1)
    );
    // The backlog shrinks by 15 % of the capacity per second: a server that works off its backlog keeps its load.
    let before = capacity(&estimator, 2.0, &load, 1);
    report_delay(&mut estimator, 3.0, &load, 0.15);
    assert!(capacity(&estimator, 3.0, &load, 1) > before);
    assert!(capacity(&estimator, 3.0, &load, 2) >= 8.0, "no delay was reported for server 2");
}

#[test]
fn the_capacity_grows_without_delay_reports_only_at_the_load_limit() {
    for (load, grows) in [(SameLoad(3.4), true), (SameLoad(1.0), false)] {
        let mut estimator = estimator_with_two_servers(&load);
        for second in 1..=5 {
            estimator.observe_event(f64::from(second), &Event::TimerFired(0), &load);
        }
        assert_eq!(capacity(&estimator, 5.0, &load, 1) > 8.5, grows, "load {}", load.0);
    }
}

#[test]
fn long_setups_lower_the_capacity_before_any_delay_report() {
    // High enough for setup times to count, but below the load limit, where the capacity would grow.
    let load = SameLoad(2.2);
    let mut estimator = estimator_with_two_servers(&load);
    for i in 0..60_u32 {
        let (now, server) = (f64::from(i), ServerId(u64::from(i % 2) + 1));
        estimator
            .observe_actions(now, &[Action::BeginAttempt { request: RequestId(i), server, timeout: 1.0 }]);
        let took = if server == ServerId(1) { 0.04 } else { 0.02 };
        estimator.observe_event(now + took, &Event::Established { request: RequestId(i), attempt: 0 }, &load);
    }
    assert!(capacity(&estimator, 60.0, &load, 1) < 0.9 * capacity(&estimator, 60.0, &load, 2));
}

#[test]
fn a_restarted_server_loses_its_learned_capacity_and_follows_slow_start() {
    let load = SameLoad(0.1);
    let mut estimator = estimator_with_two_servers(&load);
    report_delay(&mut estimator, 1.0, &load, 0.1);
    report_delay(&mut estimator, 2.0, &load, 0.9);
    estimator.observe_event(3.0, &endpoint_list(&[entry(1, 3.0), entry(2, 0.0)]), &load);
    assert!((capacity(&estimator, 3.0, &load, 1) - 0.2 * 8.0).abs() < 1e-9);
    assert!((capacity(&estimator, 13.0, &load, 1) - 0.6 * 8.0).abs() < 1e-9);
}

#[test]
fn nothing_is_announced_before_the_first_load_report() {
    let load = SameLoad(3.0);
    let (mut estimator, mut announced) = (CapacityEstimator::new(&settings()), Vec::new());
    estimator.observe_event(0.0, &endpoint_list(&[entry(1, 0.0)]), &load);
    estimator.announce(0.0, &mut announced);
    assert!(announced.is_empty());
    estimator.observe_event(1.0, &Event::LoadChanged { request: RequestId(0), load: 0.1 }, &load);
    estimator.announce(1.0, &mut announced);
    assert_eq!(announced.len(), 2, "{announced:?}");
}

proptest! {
    #[test]
    fn announced_estimates_stay_within_their_range_for_any_events(
        events in prop::collection::vec((0.0..2.0_f64, any::<f64>(), any::<f64>(), 0..4_u8), 1..60),
    ) {
        let mut estimator = estimator_with_two_servers(&SameLoad(1.0));
        let (mut now, mut announced) = (0.0, Vec::new());
        for (pause, value, load, kind) in events {
            now += pause;
            let load = SameLoad(if load.is_finite() { load.abs().min(1e6) } else { 0.0 });
            match kind {
                0 => report_delay(&mut estimator, now, &load, value),
                1 => {
                    let load_report = Event::LoadChanged { request: RequestId(0), load: value.min(1e3) };
                    estimator.observe_event(now, &load_report, &load);
                }
                2 => {
                    let started_at = if value.is_finite() { value } else { 0.0 };
                    estimator.observe_event(now, &endpoint_list(&[entry(1, started_at)]), &load);
                }
                _ => estimator.observe_event(now, &Event::TimerFired(0), &load),
            }
            estimator.announce(now, &mut announced);
            for event in announced.drain(..) {
                if let Event::CapacityEstimated { load, setup_rate, .. } = event {
                    prop_assert!(load > 0.0 && load <= 8.0, "load {load}");
                    prop_assert!(setup_rate > 0.0 && setup_rate.is_finite(), "setup rate {setup_rate}");
                }
            }
        }
    }
}
