//! `shorewharf-soak`: runs one seed after the other and prints the violated rules.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use shorewharf_soak::error::SoakError;
use shorewharf_soak::plan::Plan;
use shorewharf_soak::run::run;
use shorewharf_soak::verdict::Verdict;

/// The most log lines that are printed for one violation.
const MAX_TRACE_LINES: usize = 40;
/// The exit code of a run that ended without a verdict.
const EXIT_NO_VERDICT: u8 = 3;

/// Injects random overlapping faults into 10 to 40 real processes, and checks the observations of servers and clients
/// against the rules. Exit codes: 0 no violation; 1 a rule was violated or a process failed; 3 a run ended without a verdict.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds, which are run one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The time for which clients send new requests, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The number of balancers; 10 to 40, drawn by the seed, if omitted.
    #[arg(long)]
    balancers: Option<usize>,
    /// The tested program.
    #[arg(long, default_value = "target/release/shorewharf")]
    balancer: PathBuf,
    /// The preloaded library that makes system calls fail; without it none fail.
    #[arg(long)]
    faults: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let mut is_clean = true;
    for seed in options.seed..options.seed + options.seeds {
        match soak(&options, seed) {
            Ok(clean) => is_clean &= clean,
            Err(e) => {
                eprintln!("seed {seed}: {e}");
                return ExitCode::from(EXIT_NO_VERDICT);
            }
        }
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn soak(options: &Options, seed: u64) -> Result<bool, SoakError> {
    let plan = Plan::draw(seed, Duration::from_secs_f64(options.seconds), options.balancers);
    let folder = std::env::temp_dir().join(format!("shorewharf-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let verdict = run(&plan, options.balancer.clone(), options.faults.clone(), folder.clone());
    // If the folder can't be removed, only temporary files remain.
    let _ = std::fs::remove_dir_all(folder);
    let verdict = verdict?;
    print_verdict(&plan, &verdict);
    Ok(verdict.is_clean())
}

fn print_verdict(plan: &Plan, verdict: &Verdict) {
    println!(
        "seed {} balancers {} servers {} faults {} requests {} answers {:?} latest {:?} machine {:?}: {}",
        plan.seed,
        plan.balancers,
        plan.servers,
        plan.faults.len(),
        verdict.requests,
        verdict.answers,
        verdict.latest_answer,
        verdict.max_wake_delay,
        if verdict.is_clean() { "clean" } else { "BROKEN" },
    );
    for failure in &verdict.failures {
        println!("  fault: {failure}");
    }
    for violation in &verdict.violations {
        println!("  rule: {violation}");
        println!("    system faults: {:?}", plan.system_faults.get(violation.balancer));
        for line in verdict.trace(violation.request).iter().take(MAX_TRACE_LINES) {
            println!("    {line}");
        }
    }
}
