//! Puts load on a program: `load PROGRAM SET_UPS_PER_S STANDING SECONDS`.
use shorewharf_emulator::sockets::load::{Options, run};
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
fn main() {
    let a: Vec<String> = std::env::args().collect();
    let n = |i: usize| a[i].parse::<f64>().expect("a number");
    shorewharf_emulator::sockets::run::raise_descriptors();
    let options = Options {
        program: Program { path: a[1].clone().into(), args: vec![], limits: ProcessLimits { sockets: 20000, memory_mb: 192.0 } },
        set_ups_per_s: n(2), standing: n(3) as u32, hold: 2_000_000, line_every: 2_000_000, length: (n(4) * 1e6) as u64, nodes: 8,
        settings: shorewharf_emulator::world::settings::json,
    };
    match run(&options, std::path::Path::new("/tmp/socktry/load")) { Ok(o) => println!("{o}"), Err(e) => println!("{e}") }
}
