//! Scenario files: errors name the line, the key and the allowed values; suspicious values are only warnings.

use std::path::Path;

use shorewharf_lab::scenario::{self, ScenarioError};

fn load(text: &str) -> Result<scenario::Scenario, ScenarioError> {
    scenario::from_text(Path::new("day.toml"), text, &[], None)
}

/// A mistyped key or value must not silently result in another day than intended: each is rejected with its
/// line, its key and the allowed values.
#[test]
fn errors_name_the_line_the_key_and_the_allowed_values() {
    let table: &[(&str, &[&str])] = &[
        ("length_s = 60\ntick_ms = five", &["day.toml:2"]),
        ("\nlenght_s = 60", &["day.toml:2", "lenght_s", "did you mean length_s?"]),
        (
            "length_s = -1",
            &["day.toml:1", "length_s", "-1 is not a valid duration: expected a number from 0 to one year"],
        ),
        (
            "length_s = nan",
            &["day.toml:1", "length_s", "NaN is not a valid duration: expected a number from 0 to one year"],
        ),
        ("[traffic]\nload = \"much\"", &["day.toml:2", "traffic.load", "expected f64"]),
        ("[traffic]\nload = inf", &["day.toml:2", "traffic.load", "must be 0 to 100"]),
        ("[traffic]\nzone_share = [1.0]", &["day.toml:2", "traffic.zone_share", "each of 2 zones, has 1"]),
        ("[clients]\nbackoff = \"slow\"", &["day.toml:2", "clients.backoff", "`none`, `fixed`, `exp`"]),
        (
            "[[kinds]]\nname = \"a\"\n\n[[kinds]]\nname = \"b\"\ncores = 0",
            &["day.toml:6", "kinds[1].cores", "must be 1 to 10000, is 0"],
        ),
        (
            "[[fleet]]\nkind = \"plian\"\ncount = 2",
            &["day.toml:2", "fleet[0].kind", "unknown name plian (did you mean plain?)"],
        ),
        (
            "[[fleet]]\nkind = \"plain\"\ncount = 2\nzones = [\"east\", \"north\"]",
            &["day.toml:4", "fleet[0].zones", "allowed: east, west"],
        ),
        (
            "[[fleet]]\nkind = \"plain\"\nnumber = 2",
            &["day.toml:3", "fleet[0].number", "allowed: kind, count"],
        ),
        (
            "[[faults]]\nkind = \"crash\"\nat_s = 1\non = [3]",
            &["day.toml:4", "faults[0].on[0]", "no node with index 3"],
        ),
        ("[[faults]]\nkind = \"crsh\"\nat_s = 1", &["day.toml:2", "faults[0].kind", "`crash`"]),
        ("[[tenants]]\nname = \"a b\"\nshare = 1", &["day.toml:1", "tenants[0]", "is not a valid name"]),
        ("extends = \"nowhere.toml\"", &["day.toml:1", "extends", "nowhere.toml"]),
        ("extends = \"day.toml\"", &["day.toml:1", "extends itself"]),
    ];
    for (text, expected) in table {
        let message = load(text).expect_err(text).to_string();
        for part in *expected {
            assert!(message.contains(part), "{text:?}: {part:?} is missing in {message:?}");
        }
    }
}

/// The speeds of a fleet must depend on the seed only, absent keys of entries must get their defaults, and
/// the expanded day must be read back as the same day.
#[test]
fn fleet_depends_on_the_seed_only_and_the_expanded_day_reads_back_the_same() {
    let text = "balancers = 3\n[[fleet]]\nkind = \"plain\"\ncount = 5\nspeed = 2.0\nspeed_cv = 0.2\n\
                [[faults]]\nkind = \"cut-off\"\nat_s = 1\nzone = \"west\"";
    let (day, same_seed) = (load(text).unwrap().day, load(text).unwrap().day);
    assert_eq!(day, same_seed);
    assert_eq!(day.nodes.iter().map(|n| n.zone).collect::<Vec<_>>(), [0, 1, 0, 1, 0]);
    assert_eq!(day.balancers.iter().map(|b| b.zone).collect::<Vec<_>>(), [0, 1, 0]);
    assert_eq!(day.faults[0].zone, Some(1));
    assert!(day.nodes.iter().all(|n| n.weight == 8.0 && n.speed != 2.0), "{:?}", day.nodes);
    let other_seed = scenario::from_text(Path::new("day.toml"), text, &[], Some(2)).unwrap().day;
    assert_ne!(day.nodes, other_seed.nodes);
    let shown = scenario::show(&day).unwrap();
    assert_eq!(load(&shown).unwrap().day, day, "{shown}");
}

/// If `--set` changed nothing, or another entry than the named one, a sweep would compare noise.
#[test]
fn set_option_changes_the_entry_it_names() {
    let text = "[[kinds]]\nname = \"a\"\n[[kinds]]\nname = \"b\"\n[[fleet]]\nkind = \"a\"\ncount = 1";
    let set = |key: &str, value: &str| {
        scenario::from_text(Path::new("day.toml"), text, &[(key.into(), value.into())], None)
    };
    assert_eq!(set("fleet[0].count", "3").unwrap().day.nodes.len(), 3);
    let day = set("kinds.b.cores", "7").unwrap().day;
    assert_eq!((day.kinds[0].cores, day.kinds[1].cores), (4, 7));
    let day = set("kinds.*.cores", "9").unwrap().day;
    assert_eq!((day.kinds[0].cores, day.kinds[1].cores), (9, 9));
    assert_eq!(set("traffic.shape", "[[0,1],[30,2]]").unwrap().day.traffic.shape[1], (30.0, 2.0));
    for (key, value, expected) in [
        ("kinds.c.cores", "7", "no entry c; the entries are a, b"),
        ("kinds.b.coers", "7", "did you mean cores?"),
        ("trafic.load", "7", "unknown key trafic; allowed: "),
        ("traffic.load", "much", "--set traffic.load: traffic.load: invalid type"),
    ] {
        let message = set(key, value).expect_err(key).to_string();
        assert!(message.contains(expected), "{expected:?} is missing in {message:?}");
    }
}

/// All scenarios of the repository must be valid. Empty days, and only those, have warnings.
#[test]
fn all_scenarios_of_the_repository_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    // Trials are in a subfolder, with days that extend these scenarios.
    files.retain(|f| f.is_file());
    files.sort();
    assert!(files.len() >= 12);
    for file in files {
        let scenario = scenario::load(&file, &[], None).unwrap_or_else(|e| panic!("{e}"));
        let name = file.file_stem().unwrap().to_str().unwrap();
        assert_eq!(scenario.day.name, name);
        let empty = ["no-servers", "no-clients", "zero-length"].contains(&name);
        assert_eq!(empty, !scenario.warnings.is_empty(), "{name}: {:?}", scenario.warnings);
    }
}
