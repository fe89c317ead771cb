//! A short soak test of the built program with a fixed seed: overlapping faults on ten processes, checked against the
//! rules of the soak.

use std::path::{Path, PathBuf};
use std::time::Duration;

use shorewharf_soak::plan::Plan;
use shorewharf_soak::run::run;

const BINARY: &str = env!("CARGO_BIN_EXE_shorewharf");

/// The time for which clients send new requests.
const LENGTH: Duration = Duration::from_secs(5);
/// The number of processes.
const BALANCERS: usize = 10;

/// Plays a plan and checks that no rule is violated and no process fails.
fn expect_clean(plan: &Plan) {
    let test = std::env::current_exe().expect("a test has a path");
    let library = test.parent().expect("a parent folder").join("libshorewharf_faults.so");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let result = run(plan, PathBuf::from(BINARY), Some(library), Path::new(folder.path()).to_owned());
    let verdict = result.expect("the run completes");
    for violation in &verdict.violations {
        eprintln!("{violation}");
        for line in verdict.trace(violation.request) {
            eprintln!("  {line}");
        }
    }
    assert!(verdict.is_clean(), "{:?} {:?}", verdict.failures, verdict.violations);
    assert!(verdict.requests > 100, "only {} requests were sent", verdict.requests);
}

#[test]
fn ten_processes_follow_the_rules_under_overlapping_faults() {
    expect_clean(&Plan::draw(7, LENGTH, Some(BALANCERS)));
}

/// Guards against restarts that lose requests in pieces where all deadlines are short.
#[test]
fn ten_processes_with_short_deadlines_follow_the_rules_under_overlapping_faults() {
    let max_deadline = Duration::from_millis(750);
    let plans = (1..).map(|seed| Plan::draw(seed, LENGTH, Some(BALANCERS)));
    let mut short = plans.filter(|plan| plan.classes.iter().all(|class| class.deadline <= max_deadline));
    expect_clean(&short.next().expect("some seeds draw short deadlines"));
}
