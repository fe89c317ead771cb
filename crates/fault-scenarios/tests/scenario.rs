//! The keys of scenario files are a stable interface: each key is read into its field, whatever the field's name is.

use shorewharf_fault_scenarios::{
    ConnectionBound, Expectations, FaultKind, InjectedFault, Interval, RateBound, Scenario, Selection,
    ServedBound,
};

const ALL_KEYS: &str = r#"
about = "every key"
day = "day.toml"
together = true

[[breaks]]
what = "notes-late"
at_s = 1.5
len_s = 2.5
by_ms = 3.5
balancers = { on = [1, 2], zone = "a", part = 0.5 }
others = { on = [3] }

[[breaks]]
what = "silent"
at_s = 4
len_s = 5
nodes = { zone = "b" }

[promises]
rules = false
served = 0.9
served_within = [{ from_s = 1, to_s = 2, least = 0.8 }]
load_most = 0.95
over_mean_most = 1.5
under_mean_least = 0.25
set_ups_most = 3.0
set_ups_within = { per_s = 10, over = 4, from_s = 6 }
holds_most = [{ tenant = "acme", most = 7, from_s = 8 }]
settled_s = [[10, 20], [30, 40]]
window_s = 3
idle_s = 6
"#;

fn selection(on: Option<Vec<u32>>, zone: Option<&str>, part: Option<f64>) -> Selection {
    Selection { indices: on, zone: zone.map(str::to_owned), fraction: part }
}

#[test]
fn every_key_is_read_into_its_field() {
    let scenario = Scenario::read(ALL_KEYS).expect("all keys are known");
    let late = InjectedFault {
        kind: FaultKind::GossipDelayed,
        at_s: 1.5,
        duration_s: 2.5,
        delay_ms: Some(3.5),
        balancers: selection(Some(vec![1, 2]), Some("a"), Some(0.5)),
        nodes: None,
        gossip_peers: Some(selection(Some(vec![3]), None, None)),
    };
    let silent = InjectedFault {
        kind: FaultKind::HalfOpen,
        at_s: 4.0,
        duration_s: 5.0,
        delay_ms: None,
        balancers: Selection::default(),
        nodes: Some(selection(None, Some("b"), None)),
        gossip_peers: None,
    };
    let expectations = Expectations {
        rules: false,
        min_served: Some(0.9),
        served_within: vec![ServedBound { from_s: 1.0, to_s: 2.0, min: 0.8 }],
        max_load: Some(0.95),
        max_over_mean: Some(1.5),
        min_under_mean: Some(0.25),
        max_setup_burst: Some(3.0),
        setup_rate: Some(RateBound { per_second: 10.0, burst: 4.0, from_s: 6.0 }),
        max_connections: vec![ConnectionBound { tenant: "acme".to_owned(), max: 7.0, from_s: 8.0 }],
        settled: vec![Interval { from_s: 10.0, to_s: 20.0 }, Interval { from_s: 30.0, to_s: 40.0 }],
        window_s: 3.0,
        idle_s: 6.0,
    };
    let expected = Scenario {
        about: "every key".to_owned(),
        day: "day.toml".to_owned(),
        gossip: true,
        budgets: None,
        faults: vec![late, silent],
        expectations,
    };
    assert_eq!(scenario, expected);
    let budgets =
        Scenario::read("about = \"a\"\nday = \"d\"\n[budgets]\nlease_s = 2").expect("a scenario").budgets;
    assert_eq!(budgets.expect("there are budgets")["lease_s"].as_integer(), Some(2));
}

#[test]
fn every_kind_of_fault_is_read_under_its_name() {
    for (text, kind) in [
        ("refused", FaultKind::ConnectionsRefused),
        ("silent", FaultKind::HalfOpen),
        ("answers-lost", FaultKind::AnswersLost),
        ("reset", FaultKind::ConnectionsReset),
        ("slow", FaultKind::AnswersDelayed),
        ("news-lost", FaultKind::EndpointListLost),
        ("notes-lost", FaultKind::GossipLost),
        ("notes-doubled", FaultKind::GossipDuplicated),
        ("notes-late", FaultKind::GossipDelayed),
        ("stall", FaultKind::ProcessStopped),
        ("store-silent", FaultKind::StoreSilent),
        ("store-refused", FaultKind::StoreRefused),
        ("store-answers-lost", FaultKind::StoreAnswersLost),
        ("store-emptied", FaultKind::StoreEmptied),
    ] {
        let delay = match kind {
            FaultKind::AnswersDelayed => "by_ms = 1",
            FaultKind::GossipDelayed => "by_ms = 1",
            _ => "",
        };
        let budgets = if text.starts_with("store") { "[budgets]" } else { "" };
        let together = text.starts_with("notes");
        let file = format!(
            "about = \"a\"\nday = \"d\"\ntogether = {together}\n[[breaks]]\nwhat = \"{text}\"\nat_s = 1\nlen_s = 1\n{delay}\n{budgets}\n"
        );
        assert_eq!(Scenario::read(&file).expect(text).faults[0].kind, kind);
        assert_eq!(kind.label(), text.replace('-', ""), "its name in records");
    }
}

#[test]
fn every_fault_scenario_of_the_repository_can_be_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/trials");
    let mut read = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of fault scenarios") {
        let path = entry.expect("an entry").path();
        // The same folder contains the files of their days, which have another format.
        let is_day = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("day-"));
        if !is_day {
            let text = std::fs::read_to_string(&path).expect("a fault scenario");
            Scenario::read(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
            read += 1;
        }
    }
    assert!(read > 10, "only {read} fault scenarios");
}
