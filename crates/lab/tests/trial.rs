//! Trials with processes: the program keeps the promises of the small trial through every kind of break, and programs that
//! are broken on purpose don't.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

fn trials() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/trials")
}

/// Plays a trial; once more where the machine was too busy for the run to count.
fn played(args: &[&str]) -> Output {
    for _ in 0..5 {
        let output = Command::new(env!("CARGO_BIN_EXE_shorewharf-lab")).arg("trial").args(args).output();
        let output = output.expect("the lab starts");
        if output.status.code() != Some(3) {
            return output;
        }
    }
    panic!("the machine was too busy five times");
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn every_kind_of_break_between_processes_is_borne() {
    let output = played(&[trials().join("small.toml").to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let observed = "kept, except for violations that injected faults explain";
    assert!(text(&output).contains(observed), "{}", text(&output));
}

#[test]
fn what_balancers_tell_each_other_may_fail_in_every_way() {
    let output = played(&[trials().join("small-together.toml").to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("lost, doubled or late"), "{}", text(&output));
}

#[test]
fn budgets_of_the_fleet_are_kept_whatever_fails_and_are_seen_broken_where_nobody_keeps_them() {
    let small = trials().join("budgets-small.toml");
    // Streams of 5 s bring about three times as many set-ups as the budget lets in, so that nobody keeps it by chance.
    let crowded = ["--set", "streams.life_s=5"];
    let output = played(&[&[small.to_str().expect("a path")], &crowded[..]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    // The same day and promises, and nobody told of a budget.
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("trial.toml");
    let day = trials().join("day-budgets-small.toml");
    let promises = fs::read_to_string(&small).expect("there");
    let promises = &promises[promises.find("[promises]").expect("promises")..];
    fs::write(&file, format!("about = \"none\"\nday = \"{}\"\n{promises}", day.display())).expect("written");
    let output = played(&[&[file.to_str().expect("a path")], &crowded[..]].concat());
    let text = text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    let line = text.lines().find(|l| l.contains("BROKEN")).unwrap_or_default();
    assert!(line.trim_start().starts_with("set_ups_within"), "{text}");
}

/// A trial of a few seconds with a program that does this wrong.
fn wrong(wrong: &str, trial: &str) -> Output {
    let folder = TempDir::new().expect("a folder");
    let program = folder.path().join("wrong");
    let mutant = env!("CARGO_BIN_EXE_shorewharf-mutant");
    fs::write(&program, format!("#!/bin/sh\nexec '{mutant}' {wrong}\n")).expect("written");
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).expect("set");
    let day = trials().join("day-small.toml");
    let file = folder.path().join("trial.toml");
    fs::write(&file, format!("about = \"{wrong}\"\nday = \"{}\"\n{trial}", day.display())).expect("written");
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
    played(&[&files[..], &sets].concat())
}

#[test]
fn each_promise_is_seen_broken_by_a_program_that_breaks_it() {
    for (name, promise, broken) in [
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
        let output = wrong(name, promise);
        let text = text(&output);
        assert_eq!(output.status.code(), Some(1), "{name}: {text}");
        let line = text.lines().find(|l| l.contains("BROKEN")).unwrap_or_default();
        assert!(line.trim_start().starts_with(broken), "{name}: {text}");
    }
}

#[test]
fn what_can_not_be_played_ends_with_2_and_names_the_key() {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("trial.toml");
    let day = trials().join("day-small.toml");
    for (rift, words) in [
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
        let text_of = format!("about = \"a\"\nday = \"{}\"\n[[breaks]]\n{rift}\n", day.display());
        fs::write(&file, text_of).expect("written");
        let output = played(&[file.to_str().expect("a path")]);
        assert_eq!(output.status.code(), Some(2), "{}", text(&output));
        assert!(text(&output).contains(words), "{}", text(&output));
    }
}
