//! The lab: runs the balancer's program, or its driver and decision module, on the emulated platform, with
//! the commands for experiments and the reports on them.

mod balancer;
mod budgets;
pub mod cli;
mod clocks;
mod compare;
mod demo;
pub mod error;
mod even;
mod fidelity;
mod files;
pub mod import;
pub mod instances;
mod load;
mod log;
pub mod mutants;
pub mod page;
mod plots;
pub mod record;
pub mod releases;
mod run;
pub mod runner;
pub mod scenario;
mod sockets;
pub mod stats;
mod style;
mod sweep;
mod tables;
pub mod trial;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use style::Style;

/// Runs the command that the process's arguments name, and returns its exit code.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let style = Style::of(cli.color);
    let result = log::init(&cli.log, cli.log_format).and_then(|()| match &cli.command {
        Command::Import(args) => files::import(args),
        Command::Check(args) => files::check(args, &style),
        Command::Show(args) => files::show(args),
        Command::Report(args) => page::report(args),
        Command::Run(args) => run::run(args, &style),
        Command::Sweep(args) => sweep::sweep(args, &style),
        Command::Compare(args) => compare::compare(args, &style),
        Command::Fidelity(args) => fidelity::fidelity(args, &style),
        Command::Clocks(args) => clocks::clocks(args, &style),
        Command::Demo(args) => demo::demo(args, &style),
        Command::Even(args) => even::even(args, &style),
        Command::Load(args) => load::load(args, &style),
        Command::Releases(args) => releases::releases(args, &style),
        Command::Trial(args) => trial::trial(args, &style),
    });
    if let Err(e) = &result {
        eprintln!("{}", style.bad("error:").clone() + " " + &e.to_string());
    }
    error::exit_code(&result)
}
