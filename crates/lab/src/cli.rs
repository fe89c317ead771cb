//! Owns the words of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use thiserror::Error;

use crate::scenario::set::{Axis, axis};

const EXAMPLES: &str = "\
Examples:
  shorewharf-lab demo                                         a small fleet on loopback sockets, live, for 30 s
  shorewharf-lab run scenarios/storm.toml                     one day in virtual time, as a table
  shorewharf-lab run scenarios/storm.toml --report storm.html the same with plots
  shorewharf-lab sweep scenarios/storm.toml --set traffic.load=0.3,0.5,0.7 --seeds 1..20
  shorewharf-lab compare scenarios/storm.toml --policies module,random --seeds 1..20
  shorewharf-lab trial scenarios/trials/small.toml            many processes with faults between them
  shorewharf-lab check scenarios/*.toml                       what is wrong or odd in scenario files

Exit codes:
  0  done, and no rule was broken
  1  done, but a rule was broken, a connection was lost, or something checked is wrong
  2  the command line, a scenario or another input file can't be used
  3  something outside failed: a file could not be written, a program could not be built or started";

/// The whole command line.
#[derive(Debug, Parser)]
#[command(
    name = "shorewharf-lab",
    version,
    about = "Play days of the platform round a balancer, and learn from them"
)]
#[command(after_help = EXAMPLES, max_term_width = 110, propagate_version = true, arg_required_else_help = true)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
    /// Least level of the log that is written to standard error (also by module: shorewharf_emulator=debug)
    #[arg(long, global = true, default_value = "warn", value_name = "LEVEL", help_heading = "Output")]
    pub log: String,
    /// Form of the log
    #[arg(long, global = true, default_value = "logfmt", value_enum, help_heading = "Output")]
    pub log_format: LogFormat,
    /// Colours and redrawn tables; auto: on a terminal only
    #[arg(long, global = true, default_value = "auto", value_enum, help_heading = "Output")]
    pub color: ColorMode,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// key=value pairs
    Logfmt,
    /// one JSON object a line
    Json,
}

/// When to use colours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ColorMode {
    /// On a terminal, unless NO_COLOR is set
    Auto,
    /// Always
    Always,
    /// Never
    Never,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Play a small fleet with two built balancers, clients and one crash on loopback sockets, live
    Demo(Demo),
    /// Play one scenario and print what came of it
    Run(Run),
    /// Play a grid of settings times seeds on all cores
    Sweep(Sweep),
    /// Compare two scenarios, policies or result files, paired by seed
    Compare(Compare),
    /// Start many processes of the program, break what lies between them, and hold the promises of a file against it
    Trial(Trial),
    /// Play the days of trials in virtual time under several policies, and say how evenly each uses the nodes
    Even(Even),
    /// Put load on one balancer and measure what it adds
    Load(Load),
    /// Make one self-contained HTML page with plots from a result file
    Report(Report),
    /// Turn a day that the simulator drew into a scenario file
    Import(Import),
    /// Look for what is wrong or odd in scenario files
    Check(Check),
    /// Print a scenario in full: defaults, fleets and files that it extends written out
    Show(Show),
    /// Compare runs of drawn days with what the simulator says about the same days
    Fidelity(Fidelity),
    /// Play days on sockets and in virtual time and hold the results against each other
    Clocks(Clocks),
}

/// Which clock plays a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Clock {
    /// Virtual time: fast, and the same seed gives the same bytes
    Virtual,
    /// Real time on loopback sockets, against the built program
    Sockets,
}

/// Which scenario, and what is changed in it.
#[derive(Args, Clone, Debug)]
pub struct ScenarioArgs {
    /// The scenario file (TOML); or a drawn day (JSON)
    pub scenario: PathBuf,
    /// Change a key before the run; may be given several times. Names, places and * pick list entries
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Another seed than the scenario's
    #[arg(long)]
    pub seed: Option<u64>,
}

/// How a day is played.
#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// Which clock plays the day
    #[arg(long, value_enum, default_value = "virtual")]
    pub clock: Clock,
    /// Who decides: module, module@FILE with an operator's file; in virtual time others too, a wrong name lists them
    #[arg(long, default_value = "module")]
    pub policy: String,
    /// Cores for one run (virtual time); the result does not depend on it
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// The balancer's program (sockets); found beside this program or built if left out
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
}

/// `demo`.
#[derive(Args, Debug)]
#[command(after_help = "\
Needs no files and no network but loopback (127.0.0.0/8). The balancer's program is looked for beside this one and
built with cargo if it is not there. Ends with 0 if no rule was broken.

Example:
  shorewharf-lab demo --seconds 15 --report demo.html")]
pub struct Demo {
    /// How long clients come
    #[arg(long, default_value_t = 30, value_name = "N", value_parser = clap::value_parser!(u64).range(2..=3600))]
    pub seconds: u64,
    /// What is drawn follows from it
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The balancer's program; found beside this program or built if left out
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Also write the result as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Also write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// `run`.
#[derive(Args, Debug)]
#[command(after_help = "\
Examples:
  shorewharf-lab run scenarios/crash.toml
  shorewharf-lab run scenarios/crash.toml --seed 7 --set traffic.load=0.6 --json out.json --report out.html
  shorewharf-lab run scenarios/crash.toml --policy random
  shorewharf-lab run scenarios/crash.toml --clock sockets

Ends with 0, or with 1 if a rule was broken or a connection lost.")]
pub struct Run {
    /// Which scenario.
    #[command(flatten)]
    pub which: ScenarioArgs,
    /// How it is played.
    #[command(flatten)]
    pub how: RunArgs,
    /// Write the result as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// `trial`.
#[derive(Args, Debug)]
#[command(after_help = "\
Examples:
  shorewharf-lab trial scenarios/trials/small.toml
  shorewharf-lab trial scenarios/trials/wide.toml --seed 7 --set balancers=200 --report wide.html

Ends with 0 if all promises held and 1 if one did not; with 3 if the lab itself was too late for the run to count.")]
pub struct Trial {
    /// The trial's file (TOML)
    pub trial: PathBuf,
    /// Change a key of the trial's day before the run; may be given several times
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Another seed than the day's
    #[arg(long)]
    pub seed: Option<u64>,
    /// The balancers tell each other what they hold, though the file does not say so
    #[arg(long)]
    pub together: bool,
    /// The balancer's program; found beside this program or built if left out
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// The operator's own file for the program
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Keep the processes' logs and configurations here (SHOREWHARF_LOG=debug for all lines)
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Write promises and result as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// `even`.
#[derive(Args, Debug)]
#[command(after_help = "\
What a trial breaks between processes is not broken here: this is the trial's day alone, in virtual time. module-told hears of all
others' connections 0.4 s late; oracle sees the nodes' true state.

Examples:
  shorewharf-lab even scenarios/trials/even.toml
  shorewharf-lab even scenarios/trials/even.toml --set balancers=300 --seeds 1..5 --json even.json")]
pub struct Even {
    /// The trials' files (TOML)
    #[arg(required = true)]
    pub trials: Vec<PathBuf>,
    /// Change a key of the days before the runs; may be given several times
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seeds: 1..5, or 1,2,3
    #[arg(long, default_value = "1..5", value_parser = seeds)]
    pub seeds: Seeds,
    /// Policies; a wrong name lists them
    #[arg(
        long,
        value_name = "P,P",
        value_delimiter = ',',
        default_value = "random,round-robin,fewest,two-choices,module-unsounded,module,module-told,oracle"
    )]
    pub policies: Vec<String>,
    /// Runs at once; all cores if left out
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write the figures of every run as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// `sweep`.
#[derive(Args, Debug)]
#[command(after_help = "\
Every combination of the values of all --set is played with every seed. Keys are paths: traffic.load,
fleet[0].count, kinds.fast.cold_s, faults.*.len_s. A value may be a list or table: traffic.shape=[[0,1],[30,2]].

Examples:
  shorewharf-lab sweep scenarios/storm.toml --set clients.retries=0,1,2,4 --seeds 1..20
  shorewharf-lab sweep scenarios/storm.toml --set traffic.load=0.3,0.5 --set balancers=2,4 --seeds 1,2,3 --csv out.csv")]
pub struct Sweep {
    /// The scenario file (TOML); or a drawn day (JSON)
    pub scenario: PathBuf,
    /// A key and the values that it takes; may be given several times
    #[arg(long = "set", value_name = "KEY=A,B,C", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seeds: 1..20 (both ends), or 1,5,9
    #[arg(long, default_value = "1..10", value_parser = seeds)]
    pub seeds: Seeds,
    /// Policies to play, with commas
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "NAMES")]
    pub policies: Vec<String>,
    /// Runs at once; as many as there are cores if left out
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write a line for each run
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
    /// Write points and runs as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// `compare`.
#[derive(Args, Debug)]
#[command(after_help = "\
A and B are scenario files, or result files of run and sweep. With one scenario and --policies, two policies play it.
Runs with the same seed are paired, so that what the seed draws falls out of the difference; the interval of the mean
difference comes from a bootstrap over the pairs. If it holds 0, the difference is within the noise.

Examples:
  shorewharf-lab compare scenarios/storm.toml --policies module,random --seeds 1..20
  shorewharf-lab compare scenarios/storm.toml scenarios/storm-calm-clients.toml --seeds 1..20
  shorewharf-lab compare before.json after.json")]
pub struct Compare {
    /// The first scenario or result file
    pub a: PathBuf,
    /// The second one; the first again where policies differ
    pub b: Option<PathBuf>,
    /// Policy of both, or of A and of B
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "A[,B]")]
    pub policies: Vec<String>,
    /// Seeds: 1..20 (both ends), or 1,5,9
    #[arg(long, default_value = "1..20", value_parser = seeds)]
    pub seeds: Seeds,
    /// Runs at once; as many as there are cores if left out
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Part of bootstrap draws that the interval holds
    #[arg(long, default_value_t = 0.95)]
    pub level: f64,
    /// Write the comparison as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// `load`.
#[derive(Args, Debug)]
#[command(after_help = "\
Open loop: set-ups and lines come when they are due, and each time counts from then, so that a balancer that stalls is
not asked less for it. A tenth goes past the balancer, straight to a node: what that takes is the lab's own part.

Example:
  shorewharf-lab load --set-ups 500 --standing 10000 --seconds 20")]
pub struct Load {
    /// New connections a second
    #[arg(long, default_value_t = 200.0, value_name = "N")]
    pub set_ups: f64,
    /// Connections that stand all the time, besides the new ones
    #[arg(long, default_value_t = 1000, value_name = "N")]
    pub standing: u32,
    /// A new connection stays so long
    #[arg(long, default_value_t = 5.0, value_name = "SECONDS")]
    pub hold_s: f64,
    /// A line is sent this often on each that stands
    #[arg(long, default_value_t = 2.0, value_name = "SECONDS")]
    pub line_every_s: f64,
    /// Load lasts so long, after a second that is not counted
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    pub seconds: f64,
    /// Nodes behind the balancer
    #[arg(long, default_value_t = 8, value_name = "N")]
    pub nodes: u32,
    /// Descriptors that the balancer may hold (two for each connection); what this system allows if left out
    #[arg(long, value_name = "N")]
    pub sockets: Option<u32>,
    /// Memory that the balancer may hold
    #[arg(long, default_value_t = 1024.0, value_name = "MB")]
    pub memory_mb: f64,
    /// The balancer's program; found beside this program or built if left out
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Write the figures as JSON; - for standard output, in place of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// `report`.
#[derive(Args, Debug)]
#[command(after_help = "\
Example:
  shorewharf-lab run scenarios/storm.toml --json storm.json
  shorewharf-lab report storm.json -o storm.html")]
pub struct Report {
    /// A result file as `run --json` writes it
    pub result: PathBuf,
    /// The page; beside the result file if left out
    #[arg(short, long, value_name = "FILE.html")]
    pub output: Option<PathBuf>,
}

/// `import`.
#[derive(Args, Debug)]
#[command(after_help = "\
The day is the one that `lbsim draw SITE --seed N --kind K` prints. Every figure is taken from it.

Example:
  shorewharf-lab import day.json -o day.toml")]
pub struct Import {
    /// The drawn day (JSON)
    pub day: PathBuf,
    /// The scenario file; standard output if left out
    #[arg(short, long, value_name = "SCENARIO.toml")]
    pub output: Option<PathBuf>,
}

/// `check`.
#[derive(Args, Debug)]
#[command(after_help = "\
Each finding names file, line and key, and what is allowed. Odd but legal things (no servers, no clients, a day of no
length) are warnings; with --strict they count as wrong. Ends with 1 if anything is wrong.")]
pub struct Check {
    /// Scenario files
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Count warnings as wrong
    #[arg(long)]
    pub strict: bool,
}

/// `show`.
#[derive(Args, Debug)]
pub struct Show {
    /// Which scenario.
    #[command(flatten)]
    pub which: ScenarioArgs,
    /// As JSON
    #[arg(long)]
    pub json: bool,
}

/// `fidelity`.
#[derive(Args, Debug)]
#[command(after_help = "\
DIR holds drawn days (NAME.json) and beside each the simulator's results (NAME.POLICY.sim.json, as its run --json
prints them). With --simulator PROGRAM, results that are missing are made by that program, started in the current
folder, which must be a checkout of this repository with a built adapter; they are kept for the next time.

Example:
  shorewharf-lab fidelity --days days --policies module,random --simulator lbsim")]
pub struct Fidelity {
    /// The folder of drawn days
    #[arg(long, value_name = "DIR")]
    pub days: PathBuf,
    /// Who decides, in both
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "NAMES")]
    pub policies: Vec<String>,
    /// Play each day so many times here with other luck, and compare the mean
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub draws: u64,
    /// The simulator's program, for results that are missing
    #[arg(long, value_name = "PROGRAM")]
    pub simulator: Option<PathBuf>,
    /// Write the comparison as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Runs at once; as many as there are cores if left out
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
}

/// `clocks`.
#[derive(Args, Debug)]
#[command(after_help = "\
Each day is played once by the built program in real time, and so many times by its decision module in virtual time.
A day on which the lab itself was late is played again. Ends with 0 if the median distance of the served shares is at
most 0.03 and no rule was broken.

Example:
  shorewharf-lab clocks scenarios/calm.toml scenarios/crash.toml scenarios/storm.toml --at-once 2")]
pub struct Clocks {
    /// Scenario files (TOML), or drawn days (JSON)
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Another seed than the scenarios'
    #[arg(long)]
    pub seed: Option<u64>,
    /// Plays in virtual time, each with other luck; their mean is compared
    #[arg(long, default_value_t = 10, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub draws: u64,
    /// Days on sockets at once; each keeps about a core busy with its balancers
    #[arg(long, default_value_t = 2, value_name = "N")]
    pub at_once: usize,
    /// The balancer's program; found beside this program or built if left out
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Runs in virtual time at once; as many as there are cores if left out
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write the comparison as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// A list of seeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(pub Vec<u64>);

/// A list of seeds that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum SeedsError {
    #[error("{0:?} is no seed; write 1..20 or 1,5,9")]
    NotANumber(String),
    #[error("{0}: goes from the first seed to the last")]
    InvalidRange(String),
}

fn seeds(text: &str) -> Result<Seeds, SeedsError> {
    let number = |s: &str| s.trim().parse::<u64>().map_err(|_| SeedsError::NotANumber(s.to_owned()));
    let seeds = match text.split_once("..") {
        Some((from, to)) => {
            let (from, to) = (number(from)?, number(to.trim_start_matches('='))?);
            if to < from || to - from >= 1_000_000 {
                return Err(SeedsError::InvalidRange(text.to_owned()));
            }
            (from..=to).collect()
        }
        None => text.split(',').map(number).collect::<Result<_, _>>()?,
    };
    Ok(Seeds(seeds))
}
