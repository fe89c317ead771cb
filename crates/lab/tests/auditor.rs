//! Whole days in virtual time: the sound program gives no alarm whatever the platform does to it, and balancers that
//! break a rule are caught for that and nothing else.

use std::path::Path;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use shorewharf_emulator::audit::{Reason, Verdict};
use shorewharf_emulator::virtual_time::{Host, Options, run};
use shorewharf_lab::instances::{PolicyChoice, PolicyHosts};
use shorewharf_lab::mutants::{Mutants, Mutation};
use shorewharf_lab::scenario::from_text;

/// Three balancers in two zones, ten nodes, and these faults.
fn judge(host: &dyn Host, length: u32, rest: &str, seed: u64) -> Verdict {
    let text = format!(
        "length_s = {length}\nbalancers = 3\n{rest}\n[[fleet]]\nkind = \"plain\"\ncount = 10\nspeed = 1.2\nspeed_cv = 0.2\n"
    );
    let day = from_text(Path::new("test.toml"), &text, &[], Some(seed))
        .unwrap_or_else(|e| panic!("{e}\n{text}"))
        .day;
    run(&day, host, &Options::default()).expect("a run").verdict
}

fn told(verdict: &Verdict) -> String {
    verdict.lines().take(8).collect::<Vec<_>>().join("\n")
}

/// What may go wrong, with what it needs beside its time; a good part of it is new to the balancer each time.
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

/// Failure: a hundred days with three kinds of trouble each, which overlap as they like. Promise: the sound program
/// keeps all rules, and the auditor says so.
#[test]
fn a_hundred_troubled_days_of_the_sound_program_give_no_alarm() {
    let alarms: Vec<String> = (1..=100u64)
        .into_par_iter()
        .filter_map(|seed| {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut rest = format!("[traffic]\nload = {}\n", rng.random_range(0.2..0.9));
            for i in 0..3 {
                let fault = FAULTS[(seed as usize * 3 + i) % FAULTS.len()];
                rest += &format!("[[faults]]\nat_s = {}\n{fault}\n", rng.random_range(4..14));
            }
            let verdict = judge(&PolicyHosts::new(PolicyChoice::Module), 30, &rest, seed);
            assert!(verdict.counts.up > 50, "seed {seed}: {:?}", verdict.counts);
            (!verdict.is_clean())
                .then(|| format!("seed {seed}: {:?}\n{rest}{}", verdict.reasons, told(&verdict)))
        })
        .collect();
    assert!(alarms.is_empty(), "{} alarms:\n{}", alarms.len(), alarms.join("\n"));
}

/// Failure: balancers that break one rule each. Promise: each is caught for its reason, and for no other.
#[test]
fn each_mutant_is_caught_for_what_it_does() {
    let found: Vec<String> = Mutation::ALL
        .par_iter()
        .filter_map(|&wrong| {
            let rest = match wrong {
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
            let verdict = judge(&Mutants::new(PolicyHosts::new(PolicyChoice::Module), wrong), 30, rest, 7);
            let found: Vec<Reason> = verdict.reasons.keys().copied().collect();
            (found != [wrong.caught_for()])
                .then(|| format!("{wrong:?}: {:?}\n{}", verdict.reasons, told(&verdict)))
        })
        .collect();
    assert!(found.is_empty(), "{}", found.join("\n\n"));
}
