//! The command line of the built program: its files, output and exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shorewharf-lab")).args(args).output().expect("the program starts")
}

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn scenario(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    folder.join(name).with_extension("toml").display().to_string()
}

fn path(folder: &TempDir, name: &str) -> String {
    folder.path().join(name).display().to_string()
}

fn json(file: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(file).expect(file)).expect(file)
}

/// Guards against results that depend on the number of threads, and against a `g` that does not follow from
/// the other values of the result.
#[test]
fn result_is_the_same_on_any_number_of_threads_and_g_follows_from_its_other_values() {
    let folder = TempDir::new().unwrap();
    let (one, four) = (path(&folder, "one.json"), path(&folder, "four.json"));
    for (file, threads) in [(&one, "1"), (&four, "4")] {
        let crash = scenario("crash");
        let args =
            ["run", &crash, "--set", "length_s=25", "--seed", "5", "--threads", threads, "--json", file];
        let output = lab(&args);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        assert!(text(&output).contains("rules: all kept"), "{}", text(&output));
    }
    assert_eq!(std::fs::read(&one).unwrap(), std::fs::read(&four).unwrap());
    let run = json(&one);
    let number = |v: &Value| v.as_f64().expect("a number");
    let worst =
        |list: &Value| list.as_array().unwrap().iter().map(|t| number(&t["share"])).fold(1.0, f64::min);
    let costs: f64 = run["prices"].as_array().unwrap().iter().map(|p| number(&p["cost"])).sum();
    let expected = 0.8 * number(&run["whole"])
        + 0.1 * number(&run["worst_window"]["share"])
        + 0.1 * worst(&run["tenants"])
        - costs;
    assert!(
        (number(&run["g"]) - expected).abs() < 1e-9,
        "g is {}, but {expected} follows from the other values",
        run["g"]
    );
    assert_eq!(run["seed"], 5);
    assert!(number(&run["counts"]["set up"]) > 50.0, "{}", run["counts"]);
}

/// Days without servers, clients or length are valid; each has caused a division by zero.
#[test]
fn empty_day_has_a_result_and_a_page() {
    let folder = TempDir::new().unwrap();
    for (name, whole) in [("no-servers", 0.0), ("no-clients", 1.0), ("zero-length", 1.0)] {
        let (file, page) = (path(&folder, "r.json"), path(&folder, "r.html"));
        let output = lab(&["run", &scenario(name), "--json", &file, "--report", &page]);
        assert_eq!(output.status.code(), Some(0), "{name}: {}", text(&output));
        assert_eq!(json(&file)["whole"], whole, "{name}");
        let html = std::fs::read_to_string(&page).unwrap();
        assert!(html.contains("<svg") && html.contains(name) && html.ends_with("</html>\n"), "{name}");
        // The page must not load anything from the network, so that it is complete without one.
        for link in ["src=", "href=", "url(", "@import"] {
            assert!(!html.contains(link), "{name}: the page has {link}");
        }
    }
}

/// A sweep must run each point of its grid with each seed, and a comparison must distinguish a difference
/// from noise.
#[test]
fn sweep_runs_the_whole_grid_and_comparison_distinguishes_a_difference_from_noise() {
    let folder = TempDir::new().unwrap();
    let (file, csv) = (path(&folder, "s.json"), path(&folder, "s.csv"));
    let crash = scenario("crash");
    let grid = ["--set", "traffic.load=0.2,0.4", "--set", "length_s=15", "--seeds", "1..3"];
    let args =
        [&["sweep", &crash], &grid[..], &["--policies", "module,random", "--json", &file, "--csv", &csv]];
    let output = lab(&args.concat());
    assert!(matches!(output.status.code(), Some(0 | 1)), "{}", text(&output));
    let sweep = json(&file);
    let (points, runs) = (sweep["points"].as_array().unwrap(), sweep["runs"].as_array().unwrap());
    assert_eq!((points.len(), runs.len()), (4, 12));
    for (point, runs) in points.iter().zip(runs.chunks(3)) {
        let mean = runs.iter().map(|r| r["g"].as_f64().unwrap()).sum::<f64>() / 3.0;
        assert!((point["mean"].as_f64().unwrap() - mean).abs() < 1e-12, "{point}");
        assert!(runs.iter().all(|r| r["policy"] == point["policy"]), "{point}");
    }
    let rows = std::fs::read_to_string(&csv).unwrap();
    assert_eq!(rows.lines().count(), 13);
    assert!(rows.starts_with("scenario,policy,traffic.load,length_s,seed,g,"), "{rows}");

    let worse = lab(&["compare", &crash, "--policies", "module,random", "--seeds", "1..6"]);
    assert!(text(&worse).contains("6 pairs: B is worse than A by"), "{}", text(&worse));
    let same = lab(&["compare", &crash, &crash, "--seeds", "1..3"]);
    assert!(text(&same).contains("3 pairs: no difference at all"), "{}", text(&same));
    let one = lab(&["compare", &crash, "--policies", "module,random", "--seeds", "1"]);
    assert!(text(&one).contains("one pair says nothing about noise"), "{}", text(&one));
}

/// The comparison with the simulator must read the simulator's results, and must not take them for days.
#[test]
fn fidelity_compares_drawn_days_with_the_results_in_the_same_folder() {
    let folder = TempDir::new().unwrap();
    let drawn = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/drawn.json");
    for (day, g) in [("a", 0.9), ("b", 0.2)] {
        std::fs::copy(&drawn, path(&folder, &format!("{day}.json"))).unwrap();
        let result =
            format!("{{\"g\":{g},\"whole\":0.9,\"worst_window\":0.8,\"worst_tenant\":0.7,\"more\":1}}\n");
        std::fs::write(path(&folder, &format!("{day}.module.sim.json")), result).unwrap();
    }
    let days = folder.path().display().to_string();
    let file = path(&folder, "proof.sim.json");
    let output = lab(&["fidelity", "--days", &days, "--json", &file]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let comparison = json(&file);
    let pairs = comparison["pairs"].as_array().unwrap();
    assert_eq!(pairs.iter().map(|p| &p["simulator"]["g"]).collect::<Vec<_>>(), [0.9, 0.2]);
    assert_eq!(pairs[0]["emulator"], pairs[1]["emulator"]);
    assert_eq!(comparison["nearness"][0][1]["pairs"], 2);
    let missing = lab(&["fidelity", "--days", &days, "--policies", "random"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing).contains("a.random.sim.json: not found; --simulator"), "{}", text(&missing));
}

/// Scripts rely on the exit codes that the help documents, and users on its examples.
#[test]
fn help_shows_examples_and_exit_codes_are_as_documented() {
    let help = lab(&["--help"]);
    assert!(text(&help).contains("Exit codes:"), "{}", text(&help));
    for command in
        ["demo", "run", "sweep", "compare", "load", "report", "import", "check", "show", "fidelity"]
    {
        let help = lab(&[command, "--help"]);
        assert_eq!(help.status.code(), Some(0), "{command}");
        assert!(text(&help).contains("shorewharf-lab"), "{command}: {}", text(&help));
    }
    let calm = scenario("calm");
    let folder = TempDir::new().unwrap();
    let broken = path(&folder, "broken.toml");
    std::fs::write(&broken, "length_s = 1\ntick_ms = 0\n").unwrap();
    let nowhere: PathBuf = folder.path().join("no/such/folder/r.json");
    let nowhere = nowhere.display().to_string();
    let cases: &[(&[&str], i32, &str)] = &[
        (&["check", &calm], 0, "fine"),
        (&["check", &calm, &broken], 1, "broken.toml:2: tick_ms: must be above 0"),
        (&["check", "--strict", &scenario("no-clients")], 1, "no requests arrive"),
        (&["run", &broken], 2, "broken.toml:2: tick_ms"),
        (&["run", "nowhere.toml"], 2, "nowhere.toml"),
        (&["run", &calm, "--policy", "luck"], 2, "random"),
        (&["run", &calm, "--set", "traffic.load=0.1,0.2"], 2, "sweep plays several"),
        (&["sweep", &calm, "--seeds", "9..1"], 2, "9..1"),
        (&["demo", "--balancer", &nowhere], 2, "no such program"),
        (
            &["load", "--balancer", &broken, "--set-ups", "0"],
            2,
            "setups per second: found 0, expected a number above 0",
        ),
        (&["run", &calm, "--set", "length_s=1", "--json", &nowhere], 3, "no/such/folder"),
    ];
    for (args, code, expected) in cases {
        let output = lab(args);
        assert_eq!(output.status.code(), Some(*code), "{args:?}: {}", text(&output));
        assert!(text(&output).contains(expected), "{args:?}: {expected:?} is missing in {}", text(&output));
    }
}
