//! What is learned of servers: each test names what would be believed wrongly.

use proptest::prelude::*;
use shorewharf_decisions::interface::{
    Action, Event, RequestId, ServerEntry, ServerId, ServerState, Settings,
};
use shorewharf_recovery::capacity_estimate::{CapacityEstimator, LocalLoad};

/// This balancer has the same load on every server.
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

/// An estimator that knows servers 1 and 2, warm, and was told of a load.
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
fn a_growing_backlog_tells_the_load_and_a_draining_one_is_no_reason_to_give_way() {
    let load = SameLoad(3.0);
    let mut estimator = estimator_with_two_servers(&load);
    report_delay(&mut estimator, 1.0, &load, 0.1);
    report_delay(&mut estimator, 2.0, &load, 0.3);
    // 20 % a second too much: of two balancers that load 3 there each, it bears 5.
    assert!(
        (capacity(&estimator, 2.0, &load, 1) - 5.0).abs() < 0.01,
        "{}",
        capacity(&estimator, 2.0, &load, 1)
    );
    // Nothing more was sent and the backlog drains at 15 % a second: the server is not to be kept empty for it.
    let before = capacity(&estimator, 2.0, &load, 1);
    report_delay(&mut estimator, 3.0, &load, 0.15);
    assert!(capacity(&estimator, 3.0, &load, 1) > before);
    assert!(capacity(&estimator, 3.0, &load, 2) >= 8.0, "nothing was heard of the other one");
}

#[test]
fn silence_at_the_bound_gives_more_and_silence_below_it_nothing() {
    for (load, more) in [(SameLoad(3.4), true), (SameLoad(1.0), false)] {
        let mut estimator = estimator_with_two_servers(&load);
        for second in 1..=5 {
            estimator.observe_event(f64::from(second), &Event::TimerFired(0), &load);
        }
        assert_eq!(capacity(&estimator, 5.0, &load, 1) > 8.5, more, "{}", load.0);
    }
}

#[test]
fn set_ups_that_take_long_lower_the_bound_before_messages_do() {
    // Full enough for times to speak, and below the bound, where silence would raise it.
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
fn a_restarted_server_is_another_one_and_fills_with_its_ramp() {
    let load = SameLoad(0.1);
    let mut estimator = estimator_with_two_servers(&load);
    report_delay(&mut estimator, 1.0, &load, 0.1);
    report_delay(&mut estimator, 2.0, &load, 0.9);
    estimator.observe_event(3.0, &endpoint_list(&[entry(1, 3.0), entry(2, 0.0)]), &load);
    assert!((capacity(&estimator, 3.0, &load, 1) - 0.2 * 8.0).abs() < 1e-9);
    assert!((capacity(&estimator, 13.0, &load, 1) - 0.6 * 8.0).abs() < 1e-9);
}

#[test]
fn nothing_is_told_before_loads_have_a_unit() {
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
    fn bounds_stay_within_reason_whatever_is_heard(
        heard in prop::collection::vec((0.0..2.0_f64, any::<f64>(), any::<f64>(), 0..4_u8), 1..60),
    ) {
        let mut estimator = estimator_with_two_servers(&SameLoad(1.0));
        let (mut now, mut announced) = (0.0, Vec::new());
        for (pass, x, load, what) in heard {
            now += pass;
            let load = SameLoad(if load.is_finite() { load.abs().min(1e6) } else { 0.0 });
            match what {
                0 => report_delay(&mut estimator, now, &load, x),
                1 => estimator.observe_event(now, &Event::LoadChanged { request: RequestId(0), load: x.min(1e3) }, &load),
                2 => estimator.observe_event(now, &endpoint_list(&[entry(1, if x.is_finite() { x } else { 0.0 })]), &load),
                _ => estimator.observe_event(now, &Event::TimerFired(0), &load),
            }
            estimator.announce(now, &mut announced);
            for event in announced.drain(..) {
                if let Event::CapacityEstimated { load, setup_rate: entries, .. } = event {
                    prop_assert!(load > 0.0 && load <= 8.0, "{load}");
                    prop_assert!(entries > 0.0 && entries.is_finite(), "{entries}");
                }
            }
        }
    }
}
