//! A day in the form that the simulator draws, written for this test: every figure of it must arrive.

use std::path::Path;

use shorewharf_emulator::day::*;
use shorewharf_lab::import::parse;
use shorewharf_lab::scenario;

const DAY: &str = include_str!("drawn.json");

/// A figure that is dropped, or read in the wrong unit, would make the emulator play another day than the simulator
/// did, and the comparison of both would blame the models.
#[test]
fn every_figure_of_a_drawn_day_arrives_in_its_unit() {
    let day = parse(Path::new("days/odd-7.json"), DAY).unwrap();
    assert_eq!((day.name.as_str(), day.seed, day.length, day.tick), ("odd-7", 4242, 50_000_001, 4_000));
    assert_eq!((day.net.same, day.net.cross, day.net.client), (151, 902, 404));
    assert_eq!((day.front.notice, day.discovery.notice, day.discovery.add), (1_500_000, 2_000_000, 700_000));
    assert_eq!(day.traffic.shape, [(0.0, 0.5), (50.0, 1.5)]);
    assert_eq!((day.clients.backoff, day.clients.backoff_first), (Backoff::Fixed, 61_500));
    assert_eq!((day.clients.rejoin, day.clients.move_gap), (300_000, 90_000));
    let c = &day.classes[0];
    assert_eq!(
        (c.set_up, c.aim, c.give_up, c.message_aim, c.change),
        (12_346, 700_000, 2_800_000, 40_000, 11_500_000)
    );
    assert_eq!((day.streams.life, day.streams.message), (21_500_000, 1_875));
    assert_eq!((day.streams.sheds, day.streams.go_away), (ShedPolicy::Newest, DrainPolicy::Paced));
    assert_eq!((day.kinds[1].cold, day.kinds[1].pause_every, day.kinds[1].pause), (15_500_000, 0, 25_300));
    assert_eq!(day.nodes[1], Node { zone: 1, kind: 1, cell: 3, speed: 1.25, weight: 5.5, up: false });
    assert_eq!(day.balancers[1], Balancer { zone: 1, start: 400_000 });
    assert_eq!((day.limits.probe_work, day.limits.probe_cap_per_core), (1_700, 6.5));
    assert_eq!(
        (day.rules.drain_grace, day.rules.fall_for, day.rules.stated_cold),
        (1_000_000, 1_500_000, 21_000_000)
    );
    assert_eq!((day.prices.moves, day.prices.late_fail, day.goal.worst_tenant), (0.01, 0.04, 0.15));
    let kinds: Vec<_> = day.faults.iter().map(|f| (f.kind, f.at, f.len, f.size)).collect();
    assert_eq!(
        kinds,
        [
            (FaultKind::Crash, 7_000_000, 9_000_000, 0.0),
            (FaultKind::ListStale, 12_000_000, 20_000_000, 5.5),
            (FaultKind::Reconnect, 30_000_000, 400_000, 0.4),
        ]
    );
    assert_eq!(day.faults[0].on, [1]);
    // As a scenario file it is the same day, with nothing to be told about it.
    let again =
        scenario::from_text(Path::new("odd-7.toml"), &scenario::show(&day).unwrap(), &[], None).unwrap();
    assert_eq!((again.day, again.warnings), (day, Vec::new()));
}

/// What the models here don't play must not be played as something else.
#[test]
fn a_day_that_can_not_be_played_is_refused_by_its_key() {
    for (from, to, expected) in [
        ("\"kind\":\"reconnect\"", "\"kind\":\"sunspots\"", "troubles[2].kind: sunspots"),
        ("\"pass\":false", "\"pass\":true", "fam.pass"),
        ("\"same\":150.6", "\"same\":\"near\"", "net.same"),
        ("\"family\":\"conn\"", "\"family\":\"cache\"", "family: cache"),
    ] {
        let text = DAY.replacen(from, to, 1);
        assert_ne!(text, DAY, "{from} is not in the day");
        let message = parse(Path::new("odd-7.json"), &text).expect_err(to).to_string();
        assert!(message.contains(expected), "{expected:?} is missing in {message:?}");
    }
}
