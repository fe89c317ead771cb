//! `shorewharf-rolling-restart`: restarts balancers one after the other with a command that the operator gives.

mod cli;
mod operated;

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use comfy_table::Table;
use shorewharf_rolling_restart::{RecoveryPolicy, RestartReport, rolling_restart};

use cli::Cli;
use operated::{OperatedFleet, OperatorError};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let policy = RecoveryPolicy {
        timeout: Duration::from_secs_f64(cli.within),
        stable_for: Duration::from_secs_f64(cli.settle),
    };
    let names: Vec<String> = cli.balancers.iter().map(|balancer| balancer.name.clone()).collect();
    let mut fleet = OperatedFleet { balancers: cli.balancers, restart_command: cli.restart };
    let report = rolling_restart(&mut fleet, names.len(), policy);
    println!("{}", report_table(&report, &names));
    ExitCode::from(u8::from(report.stopped.is_some()))
}

/// A table with the state of each balancer after the rolling restart.
fn report_table(report: &RestartReport<OperatorError>, names: &[String]) -> Table {
    let mut table = Table::new();
    table.set_header(["balancer", "state"]);
    for balancer in &report.restarted {
        table.add_row([names[*balancer].as_str(), "restarted and recovered"]);
    }
    let stopped_at = report.stopped.as_ref().map(|stop| stop.balancer);
    if let Some(stop) = &report.stopped {
        table.add_row([names[stop.balancer].as_str(), &format!("stopped: {}", stop.cause)]);
    }
    for balancer in report.remaining.iter().filter(|balancer| Some(**balancer) != stopped_at) {
        table.add_row([names[*balancer].as_str(), "not restarted"]);
    }
    table
}
