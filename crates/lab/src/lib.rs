//! The lab: the emulated platform with the real driver and decision module behind it, and what people need to
//! experiment on them.

pub mod cli;
mod compare;
pub mod error;
mod fidelity;
mod files;
pub mod import;
pub mod instances;
mod log;
pub mod mutants;
pub mod page;
mod plots;
pub mod record;
mod run;
pub mod runner;
pub mod scenario;
pub mod stats;
mod style;
mod sweep;
mod tables;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use error::Failure;
use style::Style;

/// Runs the command line that the process was started with.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let style = Style::of(cli.color);
    let ended = log::begin(&cli.log, cli.log_format).and_then(|()| match &cli.command {
        Command::Import(args) => files::import(args),
        Command::Check(args) => files::check(args, &style),
        Command::Show(args) => files::show(args),
        Command::Report(args) => page::report(args),
        Command::Run(args) => run::run(args, &style),
        Command::Sweep(args) => sweep::sweep(args, &style),
        Command::Compare(args) => compare::compare(args, &style),
        Command::Fidelity(args) => fidelity::fidelity(args, &style),
        _ => Err(Failure::Input("not yet".into())),
    });
    if let Err(e) = &ended {
        eprintln!("{}", style.bad("error:").to_owned() + " " + &e.to_string());
    }
    error::exit_code(&ended)
}
