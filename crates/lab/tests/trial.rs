//! Trials with processes on sockets: the balancer meets the expectations of the small trials under all
//! network faults, and deliberately faulty programs do not.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::Duration;

use tempfile::TempDir;

/// The lab's exit code of a run that is void since the machine was too busy. It is also that of a system error.
const VOID: i32 = 3;
/// The maximum number of runs of a trial until one is valid.
const MAX_RUNS: u32 = 5;
/// The pause after the first void run; later ones are longer by this.
const PAUSE_AFTER_VOID: Duration = Duration::from_secs(10);

/// Held during a run, so that the processes of other trials don't make its driver late.
static RUN: Mutex<()> = Mutex::new(());

fn trials() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/trials")
}

/// Runs a trial while no other one runs.
fn run_once(args: &[&str]) -> Output {
    // The lock protects no data, so a panic of another test does not matter.
    let _run = RUN.lock().unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(env!("CARGO_BIN_EXE_shorewharf-lab")).arg("trial").args(args).output();
    output.expect("the lab starts")
}

/// Runs a trial, and repeats it after a pause while its run is void.
fn run_trial(args: &[&str]) -> Output {
    let mut reasons = Vec::new();
    for run in 1..=MAX_RUNS {
        let output = run_once(args);
        if output.status.code() != Some(VOID) {
            return output;
        }
        reasons.push(String::from_utf8_lossy(&output.stderr).into_owned());
        if run < MAX_RUNS {
            // Nothing shows when the machine will be less busy.
            sleep(PAUSE_AFTER_VOID * run);
        }
    }
    panic!("each of {MAX_RUNS} runs failed or was void:\n{}", reasons.concat());
}

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn balancer_meets_its_expectations_under_all_network_faults() {
    let output = run_trial(&[trials().join("small.toml").to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let observed = "kept, except for violations that injected faults explain";
    assert!(text(&output).contains(observed), "{}", text(&output));
}

#[test]
fn balancers_meet_their_expectations_when_gossip_is_lost_duplicated_or_late() {
    let output = run_trial(&[trials().join("small-together.toml").to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("lost, doubled or late"), "{}", text(&output));
}

#[test]
fn fleet_budgets_are_kept_under_faults_and_exceeded_without_budgets() {
    let small = trials().join("budgets-small.toml");
    // Connections of 5 s cause about three times as many set-ups as the budget allows, so that it is not kept
    // by chance.
    let crowded = ["--set", "streams.life_s=5"];
    let output = run_trial(&[&[small.to_str().expect("a path")], &crowded[..]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    // The same day and expectations, but no balancer has a budget.
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("trial.toml");
    let day = trials().join("day-budgets-small.toml");
    let trial = fs::read_to_string(&small).expect("there");
    let promises = &trial[trial.find("[promises]").expect("promises")..];
    fs::write(&file, format!("about = \"none\"\nday = \"{}\"\n{promises}", day.display())).expect("written");
    let output = run_trial(&[&[file.to_str().expect("a path")], &crowded[..]].concat());
    let text = text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    let line = text.lines().find(|l| l.contains("BROKEN")).unwrap_or_default();
    assert!(line.trim_start().starts_with("set_ups_within"), "{text}");
}

/// Runs a trial of a few seconds with the mutant program as the balancer.
fn run_mutant(mutation: &str, trial: &str) -> Output {
    let folder = TempDir::new().expect("a folder");
    let program = folder.path().join("mutant");
    let mutant = env!("CARGO_BIN_EXE_shorewharf-mutant");
    fs::write(&program, format!("#!/bin/sh\nexec '{mutant}' {mutation}\n")).expect("written");
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).expect("set");
    let day = trials().join("day-small.toml");
    let file = folder.path().join("trial.toml");
    fs::write(&file, format!("about = \"{mutation}\"\nday = \"{}\"\n{trial}", day.display()))
        .expect("written");
    let sets = [
        "--set",
        "length_s=8",
        "--set",
        "balancers=4",
        "--set",
        "traffic.load=0.2",
        "--set",
        "streams.life_s=3",
    ];
    let files = [file.to_str().expect("a path"), "--balancer", program.to_str().expect("a path")];
    run_trial(&[&files[..], &sets].concat())
}

#[test]
fn each_expectation_is_reported_broken_for_a_program_that_breaks_it() {
    for (mutation, promise, broken) in [
        ("exits", "[promises]\nrules = false", "processes"),
        ("hangs-up", "", "rules"),
        ("mute", "[promises]\nrules = false\nserved = 0.9", "served"),
        (
            "mute",
            "[promises]\nrules = false\nserved_within = [{ from_s = 2, to_s = 7, least = 0.9 }]",
            "served from",
        ),
        ("crowds", "[promises]\nrules = false\nover_mean_most = 3\nsettled_s = [[3, 8]]", "over_mean_most"),
        ("crowds", "[promises]\nrules = false\nload_most = 1\nsettled_s = [[3, 8]]", "load_most"),
        (
            "crowds",
            "[promises]\nrules = false\nunder_mean_least = 0.1\nidle_s = 3\nsettled_s = [[3, 8]]",
            "under_mean_least",
        ),
        ("crowds", "[promises]\nrules = false\nset_ups_most = 3", "set_ups_most"),
    ] {
        let output = run_mutant(mutation, promise);
        let text = text(&output);
        assert_eq!(output.status.code(), Some(1), "{mutation}: {text}");
        let line = text.lines().find(|l| l.contains("BROKEN")).unwrap_or_default();
        assert!(line.trim_start().starts_with(broken), "{mutation}: {text}");
    }
}

#[test]
fn invalid_trial_exits_with_2_and_names_the_key() {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("trial.toml");
    let day = trials().join("day-small.toml");
    for (network_fault, expected) in [
        ("what = \"silent\"\nat_s = 1\nlen_s = 1\nballancers = {}", "unknown field `ballancers`"),
        (
            "what = \"silent\"\nat_s = 1\nlen_s = 1\nnodes = { zone = \"nowhere\" }",
            "breaks[0].nodes.zone: the day has no zone nowhere",
        ),
        (
            "what = \"silent\"\nat_s = 1\nlen_s = 1\nnodes = { on = [14] }",
            "breaks[0].nodes.on: index 14 is out of range",
        ),
        ("what = \"notes-lost\"\nat_s = 1\nlen_s = 1", "breaks[0].what: needs together = true"),
        (
            "what = \"silent\"\nat_s = 1\nlen_s = 1\nothers = { part = 0.5 }",
            "breaks[0].others: does not apply to this kind of fault",
        ),
    ] {
        let trial = format!("about = \"a\"\nday = \"{}\"\n[[breaks]]\n{network_fault}\n", day.display());
        fs::write(&file, trial).expect("written");
        let output = run_trial(&[file.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(2), "{}", text(&output));
        assert!(text(&output).contains(expected), "{}", text(&output));
    }
}
