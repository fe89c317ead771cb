//! Definitions of the command line: commands, options and their help texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use thiserror::Error;

use crate::scenario::set::{Axis, axis};

const EXAMPLES: &str = "\
Examples:
  shorewharf-lab demo                                         a small fleet on loopback sockets, live, for 30 s
  shorewharf-lab run scenarios/storm.toml                     one day in virtual time, printed as tables
  shorewharf-lab run scenarios/storm.toml --report storm.html the same with plots
  shorewharf-lab sweep scenarios/storm.toml --set traffic.load=0.3,0.5,0.7 --seeds 1..20
  shorewharf-lab compare scenarios/storm.toml --policies module,random --seeds 1..20
  shorewharf-lab trial scenarios/trials/small.toml            many balancer processes with injected faults
  shorewharf-lab check scenarios/*.toml                       errors and warnings in scenario files

Exit codes:
  0  the command succeeded and no rule was broken
  1  the command ran to its end, but a rule was broken, a connection was lost, or a check failed
  2  the command line, a scenario or another input file can't be used
  3  a system error: a file could not be written, a program could not be built or started, or a trial is void";

/// The whole command line.
#[derive(Debug, Parser)]
#[command(
    name = "shorewharf-lab",
    version,
    about = "Plays days of the emulated platform with the balancer, and evaluates the results"
)]
#[command(after_help = EXAMPLES, max_term_width = 110, propagate_version = true, arg_required_else_help = true)]
pub struct Cli {
    /// The command.
    #[command(subcommand)]
    pub command: Command,
    /// Minimum level of the log on standard error (also by module: shorewharf_emulator=debug)
    #[arg(long, global = true, default_value = "warn", value_name = "LEVEL", help_heading = "Output")]
    pub log: String,
    /// Format of the log
    #[arg(long, global = true, default_value = "logfmt", value_enum, help_heading = "Output")]
    pub log_format: LogFormat,
    /// Whether to use colours and redraw tables in place; auto: only on a terminal
    #[arg(long, global = true, default_value = "auto", value_enum, help_heading = "Output")]
    pub color: ColorMode,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Pairs of key=value
    Logfmt,
    /// One JSON object per line
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

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Play a small fleet with two balancers and one crash on loopback sockets, and show its state live
    Demo(Demo),
    /// Play one scenario and print the results
    Run(Run),
    /// Play a grid of settings and seeds on all cores
    Sweep(Sweep),
    /// Compare two scenarios, policies or result files, paired by seed
    Compare(Compare),
    /// Run many balancer processes with the faults of a trial file, and check the promises in it
    Trial(Trial),
    /// Play the days of trials in virtual time under several policies, and compare how evenly they load nodes
    Even(Even),
    /// Play releases of servers in virtual time, and look for cold servers that are overloaded
    Releases(Releases),
    /// Generate load on one balancer and measure the delay that it adds
    Load(Load),
    /// Create a self-contained HTML page with plots for each run of a result file
    Report(Report),
    /// Convert a day that the simulator drew to a scenario file
    Import(Import),
    /// Check scenario files for errors and warnings
    Check(Check),
    /// Print a scenario in full, with defaults, fleets and extended files expanded
    Show(Show),
    /// Compare runs of drawn days with the simulator's results for the same days
    Fidelity(Fidelity),
    /// Play days on sockets and in virtual time, and compare the results
    Clocks(Clocks),
}

/// Arguments of `releases`.
#[derive(Args, Debug)]
pub struct Releases {
    /// Number of releases; each has the next seed
    #[arg(long, default_value_t = 100, value_name = "N")]
    pub count: u64,
    /// Seed of the first release
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Which releases to play
    #[arg(long, value_enum, default_value = "drawn")]
    pub kind: ReleaseKind,
    /// Number of threads; the results do not depend on it
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
}

/// Kinds of releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ReleaseKind {
    /// Fleets of 4 to 900 balancers and 4 to 90 servers, with settings and faults drawn from the seed
    Drawn,
    /// A hundred balancers and 14 servers, of which 8 are replaced within 7 s
    HundredBalancers,
}

/// The clock that plays a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Clock {
    /// Virtual time: faster than real time, and the same seed gives the same result
    Virtual,
    /// Real time on loopback sockets, with processes of the balancer's program
    Sockets,
}

/// The scenario to play, and changes to it.
#[derive(Args, Clone, Debug)]
pub struct ScenarioArgs {
    /// Scenario file (TOML) or drawn day (JSON)
    pub scenario: PathBuf,
    /// Change a key before the run; may be repeated. List entries are selected by name, index or *
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seed to use instead of the scenario's
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Options of a run.
#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// The clock that plays the day
    #[arg(long, value_enum, default_value = "virtual")]
    pub clock: Clock,
    /// Policy: module, or module@FILE with an operator's file; an unknown name lists those for virtual time
    #[arg(long, default_value = "module")]
    pub policy: String,
    /// Number of threads for the run (virtual time); the result does not depend on it
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Path of the balancer's program (sockets); default: next to this program, else built
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
}

/// Arguments of `demo`.
#[derive(Args, Debug)]
#[command(after_help = "\
Needs no files, and no network except loopback (127.0.0.0/8). The balancer's program is expected next to this one, and
built with cargo if it is not there. Exits with 0 if no rule was broken.

Example:
  shorewharf-lab demo --seconds 15 --report demo.html")]
pub struct Demo {
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 30, value_name = "N", value_parser = clap::value_parser!(u64).range(2..=3600))]
    pub seconds: u64,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Path of the balancer's program; default: next to this program, else built
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Also write the result as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Also write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// Arguments of `run`.
#[derive(Args, Debug)]
#[command(after_help = "\
Examples:
  shorewharf-lab run scenarios/crash.toml
  shorewharf-lab run scenarios/crash.toml --seed 7 --set traffic.load=0.6 --json out.json --report out.html
  shorewharf-lab run scenarios/crash.toml --policy random
  shorewharf-lab run scenarios/crash.toml --clock sockets

Exits with 0, or with 1 if a rule was broken or a connection was lost.")]
pub struct Run {
    /// The scenario to play.
    #[command(flatten)]
    pub which: ScenarioArgs,
    /// How it is played.
    #[command(flatten)]
    pub how: RunArgs,
    /// Write the result as JSON; - for standard output, instead of the tables
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// Arguments of `trial`.
#[derive(Args, Debug)]
#[command(after_help = "\
Examples:
  shorewharf-lab trial scenarios/trials/small.toml
  shorewharf-lab trial scenarios/trials/wide.toml --seed 7 --set balancers=200 --report wide.html

Exits with 0 if all promises are kept, with 1 if one is broken, and with 3 if the lab itself was too late for the run
to count.")]
pub struct Trial {
    /// The trial file (TOML)
    pub trial: PathBuf,
    /// Change a key of the trial's day before the run; may be repeated
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seed to use instead of the day's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Enable gossip between the balancers, even if the trial file does not
    #[arg(long)]
    pub together: bool,
    /// Path of the balancer's program; default: next to this program, else built
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Operator's file for the balancers
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Folder in which to keep the processes' logs and configurations (SHOREWHARF_LOG=debug logs all lines)
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Write promises and result as JSON; - for standard output, instead of the tables
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write a page with plots
    #[arg(long, value_name = "FILE.html")]
    pub report: Option<PathBuf>,
}

/// Arguments of `even`.
#[derive(Args, Debug)]
#[command(after_help = "\
Plays only the trial's day, in virtual time; the trial's faults between processes are not injected. With module-told,
each balancer knows the connections of all others after 0.4 s; oracle knows the nodes' true state.

Examples:
  shorewharf-lab even scenarios/trials/even.toml
  shorewharf-lab even scenarios/trials/even.toml --set balancers=300 --seeds 1..5 --json even.json")]
pub struct Even {
    /// Trial files (TOML)
    #[arg(required = true)]
    pub trials: Vec<PathBuf>,
    /// Change a key of the days before the runs; may be repeated
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seeds: 1..5, or 1,2,3
    #[arg(long, default_value = "1..5", value_parser = seeds)]
    pub seeds: Seeds,
    /// Policies; an unknown name lists them
    #[arg(
        long,
        value_name = "P,P",
        value_delimiter = ',',
        default_value = "random,round-robin,fewest,two-choices,module-unsounded,module,module-told,oracle"
    )]
    pub policies: Vec<String>,
    /// Number of runs in parallel; default: number of cores
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write the figures of every run as JSON; - for standard output, instead of the tables
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Arguments of `sweep`.
#[derive(Args, Debug)]
#[command(after_help = "\
Every combination of the values of all --set is played with every seed. Keys are paths: traffic.load,
fleet[0].count, kinds.fast.cold_s, faults.*.len_s. A value may be a list or table: traffic.shape=[[0,1],[30,2]].

Examples:
  shorewharf-lab sweep scenarios/storm.toml --set clients.retries=0,1,2,4 --seeds 1..20
  shorewharf-lab sweep scenarios/storm.toml --set traffic.load=0.3,0.5 --set balancers=2,4 --seeds 1,2,3 --csv out.csv")]
pub struct Sweep {
    /// Scenario file (TOML) or drawn day (JSON)
    pub scenario: PathBuf,
    /// A key and its values; may be repeated
    #[arg(long = "set", value_name = "KEY=A,B,C", value_parser = axis)]
    pub set: Vec<Axis>,
    /// Seeds: 1..20 (both ends), or 1,5,9
    #[arg(long, default_value = "1..10", value_parser = seeds)]
    pub seeds: Seeds,
    /// Policies, separated by commas
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "NAMES")]
    pub policies: Vec<String>,
    /// Number of runs in parallel; default: number of cores
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write a CSV file with a line for each run
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
    /// Write points and runs as JSON; - for standard output, instead of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Arguments of `compare`.
#[derive(Args, Debug)]
#[command(after_help = "\
A and B are scenario files, or result files of run and sweep. With one scenario and --policies, two policies play it.
Runs with the same seed are paired, so that random draws common to both cancel out in the difference. The interval of
the mean difference is a bootstrap interval over the pairs; if it contains 0, the difference is within the noise.

Examples:
  shorewharf-lab compare scenarios/storm.toml --policies module,random --seeds 1..20
  shorewharf-lab compare scenarios/storm.toml scenarios/storm-calm-clients.toml --seeds 1..20
  shorewharf-lab compare before.json after.json")]
pub struct Compare {
    /// The first scenario or result file
    pub a: PathBuf,
    /// The second scenario or result file; default: the first, for a comparison of policies
    pub b: Option<PathBuf>,
    /// One policy for both sides, or one for A and one for B
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "A[,B]")]
    pub policies: Vec<String>,
    /// Seeds: 1..20 (both ends), or 1,5,9
    #[arg(long, default_value = "1..20", value_parser = seeds)]
    pub seeds: Seeds,
    /// Number of runs in parallel; default: number of cores
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Confidence level of the interval (0.5 or more, below 1)
    #[arg(long, default_value_t = 0.95)]
    pub level: f64,
    /// Write the comparison as JSON; - for standard output, instead of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Arguments of `load`.
#[derive(Args, Debug)]
#[command(after_help = "\
Open loop: setups and lines are sent on schedule, and each latency is measured from the scheduled time, so that a
balancer that stalls does not reduce the load. A tenth of them bypass the balancer and go directly to a node; their
latency is the lab's own part.

Example:
  shorewharf-lab load --set-ups 500 --standing 10000 --seconds 20")]
pub struct Load {
    /// New connections per second
    #[arg(long, default_value_t = 200.0, value_name = "N")]
    pub set_ups: f64,
    /// Connections that stay established for the whole run, besides the new ones
    #[arg(long, default_value_t = 1000, value_name = "N")]
    pub standing: u32,
    /// Lifetime of a new connection
    #[arg(long, default_value_t = 5.0, value_name = "SECONDS")]
    pub hold_s: f64,
    /// Interval between lines on each connection that stays established
    #[arg(long, default_value_t = 2.0, value_name = "SECONDS")]
    pub line_every_s: f64,
    /// Duration of the load, after a warm-up of one second that is not counted
    #[arg(long, default_value_t = 10.0, value_name = "SECONDS")]
    pub seconds: f64,
    /// Number of nodes behind the balancer
    #[arg(long, default_value_t = 8, value_name = "N")]
    pub nodes: u32,
    /// Descriptor limit of the balancer (two per connection); default: what this system allows
    #[arg(long, value_name = "N")]
    pub sockets: Option<u32>,
    /// Memory limit of the balancer
    #[arg(long, default_value_t = 1024.0, value_name = "MB")]
    pub memory_mb: f64,
    /// Path of the balancer's program; default: next to this program, else built
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Write the figures as JSON; - for standard output, instead of the table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Arguments of `report`.
#[derive(Args, Debug)]
#[command(after_help = "\
Example:
  shorewharf-lab run scenarios/storm.toml --json storm.json
  shorewharf-lab report storm.json -o storm.html")]
pub struct Report {
    /// A result file of `run --json` or `sweep --json`
    pub result: PathBuf,
    /// The page to write; default: next to the result file
    #[arg(short, long, value_name = "FILE.html")]
    pub output: Option<PathBuf>,
}

/// Arguments of `import`.
#[derive(Args, Debug)]
#[command(after_help = "\
DAY is the output of `lbsim draw SITE --seed N --kind K`. All parameters of the scenario are taken from it.

Example:
  shorewharf-lab import day.json -o day.toml")]
pub struct Import {
    /// The drawn day (JSON)
    pub day: PathBuf,
    /// The scenario file to write; default: standard output
    #[arg(short, long, value_name = "SCENARIO.toml")]
    pub output: Option<PathBuf>,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
#[command(after_help = "\
Each finding names the file, line and key, and what is allowed. Unusual but valid scenarios (no servers, no clients,
a day of zero length) give warnings, which --strict counts as errors. Exits with 1 if there are errors.")]
pub struct Check {
    /// Scenario files
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Treat warnings as errors
    #[arg(long)]
    pub strict: bool,
}

/// Arguments of `show`.
#[derive(Args, Debug)]
pub struct Show {
    /// The scenario to print.
    #[command(flatten)]
    pub which: ScenarioArgs,
    /// Print JSON instead of TOML
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `fidelity`.
#[derive(Args, Debug)]
#[command(after_help = "\
DIR contains drawn days (NAME.json), and next to each the simulator's results (NAME.POLICY.sim.json, the output of its
run --json). With --simulator PROGRAM, missing results are created by that program, which is started in the current
folder; this must be a checkout of this repository with a built adapter. They are kept for later runs.

Example:
  shorewharf-lab fidelity --days days --policies module,random --simulator lbsim")]
pub struct Fidelity {
    /// Folder of the drawn days
    #[arg(long, value_name = "DIR")]
    pub days: PathBuf,
    /// Policies, used in both; separated by commas
    #[arg(long, default_value = "module", value_delimiter = ',', value_name = "NAMES")]
    pub policies: Vec<String>,
    /// Number of runs of each day with different seeds, whose mean is compared
    #[arg(long, default_value_t = 1, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub draws: u64,
    /// Path of the simulator's program, to create missing results
    #[arg(long, value_name = "PROGRAM")]
    pub simulator: Option<PathBuf>,
    /// Write the comparison as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Number of runs in parallel; default: number of cores
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
}

/// Arguments of `clocks`.
#[derive(Args, Debug)]
#[command(after_help = "\
Each day is played once in real time by the balancer's program, and --draws times in virtual time by its decision
module. A run on sockets for which the lab itself was too late is repeated. Exits with 0 if the median distance of the
served shares is at most 0.03 and no rule was broken.

Example:
  shorewharf-lab clocks scenarios/calm.toml scenarios/crash.toml scenarios/storm.toml --at-once 2")]
pub struct Clocks {
    /// Scenario files (TOML), or drawn days (JSON)
    #[arg(required = true)]
    pub scenarios: Vec<PathBuf>,
    /// Seed to use instead of the scenarios'
    #[arg(long)]
    pub seed: Option<u64>,
    /// Number of runs of each day in virtual time with different seeds, whose mean is compared
    #[arg(long, default_value_t = 10, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    pub draws: u64,
    /// Number of days in parallel on sockets; each uses about one core
    #[arg(long, default_value_t = 2, value_name = "N")]
    pub at_once: usize,
    /// Path of the balancer's program; default: next to this program, else built
    #[arg(long, value_name = "PROGRAM")]
    pub balancer: Option<PathBuf>,
    /// Number of runs in parallel in virtual time; default: number of cores
    #[arg(long, value_name = "N")]
    pub threads: Option<usize>,
    /// Write the comparison as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// A list of seeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(pub Vec<u64>);

/// Why a list of seeds can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum SeedsError {
    #[error("{0:?} is not a seed; expected 1..20 or 1,5,9")]
    NotANumber(String),
    #[error("{0}: expected a range FIRST..LAST of at most 1000000 seeds, with LAST not below FIRST")]
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
