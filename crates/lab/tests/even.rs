//! The command `even`: its measurements of policies whose order is known, and its errors on invalid input.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

fn trials() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/trials")
}

fn even(trial: &Path, args: &[&str]) -> Output {
    let lab = env!("CARGO_BIN_EXE_shorewharf-lab");
    Command::new(lab).arg("even").arg(trial).args(args).output().expect("the lab starts")
}

/// Runs `even` with three seeds and returns the runs of its JSON.
fn runs_of(args: &[&str]) -> Vec<Value> {
    let args = [&["--json", "-", "--seeds", "1..3"], args].concat();
    let output = even(&trials().join("few-nodes.toml"), &args);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn gossip_spreads_load_more_evenly_than_the_module_alone_and_the_module_more_than_random() {
    let runs = runs_of(&["--policies", "random,module,module-told"]);
    assert_eq!(runs.len(), 9);
    let mean = |policy: &str, field: &str| {
        let of_policy = runs.iter().filter(|r| r["policy"] == policy);
        of_policy.map(|r| r[field].as_f64().expect("a number")).sum::<f64>() / 3.0
    };
    let load = |policy| mean(policy, "load_most");
    assert!(load("module-told") + 0.1 < load("module"), "{runs:?}");
    assert!(load("module") + 0.05 < load("random"), "{runs:?}");
    // With gossip no node is left idle; without it, a node that has the first rank at no balancer stays
    // empty.
    assert!(mean("module-told", "under_mean_least") > mean("module", "under_mean_least") + 0.2, "{runs:?}");
}

#[test]
fn runs_with_gossip_do_not_depend_on_the_number_of_threads() {
    let policies = ["--policies", "module-told"];
    let (one, many) = (runs_of(&[&policies[..], &["--threads", "1"]].concat()), runs_of(&policies));
    assert_eq!(one, many);
}

#[test]
fn trial_without_settled_time_and_unknown_policy_are_rejected_by_name() {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("trial.toml");
    let day = trials().join("day-small.toml");
    fs::write(&file, format!("about = \"a\"\nday = \"{}\"\n", day.display())).expect("written");
    let output = even(&file, &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("promises.settled_s"), "{output:?}");
    let output = even(&trials().join("even.toml"), &["--policies", "best"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("two-choices"), "{output:?}");
}
