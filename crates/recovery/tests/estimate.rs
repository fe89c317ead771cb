//! What is learned of servers: each test names what would be believed wrongly.

use proptest::prelude::*;
use shorewharf_decisions::interface::*;
use shorewharf_recovery::estimate::{Estimate, Placed};

/// This balancer has put the same on every server.
struct Put(f64);

impl Placed for Put {
    fn placed(&self, _server: ServerId) -> f64 {
        self.0
    }
}

fn settings() -> Settings {
    let text = br#"{"classes":[{"promise_s":0.5,"semantics":"read_like","worth":1.0}],
        "group_size":2,"me":0,"zone":0,"zones":["z"],"registry_mode":"push","tick_s":0.005,"weights":"nominal",
        "specifics":{"groups":true,"message_aim_s":[0.05],"mode":"proxy"},
        "limits":{"cancel":true,"connect_timeout_s":0.25,"max_attempts":4,"max_retry_after_s":1.0,"retry_after":true},
        "rules":{"ask_within_s":10,"start_capacity":0.2,"warm_within_s":20,"fall_multiple":3,"drain_grace_s":0.5}}"#;
    shorewharf_settings::settings(text).expect("valid settings").0
}

fn entry(id: u64, born: f64) -> ServerEntry {
    ServerEntry {
        server: ServerId(id),
        zone: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 8.0,
        started_at: born,
    }
}

fn list(entries: &[ServerEntry]) -> Event {
    Event::EndpointList { is_complete: true, is_cached: false, entries: entries.to_vec().into() }
}

/// Servers 1 and 2, warm, and a load that was told.
fn known(put: &Put) -> Estimate {
    let mut e = Estimate::new(&settings());
    e.hears(0.0, &list(&[entry(1, 0.0), entry(2, 0.0)]), put);
    e.hears(0.0, &Event::LoadChanged { request: RequestId(0), load: 0.1 }, put);
    e
}

fn bears(e: &Estimate, now: f64, put: &Put, id: u64) -> f64 {
    e.fleet(now, put).servers[&ServerId(id)].bears
}

fn note(e: &mut Estimate, now: f64, put: &Put, delay: f64) {
    e.hears(now, &Event::MessageDelay { server: ServerId(1), delay }, put);
}

#[test]
fn a_growing_pile_tells_the_load_and_a_draining_one_is_no_reason_to_give_way() {
    let put = Put(3.0);
    let mut e = known(&put);
    note(&mut e, 1.0, &put, 0.1);
    note(&mut e, 2.0, &put, 0.3);
    // 20 % a second too much: of two balancers that put 3 there each, it bears 5.
    assert!((bears(&e, 2.0, &put, 1) - 5.0).abs() < 0.01, "{}", bears(&e, 2.0, &put, 1));
    // Nothing more was sent and the pile drains at 15 % a second: the server is not to be kept empty for it.
    let before = bears(&e, 2.0, &put, 1);
    note(&mut e, 3.0, &put, 0.15);
    assert!(bears(&e, 3.0, &put, 1) > before);
    assert!(bears(&e, 3.0, &put, 2) >= 8.0, "nothing was heard of the other one");
}

#[test]
fn silence_at_the_bound_gives_more_and_silence_below_it_nothing() {
    for (put, more) in [(Put(3.4), true), (Put(1.0), false)] {
        let mut e = known(&put);
        for second in 1..=5 {
            e.hears(f64::from(second), &Event::TimerFired(0), &put);
        }
        assert_eq!(bears(&e, 5.0, &put, 1) > 8.5, more, "{}", put.0);
    }
}

#[test]
fn set_ups_that_take_long_lower_the_bound_before_messages_do() {
    // Full enough for times to speak, and below the bound, where silence would raise it.
    let put = Put(2.2);
    let mut e = known(&put);
    for i in 0..60_u32 {
        let (now, server) = (f64::from(i), ServerId(u64::from(i % 2) + 1));
        e.sees(now, &[Action::BeginAttempt { request: RequestId(i), server, timeout: 1.0 }]);
        let took = if server == ServerId(1) { 0.04 } else { 0.02 };
        e.hears(now + took, &Event::Established { request: RequestId(i), attempt: 0 }, &put);
    }
    assert!(bears(&e, 60.0, &put, 1) < 0.9 * bears(&e, 60.0, &put, 2));
}

#[test]
fn a_restarted_server_is_another_one_and_fills_with_its_ramp() {
    let put = Put(0.1);
    let mut e = known(&put);
    note(&mut e, 1.0, &put, 0.1);
    note(&mut e, 2.0, &put, 0.9);
    e.hears(3.0, &list(&[entry(1, 3.0), entry(2, 0.0)]), &put);
    assert!((bears(&e, 3.0, &put, 1) - 0.2 * 8.0).abs() < 1e-9);
    assert!((bears(&e, 13.0, &put, 1) - 0.6 * 8.0).abs() < 1e-9);
}

#[test]
fn nothing_is_told_before_loads_have_a_unit() {
    let put = Put(3.0);
    let (mut e, mut told) = (Estimate::new(&settings()), Vec::new());
    e.hears(0.0, &list(&[entry(1, 0.0)]), &put);
    e.tells(0.0, &mut told);
    assert!(told.is_empty());
    e.hears(1.0, &Event::LoadChanged { request: RequestId(0), load: 0.1 }, &put);
    e.tells(1.0, &mut told);
    assert_eq!(told.len(), 2, "{told:?}");
}

proptest! {
    #[test]
    fn bounds_stay_within_reason_whatever_is_heard(
        heard in prop::collection::vec((0.0..2.0_f64, any::<f64>(), any::<f64>(), 0..4_u8), 1..60),
    ) {
        let mut e = known(&Put(1.0));
        let (mut now, mut told) = (0.0, Vec::new());
        for (pass, x, put, what) in heard {
            now += pass;
            let put = Put(if put.is_finite() { put.abs().min(1e6) } else { 0.0 });
            match what {
                0 => note(&mut e, now, &put, x),
                1 => e.hears(now, &Event::LoadChanged { request: RequestId(0), load: x.min(1e3) }, &put),
                2 => e.hears(now, &list(&[entry(1, if x.is_finite() { x } else { 0.0 })]), &put),
                _ => e.hears(now, &Event::TimerFired(0), &put),
            }
            e.tells(now, &mut told);
            for event in told.drain(..) {
                if let Event::CapacityEstimated { load, setup_rate: entries, .. } = event {
                    prop_assert!(load > 0.0 && load <= 8.0, "{load}");
                    prop_assert!(entries > 0.0 && entries.is_finite(), "{entries}");
                }
            }
        }
    }
}
