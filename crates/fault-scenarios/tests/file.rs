//! The keys of a trial's file are the operators': each is read into its field, under the name that it always had.

use shorewharf_fault_scenarios::{Band, Group, Holds, Kind, Promises, Rift, Trial, Within};

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

fn group(on: Option<Vec<u32>>, zone: Option<&str>, part: Option<f64>) -> Group {
    Group { on, zone: zone.map(str::to_owned), part }
}

#[test]
fn every_key_is_read_into_its_field() {
    let trial = Trial::read(ALL_KEYS).expect("all keys are known");
    let late = Rift {
        what: Kind::NotesLate,
        at_s: 1.5,
        len_s: 2.5,
        by_ms: Some(3.5),
        balancers: group(Some(vec![1, 2]), Some("a"), Some(0.5)),
        nodes: None,
        others: Some(group(Some(vec![3]), None, None)),
    };
    let silent = Rift {
        what: Kind::Silent,
        at_s: 4.0,
        len_s: 5.0,
        by_ms: None,
        balancers: Group::default(),
        nodes: Some(group(None, Some("b"), None)),
        others: None,
    };
    let promises = Promises {
        rules: false,
        served: Some(0.9),
        served_within: vec![Band { from_s: 1.0, to_s: 2.0, least: 0.8 }],
        load_most: Some(0.95),
        over_mean_most: Some(1.5),
        under_mean_least: Some(0.25),
        set_ups_most: Some(3.0),
        set_ups_within: Some(Within { per_s: 10.0, over: 4.0, from_s: 6.0 }),
        holds_most: vec![Holds { tenant: "acme".to_owned(), most: 7.0, from_s: 8.0 }],
        settled_s: vec![(10.0, 20.0), (30.0, 40.0)],
        window_s: 3.0,
        idle_s: 6.0,
    };
    let expected = Trial {
        about: "every key".to_owned(),
        day: "day.toml".to_owned(),
        together: true,
        budgets: None,
        rifts: vec![late, silent],
        promises,
    };
    assert_eq!(trial, expected);
    let budgets = Trial::read("about = \"a\"\nday = \"d\"\n[budgets]\nlease_s = 2").expect("a trial").budgets;
    assert_eq!(budgets.expect("there are budgets")["lease_s"].as_integer(), Some(2));
}

#[test]
fn every_kind_of_break_is_read_under_its_name() {
    for (text, kind) in [
        ("refused", Kind::Refused),
        ("silent", Kind::Silent),
        ("answers-lost", Kind::AnswersLost),
        ("reset", Kind::Reset),
        ("slow", Kind::Slow),
        ("news-lost", Kind::NewsLost),
        ("notes-lost", Kind::NotesLost),
        ("notes-doubled", Kind::NotesDoubled),
        ("notes-late", Kind::NotesLate),
        ("stall", Kind::Stall),
        ("store-silent", Kind::StoreSilent),
        ("store-refused", Kind::StoreRefused),
        ("store-answers-lost", Kind::StoreAnswersLost),
        ("store-emptied", Kind::StoreEmptied),
    ] {
        let needs = match kind {
            Kind::Slow => "by_ms = 1",
            Kind::NotesLate => "by_ms = 1",
            _ => "",
        };
        let around = if text.starts_with("store") { "[budgets]" } else { "" };
        let together = text.starts_with("notes");
        let file = format!(
            "about = \"a\"\nday = \"d\"\ntogether = {together}\n[[breaks]]\nwhat = \"{text}\"\nat_s = 1\nlen_s = 1\n{needs}\n{around}\n"
        );
        assert_eq!(Trial::read(&file).expect(text).rifts[0].what, kind);
    }
}

#[test]
fn every_trial_of_the_repository_is_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/trials");
    let mut read = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of trials") {
        let path = entry.expect("an entry").path();
        // The days that trials are played on stand beside them, in a form of their own.
        let is_day = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("day-"));
        if !is_day {
            let text = std::fs::read_to_string(&path).expect("a trial");
            Trial::read(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
            read += 1;
        }
    }
    assert!(read > 10, "only {read} trials");
}
