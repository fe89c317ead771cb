//! A short soak test of the built program with a fixed seed: overlapping faults on ten processes, checked against the
//! rules of the soak.

use std::path::{Path, PathBuf};
use std::time::Duration;

use shorewharf_soak::plan::Plan;
use shorewharf_soak::run::run;

const BINARY: &str = env!("CARGO_BIN_EXE_shorewharf");

#[test]
fn ten_processes_follow_the_rules_under_overlapping_faults() {
    let test = std::env::current_exe().expect("a test has a path");
    let library = test.parent().expect("a parent folder").join("libshorewharf_faults.so");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let plan = Plan::draw(7, Duration::from_secs(5), Some(10));
    let result = run(&plan, PathBuf::from(BINARY), Some(library), Path::new(folder.path()).to_owned());
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
