//! The auditor on whole days in virtual time: it reports no violation for the correct balancer under any
//! faults, and for a balancer that breaks one rule it reports that violation and no other.

use std::path::Path;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use shorewharf_emulator::audit::{Reason, Verdict};
use shorewharf_emulator::virtual_time::{Host, Options, run};
use shorewharf_lab::instances::{PolicyChoice, PolicyHosts};
use shorewharf_lab::mutants::{Mutants, Mutation};
use shorewharf_lab::scenario::from_text;

/// Runs three balancers in two zones with ten nodes; `rest` is further TOML of the scenario, such as faults.
fn run_verdict(host: &dyn Host, length: u32, rest: &str, seed: u64) -> Verdict {
    let text = format!(
        "length_s = {length}\nbalancers = 3\n{rest}\n[[fleet]]\nkind = \"plain\"\ncount = 10\nspeed = 1.2\nspeed_cv = 0.2\n"
    );
    let day = from_text(Path::new("test.toml"), &text, &[], Some(seed))
        .unwrap_or_else(|e| panic!("{e}\n{text}"))
        .day;
    run(&day, host, &Options::default()).expect("a run").verdict
}

/// The first lines of the auditor's report.
fn first_lines(verdict: &Verdict) -> String {
    verdict.lines().take(8).collect::<Vec<_>>().join("\n")
}

/// Faults without their start times. The start is drawn, so that they meet the balancer in different states.
const FAULTS: &[&str] = &[
    "kind = \"crash\"\nlen_s = 6\npart = 0.3",
    "kind = \"hang\"\nlen_s = 9\non = [0, 1]",
    "kind = \"cut-off\"\nlen_s = 9\non = [2, 3]",
    "kind = \"half-dead\"\nlen_s = 10\non = [4]",
    "kind = \"slow\"\nsize = 0.3\nlen_s = 10\non = [5, 6]",
    "kind = \"failing\"\nsize = 0.7\nlen_s = 8\non = [7]",
    "kind = \"resetting\"\nsize = 0.8\nlen_s = 5\non = [8]",
    "kind = \"full\"\nlen_s = 8\non = [9]",
    "kind = \"wrong-answers\"\nlen_s = 8\non = [3]",
    "kind = \"release\"\nlen_s = 4\non = [0, 1, 2]",
    "kind = \"drain\"\nlen_s = 6\non = [5]",
    "kind = \"list-stale\"\nsize = 6\nlen_s = 12",
    "kind = \"list-down\"\nlen_s = 8",
    "kind = \"reconnect\"\nsize = 0.5\nlen_s = 1",
    "kind = \"balancer-kill\"\nlen_s = 4\non = [1]",
    "kind = \"balancer-restart\"\nlen_s = 3\non = [0, 2]",
    "kind = \"surge\"\nsize = 3\nlen_s = 8",
];

/// Guards against false alarms of the auditor and against violations by the correct balancer: a hundred days
/// with three faults each, which may overlap.
#[test]
fn auditor_reports_nothing_for_the_correct_balancer_on_a_hundred_days_with_faults() {
    let alarms: Vec<String> = (1..=100u64)
        .into_par_iter()
        .filter_map(|seed| {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut rest = format!("[traffic]\nload = {}\n", rng.random_range(0.2..0.9));
            for i in 0..3 {
                let fault = FAULTS[(seed as usize * 3 + i) % FAULTS.len()];
                rest += &format!("[[faults]]\nat_s = {}\n{fault}\n", rng.random_range(4..14));
            }
            let verdict = run_verdict(&PolicyHosts::new(PolicyChoice::Module), 30, &rest, seed);
            assert!(verdict.counts.up > 50, "seed {seed}: {:?}", verdict.counts);
            (!verdict.is_clean())
                .then(|| format!("seed {seed}: {:?}\n{rest}{}", verdict.reasons, first_lines(&verdict)))
        })
        .collect();
    assert!(alarms.is_empty(), "{} alarms:\n{}", alarms.len(), alarms.join("\n"));
}

/// Guards against an auditor that misses a violation or reports it with a wrong reason: each mutant breaks
/// one rule, and must be reported for its own reason and no other.
#[test]
fn auditor_reports_each_mutant_for_its_own_violation_only() {
    let mismatches: Vec<String> = Mutation::ALL
        .par_iter()
        .filter_map(|&mutation| {
            let rest = match mutation {
                Mutation::Late => "[net]\nclient_ms = 12\n",
                Mutation::IgnoresDrains => {
                    "[[faults]]\nkind = \"drain\"\nat_s = 8\nlen_s = 12\non = [0, 1, 2, 3]\n"
                }
                Mutation::OverrunsStarts => {
                    "[streams]\nlife_s = 4\n[[faults]]\nkind = \"crash\"\nat_s = 6\nlen_s = 4\non = [0]\n"
                }
                Mutation::KeepsSilent => "[[faults]]\nkind = \"hang\"\nat_s = 8\nlen_s = 14\non = [0, 1]\n",
                Mutation::IgnoresTerm | Mutation::CutsOffAtTerm => {
                    "[[faults]]\nkind = \"balancer-restart\"\nat_s = 8\nlen_s = 3\non = [0]\n"
                }
                _ => "",
            };
            let verdict =
                run_verdict(&Mutants::new(PolicyHosts::new(PolicyChoice::Module), mutation), 30, rest, 7);
            let found: Vec<Reason> = verdict.reasons.keys().copied().collect();
            (found != [mutation.expected_reason()])
                .then(|| format!("{mutation:?}: {:?}\n{}", verdict.reasons, first_lines(&verdict)))
        })
        .collect();
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n\n"));
}
