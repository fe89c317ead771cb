//! Import of a day in the JSON of the simulator. The file was written for this test.

use std::path::Path;

use shorewharf_emulator::day::*;
use shorewharf_lab::import::parse;
use shorewharf_lab::scenario;

const DAY: &str = include_str!("drawn.json");

/// If a value were dropped or read in the wrong unit, emulator and simulator would run different days, and
/// their comparison would show a difference that is not one of the models.
#[test]
fn all_values_of_a_drawn_day_are_imported_in_their_units() {
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
    // Written as a scenario file and read again, the day is the same and has no warnings.
    let reread =
        scenario::from_text(Path::new("odd-7.toml"), &scenario::show(&day).unwrap(), &[], None).unwrap();
    assert_eq!((reread.day, reread.warnings), (day, Vec::new()));
}

/// Values that the emulator does not support must be rejected with their key, not replaced by others.
#[test]
fn an_unsupported_day_is_rejected_with_its_key() {
    for (from, to, expected) in [
        (
            "\"kind\":\"reconnect\"",
            "\"kind\":\"sunspots\"",
            "troubles[2].kind: sunspots is not supported; supported: crash",
        ),
        ("\"pass\":false", "\"pass\":true", "fam.pass"),
        ("\"same\":150.6", "\"same\":\"near\"", "net.same"),
        ("\"family\":\"conn\"", "\"family\":\"cache\"", "family: cache is not supported; supported: conn"),
    ] {
        let text = DAY.replacen(from, to, 1);
        assert_ne!(text, DAY, "the drawn day does not contain {from}");
        let message = parse(Path::new("odd-7.json"), &text).expect_err(to).to_string();
        assert!(message.contains(expected), "{expected:?} is missing in {message:?}");
    }
}
