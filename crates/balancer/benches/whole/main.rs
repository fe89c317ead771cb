//! The whole program under load, beside a bare relay and beside nothing at all: set-ups, lines, idle connections, long
//! lists and workers. `cargo bench -p shorewharf --bench whole -- --help` tells what can be asked for.
//!
//! Peers are threads of this program on the other cores, closed loop but for the paced lines. What is told of a run
//! that shares its cores with anything else is worth little.

mod bare;
mod handover;
mod measures;
mod peers;
mod subject;

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Parser, ValueEnum};

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Measure {
    /// Set-ups a second and CPU for each, with lists of several lengths
    SetUps,
    /// Lines there and back as fast as they go
    Lines,
    /// What the way through adds to a line's time, at half the bare relay's most
    Pace,
    /// Memory and CPU of connections that say nothing
    Idle,
    /// CPU of a long list that changes, and what reading it takes
    List,
    /// Lines of those who stand, while more come than can be placed
    Overload,
    /// One worker and four
    Workers,
    /// Standing connections with lines on all of them, handed to a new process
    HandOver,
}

/// The whole program under load
#[derive(Parser)]
struct Args {
    /// What to measure; all but overload, workers and hand-over where nothing is named
    measures: Vec<Measure>,
    /// The program; the one that was just built unless another is named
    #[arg(long, default_value = env!("CARGO_BIN_EXE_shorewharf"))]
    program: PathBuf,
    /// Options that it is given
    #[arg(long = "arg", allow_hyphen_values = true)]
    args: Vec<OsString>,
    /// Seconds that count of each run
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// The core that the program, or the bare relay, runs on
    #[arg(long, default_value_t = 7)]
    core: usize,
    /// Lengths of lists
    #[arg(long, value_delimiter = ',', default_value = "4,100,1000,5000")]
    servers: Vec<usize>,
    /// Busy connections
    #[arg(long, default_value_t = 400)]
    busy: usize,
    /// Idle connections; two descriptors each
    #[arg(long, default_value_t = 8000)]
    idle: usize,
    /// Connections that are handed over; two descriptors each
    #[arg(long, default_value_t = 8000)]
    standing: usize,
    /// Lines a second of the paced run
    #[arg(long, default_value_t = 50_000.0)]
    rate: f64,
    /// Play the bare relay before the nodes of this port
    #[arg(long, hide = true)]
    relay: Option<u16>,
    /// What cargo says to every benchmark
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    if let Some(port) = args.relay {
        let nodes: Vec<_> = (0..peers::NODES).map(|n| peers::node(n, port)).collect();
        return Ok(bare::serve(([127, 0, 0, 1], 0).into(), &nodes)?);
    }
    let all = [Measure::SetUps, Measure::Lines, Measure::Pace, Measure::Idle, Measure::List];
    let wanted = if args.measures.is_empty() { all.to_vec() } else { args.measures.clone() };
    let bench = measures::Bench::new(args)?;
    for measure in wanted {
        match measure {
            Measure::SetUps => bench.set_ups()?,
            Measure::Lines => bench.lines()?,
            Measure::Pace => bench.pace()?,
            Measure::Idle => bench.idle()?,
            Measure::List => bench.list()?,
            Measure::Overload => bench.overload()?,
            Measure::Workers => bench.workers()?,
            Measure::HandOver => bench.hand_over()?,
        }
    }
    Ok(())
}
