//! The whole program under load, compared with a bare relay and with direct connections: set-ups, lines, idle connections,
//! long endpoint lists and workers. `cargo bench -p shorewharf --bench whole -- --help` lists the options.
//!
//! Nodes and clients are threads of this program on the other cores. They run in a closed loop, except for the paced
//! lines. Results are unreliable if anything else runs on the same cores.

mod bare_relay;
mod clients;
mod handover;
mod measurements;
mod nodes;
mod target;

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Parser, ValueEnum};

/// The measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Measurement {
    /// Set-ups a second and CPU time per set-up, with endpoint lists of several lengths
    SetUps,
    /// Round trips of lines at the highest rate
    Lines,
    /// Latency that the balancer adds to a line, at a fixed rate: by default half the highest rate of the bare relay
    #[value(name = "pace")]
    PacedLines,
    /// Memory and CPU of idle connections
    Idle,
    /// CPU time and memory to read a long endpoint list, and CPU for its changes
    #[value(name = "list")]
    EndpointList,
    /// Lines on established connections while more clients arrive than can be placed
    Overload,
    /// One worker compared with four
    Workers,
    /// Hand-over of established connections, with lines on all of them, to a new process
    #[value(name = "hand-over")]
    Handover,
}

/// Measures the whole program under load
#[derive(Parser)]
struct Args {
    /// What to measure; by default all but overload, workers and hand-over
    #[arg(value_name = "MEASURES")]
    measurements: Vec<Measurement>,
    /// The program; by default the one that was just built
    #[arg(long, default_value = env!("CARGO_BIN_EXE_shorewharf"))]
    program: PathBuf,
    /// Options for the program
    #[arg(long = "arg", allow_hyphen_values = true)]
    args: Vec<OsString>,
    /// Measured seconds of each run
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// The core that the program, or the bare relay, runs on
    #[arg(long, default_value_t = 7)]
    core: usize,
    /// Lengths of endpoint lists
    #[arg(long, value_delimiter = ',', default_value = "4,100,1000,5000")]
    servers: Vec<usize>,
    /// Busy connections
    #[arg(long, default_value_t = 400)]
    busy: usize,
    /// Idle connections; two descriptors each
    #[arg(long, default_value_t = 8000)]
    idle: usize,
    /// Established connections to hand over; two descriptors each
    #[arg(long, default_value_t = 8000)]
    standing: usize,
    /// Lines a second in the paced run
    #[arg(long, default_value_t = 50_000.0)]
    rate: f64,
    /// Run as the bare relay to the nodes on this port
    #[arg(long, hide = true)]
    relay: Option<u16>,
    /// Passed by cargo to every benchmark
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    if let Some(port) = args.relay {
        let nodes: Vec<_> = (0..nodes::NODES).map(|n| nodes::node(n, port)).collect();
        return Ok(bare_relay::serve(([127, 0, 0, 1], 0).into(), &nodes)?);
    }
    let default = [
        Measurement::SetUps,
        Measurement::Lines,
        Measurement::PacedLines,
        Measurement::Idle,
        Measurement::EndpointList,
    ];
    let selected = if args.measurements.is_empty() { default.to_vec() } else { args.measurements.clone() };
    let bench = measurements::Bench::new(args)?;
    for measurement in selected {
        match measurement {
            Measurement::SetUps => bench.set_ups()?,
            Measurement::Lines => bench.lines()?,
            Measurement::PacedLines => bench.paced_lines()?,
            Measurement::Idle => bench.idle()?,
            Measurement::EndpointList => bench.endpoint_list()?,
            Measurement::Overload => bench.overload()?,
            Measurement::Workers => bench.workers()?,
            Measurement::Handover => bench.handover()?,
        }
    }
    Ok(())
}
